"""The router's own cost, against the target itself and a bare pass-through.

The same client sends the same requests straight to the target, through a pass-through
on the same libraries, and through the router, in turns in one run.
"""

import json
import socket
import time
from dataclasses import dataclass, field

import gevent
from geventhttpclient import HTTPClient

from chervilstall.measure.helpers import TOKEN
from chervilstall.measure.processes import HelperProcess, start_helper
from chervilstall.measure.statistics import median, percentile
from chervilstall.settings.option import Address, parse_address

LATENCY_REQUESTS = 1_500
HALF_LOAD_CONNECTIONS = 4
HALF_LOAD_PER_S = 700.0
FULL_CONNECTIONS = 16
FULL_S = 4.0
STREAMS = 500
STREAM_TOKENS = 120
TOKEN_INTERVAL_S = 0.032
SOURCES = 2
TURNS = 3
END_MARKS = (b"[DONE]", b'"end"')


@dataclass
class Way:
    """One way to the target: address, lookup path and stream body."""

    name: str
    address: Address
    lookup_path: str
    stream_path: str
    process: HelperProcess | None = None
    latencies_s: list[float] = field(default_factory=list)
    requests_per_s: list[float] = field(default_factory=list)
    tokens_per_s: list[float] = field(default_factory=list)
    token_cpu_us: list[float] = field(default_factory=list)

    def client(self) -> HTTPClient:
        """Return a client with one connection."""
        return HTTPClient(self.address.host, self.address.port, network_timeout=30.0)

    def headers(self) -> dict[str, str]:
        """Return the headers of every request."""
        return {"Authorization": f"Bearer {TOKEN}"}

    def stream_body(self, number: int) -> bytes:
        """Return the body of a stream request."""
        prompt = f"stream {number} {TOKEN_INTERVAL_S}"
        if self.name == "router":
            body: dict[str, object] = {
                "model": "p",
                "prompt": prompt,
                "max_tokens": STREAM_TOKENS,
                "stream": True,
            }
            return json.dumps(body).encode()
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


