"""Helper processes of the experiments: token sources, proxies, routers, stores, agents.

Each prints the addresses that it listens on as its first line, then serves until it is
terminated or its standard input is closed.
"""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402
from collections.abc import Callable, Iterator  # noqa: E402

import gevent  # noqa: E402
import msgspec  # noqa: E402
from gevent.fileobject import FileObject  # noqa: E402

from chervilstall.configuration.tree import Tree  # noqa: E402
from chervilstall.gateway.runtime import RouterSettings  # noqa: E402
from chervilstall.http_response import StartResponse, json_response  # noqa: E402
from chervilstall.idempotency.local_claims import LocalClaimService  # noqa: E402
from chervilstall.ids import Revision, VmId, ZoneName  # noqa: E402
from chervilstall.measure.agents import serve_agents  # noqa: E402
from chervilstall.measure.testbed import grant_text, pipeline_text  # noqa: E402
from chervilstall.settings.connections import TargetSettings  # noqa: E402
from chervilstall.settings.option import Address, parse_address  # noqa: E402
from chervilstall.settings.processes import (  # noqa: E402
    AdmissionSettings,
    ListenSettings,
    RoutingSettings,
    VmSettings,
)
from chervilstall.standin.embedded import start_router  # noqa: E402
from chervilstall.standin.store import MemoryStore  # noqa: E402
from chervilstall.standin.store_server import StoreServer  # noqa: E402
from chervilstall.standin.target_server import ANY_PORT, encode_event  # noqa: E402
from chervilstall.target.connection import (  # noqa: E402
    pooled_client,
    single_use_client,
)
from chervilstall.target.contract import (  # noqa: E402
    EventKind,
    GenerateOrder,
    StreamEvent,
)
from chervilstall.target.response import read_server_event  # noqa: E402
from chervilstall.wsgi import Environ, Server, read_body  # noqa: E402

LAYERS = 8
PASS_THROUGH_TIMEOUT_S = 60.0


def print_addresses(*addresses: object) -> None:
    """Print the listen addresses as the first line for `start_helper`."""
    print(*addresses, flush=True)


def wait_for_stdin_close() -> None:
    """Block until standard input is closed.

    This also happens when the experiment exits without terminating its helpers.
    """
    FileObject(sys.stdin.buffer, "rb").read()


# Token source


def stream_tokens(order: GenerateOrder, interval_s: float) -> Iterator[bytes]:
    """Yield the event stream of an engine with one token every `interval_s`."""
    request, attempt = order.request, order.attempt
    yield encode_event(StreamEvent(request, attempt, EventKind.ACCEPTED))
    for position in range(order.max_tokens):
        if interval_s:
            gevent.sleep(interval_s)
        event = StreamEvent(request, attempt, EventKind.TOKEN, position, "token ")  # type: ignore[arg-type]
        yield encode_event(event)
    end = order.max_tokens
    yield encode_event(StreamEvent(request, attempt, EventKind.END, end, "", "length"))  # type: ignore[arg-type]


def token_source_application(
    environ: Environ, start_response: StartResponse
) -> "Iterator[bytes] | list[bytes]":
    """Serve `/v1/generate` without computing anything, and a service on other paths.

    The last word of a prompt is the interval between tokens in seconds.
    """
    path = environ["PATH_INFO"]
    if path != "/v1/generate":
        identity_headers = (
            ("Chervilstall-Request", environ.get("HTTP_CHERVILSTALL_REQUEST", "")),
            ("Chervilstall-Attempt", environ.get("HTTP_CHERVILSTALL_ATTEMPT", "")),
        )
        response = json_response(200, {"parcel": "SK-1", "state": "at the counter"})
        return type(response)(
            200, response.body, (*response.headers, *identity_headers)
        ).start(start_response)
    order = msgspec.json.decode(read_body(environ), type=GenerateOrder)
    interval_s = float(order.prompt.rsplit(" ", 1)[1])
    start_response("200 OK", [("Content-Type", "text/event-stream")])
    return stream_tokens(order, interval_s)


