"""Agents in three zones, targets and a router, with callbacks at steps of a request.

`TestCluster.run_at` sets a callback for a step; the next request that reaches it runs
it.
"""

import http.client
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import gevent

from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.gateway.agent_link import AgentLink
from chervilstall.gateway.runtime import RouterRuntime, RouterSettings
from chervilstall.gateway.server import RouterServer
from chervilstall.ids import VmId, ZoneName
from chervilstall.peer.transport import PeerClient
from chervilstall.settings.processes import AgentLinkSettings, VmSettings
from chervilstall.standin.engine import EngineOptions
from chervilstall.standin.target_cluster import TargetCluster
from chervilstall.store.contract import StoreRefused
from chervilstall.target.contract import (
    AttemptFailed,
    AttemptProgress,
    EventKind,
    FailureCause,
)
from tests.support.agent_fleet import AgentFleet, dependency_rank, eventually
from tests.support.router_harness import TOKEN, short_timeout_settings, tree_texts

ROUTER_ZONE = "za-hall"
TOKEN_COUNT = 8
MIDDLE_POSITION = 4


class RequestStep(Enum):
    """Steps of a streamed model request with an idempotency key, in order."""

    ADMIT = "admit"
    CLAIM = "claim"
    CONNECT = "connect"
    SEND = "send"
    ACCEPTED = "accepted"
    FIRST_TOKEN = "first token"
    MID_STREAM = "mid-stream"
    LAST_TOKEN = "last token"
    OUTCOME_WRITE = "outcome write"
    RESPONSE = "response"


@dataclass
class Network:
    """Zones that are partitioned from the platform or from other zones."""

    partitioned_from_platform: set[str] = field(default_factory=set)
    partitioned_from_zones: set[str] = field(default_factory=set)

    def is_partitioned(self, zone: str, other: str) -> bool:
        """Return whether two zones can't reach each other."""
        return zone != other and bool({zone, other} & self.partitioned_from_zones)


class ZoneStore:
    """The store as seen from one zone; refuses calls while it is partitioned."""

    def __init__(self, store: object, network: Network, zone: str) -> None:
        self._store = store
        self._network = network
        self._zone = zone

    def __getattr__(self, name: str) -> object:
        method = getattr(self._store, name)

        def call(*arguments: object, **named: object) -> object:
            if self._zone in self._network.partitioned_from_platform:
                raise StoreRefused("the zone is partitioned from the store")
            return method(*arguments, **named)

        return call if callable(method) else method


class UnreachablePeerClient:
    """Client of an unreachable peer; every call fails after at most 0.1 s."""

    def call(self, message: object, timeout_s: float) -> object:
        gevent.sleep(min(timeout_s, 0.1))
        raise ChervilstallError(ErrorKind.PEER_UNAVAILABLE, "the peer is partitioned")

    def ask(self, message: object, kind: type, timeout_s: float) -> object:
        return self.call(message, timeout_s)


@dataclass
class StepTrigger:
    """Runs an action once, when a request reaches a step."""

    step: RequestStep | None = None
    action: Callable[[], object] = lambda: None
    is_reached: bool = False

    def reach(self, step: RequestStep) -> None:
        """Run the action if it is set for this step and has not run."""
        if step is not self.step:
            return
        self.step = None
        self.is_reached = True
        self.action()


class InstrumentedClaims:
    """Wrapper of the router's claim service that reports steps to the trigger."""

    def __init__(self, inner: AgentLink, trigger: StepTrigger) -> None:
        self._inner = inner
        self._trigger = trigger

    def claim(self, request):
        self._trigger.reach(RequestStep.CLAIM)
        return self._inner.claim(request)

    def report(self, report):
        self._trigger.reach(RequestStep.OUTCOME_WRITE)
        accepted = self._inner.report(report)
        self._trigger.reach(RequestStep.RESPONSE)
        return accepted


