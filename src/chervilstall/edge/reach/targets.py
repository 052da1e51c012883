"""Whether this router reaches the targets of a service at all.

To a router whose links to all targets are gone, its own loss looks like many dead
targets. When a target fails, a few of its service are therefore asked at the same time.
If none responds, the service is out of reach until one does: requests go on through
another router, and what this router believes of its targets is told to nobody.
"""

import random
import time
from collections import defaultdict
from collections.abc import Callable, Container
from dataclasses import dataclass, field
from functools import partial
from itertools import islice

import gevent

from chervilstall.edge.in_turn import in_turn
from chervilstall.edge.limits.rate_limits import TargetRateLimiter
from chervilstall.fleet.pruning import retain_keys
from chervilstall.fleet.records import Target, TargetIncarnation
from chervilstall.fleet.view import FleetView
from chervilstall.ids import ServiceName, ZoneName
from chervilstall.platform.targets import responds
from chervilstall.telemetry.events import EventLog

log = EventLog("fleet")

FIRST_PROBES = 2
FIRST_PROBES_S = 0.05
"""Time after which more targets are asked than the first two."""

PROBES_MIN = 6
"""Targets asked in all, so that a few dead ones don't look like a lost link.

More are asked where there are more zones, so that one of each is.
"""

EXAMINE_INTERVAL_S = 0.12

RECOVERY_PROBES_MAX = 4
RECOVERY_RESPONSES = 2
"""Responses after which a large service is within reach again.

With one of many targets within reach, most requests would wait for a connection.
"""

RECOVERY_INTERVAL_S = 0.1
PROBE_TIMEOUT_S = 0.3
"""A target responds within a millisecond or two; a lost packet costs 0.2 s."""

LATELY_S = 1.0
"""Time after a response in which other routers are told so without a probe."""


def _ignore(service: ServiceName) -> None:
    """Do nothing."""


