"""Limits on requests that targets name in their responses: rates and pauses.

A target names one limit for the requests of all routers together. The routers keep to
it without talking to each other on the way of a request: the requests that a target
takes in a sliding window are dealt out to the registered routers, one by one in an
order that all of them compute alike, and each router keeps to its own part. The parts
add up to the limit whatever the routers do with them, and while routers disagree about
who is registered, each of those that differ adds no more than its own part.

A router knows a limit from a response that it got, or from another router through the
store. Its own requests of the last window count from the moment at which it learns.

A target may also want no requests from one router for a time, which concerns no other.
"""

import time
from collections import defaultdict, deque
from collections.abc import Callable, Container, Mapping
from dataclasses import dataclass, field, replace

from chervilstall.fleet.records import Target, TargetIncarnation
from chervilstall.fleet.statements import NamedLimit, TargetStatements
from chervilstall.ids import TargetId, VmId, ZoneName
from chervilstall.rendezvous import rendezvous_score
from chervilstall.telemetry.events import EventLog

log = EventLog("fleet")

AT_LIMIT = "targets are at the limits that they name"

WINDOW_S = 4.0
"""Length of the sliding window in which requests are counted."""

WAY_MAX_S = 0.5
"""How long a request may be on its way to its target.

Two requests that are sent a window apart may arrive closer together, so a request
counts for so much longer than the window.
"""

SPARE_REQUESTS = 1
"""Requests of a window beyond the limit.

Even at the lowest limit some router then learns when it is lifted. Routers seldom use
their whole parts.
"""


@dataclass
class TargetRateLimiter:
    """Keeps one router's part of the limits that targets name.

    `vm` is this router and `routers` maps all registered routers to their zones.
    Routers in the zone of a target come first when its requests are dealt out.
    `on_change` is called when a response shows that a limit was named, changed or
    lifted. `statements` holds the limits and pauses.
    """

    vm: VmId
    zone: ZoneName
    routers: Mapping[VmId, ZoneName] = field(default_factory=dict)
    on_change: Callable[[Target], None] | None = None
    statements: TargetStatements = field(default_factory=TargetStatements)
    _sends_s: dict[TargetIncarnation, deque[float]] = field(
        default_factory=lambda: defaultdict(deque)
    )

    # Limits

    def limit_per_s(self, target: Target) -> float | None:
        """Return the limit that a target names, or None if it names none."""
        limit = self.statements.limits.get(target.incarnation)
        return None if limit is None else limit.per_s

    def record_response(
        self, target: Target, limit_per_s: float | None, sent_at_s: float
    ) -> None:
        """Record the limit in a response, or None where the response names none.

        `sent_at_s` is when the request was sent. A response without a limit ends one
        only if its request was sent after the limit was last confirmed; otherwise the
        target may have made the response before.
        """
        known = self.statements.limits.get(target.incarnation)
        if limit_per_s is None:
            if known is None or known.confirmed_at_s >= sent_at_s:
                return
        before_per_s = self.limit_per_s(target)
        self.apply_limit(target, limit_per_s)
        if before_per_s != limit_per_s and self.on_change is not None:
            self.on_change(target)

    def apply_limit(self, target: Target, limit_per_s: float | None) -> None:
        """Put a target's limit in force, or end it where it is None."""
        known = self.statements.limits.get(target.incarnation)
        if limit_per_s is None:
            if known is not None:
                del self.statements.limits[target.incarnation]
                log.info("target names no limit any more", target=target.id)
            return
        limit = self.statements.note_limit(target, limit_per_s)
        if known is None or known.per_s != limit_per_s:
            log.warning(
                "target names a limit",
                target=target.id,
                per_s=limit_per_s,
                own_part=self._part(target.id, limit),
                routers=len(self.routers),
            )

    def record_pause(self, target: Target, for_s: float) -> None:
        """Record that a target wants no requests from this router for a time."""
        until_s = time.monotonic() + for_s
        known = self.statements.pauses.get(target.incarnation)
        if known is None or known.until_s < until_s:
            self.statements.note_pause(target, until_s)
            log.info("target wants a pause", target=target.id, for_s=round(for_s, 2))

    # Requests

    def record_send(self, target: Target) -> None:
        """Count a request or another call to a target."""
        sends_s = self._recent_sends_s(target.incarnation)
        sends_s.append(time.monotonic())

    def may_send(self, target: Target) -> bool:
        """Return whether this router's part leaves room for a call to a target.

        There is none while the target wants a pause.
        """
        return self._has_room(target.incarnation)

    def _has_room(self, incarnation: TargetIncarnation) -> bool:
        pause = self.statements.pauses.get(incarnation)
        if pause is not None:
            if time.monotonic() < pause.until_s:
                return False
            del self.statements.pauses[incarnation]
        limit = self.statements.limits.get(incarnation)
        if limit is None:
            return True
        sends = len(self._recent_sends_s(incarnation))
        return sends < self._part(incarnation.target_id, limit)

    def exhausted_targets(self) -> frozenset[TargetId]:
        """Return the targets that may get no request from this router at present."""
        named = [*self.statements.limits, *self.statements.pauses]
        return frozenset(
            incarnation.target_id
            for incarnation in named
            if not self.statements.is_replaced(incarnation)
            and not self._has_room(incarnation)
        )

    def snapshot(self) -> "TargetRateLimiter":
        """Return a copy for a reader that must change nothing.

        A check for room drops what no longer counts; here it is dropped from the copy.
        """
        named = {*self.statements.limits, *self.statements.pauses}
        known_s = {each: self._sends_s[each] for each in named if each in self._sends_s}
        sends_s: dict[TargetIncarnation, deque[float]] = defaultdict(deque)
        sends_s.update((each, deque(times_s)) for each, times_s in known_s.items())
        pauses = dict(self.statements.pauses)
        statements = replace(self.statements, pauses=pauses)
        return replace(self, on_change=None, statements=statements, _sends_s=sends_s)

    def _recent_sends_s(self, incarnation: TargetIncarnation) -> deque[float]:
        sends_s = self._sends_s[incarnation]
        first_s = time.monotonic() - WINDOW_S - WAY_MAX_S
        while sends_s and sends_s[0] <= first_s:
            sends_s.popleft()
        return sends_s

    def _part(self, target_id: TargetId, limit: NamedLimit) -> int:
        """Return how many requests this router may send in a window."""
        requests = limit.per_s * WINDOW_S
        routers = {**self.routers, self.vm: self.zone}
        each, rest = divmod(int(requests) + SPARE_REQUESTS, len(routers))
        if not rest:
            return each
        return each + (self._rank(target_id, limit.zone, routers) < rest)

    def _rank(
        self, target_id: TargetId, zone: ZoneName, routers: Mapping[VmId, ZoneName]
    ) -> int:
        """Return this router's place in the order for a target, from 0."""

        def place(vm: VmId) -> tuple[bool, int]:
            return routers[vm] != zone, rendezvous_score(target_id, vm)

        own = place(self.vm)
        return sum(place(vm) < own for vm in routers)

    def prune(self, present: Container[TargetIncarnation]) -> None:
        """Drop the sends to targets that are gone, once they don't count any more."""
        for incarnation in list(self._sends_s):
            if incarnation in present or self._recent_sends_s(incarnation):
                continue
            del self._sends_s[incarnation]