class InstrumentedStream:
    """Wrapper of an engine's stream that reports steps to the trigger."""

    def __init__(self, inner, trigger: StepTrigger) -> None:
        self._inner = inner
        self._trigger = trigger

    @property
    def progress(self):
        return self._inner.progress

    def next_event(self):
        event = self._inner.next_event()
        if event.kind is EventKind.ACCEPTED:
            self._trigger.reach(RequestStep.ACCEPTED)
        elif event.kind is EventKind.TOKEN and event.position == 0:
            self._trigger.reach(RequestStep.FIRST_TOKEN)
        elif event.kind is EventKind.TOKEN and event.position == MIDDLE_POSITION:
            self._trigger.reach(RequestStep.MID_STREAM)
        elif event.kind is EventKind.TOKEN and event.position == TOKEN_COUNT - 1:
            self._trigger.reach(RequestStep.LAST_TOKEN)
        return event

    def close(self) -> None:
        self._inner.close()


class InstrumentedEngines:
    """Wrapper of the router's engine client.

    It reports steps to the trigger and fails where zones are partitioned.
    """

    def __init__(self, inner, cluster: "TestCluster") -> None:
        self._inner = inner
        self._cluster = cluster

    def __getattr__(self, name: str):
        return getattr(self._inner, name)

    def generate(self, order, deadline_s):
        cluster = self._cluster
        cluster.route = order.route
        cluster.trigger.reach(RequestStep.CONNECT)
        first_hop = order.route[0]
        engine = cluster.target_cluster.engines[first_hop.target].engine
        if cluster.network.is_partitioned(ROUTER_ZONE, engine.options.zone):
            raise AttemptFailed(
                FailureCause.CONNECT_FAILED, AttemptProgress.NOT_SENT, first_hop.target
            )
        stream = self._inner.generate(order, deadline_s)
        cluster.trigger.reach(RequestStep.SEND)
        return InstrumentedStream(stream, cluster.trigger)


@dataclass
class CallerResult:
    """Result of a request for its caller.

    `error_code` and `ran` are those of an error, `is_lost` tells that the connection
    failed.
    """

    text: str = ""
    is_complete: bool = False
    error_code: str = ""
    ran: str = ""
    is_lost: bool = False


