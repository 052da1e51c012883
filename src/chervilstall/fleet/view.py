"""The present belief about configuration and targets, with the age of each part."""

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from enum import Enum

from gevent.event import Event

from chervilstall.fleet.records import (
    LayerRange,
    RouterConfiguration,
    Target,
    TargetIncarnation,
    TargetReadiness,
)
from chervilstall.ids import ServiceName, TargetId, ZoneName
from chervilstall.telemetry.events import EventLog

log = EventLog("fleet")

DRAIN_USE_SHARE = 0.5
"""Share of the drain bound during which a leaving target may still begin a path."""

LAPSE_SHARE = 0.8
"""Share of the drain bound that a target gets to register again after an outage."""

SUSPICION_S = 4.0
"""Longest time a target is avoided on one failure without a later sign of life."""

SUSPICION_MAX_S = 30.0
BLIND_SUSPICION_S = 10.0
"""The same while entries cannot be followed."""

OUTAGE_MEMORY_S = 0.5
"""Time after an outage in which a lost entry may only have lapsed meanwhile."""

SLOW_FROM = 1.5
"""Pass time against the usual one from which a target counts as slow."""

SLOW_STEP = 0.5


class SuspicionKind(Enum):
    """Why a target is avoided: no answer, refusals, or others that wait for it."""

    SILENT = "silent"
    REFUSING = "refusing"
    STALLING = "stalling"


@dataclass
class Suspicion:
    """Why and until when a target is avoided. `until_s` is in monotonic seconds."""

    kind: SuspicionKind
    until_s: float


