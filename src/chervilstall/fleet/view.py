"""The router's view of the configuration and the targets.

The view is fed by the watch on the store, by reports that targets give, and by the
outcome of requests. It decides which targets may receive new work.
"""

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from gevent.event import Event

from chervilstall.fleet.lapses import LapsedEntries
from chervilstall.fleet.records import (
    LayerRange,
    RouterConfiguration,
    Target,
    TargetIncarnation,
    TargetReadiness,
)
from chervilstall.fleet.statements import TargetStatements
from chervilstall.fleet.suspicion import Suspicion, SuspicionKind
from chervilstall.ids import ServiceName, TargetId, ZoneName
from chervilstall.telemetry.events import EventLog

log = EventLog("fleet")

DRAIN_USE_SHARE = 0.5
"""Share of the drain bound during which a draining target may still start a path."""

SUSPICION_S = 4.0
"""Time that a target is avoided after one failure.

It doubles with every further suspicion until the target shows that it is alive.
"""

SUSPICION_MAX_S = 30.0
OUTAGE_SUSPICION_S = 10.0
"""Shortest suspicion during a store outage.

No entry can show then that the target has left or is back.
"""

SLOW_RATIO = 1.5
"""Ratio of a target's forward pass time to the usual one above which it is slow."""

SLOWNESS_CHANGE_MIN = 0.5
"""Change of that ratio above which it is logged and starts a new generation."""