class TestCluster:
    """Agents in three zones, targets and a router under test."""

    def __init__(self, seed: int = 1) -> None:
        self.network = Network()
        self.trigger = StepTrigger()
        self.route: tuple = ()
        zones = {f"vm-{n}": zone for n, zone in enumerate(self._vm_zones())}
        self.fleet = AgentFleet(0, seed=seed)
        self.fleet.store_of = lambda vm: ZoneStore(
            self.fleet.store, self.network, zones[vm]
        )  # type: ignore[return-value,assignment]
        for vm, zone in zones.items():
            self._partition_peer_clients(self.fleet.add(vm, zone))
        texts = tree_texts()
        self.target_cluster = TargetCluster(texts, EngineOptions(load_lag_s=0.0))
        self._partition_fabric()
        for path in sorted(self.target_cluster.texts, key=dependency_rank):
            self.fleet.write_change(path, self.target_cluster.texts[path])
        self.start_router("vm-0")
        self.wait_until_ready()

    def _vm_zones(self) -> list[str]:
        return [ROUTER_ZONE, "ke-hall", "ba-hall", ROUTER_ZONE, "ke-hall", "ba-hall"]

    def _partition_peer_clients(self, agent) -> None:
        inner = agent.clients.client

        def client(address) -> PeerClient | UnreachablePeerClient:
            own = agent.table.own.zone
            for other in self.fleet.agents.values():
                if other.server.address != address:
                    continue
                if self.network.is_partitioned(own, other.table.own.zone):
                    return UnreachablePeerClient()
            return inner(address)

        agent.clients.client = client

    def _partition_fabric(self) -> None:
        fabric = self.target_cluster.fabric
        network = self.network

        class PartitionedLinks:
            def __contains__(self, pair) -> bool:
                return network.is_partitioned(pair[0], pair[1])

        fabric.cut_links = PartitionedLinks()  # type: ignore[assignment]

    def start_router(self, vm: str) -> None:
        """Start a router that uses the agent of `vm`."""
        agent = self.fleet.agents[vm]
        own = VmSettings(vm=VmId(vm), zone=ZoneName(ROUTER_ZONE))
        settings: RouterSettings = short_timeout_settings(vm=own)
        link_settings = AgentLinkSettings(address=agent.server.address, timeout_s=0.6)
        self.link = AgentLink(link_settings, own)
        claims = InstrumentedClaims(self.link, self.trigger)
        self.runtime = RouterRuntime(settings, claims, self.link)
        self.runtime.relay.engines = InstrumentedEngines(self.runtime.engines, self)
        self._instrument_admission()
        self.link.on_tree(self.runtime.apply_tree)
        self.server = RouterServer(self.runtime)
        self.server.start()
        self.follower = gevent.spawn(self.link.poll_settings)

    def _instrument_admission(self) -> None:
        admit = self.runtime.limits.admit

        def admit_with_step(*arguments):
            self.trigger.reach(RequestStep.ADMIT)
            return admit(*arguments)

        self.runtime.limits.admit = admit_with_step  # type: ignore[method-assign]

    def kill_router(self) -> None:
        """Close every connection of the router, as killing its process would."""
        self.server.caller_listener.kill_connections()
        self.server.admin_listener.kill_connections()
        self.runtime.stop()
        self.follower.kill(block=False)
        self.link.stop()

    def slot_home_vms(self) -> list[str]:
        """Return the VMs whose agents serve slots."""
        return [vm for vm, agent in self.fleet.agents.items() if agent.slot_homes.homes]

    def wait_until_ready(self) -> None:
        """Wait until the router has the last settings and every slot is served."""

        def is_ready() -> bool:
            last_revision = next(iter(self.fleet.agents.values())).replica.revision
            serving_slots = set()
            for agent in self.fleet.agents.values():
                for slot, home in agent.slot_homes.homes.items():
                    if home.state.value == "serving":
                        serving_slots.add(slot)
            return bool(
                last_revision
                and self.runtime.tree.revision == last_revision
                and len(serving_slots) == 3
            )

        eventually(is_ready, 15.0)

    def run_at(self, step: RequestStep, action: Callable[[], object]) -> None:
        """Run an action when the next request reaches a step."""
        self.trigger.step = step
        self.trigger.action = action
        self.trigger.is_reached = False

    # Requests

    def send(
        self,
        prompt: str,
        key: str,
        attempt: int = 1,
        deadline_s: float = 5.0,
        on_connection: Callable[[http.client.HTTPConnection], object] = lambda c: None,
    ) -> CallerResult:
        """Send a streamed request with an idempotency key and return its result.

        `on_connection` gets the connection before the request is sent.
        """
        address = self.server.caller_address
        connection = http.client.HTTPConnection(
            address.host, address.port, timeout=deadline_s + 5.0
        )
        on_connection(connection)
        body = {
            "model": "claims",
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": TOKEN_COUNT,
            "stream": True,
        }
        headers = {
            "Authorization": f"Bearer {TOKEN}",
            "Idempotency-Key": key,
            "Idempotency-Attempt": str(attempt),
            "Chervilstall-Deadline-S": str(deadline_s),
        }
        try:
            connection.request(
                "POST", "/v1/chat/completions", json.dumps(body), headers
            )
            response = connection.getresponse()
            return parse_result(response.status, response.read())
        except (OSError, http.client.HTTPException, AttributeError, ValueError):
            return CallerResult(is_lost=True)
        finally:
            connection.close()

    def heal(self) -> None:
        """Undo the network, store and engine faults that are still in effect."""
        self.network.partitioned_from_platform.clear()
        self.network.partitioned_from_zones.clear()
        self.fleet.store.faults.clear()
        self.fleet.store.vm_list_lag_s = 0.0
        for server in self.target_cluster.engines.values():
            server.engine.faults.clear()
            server.engine.set_leaving(False)

    def stop(self) -> None:
        """Stop the router, agents and targets."""
        self.kill_router()
        self.fleet.stop()
        self.target_cluster.stop()


def parse_result(status: int, body: bytes) -> CallerResult:
    """Parse a streamed response as its caller would."""
    if status != 200:
        error = json.loads(body)["error"]
        return CallerResult(error_code=error["code"], ran=error["ran"])
    result = CallerResult()
    for event in body.decode().split("\n\n"):
        data = event.removeprefix("data: ")
        if not data:
            continue
        if data == "[DONE]":
            result.is_complete = True
            continue
        parsed = json.loads(data)
        if "error" in parsed:
            result.error_code = parsed["error"]["code"]
            result.ran = parsed["error"]["ran"]
            continue
        for choice in parsed["choices"]:
            result.text += choice["delta"].get("content") or ""
    return result


def elapsed_since(started_at_s: float) -> float:
    """Return the seconds since a monotonic time."""
    return time.monotonic() - started_at_s
