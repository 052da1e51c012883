"""Overhead of the router, compared with direct calls and a pass-through proxy.

The same client sends the same requests directly to the target, through a proxy that is
built on the same libraries and only forwards, and through the router. The three are
measured alternately in one run.
"""

import json
import socket
import time
from dataclasses import dataclass, field

import gevent
from geventhttpclient import HTTPClient

from chervilstall.measure.processes import HelperProcess, start_helper
from chervilstall.measure.statistics import median, percentile
from chervilstall.measure.testbed import TOKEN, completion_body
from chervilstall.settings.option import Address, parse_address

LATENCY_REQUESTS = 1_500
HALF_LOAD_CONNECTIONS = 4
HALF_LOAD_REQUESTS_PER_S = 700.0
FULL_LOAD_CONNECTIONS = 16
FULL_LOAD_S = 4.0
STREAMS = 500
STREAM_TOKENS = 120
TOKEN_INTERVAL_S = 0.032
TOKEN_SOURCES = 2
ROUNDS = 3
END_MARKERS = (b"[DONE]", b'"end"')


@dataclass
class Endpoint:
    """One way to reach the target, with the figures measured there.

    `process` is the proxy or router in front of the target, None for direct calls.
    The lists `requests_per_s`, `tokens_per_s` and `cpu_us_per_token` hold one value
    per round.
    """

    name: str
    address: Address
    lookup_path: str
    stream_path: str
    process: HelperProcess | None = None
    latencies_s: list[float] = field(default_factory=list)
    requests_per_s: list[float] = field(default_factory=list)
    tokens_per_s: list[float] = field(default_factory=list)
    cpu_us_per_token: list[float] = field(default_factory=list)

    def client(self) -> HTTPClient:
        """Return a new HTTP client with one connection."""
        return HTTPClient(self.address.host, self.address.port, network_timeout=30.0)

    def headers(self) -> dict[str, str]:
        """Return the headers of a request."""
        return {"Authorization": f"Bearer {TOKEN}"}

    def stream_body(self, number: int) -> bytes:
        """Return the body of a stream request.

        The router takes a completion, the target and the proxy take an engine order.
        """
        prompt = f"stream {number} {TOKEN_INTERVAL_S}"
        if self.name == "router":
            return completion_body(prompt, STREAM_TOKENS)
        order: dict[str, object] = {
            "request": f"r{number}",
            "attempt": 1,
            "model": "m",
            "version": "v1",
            "adapter": "",
            "prompt": prompt,
            "max_tokens": STREAM_TOKENS,
            "priority": 1,
            "route": [],
        }
        return json.dumps(order).encode()


