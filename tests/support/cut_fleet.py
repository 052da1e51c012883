"""A model of routers that lose their links to all targets, without a network.

What each router knows of the others, and whom it sends its callers' requests, is the
product's own code on a simulated clock. A message between two routers takes
`MESSAGE_S`. The product's examination of a router's own links isn't part of the model,
only the time that it takes.
"""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial
from types import SimpleNamespace
from typing import Any, cast

import msgspec

from chervilstall.edge.exchange import SLOW_CONNECT_S, Exchange
from chervilstall.edge.exchange_failures import ExchangeFailed, ExchangeFailure
from chervilstall.edge.peers.directory import PeerDirectory
from chervilstall.edge.peers.forwarding import UNABLE_HEADER
from chervilstall.edge.peers.reach_report import (
    SERVICE_FIELD,
    OnReport,
    ReachEndpoint,
    ReachReport,
)
from chervilstall.edge.peers.relay import PeerRelay
from chervilstall.edge.peers.search import REFRESH_INTERVAL_S, WAIT_S, ReachSearch
from chervilstall.edge.reach.targets import FIRST_PROBES_S, PROBE_TIMEOUT_S
from chervilstall.edge.request import EdgeRequest
from chervilstall.errors import ChervilstallError
from chervilstall.ids import ServiceName, VmId, ZoneName
from chervilstall.platform.headers import ResponseHead
from chervilstall.platform.kv import Entry
from chervilstall.platform.peers import Peer, encode_peer, peer_key
from chervilstall.settings.option import Address
from tests.support.clock import Clock

SERVICE = ServiceName("drafts")
VERSION = 1
MESSAGE_S = 0.002
LOST_CONNECT_S = 0.6
REQUEST_S = 1.2
DURATION_S = 4.0
EXAMINATION_S = FIRST_PROBES_S + PROBE_TIMEOUT_S
SETTLED_S = 1.0
"""Time after the cut from which callers of all routers fare alike."""


TimedAction = tuple[float, int, Callable[[], None]]
"""When something happens, its place among what happens at the same time, and what."""


@dataclass(frozen=True)
class CutCase:
    """What happens in one run of the model.

    `cut` names the routers that lose all targets: a share of all routers, `one zone`,
    `all zones but one`, `all but one router` or `all`. `lost` routers have ended
    without a word and are still registered. With `is_moved`, the cut ends halfway and
    others are cut off: all those that had not been, and some more up to the same share.
    With `is_unnoticed` a router learns that it is cut off only as a request or a
    question lets it examine its links; otherwise all know it at once.
    """

    zones: int
    routers_per_zone: int
    cut: str
    requests_per_s: float
    lost: int = 0
    is_moved: bool = False
    is_unnoticed: bool = False


@dataclass(frozen=True)
class ModelTry:
    """A request at a cut-off router, and the router that brought it to a target."""

    router: int
    asked_after_s: float
    took_s: float
    helper: VmId | None


@dataclass
class ModelEvent:
    """The event that a router waits for as it has asked others.

    A wait takes the time of the clock, and hands on the reports that come meanwhile.
    """

    fleet: "CutFleet"
    _reports: list[TimedAction] = field(default_factory=list)
    _is_set: bool = False

    def set(self) -> None:
        """Let waits return."""
        self._is_set = True

    def clear(self) -> None:
        """Let waits wait."""
        self._is_set = False

    def wait(self, timeout_s: float) -> None:
        """Wait until the event is set, or for a time."""
        clock = self.fleet.clock
        until_s = clock.now_s + timeout_s
        while not self._is_set and self._reports and self._reports[0][0] <= until_s:
            due_s, _, hand_on = heapq.heappop(self._reports)
            clock.now_s = max(clock.now_s, due_s)
            hand_on()
        if not self._is_set:
            clock.now_s = max(clock.now_s, until_s)

    def add_report(self, after_s: float, hand_on: Callable[[], None]) -> None:
        """Hand on a report after a time, in a wait or as the time has come."""
        due_s = self.fleet.clock.now_s + after_s
        heapq.heappush(self._reports, (due_s, next(self.fleet.sequence), hand_on))
        self.fleet.add_event(due_s, self._hand_on_due)

    def _hand_on_due(self) -> None:
        while self._reports and self._reports[0][0] <= self.fleet.clock.now_s:
            _, _, hand_on = heapq.heappop(self._reports)
            hand_on()


