"""A small marketplace with a router, for scenarios."""

import http.client
import json
import os
from dataclasses import dataclass, field
from pathlib import Path

from chervilstall.configuration.treefile import read_tree_file
from chervilstall.gateway.runtime import RouterSettings
from chervilstall.ids import VmId, ZoneName
from chervilstall.settings.agents import IdempotencySettings
from chervilstall.settings.connections import TargetSettings
from chervilstall.settings.option import Address
from chervilstall.settings.processes import (
    ListenSettings,
    RetrySettings,
    RoutingSettings,
    VmSettings,
)
from chervilstall.standin.embedded import EmbeddedRouter, start_embedded
from chervilstall.standin.engine import EngineOptions
from chervilstall.standin.ledger import check_layers, check_single_effects

TREE_PATH = Path(__file__).parent / "tree.ini"
TOKEN = "counters-token"
OTHER_TOKEN = "desks-token"
LAYERS = 12
# Each test process has a loopback address of its own, so that a request of one never
# reaches a port that another has taken over.
HOST = os.environ.get("CHERVILSTALL_TEST_HOST", "127.0.0.1")
ANY_PORT = Address(HOST, 0)


@dataclass
class Response:
    """A whole HTTP answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict:
        """Return the body as JSON."""
        return json.loads(self.body)

    def error(self) -> dict:
        """Return the error of an error answer."""
        return self.json()["error"]

    def events(self) -> list[str]:
        """Return the data of each server-sent event."""
        events = self.body.decode().split("\n\n")
        return [event.removeprefix("data: ") for event in events if event]


def tree_texts() -> dict[str, str]:
    """Return the test tree with its targets on this process's address."""
    text = TREE_PATH.read_text().replace("127.0.0.1", HOST)
    return read_tree_file(text, TREE_PATH.name)


def short_timeout_settings(**changes: object) -> RouterSettings:
    """Return router settings with short deadlines, for faults that take time."""
    values: dict = dict(
        vm=VmSettings(vm=VmId("vm-1"), zone=ZoneName("za-hall")),
        listen=ListenSettings(
            callers=ANY_PORT,
            admin=ANY_PORT,
            body_max_bytes=20_000,
            header_timeout_s=0.4,
            body_timeout_s=0.4,
            drain_wait_s=0.05,
            drain_timeout_s=5.0,
        ),
        target=TargetSettings(
            connect_timeout_s=0.3,
            first_event_timeout_s=0.3,
            silence_timeout_s=0.3,
            service_timeout_s=0.3,
            poll_interval_s=0.1,
        ),
        routing=RoutingSettings(ejection_base_s=0.2, slow_start_s=0.0),
        retry=RetrySettings(hedge_delay_s=0.1, budget_floor=50),
    )
    values.update(changes)
    return RouterSettings(**values)


@dataclass
class RouterHarness:
    """An embedded router under test, with a caller's view of it."""

    settings: RouterSettings = field(default_factory=short_timeout_settings)
    engine_options: EngineOptions = field(default_factory=EngineOptions)
    idempotency: IdempotencySettings = field(
        default_factory=lambda: IdempotencySettings(commit_interval_s=0.002)
    )

    def __post_init__(self) -> None:
        texts = tree_texts()
        self.router: EmbeddedRouter = start_embedded(
            self.settings, texts, self.engine_options, self.idempotency
        )

    @property
    def ledger(self):
        """Return the ledger of everything that ran."""
        return self.router.target_cluster.ledger

    @property
    def engines(self):
        """Return the engine stand-ins by target."""
        return self.router.target_cluster.engines

    @property
    def services(self):
        """Return the service stand-ins by target."""
        return self.router.target_cluster.services

    def connect(self, timeout_s: float = 10.0) -> http.client.HTTPConnection:
        """Return a connection to the callers' listener."""
        address = self.router.server.caller_address
        return http.client.HTTPConnection(address.host, address.port, timeout=timeout_s)

    def send(
        self,
        method: str,
        path: str,
        body: object = None,
        token: str = TOKEN,
        **headers: str,
    ) -> Response:
        """Send a request and return the whole answer."""
        connection = self.connect()
        sent = {"Authorization": f"Bearer {token}"} if token else {}
        sent.update({name.replace("_", "-"): value for name, value in headers.items()})
        data = body if isinstance(body, bytes) or body is None else json.dumps(body)
        try:
            connection.request(method, path, body=data, headers=sent)
            response = connection.getresponse()
            return Response(
                response.status, dict(response.getheaders()), response.read()
            )
        finally:
            connection.close()

    def get_admin(self, path: str) -> Response:
        """Ask the admin listener."""
        address = self.router.server.admin_address
        connection = http.client.HTTPConnection(address.host, address.port, timeout=5)
        connection.request("GET", path)
        response = connection.getresponse()
        return Response(response.status, dict(response.getheaders()), response.read())

    def ledger_violations(self) -> list[str]:
        """Return everything the ledgers show to be wrong."""
        return check_layers(self.ledger, LAYERS) + check_single_effects(self.ledger)

    def stop(self) -> None:
        """Stop the router and its marketplace."""
        self.router.stop()
