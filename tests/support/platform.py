"""A small platform for tests: a store, simulated targets and routers."""

import http.client
import socket
from dataclasses import dataclass, field
from pathlib import Path

from chervilstall.edge.server import EdgeServer
from chervilstall.fleet.records import LayerRange
from chervilstall.ids import VmId, ZoneName
from chervilstall.settings.edge import EdgeSettings
from chervilstall.settings.node import NodeBounds, NodeSettings, StoreAddress
from chervilstall.settings.option import Address
from chervilstall.soak.cut_links import RouterLinks, RouterStoreView
from chervilstall.standin.platform_fixtures import (
    API_KEY,
    CALLER_HOST,
    build_configuration,
    build_request_headers,
    remove_target_entry,
    write_configuration,
    write_target_entry,
)
from chervilstall.standin.platform_store import PlatformStoreServer
from chervilstall.standin.platform_target import PlatformTarget
from tests.support.agent_fleet import eventually
from tests.support.router_harness import ANY_PORT, HOST, Response

PORTS_PER_ROUTER = 4
ZONES = ("ba-hall", "za-hall")
BOUNDS = NodeBounds(
    drain_s=2.0,
    grace_s=4.0,
    apply_s=2.0,
    retry_ratio=0.2,
    retry_window_s=10.0,
    retry_extra=40.0,
    is_fenced=False,
)


@dataclass
class Platform:
    """A store, targets and routers in one process.

    With a `first_port`, each router gets internal ports from there on. Each has the
    options `edge_settings`. With `has_links`
    each router reaches the targets over links of its own, `links`, in the order of the
    routers.
    """

    store: PlatformStoreServer = field(
        default_factory=lambda: PlatformStoreServer(ANY_PORT)
    )
    targets: dict[str, PlatformTarget] = field(default_factory=dict)
    routers: list[EdgeServer] = field(default_factory=list)
    first_port: int = 0
    edge_settings: EdgeSettings = EdgeSettings()
    has_links: bool = False
    links: list[RouterLinks] = field(default_factory=list)
    _store_views: list[RouterStoreView] = field(default_factory=list)

    def start(self, config: dict | None = None) -> None:
        """Start the store with a configuration."""
        self.store.start()
        self.write_config(config or build_configuration())

    def write_config(self, config: dict) -> None:
        """Write a configuration as the operator does."""
        write_configuration(self.store.state, config)

    def add_target(
        self, name: str, service: str, zone: str, layers: LayerRange | None = None
    ) -> PlatformTarget:
        """Start a target and register it in the store."""
        target = PlatformTarget(name, ANY_PORT)
        if layers is not None:
            target.layers = layers
        target.start()
        target.on_restart = lambda: self._register_restart(name, service, zone)
        self.targets[name] = target
        self.register(name, service, zone)
        return target

    def _register_restart(self, name: str, service: str, zone: str) -> None:
        """Register a target that has crashed and started again, under its new id."""
        target = self.targets[name]
        remove_target_entry(self.store.state, target.name)
        target.name = f"{name}-{len(target.log.crashed_at_s)}"
        self.register(name, service, zone)

    def register(
        self,
        name: str,
        service: str,
        zone: str,
        state: str = "ready",
    ) -> None:
        """Write a target's entry to the store, as the target does."""
        target = self.targets[name]
        write_target_entry(
            self.store.state,
            target.name,
            service,
            str(target.address),
            zone,
            target.layers,
            state,
        )

    def node_settings(self, zone: str = "ba-hall") -> NodeSettings:
        """Return the settings of a new router."""
        return NodeSettings(
            vm=VmId(f"vm-{len(self.routers) + 1}"),
            zone=ZoneName(zone),
            host=HOST,
            zones=tuple(ZoneName(name) for name in ZONES),
            frontend_address=ANY_PORT,
            ready_address=ANY_PORT,
            ports=self._next_ports(),
            store=StoreAddress(self._store_address(), 20.0, 1.0),
            bounds=BOUNDS,
        )

    def _next_ports(self) -> tuple[int, ...]:
        if not self.first_port:
            return ()
        first = self.first_port + PORTS_PER_ROUTER * len(self.routers)
        return (first, first + PORTS_PER_ROUTER - 1)

    def _store_address(self) -> Address:
        """Return the address of the store for a new router."""
        if not self.has_links:
            return self.store.address
        links = RouterLinks(HOST)
        view = RouterStoreView(self.store.state, links)
        view.start()
        self.links.append(links)
        self._store_views.append(view)
        return view.address

    def add_router(
        self,
        zone: str = "ba-hall",
        wait: bool = True,
        callers: socket.socket | None = None,
    ) -> EdgeServer:
        """Start a router; wait until it is ready if `wait` is set.

        `callers` may be a bound socket to listen on.
        """
        settings = self.node_settings(zone)
        router = EdgeServer(
            settings, Path("/nonexistent"), 0, callers, self.edge_settings
        )
        router.start()
        self.routers.append(router)
        if wait:
            eventually(lambda: router.is_ready)
        return router

    def stop(self) -> None:
        """Stop the routers, targets and store."""
        for router in self.routers:
            router.stop()
        for links in self.links:
            links.stop()
        for target in self.targets.values():
            target.stop()
        for view in self._store_views:
            view.stop()
        self.store.stop()

    def executed_request_ids(self) -> list[str]:
        """Return the ids of the requests that targets executed."""
        return [
            run.request for target in self.targets.values() for run in target.log.runs
        ]


def send(
    router: EdgeServer,
    path: str,
    method: str = "POST",
    body: bytes = b"",
    request: str = "r1",
    **headers: str,
) -> Response:
    """Send one request and return the complete response.

    Underscores in the names of `headers` become hyphens.
    """
    address = router.caller_listener.bound_address
    connection = http.client.HTTPConnection(address.host, address.port, timeout=20)
    fields = build_request_headers(request, 5.0, **headers)
    try:
        connection.request(method, path, body=body, headers=fields)
        response = connection.getresponse()
        content = response.read()
        return Response(response.status, dict(response.getheaders()), content)
    finally:
        connection.close()


def raw_request(path: str, request: str = "r1") -> bytes:
    """Return the bytes of a request without a body."""
    return (
        f"POST {path} HTTP/1.1\r\nHost: {CALLER_HOST}\r\nAttempt-Id: {request}\r\n"
        f"Credential: {API_KEY}\r\nDeadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n"
    ).encode()


def open_connection(address: Address) -> socket.socket:
    """Open a TCP connection to a listener."""
    connection = socket.create_connection((address.host, address.port), timeout=10)
    return connection