def run_token_source() -> None:
    """Serve a token source."""
    server = Server(ANY_PORT, token_source_application)
    server.start()
    print_addresses(server.bound_address)
    wait_for_stdin_close()


# Pass-through proxy


class PassThroughProxy:
    """A proxy on the libraries of the router that forwards requests unchanged.

    It is the baseline for the cost of the router's own logic.
    """

    def __init__(self, target: Address) -> None:
        self.target = target
        self.settings = TargetSettings()
        self.client_pool = pooled_client(target, self.settings, PASS_THROUGH_TIMEOUT_S)

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> "Iterator[bytes] | list[bytes]":
        """Forward one request and its response."""
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"]
        body = read_body(environ)
        if path == "/v1/generate":
            client = single_use_client(
                self.target, self.settings, PASS_THROUGH_TIMEOUT_S
            )
            response = client.request(method, path, body=body)
            start_response("200 OK", [("Content-Type", "text/event-stream")])
            return self._events(response)
        response = self.client_pool.request(method, path, body=body)
        answer_body = response.read()
        content_length = ("Content-Length", str(len(answer_body)))
        start_response("200 OK", [("Content-Type", "application/json"), content_length])
        return [answer_body]

    def _events(self, response: object) -> Iterator[bytes]:
        while True:
            event_data = read_server_event(response)
            if event_data is None:
                return
            yield b"data: " + event_data + b"\n\n"


def run_pass_through_proxy(target: str) -> None:
    """Serve a pass-through proxy in front of a target."""
    server = Server(ANY_PORT, PassThroughProxy(parse_address(target)))
    server.start()
    print_addresses(server.bound_address)
    wait_for_stdin_close()


# Router


def build_tree(targets: list[str]) -> Tree:
    """Return a tree that lists each address as an engine and as a lookup service."""
    texts = {"models/m": f"[model]\nlayers = {LAYERS}\nversions = v1\n"}
    for number, address in enumerate(targets):
        texts[f"targets/engine-{number}"] = (
            "[target]\nkind = engine\nzone = zone-a\nmodel = m\nversion = v1\n"
            f"address = {address}\nend_layer = {LAYERS}\nconcurrency = 5000\n"
        )
        texts[f"targets/lookup-{number}"] = (
            "[target]\nkind = service\nzone = zone-a\nservice = lookup\n"
            f"address = {address}\nconcurrency = 5000\n"
        )
    texts["workspaces/w/grant"] = grant_text()
    texts["workspaces/w/pipelines/p"] = pipeline_text("m")
    texts["workspaces/w/services/lookup"] = "[service]\nservice = lookup\n"
    return Tree.build(Revision(1), texts)


def run_router(*targets: str) -> None:
    """Serve a router with local limits in front of some targets."""
    settings = RouterSettings(
        vm=VmSettings(vm=VmId("vm-1"), zone=ZoneName("zone-a")),
        listen=ListenSettings(callers=ANY_PORT, admin=ANY_PORT),
        admission=AdmissionSettings(concurrency=10_000, queue_length=10_000),
        target=TargetSettings(first_event_timeout_s=10.0, silence_timeout_s=10.0),
        routing=RoutingSettings(affinity_entries=0),
    )
    server = start_router(settings, build_tree(list(targets)), LocalClaimService({}))
    print_addresses(server.caller_address, server.admin_address)
    wait_for_stdin_close()


# Store


def run_store() -> None:
    """Serve an in-memory store."""
    server = StoreServer(MemoryStore(), ANY_PORT)
    print_addresses(server.address)
    wait_for_stdin_close()


HELPERS: dict[str, Callable[..., None]] = {
    "source": run_token_source,
    "pass": run_pass_through_proxy,
    "router": run_router,
    "store": run_store,
    "agents": serve_agents,
}


if __name__ == "__main__":
    HELPERS[sys.argv[1]](*sys.argv[2:])
