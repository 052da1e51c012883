"""Agents in three zones, targets, and a router whose requests can be stopped at a step.

`TestCluster.at` arms a callback for a step; the first request that reaches the step
runs it.
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
TOKENS = 8
MIDDLE = 4


class Step(Enum):
    """Steps of a keyed, streamed model request."""

    ADMIT = "admit"
    CLAIM = "claim"
    CONNECT = "connect"
    SEND = "send"
    ACCEPTED = "accepted"
    FIRST_TOKEN = "first token"
    MIDDLE = "mid-stream"
    LAST_TOKEN = "last token"
    OUTCOME = "outcome write"
    ANSWER = "answer"


@dataclass
class Network:
    """Which zones are cut off from what."""

    cut_from_platform: set[str] = field(default_factory=set)
    partitioned_from_zones: set[str] = field(default_factory=set)

    def is_cut(self, zone: str, other: str) -> bool:
        """Return whether two zones can't reach each other."""
        return zone != other and bool({zone, other} & self.partitioned_from_zones)


class ZoneStore:
    """The store as seen from a zone, which may be cut off from it."""

    def __init__(self, store: object, network: Network, zone: str) -> None:
        self._store = store
        self._network = network
        self._zone = zone

    def __getattr__(self, name: str) -> object:
        method = getattr(self._store, name)

        def call(*arguments: object, **named: object) -> object:
            if self._zone in self._network.cut_from_platform:
                raise StoreRefused("the zone is cut off")
            return method(*arguments, **named)

        return call if callable(method) else method


class CutClient:
    """A peer that can't be reached."""

    def call(self, message: object, timeout_s: float) -> object:
        gevent.sleep(min(timeout_s, 0.1))
        raise ChervilstallError(ErrorKind.PEER_UNAVAILABLE, "cut off")

    def ask(self, message: object, kind: type, timeout_s: float) -> object:
        return self.call(message, timeout_s)


@dataclass
class Trigger:
    """The armed step and what happens there, once."""

    step: Step | None = None
    action: Callable[[], object] = lambda: None
    reached: bool = False

    def reach(self, step: Step) -> None:
        """Run the action where this is the armed step."""
        if step is not self.step:
            return
        self.step = None
        self.reached = True
        self.action()


class SteppedClaims:
    """The router's claim service, announcing its steps."""

    def __init__(self, inner: AgentLink, trigger: Trigger) -> None:
        self._inner = inner
        self._trigger = trigger

    def claim(self, request):
        self._trigger.reach(Step.CLAIM)
        return self._inner.claim(request)

    def report(self, report):
        self._trigger.reach(Step.OUTCOME)
        taken = self._inner.report(report)
        self._trigger.reach(Step.ANSWER)
        return taken


class SteppedStream:
    """An engine's stream, announcing its steps."""

    def __init__(self, inner, trigger: Trigger) -> None:
        self._inner = inner
        self._trigger = trigger

    @property
    def progress(self):
        return self._inner.progress

    def next_event(self):
        event = self._inner.next_event()
        if event.kind is EventKind.ACCEPTED:
            self._trigger.reach(Step.ACCEPTED)
        elif event.kind is EventKind.TOKEN and event.position == 0:
            self._trigger.reach(Step.FIRST_TOKEN)
        elif event.kind is EventKind.TOKEN and event.position == MIDDLE:
            self._trigger.reach(Step.MIDDLE)
        elif event.kind is EventKind.TOKEN and event.position == TOKENS - 1:
            self._trigger.reach(Step.LAST_TOKEN)
        return event

    def close(self) -> None:
        self._inner.close()


class SteppedEngines:
    """The router's engine client, announcing its steps and honouring cuts."""

    def __init__(self, inner, cluster: "TestCluster") -> None:
        self._inner = inner
        self._cluster = cluster

    def __getattr__(self, name: str):
        return getattr(self._inner, name)

    def generate(self, order, deadline_s):
        cluster = self._cluster
        cluster.route = order.route
        cluster.trigger.reach(Step.CONNECT)
        head = order.route[0]
        engine = cluster.market.engines[head.target].engine
        if cluster.network.is_cut(ROUTER_ZONE, engine.options.zone):
            raise AttemptFailed(
                FailureCause.CONNECT_FAILED, AttemptProgress.NOT_SENT, head.target
            )
        stream = self._inner.generate(order, deadline_s)
        cluster.trigger.reach(Step.SEND)
        return SteppedStream(stream, cluster.trigger)


@dataclass
class Outcome:
    """What a caller saw: text and whether it is whole, or an error."""

    text: str = ""
    is_whole: bool = False
    kind: str = ""
    ran: str = ""
    is_lost: bool = False