def measure_latency(way: Way) -> None:
    """Take latencies at half load: paced requests over a few connections."""

    def client(number: int) -> None:
        connection = way.client()
        interval_s = HALF_LOAD_CONNECTIONS / HALF_LOAD_PER_S
        next_at_s = time.monotonic() + interval_s * number / HALF_LOAD_CONNECTIONS
        for _ in range(LATENCY_REQUESTS // HALF_LOAD_CONNECTIONS):
            gevent.sleep(max(0.0, next_at_s - time.monotonic()))
            next_at_s += interval_s
            started_at_s = time.monotonic()
            response = connection.request("GET", way.lookup_path, headers=way.headers())
            response.read()
            way.latencies_s.append(time.monotonic() - started_at_s)

    tasks = [gevent.spawn(client, number) for number in range(HALF_LOAD_CONNECTIONS)]
    gevent.joinall(tasks, raise_error=True)


def measure_requests(way: Way) -> None:
    """Count requests in a closed loop over sixteen connections."""
    counts = [0] * FULL_CONNECTIONS
    ends_at_s = time.monotonic() + FULL_S

    def client(number: int) -> None:
        connection = way.client()
        while time.monotonic() < ends_at_s:
            response = connection.request("GET", way.lookup_path, headers=way.headers())
            response.read()
            counts[number] += 1

    tasks = [gevent.spawn(client, number) for number in range(FULL_CONNECTIONS)]
    gevent.joinall(tasks, raise_error=True)
    way.requests_per_s.append(sum(counts) / FULL_S)


def read_stream(way: Way, number: int) -> tuple[int, float, float]:
    """Read one stream; return its events and when the first and last arrived."""
    body = way.stream_body(number)
    head = (
        f"POST {way.stream_path} HTTP/1.1\r\nHost: measure\r\n"
        f"Authorization: Bearer {TOKEN}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    events = 0
    first_s = 0.0
    address = (way.address.host, way.address.port)
    with socket.create_connection(address, timeout=60.0) as sock:
        sock.sendall(head.encode() + body)
        while True:
            data = sock.recv(65_536)
            first_s = first_s or time.monotonic()
            events += data.count(b"data: ")
            if not data or any(mark in data for mark in END_MARKS):
                return events, first_s, time.monotonic()


def measure_tokens(way: Way) -> None:
    """Relay many spaced streams; take the token rate and the processor time."""
    cpu_before_s = way.process.cpu_s() if way.process else 0.0
    tasks = []
    for number in range(STREAMS):
        tasks.append(gevent.spawn(read_stream, way, number))
        gevent.sleep(TOKEN_INTERVAL_S / 20)
    gevent.joinall(tasks, raise_error=True)
    results = [task.value for task in tasks]
    tokens = STREAMS * STREAM_TOKENS
    assert all(events >= STREAM_TOKENS for events, _, _ in results)
    durations_s = [last - first for _, first, last in results]
    # The rate that the median stream sees, over all streams.
    way.tokens_per_s.append(STREAMS * STREAM_TOKENS / median(durations_s))
    if way.process:
        cpu_s = way.process.cpu_s() - cpu_before_s
        way.token_cpu_us.append(cpu_s / tokens * 1e6)


def run_overhead(seed: int) -> dict[str, object]:
    """Run every measurement for each way, in turns."""
    sources = [start_helper("source") for _ in range(SOURCES)]
    addresses = [source.words[0] for source in sources]
    passing = start_helper("pass", addresses[0])
    router = start_helper("router", *addresses)
    generate = "/v1/generate"
    ways = [
        Way("target", parse_address(addresses[0]), "/lookup", generate),
        Way("pass", parse_address(passing.words[0]), "/lookup", generate, passing),
        Way(
            "router",
            parse_address(router.words[0]),
            "/services/lookup/x",
            "/v1/completions",
            router,
        ),
    ]
    try:
        for turn in range(TURNS):
            for way in ways:
                measure_latency(way)
                measure_requests(way)
            for way in ways[1:]:
                measure_tokens(way)
        memory = measure_memory(ways[2])
        stall_ms = read_stall(router.words[1])
    finally:
        for process in (*sources, passing, router):
            process.stop()
    return summarize(seed, ways, stall_ms, memory)


def measure_memory(way: Way) -> float:
    """Return kilobytes of resident memory per stream that is open."""
    assert way.process is not None
    before = way.process.rss_bytes()
    tasks = [gevent.spawn(read_stream, way, number) for number in range(STREAMS)]
    gevent.sleep(STREAM_TOKENS * TOKEN_INTERVAL_S / 2)
    during = way.process.rss_bytes()
    gevent.joinall(tasks)
    return (during - before) / STREAMS / 1e3


def read_stall(address: str) -> float:
    """Return the longest stall of the router's loop, in milliseconds."""
    admin = parse_address(address)
    client = HTTPClient(admin.host, admin.port)
    return float(json.loads(client.get("/state").read())["longest_stall_ms"])


def summarize(
    seed: int, ways: list[Way], stall_ms: float, memory_kb: float
) -> dict[str, object]:
    """Return the figures of an overhead run."""
    target, passing, router = ways

    def added_ms(way: Way, share: float) -> float:
        own = percentile(way.latencies_s, share)
        return (own - percentile(target.latencies_s, share)) * 1e3

    pass_cpu_us = median(passing.token_cpu_us)
    router_cpu_us = median(router.token_cpu_us)
    return {
        "experiment": "overhead",
        "seed": seed,
        "added_p50_ms": added_ms(router, 0.5),
        "added_p95_ms": added_ms(router, 0.95),
        "pass_added_p50_ms": added_ms(passing, 0.5),
        "pass_added_p95_ms": added_ms(passing, 0.95),
        "requests_per_s": median(router.requests_per_s),
        "pass_requests_per_s": median(passing.requests_per_s),
        "request_ratio": median(router.requests_per_s) / median(passing.requests_per_s),
        "streams": STREAMS,
        "tokens_per_s": median(router.tokens_per_s),
        "pass_tokens_per_s": median(passing.tokens_per_s),
        "token_ratio": median(router.tokens_per_s) / median(passing.tokens_per_s),
        "cpu_us_per_token": router_cpu_us,
        "pass_cpu_us_per_token": pass_cpu_us,
        "token_cpu_ratio": pass_cpu_us / router_cpu_us,
        "longest_stall_ms": stall_ms,
        "kb_per_stream": memory_kb,
    }
