"""Which routers reach targets that this one does not.

They are found by asking, a few of each zone in turn, and remembered until one of them
says that it is unable. All requests of a router share one search for a service.
"""

import random
import time
from collections import defaultdict
from collections.abc import Collection, Iterator
from dataclasses import dataclass, field
from functools import partial
from itertools import islice

import gevent
from gevent.event import Event
from gevent.lock import BoundedSemaphore

from chervilstall.edge.peers.directory import PeerDirectory
from chervilstall.edge.peers.reach_report import AskPeers, ReachReport, start_asking
from chervilstall.fleet.view import FleetView
from chervilstall.ids import ServiceName, VmId
from chervilstall.platform.peers import Peer
from chervilstall.telemetry.events import EventLog

log = EventLog("edge")

FIRST_ASKED = 4
ASKED_MAX = 32
"""Routers asked in one search; the next search asks others."""

WANTED = 6
"""Routers known from which on no more are looked for, so that they share the load."""

WAIT_S = 0.05
"""Wait for reports after which more routers are asked."""

LAST_WAIT_S = 0.4
"""Wait for the last reports; a router examines its own links for 0.35 s."""

ABLE_S = 5.0
"""Time after a report or a response in which a router counts as reaching targets."""

UNABLE_S = 2.0
"""Time in which a router that was unable is not asked again."""

OLDER_S = 0.25
"""The same for one that is about to get the present configuration."""

RENEWED_S = 2.5
"""Time left of `ABLE_S` from which on a router is asked again."""

REFRESH_INTERVAL_S = 0.5
PAUSE_MIN_S = 0.25
PAUSE_MAX_S = 2.0
"""Bounds of the time between searches that find nobody; each doubles it."""

MORE_PAUSE_S = 2.0
"""Time between searches for more routers that find too few."""


@dataclass
class _Search:
    """What is known of the targets of one service; all times are monotonic.

    `able_until_s` holds the routers that reach targets, `unable_until_s` those that do
    not, and `named` those that others have found. Reports of those in `pending` have
    not arrived. `is_settled` is set once a router is known, or none is pending. After a
    search that found none there is no other one before `retry_at_s`, after one that
    found few no more are looked for before `more_at_s`.
    """

    able_until_s: dict[VmId, float] = field(default_factory=dict)
    unable_until_s: dict[VmId, float] = field(default_factory=dict)
    named: set[VmId] = field(default_factory=set)
    pending: set[VmId] = field(default_factory=set)
    pause_s: float = PAUSE_MIN_S
    retry_at_s: float = float("-inf")
    more_at_s: float = float("-inf")
    is_settled: Event = field(default_factory=Event)
    running: BoundedSemaphore = field(default_factory=BoundedSemaphore)

    def mark_able(self, vm: VmId) -> None:
        """Note that a router reaches targets."""
        self.able_until_s[vm] = time.monotonic() + ABLE_S
        self.unable_until_s.pop(vm, None)
        self.named.discard(vm)

    def mark_unable(self, vm: VmId, for_s: float = UNABLE_S) -> None:
        """Note that a router reaches none, or could not serve a request."""
        self.able_until_s.pop(vm, None)
        self.unable_until_s[vm] = time.monotonic() + for_s
        self.named.discard(vm)