@dataclass
class FleetView:
    """What this process holds to be true of the fleet.

    Configurations never go back to a lower version. `generation` grows with every
    change that may alter a choice of targets, so that choices can be kept until then.
    `loaded` is set once a configuration and the targets have been read.
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
    on_suspicion: Callable[[Target, SuspicionKind], None] | None = None
    _suspicions: dict[TargetIncarnation, Suspicion] = field(default_factory=dict)
    _doubts: dict[TargetIncarnation, int] = field(default_factory=dict)
    _draining_at_s: dict[TargetIncarnation, float] = field(default_factory=dict)
    _lapsed_at_s: dict[TargetId, float] = field(default_factory=dict)
    _outage_end_s: float = float("-inf")

    # Configuration

    def apply_configuration(
        self, configuration: RouterConfiguration, revision: int
    ) -> None:
        """Put a configuration in force unless a newer one is already."""
        known = self.configuration
        if known is not None and configuration.version <= known.version:
            return
        self.configuration = configuration
        self.generation += 1
        self._note_known()
        log.info(
            "configuration in force",
            version=configuration.version,
            revision=revision,
            routes=len(configuration.routes),
        )

    # Targets

    def update_target(self, target: Target) -> None:
        """Take in what a target says of itself now."""
        known = self.targets.get(target.id)
        if known is not None and known.revision >= target.revision:
            return
        self.targets[target.id] = target
        self._lapsed_at_s.pop(target.id, None)
        self.generation += 1
        if target.state is TargetReadiness.DRAINING:
            self._draining_at_s.setdefault(target.incarnation, time.monotonic())
        else:
            self._draining_at_s.pop(target.incarnation, None)
        if known is not None and known.incarnation == target.incarnation:
            # A changed entry is a sign of life.
            self._suspicions.pop(target.incarnation, None)
            self._doubts.pop(target.incarnation, None)
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
        """Take in what a target reports to hold while its entry cannot be read.

        A report is a sign of life, so it ends a suspicion of silence. It says nothing
        of the target's links to others.
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
        """Take in how much longer a target needs for a pass than usual."""
        known = self.slowness.get(target.incarnation, 1.0)
        if slowness <= SLOW_FROM:
            if self.slowness.pop(target.incarnation, None) is not None:
                self.generation += 1
                log.info("target fast again", target=target.id)
            return
        self.slowness[target.incarnation] = slowness
        if abs(slowness - known) > SLOW_STEP:
            self.generation += 1
            log.warning("target slow", target=target.id, slowness=round(slowness, 2))

    def remove_target(self, name: TargetId) -> None:
        """Forget a target whose entry is gone.

        Entries lapse while the store is away though their targets live. Just after
        an outage a lost entry therefore counts only once it stays lost.
        """
        if name not in self.targets:
            return
        now_s = time.monotonic()
        if now_s < self._outage_end_s + OUTAGE_MEMORY_S:
            self._lapsed_at_s.setdefault(name, now_s)
            return
        self._forget(name)

    def _has_lapsed(self, name: TargetId) -> bool:
        """Return whether a target's entry has been away for too long.

        It may also have been removed because the target leaves, so the target is not
        used for longer than one that leaves may be.
        """
        lapsed_at_s = self._lapsed_at_s.get(name)
        if lapsed_at_s is None:
            return False
        return time.monotonic() - lapsed_at_s > LAPSE_SHARE * self.drain_s

    def _forget(self, name: TargetId) -> None:
        target = self.targets.pop(name)
        self._lapsed_at_s.pop(name, None)
        self._draining_at_s.pop(target.incarnation, None)
        self._suspicions.pop(target.incarnation, None)
        self._doubts.pop(target.incarnation, None)
        self.slowness.pop(target.incarnation, None)
        self.generation += 1
        log.info("target gone", target=name, address=str(target.address))

    def retain_targets(self, names: Iterable[TargetId]) -> None:
        """Drop every target that a whole reading of the store did not show."""
        present = set(names)
        for name in list(self.targets):
            if name not in present:
                self.remove_target(name)
        self.are_targets_loaded = True
        self._note_known()

    def _note_known(self) -> None:
        if self.configuration is not None and self.are_targets_loaded:
            self.loaded.set()

    def note_outage(self) -> None:
        """Remember that the store does not answer at this moment."""
        self._outage_end_s = time.monotonic()

    def begin_outage(self, since_s: float) -> None:
        """Remember the monotonic time since which entries cannot be followed."""
        self.outage_since_s = since_s

    def end_outage(self) -> None:
        """Take entries of targets as followed again."""
        self.outage_since_s = None

    def expire(self) -> None:
        """Forget lapsed targets and ended suspicions; called about once a second."""
        now_s = time.monotonic()
        for name in list(self._lapsed_at_s):
            if self._has_lapsed(name):
                self._forget(name)
        for incarnation, suspicion in list(self._suspicions.items()):
            if now_s >= suspicion.until_s:
                del self._suspicions[incarnation]
                self.generation += 1

    # Doubt

    def suspect(
        self,
        target: Target,
        reason: str,
        for_s: float = SUSPICION_S,
        shared: bool = True,
        kind: SuspicionKind = SuspicionKind.SILENT,
    ) -> bool:
        """Avoid a target for a while; True where it was not yet avoided.

        With `shared`, a long suspicion that is new is told to the other routers.
        """
        is_new = target.incarnation not in self._suspicions
        if is_new and for_s >= SUSPICION_S:
            # Without a sign of life in between, each doubt lasts longer.
            doubts = self._doubts.get(target.incarnation, 0)
            self._doubts[target.incarnation] = doubts + 1
            for_s = min(for_s * 2.0**doubts, SUSPICION_MAX_S)
        if self.outage_since_s is not None:
            # No entry can tell that the target left or is back.
            for_s = max(for_s, BLIND_SUSPICION_S)
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
        """Take a target's answer as a sign of life."""
        self._doubts.pop(target.incarnation, None)
        if self._suspicions.pop(target.incarnation, None) is not None:
            self.generation += 1
            log.info("target trusted", target=target.id)

    def is_suspected(self, target: Target) -> bool:
        """Return whether a target is avoided at present."""
        return (
            target.incarnation in self._suspicions
            or target.zone in self.unreachable_zones
        )

    def is_unresponsive(self, target: Target) -> bool:
        """Return whether a target gave no answer when it was last asked."""
        suspicion = self._suspicions.get(target.incarnation)
        is_dead = suspicion is not None and suspicion.kind is SuspicionKind.SILENT
        return is_dead or target.zone in self.unreachable_zones

    def mark_zone_unreachable(self, zone: ZoneName) -> None:
        """Avoid every target of a zone that is out of reach."""
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
        """Return the targets of a service that may get new work."""
        return [
            target
            for target in self.targets.values()
            if target.service == service and self.is_ready(target)
        ]

    def is_ready(self, target: Target) -> bool:
        """Return whether a target may get new work by its own word."""
        if self.targets.get(target.id) != target:
            return False
        if self._has_lapsed(target.id):
            return False
        return target.state is TargetReadiness.READY

    def is_usable(self, target: Target) -> bool:
        """Return whether a target may take part in new work if nothing else can.

        A target that is leaving stays usable for a part of the time that it promised
        to go on.
        """
        if self.is_ready(target):
            return True
        if self.targets.get(target.id) != target:
            return False
        if target.state is TargetReadiness.READY:
            return False
        draining_at_s = self._draining_at_s.get(target.incarnation, float("-inf"))
        return time.monotonic() - draining_at_s < self.drain_s * DRAIN_USE_SHARE

    def find_by_address(self, address: str) -> Target | None:
        """Return the newest target at an address."""
        found = [
            target for target in self.targets.values() if str(target.address) == address
        ]
        return max(found, key=lambda target: target.started_at_ms, default=None)