@dataclass
class TargetReach:
    """Keeps track of the services whose targets this router cannot reach.

    `out_of_reach` holds the monotonic times since when, and `probed_at_s` those at
    which targets last responded to a probe. `on_lost` and `on_regained` are called with
    a service whose state has changed.
    """

    fleet_view: FleetView
    rate_limiter: TargetRateLimiter
    on_lost: Callable[[ServiceName], None] = _ignore
    on_regained: Callable[[ServiceName], None] = _ignore
    out_of_reach: dict[ServiceName, float] = field(default_factory=dict)
    probed_at_s: dict[TargetIncarnation, float] = field(default_factory=dict)
    _responded_at_s: dict[ServiceName, float] = field(default_factory=dict)
    _checks: dict[ServiceName, gevent.Greenlet] = field(default_factory=dict)

    def run(self) -> None:
        """Probe what is out of reach until the process ends; one task runs this."""
        while True:
            gevent.sleep(RECOVERY_INTERVAL_S)
            for service in list(self.out_of_reach):
                targets = self._choose(service, RECOVERY_PROBES_MAX)
                required = min(RECOVERY_RESPONSES, max(1, len(targets) // 2))
                if self._count_responses(targets, required) >= required:
                    self._mark_regained(service)

    def prune(self, present: Container[TargetIncarnation]) -> None:
        """Drop the state of targets that are gone."""
        retain_keys(self.probed_at_s, present)

    def is_out_of_reach(self, service: ServiceName) -> bool:
        """Return whether no target of a service could be reached lately."""
        return service in self.out_of_reach

    def lacks_targets(self, service: ServiceName) -> bool:
        """Return whether others may reach targets that this router does not."""
        targets = self.fleet_view.ready_targets(service)
        return any(map(self.fleet_view.is_unresponsive, targets))

    def record_response(self, service: ServiceName) -> None:
        """Record that a target of a service has responded to a request."""
        self._responded_at_s[service] = time.monotonic()

    def check(self, service: ServiceName, valid_s: float = 0.0) -> bool:
        """Return whether a target of a service responds; waits for the probes.

        A response that came less than `valid_s` ago saves them. After a failure none
        does, since the links may have been lost in between.
        """
        if service in self.out_of_reach:
            return False
        responded_at_s = self._responded_at_s.get(service, float("-inf"))
        if time.monotonic() - responded_at_s < valid_s:
            return True
        self.examine(service).join()
        return service not in self.out_of_reach

    def check_lately(self, service: ServiceName) -> bool:
        """Return whether a target has responded in the last second, or does now.

        It is false for a service of which no target is ready.
        """
        is_known = bool(self.fleet_view.ready_targets(service))
        return is_known and self.check(service, LATELY_S)

    def examine(self, service: ServiceName) -> gevent.Greenlet:
        """Start to probe the targets of a service, unless that is going on already."""
        running = self._checks.get(service)
        if running is None or running.ready():
            running = gevent.spawn(self._examine, service)
            self._checks[service] = running
        return running

    def notice_failure(self, service: ServiceName) -> None:
        """Probe the targets of a service, unless one responded just now."""
        responded_at_s = self._responded_at_s.get(service, float("-inf"))
        if time.monotonic() - responded_at_s > EXAMINE_INTERVAL_S:
            self.examine(service)

    def failure_notice(self, service: ServiceName) -> Callable[[], None]:
        """Return what to call where a target of a service seems to be silent."""
        return partial(self.notice_failure, service)

    def _examine(self, service: ServiceName) -> None:
        zones = {target.zone for target in self.fleet_view.ready_targets(service)}
        targets = self._choose(service, max(PROBES_MIN, 2 * len(zones)))
        if targets and not self._count_responses(targets, 1):
            self._mark_lost(service, targets)

    def _count_responses(self, targets: list[Target], required: int) -> int:
        """Probe targets, a few first, until as many as required have responded."""
        first = max(required, FIRST_PROBES)
        probes = [gevent.spawn(self._probe, target) for target in targets[:first]]
        gevent.joinall(probes, timeout=FIRST_PROBES_S)
        if sum(bool(probe.value) for probe in probes) < required:
            probes += [gevent.spawn(self._probe, target) for target in targets[first:]]
        responses = 0
        for probe in gevent.iwait(probes):
            responses += probe.value
            if responses >= required:
                break
        return responses

    def _probe(self, target: Target) -> bool:
        self.rate_limiter.record_send(target)
        if not responds(target, PROBE_TIMEOUT_S):
            return False
        self.record_response(target.service)
        self.probed_at_s[target.incarnation] = time.monotonic()
        return True

    def _choose(self, service: ServiceName, count: int) -> list[Target]:
        """Return targets to probe, those of the own zone and of others in turn.

        Of each zone those come first that this router doesn't suspect.
        """
        zones = self._targets_by_zone(service)
        own = zones.pop(self.rate_limiter.zone, [])
        others = list(zones.values())
        random.shuffle(others)
        return list(islice(in_turn([own, list(in_turn(others))]), count))

    def _targets_by_zone(self, service: ServiceName) -> dict[ZoneName, list[Target]]:
        zones: dict[ZoneName, list[Target]] = defaultdict(list)
        for target in self.fleet_view.ready_targets(service):
            if self.rate_limiter.may_send(target):
                zones[target.zone].append(target)
        for targets in zones.values():
            random.shuffle(targets)
            targets.sort(key=self.fleet_view.is_suspected)
        return zones

    def _mark_lost(self, service: ServiceName, probed: list[Target]) -> None:
        if service in self.out_of_reach:
            return
        self.out_of_reach[service] = time.monotonic()
        log.warning(
            "targets out of reach",
            service=service,
            probed=[target.id for target in probed],
        )
        self.on_lost(service)

    def _mark_regained(self, service: ServiceName) -> None:
        lost_at_s = self.out_of_reach.pop(service)
        log.warning(
            "targets within reach again",
            service=service,
            after_s=round(time.monotonic() - lost_at_s, 3),
        )
        for target in self.fleet_view.ready_targets(service):
            if self.fleet_view.is_unresponsive(target):
                self.fleet_view.clear_suspicion(target)
        self.on_regained(service)
