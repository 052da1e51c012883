"""Helper processes of the experiments: token sources, routers, pass-throughs.

Each prints the addresses it is bound to and then serves until it is ended.
"""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402
from collections.abc import Callable, Iterator  # noqa: E402

import gevent  # noqa: E402
import msgspec  # noqa: E402
from gevent.fileobject import FileObject  # noqa: E402

from chervilstall.admission.leased_shares import ShareAllocator  # noqa: E402
from chervilstall.admission.router_limits import LocalShareService, limits_of  # noqa: E402
from chervilstall.configuration.tree import Tree  # noqa: E402
from chervilstall.gateway.auth import token_digest  # noqa: E402
from chervilstall.gateway.runtime import RouterRuntime, RouterSettings  # noqa: E402
from chervilstall.gateway.server import RouterServer  # noqa: E402
from chervilstall.idempotency.home import LocalClaimService  # noqa: E402
from chervilstall.ids import Revision, VmId, ZoneName  # noqa: E402
from chervilstall.measure.agents import serve_agents  # noqa: E402
from chervilstall.settings.connections import TargetSettings  # noqa: E402
from chervilstall.settings.option import Address, parse_address  # noqa: E402
from chervilstall.settings.processes import (  # noqa: E402
    AdmissionSettings,
    ListenSettings,
    RoutingSettings,
    VmSettings,
)
from chervilstall.standin.store import MemoryStore  # noqa: E402
from chervilstall.standin.store_server import StoreServer  # noqa: E402
from chervilstall.standin.target_server import encode_event  # noqa: E402
from chervilstall.target.connection import (  # noqa: E402
    pooled_client,
    read_server_event,
    single_use_client,
)
from chervilstall.target.contract import (  # noqa: E402
    EventKind,
    GenerateOrder,
    StreamEvent,
)
from chervilstall.wsgi import (  # noqa: E402
    Environ,
    Server,
    StartResponse,
    json_response,
    read_body,
)

ANY = Address("127.0.0.1", 0)
TOKEN = "measure"
LAYERS = 8
PASS_TIMEOUT_S = 60.0


def announce(*addresses: object) -> None:
    """Print the addresses that the experiment has to know."""
    print(*addresses, flush=True)


def serve_until_orphaned() -> None:
    """Serve until the experiment closes our standard input or is gone."""
    FileObject(sys.stdin.buffer, "rb").read()


# Token source


def spaced_tokens(order: GenerateOrder, interval_s: float) -> Iterator[bytes]:
    """Yield an engine's stream with tokens at a fixed interval."""
    request, attempt = order.request, order.attempt
    yield encode_event(StreamEvent(request, attempt, EventKind.ACCEPTED))
    for position in range(order.max_tokens):
        if interval_s:
            gevent.sleep(interval_s)
        event = StreamEvent(request, attempt, EventKind.TOKEN, position, "token ")  # type: ignore[arg-type]
        yield encode_event(event)
    end = order.max_tokens
    yield encode_event(StreamEvent(request, attempt, EventKind.END, end, "", "length"))  # type: ignore[arg-type]


def source_application(
    environ: Environ, start_response: StartResponse
) -> "Iterator[bytes] | list[bytes]":
    """Serve the engine contract with cheap tokens, and `/lookup`."""
    path = environ["PATH_INFO"]
    if path != "/v1/generate":
        identity = (
            ("Chervilstall-Request", environ.get("HTTP_CHERVILSTALL_REQUEST", "")),
            ("Chervilstall-Attempt", environ.get("HTTP_CHERVILSTALL_ATTEMPT", "")),
        )
        reply = json_response(200, {"parcel": "SK-1", "state": "at the counter"})
        return type(reply)(200, reply.body, (*reply.headers, *identity)).start(
            start_response
        )
    order = msgspec.json.decode(read_body(environ), type=GenerateOrder)
    interval_s = float(order.prompt.rsplit(" ", 1)[1])
    start_response("200 OK", [("Content-Type", "text/event-stream")])
    return spaced_tokens(order, interval_s)


def run_source() -> None:
    """Serve tokens; the last word of the prompt is the interval in seconds."""
    server = Server(ANY, source_application)
    server.start()
    announce(server.bound_address)
    serve_until_orphaned()


# Bare pass-through


class PassThrough:
    """The same libraries with no logic: what comes in goes out."""

    def __init__(self, target: Address) -> None:
        self.target = target
        self.settings = TargetSettings()
        self.pool = pooled_client(target, self.settings, PASS_TIMEOUT_S)

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> "Iterator[bytes] | list[bytes]":
        """Pass one request on."""
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"]
        body = read_body(environ)
        if path == "/v1/generate":
            client = single_use_client(self.target, self.settings, PASS_TIMEOUT_S)
            response = client.request(method, path, body=body)
            start_response("200 OK", [("Content-Type", "text/event-stream")])
            return self._events(response)
        response = self.pool.request(method, path, body=body)
        answer = response.read()
        length = ("Content-Length", str(len(answer)))
        start_response("200 OK", [("Content-Type", "application/json"), length])
        return [answer]

    def _events(self, response: object) -> Iterator[bytes]:
        while True:
            data = read_server_event(response)
            if data is None:
                return
            yield b"data: " + data + b"\n\n"


def run_pass_through(target: str) -> None:
    """Serve a bare pass-through to a target."""
    server = Server(ANY, PassThrough(parse_address(target)))
    server.start()
    announce(server.bound_address)
    serve_until_orphaned()


# Router


def router_tree(targets: list[str]) -> Tree:
    """Return a tree with every target as an engine and a lookup service."""
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
    texts["workspaces/w/grant"] = (
        f"[grant]\ntoken_sha256 = {token_digest(TOKEN)}\n"
        "requests_per_s = 1000000\nconcurrency = 1000000\n"
    )
    texts["workspaces/w/pipelines/p"] = (
        "[pipeline]\nmodel = m\nversion = v1\nrequest_class = standard\n"
    )
    texts["workspaces/w/services/lookup"] = "[service]\nservice = lookup\n"
    return Tree.build(Revision(1), texts)


def run_router(*targets: str) -> None:
    """Serve a router with local limits before some targets."""
    settings = RouterSettings(
        vm=VmSettings(vm=VmId("vm-1"), zone=ZoneName("zone-a")),
        listen=ListenSettings(callers=ANY, admin=ANY),
        admission=AdmissionSettings(concurrency=10_000, queue_length=10_000),
        target=TargetSettings(first_event_timeout_s=10.0, silence_timeout_s=10.0),
        routing=RoutingSettings(affinity_entries=0),
    )
    tree = router_tree(list(targets))
    holder = ShareAllocator(settings.limits, is_first=True)
    shares = LocalShareService(holder, limits_of(tree))
    runtime = RouterRuntime(settings, LocalClaimService({}), shares)
    runtime.apply_tree(tree)
    server = RouterServer(runtime)
    server.start()
    announce(server.caller_address, server.admin_address)
    serve_until_orphaned()


# Platform and agents


def run_store() -> None:
    """Serve a stand-in store."""
    server = StoreServer(MemoryStore(), ANY)
    announce(server.address)
    serve_until_orphaned()


HELPERS: dict[str, Callable[..., None]] = {
    "source": run_source,
    "pass": run_pass_through,
    "router": run_router,
    "store": run_store,
    "agents": serve_agents,
}


if __name__ == "__main__":
    HELPERS[sys.argv[1]](*sys.argv[2:])