@dataclass
class ReachSearch:
    """Finds the routers that can serve requests which this router can't.

    `start_asking` asks several routers at the same time, without waiting for them.

    For example, `search.choose(ServiceName("drafts"))` returns a router that said less
    than five seconds ago that it reaches targets of `drafts`, after a search if none is
    known; None if there is none.
    """

    directory: PeerDirectory
    fleet_view: FleetView
    start_asking: AskPeers = start_asking
    _searches: defaultdict[ServiceName, _Search] = field(
        default_factory=partial(defaultdict, _Search)
    )

    def run(self, services: Collection[ServiceName]) -> None:
        """Keep enough routers known until the process ends; one task runs this.

        `services` are those that are out of reach at the time.
        """
        while True:
            gevent.sleep(REFRESH_INTERVAL_S)
            for service in list(services):
                self.refresh(service)

    def choose(self, service: ServiceName) -> Peer | None:
        """Return a router that reaches targets, None if none is known or found."""
        search = self._searches[service]
        usable = self._usable(search)
        if not usable:
            with search.running:
                self._find(service, search)
            usable = self._usable(search)
        return random.choice(usable) if usable else None

    def refresh(self, service: ServiceName) -> None:
        """Look for more routers while few are known."""
        search = self._searches[service]
        with search.running:
            self._find(service, search)
        with search.running:
            self._find_more(service, search)

    def reaching(self, service: ServiceName) -> list[VmId]:
        """Return the routers that are known to reach targets of a service."""
        if service not in self._searches:
            return []
        return [peer.vm for peer in self._usable(self._searches[service])]

    def mark_able(self, service: ServiceName, peer: Peer) -> None:
        """Note that a router took a request."""
        self._searches[service].mark_able(peer.vm)

    def mark_unable(self, service: ServiceName, peer: Peer) -> None:
        """Note that a router could not take a request.

        If it was known to reach targets, the others that are known are asked again, as
        many may have lost their links at the same time.
        """
        search = self._searches[service]
        if peer.vm in search.able_until_s:
            search.named.update(search.able_until_s)
            search.able_until_s.clear()
            search.pause_s, search.retry_at_s = PAUSE_MIN_S, float("-inf")
        search.mark_unable(peer.vm)

    def _usable(self, search: _Search, left_s: float = 0.0) -> list[Peer]:
        """Return the routers that count as reaching targets for `left_s` or longer."""
        until_s = time.monotonic() + left_s
        known = [vm for vm, each_s in search.able_until_s.items() if each_s > until_s]
        peers = map(self.directory.get, known)
        return [peer for peer in peers if peer and self.directory.is_usable(peer)]

    def _find(self, service: ServiceName, search: _Search) -> None:
        """Ask more and more routers until one is known."""
        if self._usable(search) or time.monotonic() < search.retry_at_s:
            return
        asked = self._ask_in_rounds(service, search, 1)
        if search.pending and not self._usable(search):
            search.is_settled.wait(LAST_WAIT_S)
        if self._usable(search):
            search.pause_s = PAUSE_MIN_S
            return
        log.info("no router reaches targets", service=service, asked=asked)
        search.retry_at_s = time.monotonic() + search.pause_s * random.uniform(0.8, 1.0)
        search.pause_s = min(2.0 * search.pause_s, PAUSE_MAX_S)

    def _find_more(self, service: ServiceName, search: _Search) -> None:
        """Ask more and more routers until as many are known as are wanted."""
        if not self._usable(search) or time.monotonic() < search.more_at_s:
            return
        self._ask_in_rounds(service, search, WANTED)
        if len(self._usable(search, RENEWED_S)) < WANTED:
            search.more_at_s = time.monotonic() + MORE_PAUSE_S * random.uniform(
                0.8, 1.0
            )

    def _ask_in_rounds(self, service: ServiceName, search: _Search, wanted: int) -> int:
        """Return how many routers were asked."""
        count, asked = FIRST_ASKED, 0
        on_report = partial(self._apply, search)
        candidates = self._candidates(search)
        while asked < ASKED_MAX and len(self._usable(search, RENEWED_S)) < wanted:
            peers = list(islice(candidates, min(count, ASKED_MAX - asked)))
            if not peers:
                break
            search.is_settled.clear()
            search.pending.update(peer.vm for peer in peers)
            self.start_asking(peers, service, on_report)
            search.is_settled.wait(WAIT_S)
            asked += len(peers)
            count *= 2
        return asked

    def _apply(self, search: _Search, peer: Peer, report: ReachReport | None) -> None:
        search.pending.discard(peer.vm)
        if report is None or not report.is_able:
            search.mark_unable(peer.vm)
        elif self._is_older(report):
            search.mark_unable(peer.vm, OLDER_S)
        else:
            search.mark_able(peer.vm)
        if report is not None:
            search.named.update(map(VmId, report.reaching))
        if not search.pending or peer.vm in search.able_until_s:
            search.is_settled.set()

    def _is_older(self, report: ReachReport) -> bool:
        """Return whether a router knows a configuration older than this one's."""
        configuration = self.fleet_view.configuration
        return configuration is not None and report.version < configuration.version

    def _candidates(self, search: _Search) -> Iterator[Peer]:
        """Yield routers to ask: those that others named, then some of each zone."""
        asked = {peer.vm for peer in self._usable(search, RENEWED_S)}
        asked |= search.pending
        drawn = self.directory.draw_in_turn(ASKED_MAX)
        while True:
            peer = self._pop_named(search) or next(drawn, None)
            if peer is None:
                return
            if peer.vm in asked or not self.directory.is_usable(peer):
                continue
            if search.unable_until_s.get(peer.vm, 0.0) > time.monotonic():
                continue
            asked.add(peer.vm)
            yield peer

    def _pop_named(self, search: _Search) -> Peer | None:
        while search.named:
            peer = self.directory.get(search.named.pop())
            if peer is not None:
                return peer
        return None