def measure_latency(endpoint: Endpoint) -> None:
    """Measure latencies at half load.

    Requests are sent at a fixed rate over HALF_LOAD_CONNECTIONS connections.
    """

    def client(number: int) -> None:
        connection = endpoint.client()
        interval_s = HALF_LOAD_CONNECTIONS / HALF_LOAD_REQUESTS_PER_S
        next_at_s = time.monotonic() + interval_s * number / HALF_LOAD_CONNECTIONS
        for _ in range(LATENCY_REQUESTS // HALF_LOAD_CONNECTIONS):
            gevent.sleep(max(0.0, next_at_s - time.monotonic()))
            next_at_s += interval_s
            started_at_s = time.monotonic()
            response = connection.request(
                "GET", endpoint.lookup_path, headers=endpoint.headers()
            )
            response.read()
            endpoint.latencies_s.append(time.monotonic() - started_at_s)

    tasks = [gevent.spawn(client, number) for number in range(HALF_LOAD_CONNECTIONS)]
    gevent.joinall(tasks, raise_error=True)


def measure_requests(endpoint: Endpoint) -> None:
    """Measure the request rate of FULL_LOAD_CONNECTIONS clients in a closed loop."""
    counts = [0] * FULL_LOAD_CONNECTIONS
    ends_at_s = time.monotonic() + FULL_LOAD_S

    def client(number: int) -> None:
        connection = endpoint.client()
        while time.monotonic() < ends_at_s:
            response = connection.request(
                "GET", endpoint.lookup_path, headers=endpoint.headers()
            )
            response.read()
            counts[number] += 1

    tasks = [gevent.spawn(client, number) for number in range(FULL_LOAD_CONNECTIONS)]
    gevent.joinall(tasks, raise_error=True)
    endpoint.requests_per_s.append(sum(counts) / FULL_LOAD_S)


def read_stream(endpoint: Endpoint, number: int) -> tuple[int, float, float]:
    """Read one stream.

    Returns the number of events and the times at which the first and the last data
    arrived.
    """
    body = endpoint.stream_body(number)
    head = (
        f"POST {endpoint.stream_path} HTTP/1.1\r\nHost: measure\r\n"
        f"Authorization: Bearer {TOKEN}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    events = 0
    first_s = 0.0
    address = (endpoint.address.host, endpoint.address.port)
    with socket.create_connection(address, timeout=60.0) as sock:
        sock.sendall(head.encode() + body)
        while True:
            data = sock.recv(65_536)
            first_s = first_s or time.monotonic()
            events += data.count(b"data: ")
            if not data or any(marker in data for marker in END_MARKERS):
                return events, first_s, time.monotonic()


def measure_tokens(endpoint: Endpoint) -> None:
    """Measure token rate and processor time with STREAMS concurrent streams."""
    cpu_before_s = endpoint.process.cpu_s() if endpoint.process else 0.0
    tasks = []
    for number in range(STREAMS):
        tasks.append(gevent.spawn(read_stream, endpoint, number))
        gevent.sleep(TOKEN_INTERVAL_S / 20)
    gevent.joinall(tasks, raise_error=True)
    results = [task.value for task in tasks]
    tokens = STREAMS * STREAM_TOKENS
    assert all(events >= STREAM_TOKENS for events, _, _ in results)
    durations_s = [last - first for _, first, last in results]
    # Total rate if every stream took as long as the median stream.
    endpoint.tokens_per_s.append(STREAMS * STREAM_TOKENS / median(durations_s))
    if endpoint.process:
        cpu_s = endpoint.process.cpu_s() - cpu_before_s
        endpoint.cpu_us_per_token.append(cpu_s / tokens * 1e6)


def run_overhead(seed: int) -> dict[str, object]:
    """Return the figures of all measurements, taken alternately at each endpoint."""
    sources = [start_helper("source") for _ in range(TOKEN_SOURCES)]
    source_addresses = [source.addresses[0] for source in sources]
    proxy = start_helper("pass", source_addresses[0])
    router = start_helper("router", *source_addresses)
    generate_path = "/v1/generate"
    endpoints = [
        Endpoint(
            "target", parse_address(source_addresses[0]), "/lookup", generate_path
        ),
        Endpoint(
            "pass", parse_address(proxy.addresses[0]), "/lookup", generate_path, proxy
        ),
        Endpoint(
            "router",
            parse_address(router.addresses[0]),
            "/services/lookup/x",
            "/v1/completions",
            router,
        ),
    ]
    try:
        for round_number in range(ROUNDS):
            for endpoint in endpoints:
                measure_latency(endpoint)
                measure_requests(endpoint)
            for endpoint in endpoints[1:]:
                measure_tokens(endpoint)
        memory_kb = measure_stream_memory_kb(endpoints[2])
        stall_ms = read_longest_stall_ms(router.addresses[1])
    finally:
        for process in (*sources, proxy, router):
            process.stop()
    return summarize(seed, endpoints, stall_ms, memory_kb)


def measure_stream_memory_kb(endpoint: Endpoint) -> float:
    """Return the resident memory per open stream, in kilobytes."""
    assert endpoint.process is not None
    before_bytes = endpoint.process.rss_bytes()
    tasks = [gevent.spawn(read_stream, endpoint, number) for number in range(STREAMS)]
    gevent.sleep(STREAM_TOKENS * TOKEN_INTERVAL_S / 2)
    during_bytes = endpoint.process.rss_bytes()
    gevent.joinall(tasks)
    return (during_bytes - before_bytes) / STREAMS / 1e3


def read_longest_stall_ms(address: str) -> float:
    """Return the longest stall of the router's event loop, in milliseconds.

    `address` is the admin address of the router.
    """
    admin = parse_address(address)
    client = HTTPClient(admin.host, admin.port)
    return float(json.loads(client.get("/state").read())["longest_stall_ms"])


def summarize(
    seed: int, endpoints: list[Endpoint], stall_ms: float, memory_kb: float
) -> dict[str, object]:
    """Return the figures to print.

    `added` figures are the latency above that of direct calls; those that begin with
    `pass_` are of the proxy.
    """
    target, proxy, router = endpoints

    def added_ms(endpoint: Endpoint, fraction: float) -> float:
        latency_s = percentile(endpoint.latencies_s, fraction)
        return (latency_s - percentile(target.latencies_s, fraction)) * 1e3

    proxy_cpu_us = median(proxy.cpu_us_per_token)
    router_cpu_us = median(router.cpu_us_per_token)
    return {
        "experiment": "overhead",
        "seed": seed,
        "added_p50_ms": added_ms(router, 0.5),
        "added_p95_ms": added_ms(router, 0.95),
        "pass_added_p50_ms": added_ms(proxy, 0.5),
        "pass_added_p95_ms": added_ms(proxy, 0.95),
        "requests_per_s": median(router.requests_per_s),
        "pass_requests_per_s": median(proxy.requests_per_s),
        "request_ratio": median(router.requests_per_s) / median(proxy.requests_per_s),
        "streams": STREAMS,
        "tokens_per_s": median(router.tokens_per_s),
        "pass_tokens_per_s": median(proxy.tokens_per_s),
        "token_ratio": median(router.tokens_per_s) / median(proxy.tokens_per_s),
        "cpu_us_per_token": router_cpu_us,
        "pass_cpu_us_per_token": proxy_cpu_us,
        "token_cpu_ratio": proxy_cpu_us / router_cpu_us,
        "longest_stall_ms": stall_ms,
        "kb_per_stream": memory_kb,
    }