@dataclass
class FleetView:
    """What this process knows about the fleet: configuration, targets, suspicions.

    A configuration is never replaced by one with a lower version. `generation` grows
    with every change that may alter a choice of targets, so callers may cache a choice
    as long as it stays the same. `loaded` is set once a configuration and the targets
    have been read.

    `drain_s` is the drain bound: the time after which a target that announced that it
    leaves must get no more work. `slowness` holds, for each slow target, its time for a
    forward pass divided by the usual time. `outage_since_s` is the monotonic time since
    which the store has not been readable, or None. `complete_at_s` is the monotonic
    time up to which every change of a target's entry is known. `on_suspicion` is called
    for each new suspicion that other routers should learn of. `statements` holds what
    targets said, also while they have no entry.
    """

    drain_s: float
    configuration: RouterConfiguration | None = None
    targets: dict[TargetId, Target] = field(default_factory=dict)
    generation: int = 0
    are_targets_loaded: bool = False
    loaded: Event = field(default_factory=Event)
    slowness: dict[TargetIncarnation, float] = field(default_factory=dict)
    unreachable_zones: set[ZoneName] = field(default_factory=set)
    outage_since_s: float | None = None
    complete_at_s: float = float("-inf")
    on_suspicion: Callable[[Target, SuspicionKind], None] | None = None
    statements: TargetStatements = field(default_factory=TargetStatements)
    _suspicions: dict[TargetIncarnation, Suspicion] = field(default_factory=dict)
    _suspicion_counts: dict[TargetIncarnation, int] = field(default_factory=dict)
    _lapsed: LapsedEntries = field(default_factory=LapsedEntries)

    # Configuration

    def apply_configuration(
        self, configuration: RouterConfiguration, revision: int
    ) -> None:
        """Put a configuration in force unless its version is not a higher one.

        `revision` is the store revision at which it was read; it is only logged.
        """
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return
        self.configuration = configuration
        self.generation += 1
        self._update_loaded()
        log.info(
            "configuration in force",
            version=configuration.version,
            revision=revision,
            routes=len(configuration.routes),
        )

    # Targets

    def update_target(self, target: Target) -> None:
        """Record a target's entry unless one of the same or a later revision is known.

        An entry that changed without a restart of the target ends its suspicion.
        """
        known = self.targets.get(target.id)
        if known is not None and known.revision >= target.revision:
            return
        # The entry may have changed at any time since the view was complete.
        used = self.statements.apply_to(target, self.complete_at_s)
        if used is None:
            return
        self.targets[target.id] = target = used
        self._lapsed.discard(target.id)
        self.generation += 1
        if known is not None and known.incarnation == target.incarnation:
            # The target wrote its entry, so it is alive.
            self._suspicions.pop(target.incarnation, None)
            self._suspicion_counts.pop(target.incarnation, None)
        if known is None or known.state is not target.state:
            self._log_state(target)
        elif known.layers != target.layers:
            log.info(
                "target holds layers",
                target=target.id,
                zone=target.zone,
                first=target.layers.first,
                end=target.layers.end,
                revision=target.revision,
            )

    def note_complete(self, at_s: float) -> None:
        """Record the time up to which every change of a target's entry is known."""
        self.complete_at_s = max(self.complete_at_s, at_s)

    def note_leaving(self, incarnation: TargetIncarnation, by: str) -> None:
        """Record that a target said in a response that it leaves.

        It counts as draining from then on, whatever becomes of its entry.
        """
        if not self.statements.note_leaving(incarnation, time.monotonic()):
            return
        log.info("target leaving", target=incarnation.target_id, by=by)
        known = self.targets.get(incarnation.target_id)
        if known is not None and known.incarnation == incarnation:
            self.targets[known.id] = replace(known, state=TargetReadiness.DRAINING)
            self.generation += 1

    def _log_state(self, target: Target) -> None:
        log.info(
            "target " + target.state.value,
            target=target.id,
            address=str(target.address),
            zone=target.zone,
            started_at_ms=target.started_at_ms,
            revision=target.revision,
        )

    def apply_report(self, target: Target, layers: LayerRange) -> None:
        """Record the layers that a target reports while its entry cannot be read.

        A report shows that the target is alive, so it ends a suspicion of silence. It
        says nothing about the target's links to other targets, so other suspicions
        stay.
        """
        known = self.targets.get(target.id)
        if known is None or known.incarnation != target.incarnation:
            return
        suspicion = self._suspicions.get(target.incarnation)
        if suspicion is not None and suspicion.kind is SuspicionKind.SILENT:
            self.clear_suspicion(target)
        if known.layers == layers:
            return
        self.targets[target.id] = replace(known, layers=layers)
        self.generation += 1
        log.info(
            "target holds layers",
            target=target.id,
            zone=target.zone,
            first=layers.first,
            end=layers.end,
            by="report",
        )

    def note_slowness(self, target: Target, slowness: float) -> None:
        """Record a target's time for a forward pass divided by the usual time."""
        previous = self.slowness.get(target.incarnation, 1.0)
        if slowness <= SLOW_RATIO:
            if self.slowness.pop(target.incarnation, None) is not None:
                self.generation += 1
                log.info("target fast again", target=target.id)
            return
        self.slowness[target.incarnation] = slowness
        if abs(slowness - previous) > SLOWNESS_CHANGE_MIN:
            self.generation += 1
            log.warning("target slow", target=target.id, slowness=round(slowness, 2))

    def remove_target(self, target_id: TargetId) -> None:
        """Remove a target whose entry was deleted.

        Entries expire during a store outage even though their targets are alive. Just
        after an outage the target is therefore kept until its entry has been missing
        for a while; `expire` then removes it.
        """
        if target_id in self.targets and not self._lapsed.add(target_id):
            self._delete_target(target_id)

    def _delete_target(self, target_id: TargetId) -> None:
        target = self.targets.pop(target_id)
        self._lapsed.discard(target_id)
        self.statements.note_gone(target)
        self._suspicions.pop(target.incarnation, None)
        self._suspicion_counts.pop(target.incarnation, None)
        self.slowness.pop(target.incarnation, None)
        self.generation += 1
        log.info("target gone", target=target_id, address=str(target.address))

    def retain_targets(self, target_ids: Iterable[TargetId]) -> None:
        """Drop every target that a full read of the store did not return."""
        present = set(target_ids)
        for target_id in list(self.targets):
            if target_id not in present:
                self.remove_target(target_id)
        self.are_targets_loaded = True
        self._update_loaded()

    def _update_loaded(self) -> None:
        if self.configuration is not None and self.are_targets_loaded:
            self.loaded.set()

    def note_outage(self) -> None:
        """Record that the store is unavailable, or was until now.

        The time in which a deleted entry may merely have expired starts anew.
        """
        self._lapsed.note_outage()

    def forget_revisions(self) -> None:
        """Accept every entry again, as the store came back from an earlier copy.

        What the store lost is still known here: the configuration, and what targets
        said. Entries that it lost are missing until their targets write them again.
        """
        for target in list(self.targets.values()):
            self.targets[target.id] = replace(target, revision=0)
        self.statements.note_restored()
        self.generation += 1
        self.note_outage()

    def begin_outage(self, since_s: float) -> None:
        """Record the monotonic time since which the store cannot be watched."""
        self.outage_since_s = since_s

    def end_outage(self) -> None:
        """Record that the store can be watched again."""
        self.outage_since_s = None

    def expire(self) -> None:
        """Remove lapsed targets and ended suspicions; called about once a second."""
        now_s = time.monotonic()
        for target_id in self._lapsed.all_lapsed(self.drain_s):
            self._delete_target(target_id)
        for incarnation, suspicion in list(self._suspicions.items()):
            if now_s >= suspicion.until_s:
                del self._suspicions[incarnation]
                self.generation += 1

    # Suspicion

    def suspect(
        self,
        target: Target,
        reason: str,
        for_s: float = SUSPICION_S,
        shared: bool = True,
        kind: SuspicionKind = SuspicionKind.SILENT,
    ) -> bool:
        """Avoid a target for `for_s` seconds; return whether that is new.

        A suspicion of SUSPICION_S or more lasts twice as long each time it recurs, up
        to SUSPICION_MAX_S, until the target shows that it is alive. With `shared`, such
        a suspicion is also passed to `on_suspicion` when it is new.
        """
        is_new = target.incarnation not in self._suspicions
        if is_new and for_s >= SUSPICION_S:
            # Each suspicion without a sign of life in between lasts twice as long.
            earlier = self._suspicion_counts.get(target.incarnation, 0)
            self._suspicion_counts[target.incarnation] = earlier + 1
            for_s = min(for_s * 2.0**earlier, SUSPICION_MAX_S)
        if self.outage_since_s is not None:
            # During an outage no entry shows whether the target left or is back.
            for_s = max(for_s, OUTAGE_SUSPICION_S)
        until_s = time.monotonic() + for_s
        self._suspicions[target.incarnation] = Suspicion(kind, until_s)
        if is_new:
            self.generation += 1
            log.warning(
                "target suspected",
                target=target.id,
                address=str(target.address),
                reason=reason,
            )
            if shared and for_s >= SUSPICION_S and self.on_suspicion is not None:
                self.on_suspicion(target, kind)
        return is_new

    def clear_suspicion(self, target: Target) -> None:
        """End the suspicion of a target that has answered."""
        self._suspicion_counts.pop(target.incarnation, None)
        if self._suspicions.pop(target.incarnation, None) is not None:
            self.generation += 1
            log.info("target trusted", target=target.id)

    def is_suspected(self, target: Target) -> bool:
        """Return whether a target, or its whole zone, is avoided at present."""
        return (
            target.incarnation in self._suspicions
            or target.zone in self.unreachable_zones
        )

    def suspicion(self, target: Target) -> Suspicion | None:
        """Return why and until when a target itself is avoided, or None."""
        return self._suspicions.get(target.incarnation)

    def is_unresponsive(self, target: Target) -> bool:
        """Return whether a target is suspected of silence or in an unreachable zone."""
        suspicion = self._suspicions.get(target.incarnation)
        is_target_silent = (
            suspicion is not None and suspicion.kind is SuspicionKind.SILENT
        )
        return is_target_silent or target.zone in self.unreachable_zones

    def mark_zone_unreachable(self, zone: ZoneName) -> None:
        """Avoid every target of a zone that cannot be reached."""
        self.unreachable_zones.add(zone)
        self.generation += 1
        log.warning("zone lost", zone=zone)

    def mark_zone_reachable(self, zone: ZoneName) -> None:
        """Use the targets of a zone again."""
        self.unreachable_zones.discard(zone)
        self.generation += 1
        log.warning("zone regained", zone=zone)

    # Choice

    def ready_targets(self, service: ServiceName) -> list[Target]:
        """Return the targets of a service that accept new work."""
        return [
            target
            for target in self.targets.values()
            if target.service == service and self.is_ready(target)
        ]

    def is_ready(self, target: Target) -> bool:
        """Return whether a target's current entry says that it accepts new work."""
        if self.targets.get(target.id) != target:
            return False
        if self._lapsed.has_lapsed(target.id, self.drain_s):
            return False
        return target.state is TargetReadiness.READY

    def is_usable(self, target: Target) -> bool:
        """Return whether a target may take part in new work if no other can.

        A draining target stays usable for a share of the drain bound, counted from the
        earliest time at which it may have said that it leaves.
        """
        if self.is_ready(target):
            return True
        if self.targets.get(target.id) != target:
            return False
        if target.state is TargetReadiness.READY:
            return False
        return self.statements.draining_s(target) < self.drain_s * DRAIN_USE_SHARE

    def find_by_address(self, address: str) -> Target | None:
        """Return the target at an address that started last, or None."""
        matching = [
            target for target in self.targets.values() if str(target.address) == address
        ]
        return max(matching, key=lambda target: target.started_at_ms, default=None)