class TestCluster:
    """Everything around one request."""

    def __init__(self, seed: int = 1) -> None:
        self.network = Network()
        self.trigger = Trigger()
        self.route: tuple = ()
        zones = {f"vm-{n}": zone for n, zone in enumerate(self._zones())}
        self.fleet = AgentFleet(0, seed=seed)
        self.fleet.store_of = lambda vm: ZoneStore(
            self.fleet.store, self.network, zones[vm]
        )  # type: ignore[return-value,assignment]
        for vm, zone in zones.items():
            self._cut_directory(self.fleet.add(vm, zone))
        texts = tree_texts()
        self.market = TargetCluster(texts, EngineOptions(load_lag_s=0.0))
        self._cuts_follow_network()
        for path in sorted(self.market.texts, key=dependency_rank):
            self.fleet.write_change(path, self.market.texts[path])
        self.start_router("vm-0")
        self.wait_until_ready()

    def _zones(self) -> list[str]:
        return [ROUTER_ZONE, "ke-hall", "ba-hall", ROUTER_ZONE, "ke-hall", "ba-hall"]

    def _cut_directory(self, agent) -> None:
        inner = agent.clients.client

        def client(address) -> PeerClient | CutClient:
            own = agent.table.own.zone
            for other in self.fleet.agents.values():
                if other.server.address != address:
                    continue
                if self.network.is_cut(own, other.table.own.zone):
                    return CutClient()
            return inner(address)

        agent.clients.client = client

    def _cuts_follow_network(self) -> None:
        fabric = self.market.fabric
        network = self.network

        class LiveCuts:
            def __contains__(self, pair) -> bool:
                return network.is_cut(pair[0], pair[1])

        fabric.cut_links = LiveCuts()  # type: ignore[assignment]

    def start_router(self, vm: str) -> None:
        """Start a router beside an agent."""
        agent = self.fleet.agents[vm]
        own = VmSettings(vm=VmId(vm), zone=ZoneName(ROUTER_ZONE))
        settings: RouterSettings = short_timeout_settings(vm=own)
        link_settings = AgentLinkSettings(address=agent.server.address, timeout_s=0.6)
        self.link = AgentLink(link_settings, own)
        claims = SteppedClaims(self.link, self.trigger)
        self.runtime = RouterRuntime(settings, claims, self.link)
        self.runtime.relay.engines = SteppedEngines(self.runtime.engines, self)
        self._step_admission()
        self.link.on_tree(self.runtime.apply_tree)
        self.server = RouterServer(self.runtime)
        self.server.start()
        self.follower = gevent.spawn(self.link.poll_settings)

    def _step_admission(self) -> None:
        admit = self.runtime.limits.admit

        def stepped(*arguments):
            self.trigger.reach(Step.ADMIT)
            return admit(*arguments)

        self.runtime.limits.admit = stepped  # type: ignore[method-assign]

    def kill_router(self) -> None:
        """Cut every connection of the router, as a kill would."""
        self.server.caller_listener.kill_connections()
        self.server.admin_listener.kill_connections()
        self.runtime.stop()
        self.follower.kill(block=False)
        self.link.stop()

    def homes(self) -> list[str]:
        """Return the agents that serve slots."""
        return [vm for vm, agent in self.fleet.agents.items() if agent.slot_homes.homes]

    def wait_until_ready(self) -> None:
        """Wait until the router has settings and every slot has a home."""

        def is_ready() -> bool:
            head = next(iter(self.fleet.agents.values())).replica.revision
            open_slots = set()
            for agent in self.fleet.agents.values():
                for slot, home in agent.slot_homes.homes.items():
                    if home.state.value == "serving":
                        open_slots.add(slot)
            return bool(
                head and self.runtime.tree.revision == head and len(open_slots) == 3
            )

        eventually(is_ready, 15.0)

    def at(self, step: Step, action: Callable[[], object]) -> None:
        """Run an action when the next request reaches a step."""
        self.trigger.step = step
        self.trigger.action = action
        self.trigger.reached = False

    # Callers

    def send(
        self,
        prompt: str,
        key: str,
        attempt: int = 1,
        deadline_s: float = 5.0,
        on_connection: Callable[[http.client.HTTPConnection], object] = lambda c: None,
    ) -> Outcome:
        """Send a keyed streamed request and return what its caller sees."""
        address = self.server.caller_address
        connection = http.client.HTTPConnection(
            address.host, address.port, timeout=deadline_s + 5.0
        )
        on_connection(connection)
        body = {
            "model": "claims",
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": TOKENS,
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
            return read_outcome(response.status, response.read())
        except (OSError, http.client.HTTPException, AttributeError, ValueError):
            return Outcome(is_lost=True)
        finally:
            connection.close()

    def heal(self) -> None:
        """Undo every lasting fault."""
        self.network.cut_from_platform.clear()
        self.network.partitioned_from_zones.clear()
        self.fleet.store.faults.clear()
        self.fleet.store.vm_list_lag_s = 0.0
        for server in self.market.engines.values():
            server.engine.faults.clear()
            server.engine.set_leaving(False)

    def stop(self) -> None:
        """Stop everything."""
        self.kill_router()
        self.fleet.stop()
        self.market.stop()


def read_outcome(status: int, body: bytes) -> Outcome:
    """Read a streamed answer as its caller would."""
    if status != 200:
        error = json.loads(body)["error"]
        return Outcome(kind=error["code"], ran=error["ran"])
    outcome = Outcome()
    for event in body.decode().split("\n\n"):
        data = event.removeprefix("data: ")
        if not data:
            continue
        if data == "[DONE]":
            outcome.is_whole = True
            continue
        parsed = json.loads(data)
        if "error" in parsed:
            outcome.kind = parsed["error"]["code"]
            outcome.ran = parsed["error"]["ran"]
            continue
        for choice in parsed["choices"]:
            outcome.text += choice["delta"].get("content") or ""
    return outcome


def elapsed_since(started_at_s: float) -> float:
    """Return the seconds since a monotonic time."""
    return time.monotonic() - started_at_s