@dataclass
class ModelExchange:
    """One forwarded request."""

    fleet: "CutFleet"
    peer: Peer

    def send_request(self, timeout_s: float) -> ResponseHead:
        """Return what the other router answers."""
        fleet = self.fleet
        if self.peer.vm in fleet.lost:
            fleet.clock.now_s += min(LOST_CONNECT_S, timeout_s)
            raise ExchangeFailed(ExchangeFailure.NO_CONNECTION, was_sent=False)
        fleet.clock.now_s += MESSAGE_S
        fleet.clock.now_s += fleet.notice(self.peer.vm, SLOW_CONNECT_S)
        fleet.sends += 1
        headers: tuple[tuple[str, str], ...] = ()
        if self.peer.vm in fleet.cut:
            headers = ((UNABLE_HEADER, "targets_out_of_reach"),)
        else:
            fleet.helper = self.peer.vm
        fields = {"status": 503 if headers else 200, "headers": headers}
        return cast(Any, SimpleNamespace(**fields))

    def abort_at_deadline(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""


@dataclass
class ModelPeerRelay(PeerRelay):
    """Forwards requests within the model."""

    fleet: Any = None

    def _exchange(self, request: EdgeRequest, peer: Peer, *rest: object) -> Exchange:
        return cast(Any, ModelExchange(self.fleet, peer))


@dataclass
class CutFleet:
    """Plays one case and keeps what became of the requests at cut-off routers."""

    case: CutCase
    rng: random.Random
    tries: list[ModelTry] = field(default_factory=list)
    cut: set[VmId] = field(default_factory=set)
    lost: set[VmId] = field(default_factory=set)
    sends: int = 0
    asks: int = 0
    helper: VmId | None = None
    sequence: Iterator[int] = field(default_factory=itertools.count)
    _noticed_at_s: dict[VmId, float] = field(default_factory=dict)
    _events: list[TimedAction] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.peers = [
            Peer(
                VmId(f"vm-{zone}-{number}"),
                ZoneName(f"zone-{zone}"),
                Address("10.0.0.1", 1 + zone * self.case.routers_per_zone + number),
            )
            for zone in range(self.case.zones)
            for number in range(self.case.routers_per_zone)
        ]
        vms = [peer.vm for peer in self.peers]
        self.cut = set(self._draw_cut(vms))
        reaching = [vm for vm in vms if vm not in self.cut]
        self.lost = set(self.rng.sample(reaching, self.case.lost))

    def _draw_cut(self, vms: list[VmId]) -> list[VmId]:
        in_zone = self.case.routers_per_zone
        match self.case.cut:
            case "one zone":
                return vms[:in_zone]
            case "all zones but one":
                return vms[in_zone:]
            case "all but one router":
                return vms[1:]
            case "all":
                return vms
        return self.rng.sample(vms, int(len(vms) * float(self.case.cut)))

    def play(self) -> None:
        """Play the case on a clock of its own."""
        self.clock = Clock()
        self.began_at_s = self.clock.now_s
        random.seed(self.rng.random())
        known = self._read_entries()
        self.searches: dict[VmId, ReachSearch] = {}
        try:
            for index, peer in enumerate(self.peers):
                if peer.vm in self.cut or self.case.is_moved:
                    self._add_router(index, peer, known)
            if self.case.is_moved:
                self._at(DURATION_S / 2.0, self._move_cut)
            while self._events:
                self.clock.now_s, _, action = heapq.heappop(self._events)
                action()
        finally:
            self.clock.stop()

    def _move_cut(self) -> None:
        vms = [peer.vm for peer in self.peers]
        spared = [vm for vm in vms if vm not in self.cut]
        again = self.rng.sample(sorted(self.cut), len(self.cut) - len(spared))
        self.cut = {*spared, *again}

    def _read_entries(self) -> dict[str, Peer]:
        """Return the registered routers, as a router reads them from the store."""
        directory = PeerDirectory(VmId("reader"), self.peers[0].zone)
        for peer in self.peers:
            directory.handle_entry(Entry(peer_key(peer.vm), encode_peer(peer), 1))
        return directory._peers

    def _add_router(self, index: int, peer: Peer, known: dict[str, Peer]) -> None:
        relay = self._build_relay(peer, known)
        interval_s = 1.0 / self.case.requests_per_s
        after_s = self.rng.uniform(0.0, interval_s)
        while after_s < DURATION_S:
            self._at(after_s, lambda at_s=after_s: self._ask(index, relay, at_s))
            after_s += interval_s
        refresh_after_s = self.rng.uniform(0.0, REFRESH_INTERVAL_S)
        while refresh_after_s < DURATION_S:
            self._at(refresh_after_s, lambda: self._refresh(peer.vm))
            refresh_after_s += REFRESH_INTERVAL_S

    def _at(self, after_s: float, action: Callable[[], None]) -> None:
        self.add_event(self.began_at_s + after_s, action)

    def add_event(self, at_s: float, action: Callable[[], None]) -> None:
        """Let something happen at a time of the clock."""
        heapq.heappush(self._events, (at_s, next(self.sequence), action))

    def _refresh(self, vm: VmId) -> None:
        """Look for more routers, as one does that knows that it is cut off."""
        if self._has_noticed(vm):
            self.searches[vm].refresh(SERVICE)

    def _has_noticed(self, vm: VmId) -> bool:
        noticed_at_s = self._noticed_at_s.get(vm, float("inf"))
        return not self.case.is_unnoticed or noticed_at_s <= self.clock.now_s

    def notice(self, vm: VmId, after_s: float = 0.0) -> float:
        """Let a router examine its links after a time; return when it knows them.

        That is 0 s for one that reaches targets, or knows already that it doesn't.
        """
        if vm not in self.cut or self._has_noticed(vm):
            return 0.0
        noticed_at_s = self.clock.now_s + after_s + EXAMINATION_S
        noticed_at_s = min(noticed_at_s, self._noticed_at_s.get(vm, noticed_at_s))
        self._noticed_at_s[vm] = noticed_at_s
        return noticed_at_s - self.clock.now_s

    def _build_relay(self, peer: Peer, known: dict[str, Peer]) -> PeerRelay:
        directory = PeerDirectory(peer.vm, peer.zone)
        directory._peers = dict(known)
        del directory._peers[peer_key(peer.vm)]
        configuration = SimpleNamespace(version=VERSION)
        fleet_view = cast(Any, SimpleNamespace(configuration=configuration))
        event = ModelEvent(self)
        search = ReachSearch(directory, fleet_view, partial(self._start_asking, event))
        search._searches[SERVICE].is_settled = cast(Any, event)
        self.searches[peer.vm] = search
        return ModelPeerRelay(search, fleet_view, fleet=self)

    def _start_asking(
        self,
        event: ModelEvent,
        peers: list[Peer],
        service: ServiceName,
        on_report: OnReport,
    ) -> None:
        """Hand on the reports of routers; those that were lost return none.

        One that examines its links first reports later.
        """
        self.asks += len(peers)
        for peer in peers:
            is_lost = peer.vm in self.lost
            after_s = WAIT_S if is_lost else MESSAGE_S + self.notice(peer.vm)
            report = None if is_lost else self._report(peer, service)
            event.add_report(after_s, partial(on_report, peer, report))

    def _report(self, peer: Peer, service: ServiceName) -> ReachReport:
        endpoint = ReachEndpoint(
            lambda service: peer.vm not in self.cut,
            lambda service: self._named(peer, service),
            lambda: VERSION,
            lambda service, count: 0,
        )
        response = endpoint.respond(f"{SERVICE_FIELD}={service}")
        return msgspec.json.decode(response.body, type=ReachReport)

    def _named(self, peer: Peer, service: ServiceName) -> list[VmId]:
        search = self.searches.get(peer.vm)
        return search.reaching(service) if search is not None else []

    def _ask(self, index: int, relay: PeerRelay, after_s: float) -> None:
        if self.peers[index].vm not in self.cut:
            return
        deadline_s = self.clock.now_s + REQUEST_S
        request = ModelRequest(self.clock, deadline_s)
        self.helper = None
        self.clock.now_s += self.notice(self.peers[index].vm, SLOW_CONNECT_S)
        try:
            relay.open(cast(Any, request), 1)
        except ChervilstallError:
            pass
        took_s = self.clock.now_s - self.began_at_s - after_s
        self.tries.append(ModelTry(index, after_s, took_s, self.helper))

    @property
    def settled_tries(self) -> list[ModelTry]:
        """Return the tries after the first moments of the cut."""
        return [each for each in self.tries if each.asked_after_s >= SETTLED_S]

    def served_share(self) -> float:
        """Return the share of settled tries that a router brought to a target."""
        tries = self.settled_tries
        return sum(each.helper is not None for each in tries) / len(tries)

    def busiest_share(self) -> float:
        """Return the largest share of settled tries that one router took."""
        taken = Counter(each.helper for each in self.settled_tries if each.helper)
        return max(taken.values()) / len(self.settled_tries)

    def asks_per_s(self) -> float:
        """Return how often a cut-off router asks others, on average."""
        return self.asks / len(self.cut) / DURATION_S


@dataclass
class ModelRequest:
    """A caller's request as the forwarding code sees it."""

    clock: Clock
    deadline_s: float
    forwarding: None = None
    request_id: str = "r"
    has_caller_disconnected: bool = False
    service: Any = field(default_factory=lambda: SimpleNamespace(name=SERVICE))

    @property
    def remaining_s(self) -> float:
        """Return the time until the deadline, in seconds."""
        return self.deadline_s - self.clock.now_s
