"""How many tokens of requests a service's targets hold, and how many are in use."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Protocol

from chervilstall.clock import Clock
from chervilstall.fleet.records import (
    Service,
    Target,
    TargetIncarnation,
    TargetReadiness,
)
from chervilstall.ids import ServiceName
from chervilstall.paths.capacity import token_capacity
from chervilstall.paths.choice import PathChooser

REFRESH_S = 0.1
"""Shortest time between two sums over all targets, which take most of the time."""

REPORT_AGE_MAX_S = 2.0
"""Age from which the figures of other routers are not used."""


class ReportedLoads(Protocol):
    """What other routers say about the load that they put on targets."""

    @property
    def covered_routers(self) -> int:
        """Return the number of other routers that fresh figures stand for."""

    @property
    def age_s(self) -> float:
        """Return the age of the oldest figure used."""

    def tokens(self, incarnation: TargetIncarnation) -> float:
        """Return the tokens that other routers have in flight at a target."""


@dataclass(frozen=True)
class RoomEstimate:
    """Tokens of requests that the targets of a service hold and that are in use.

    `used_tokens` includes the requests of routers that don't report, as many as of
    those that do. `sharers` is the number of running routers, `reporting` the number of
    other ones whose figures are known, and `age_s` the age of the oldest of them.
    """

    capacity_tokens: float
    used_tokens: float
    sharers: int
    age_s: float
    reporting: int = 0

    @property
    def share_tokens(self) -> float:
        """Return the capacity divided by the number of routers."""
        return self.capacity_tokens / self.sharers

    @property
    def free_tokens(self) -> float:
        """Return the tokens that are not in use."""
        return max(0.0, self.capacity_tokens - self.used_tokens)


@dataclass(frozen=True)
class _LayerHolders:
    """The targets that hold one layer, and the tokens that fit there together."""

    capacity_tokens: float
    incarnations: tuple[TargetIncarnation, ...]


@dataclass
class _Sums:
    """Sums over the targets of one service, and what they were made from."""

    generation: int = -1
    layers: tuple[_LayerHolders, ...] = ()
    capacity_tokens: float = 0.0
    reported_tokens: float = 0.0
    refreshed_at_s: float = float("-inf")


def _no_own_tokens(service: ServiceName) -> float:
    return 0.0


@dataclass
class RoomView:
    """Estimates the room of services from the fleet view and the reports of routers.

    `own_tokens` returns the tokens of this router's requests in flight. Without
    `peer_loads`, no other router reports.
    """

    chooser: PathChooser
    own_tokens: Callable[[ServiceName], float] = _no_own_tokens
    peer_loads: ReportedLoads | None = None
    clock: Clock = time.monotonic
    _sums: dict[ServiceName, _Sums] = field(default_factory=dict)

    def estimate(self, service: Service) -> RoomEstimate:
        """Return the room of a model service; the capacity is 0 if it isn't known."""
        sums = self._sums.setdefault(service.name, _Sums())
        sharers = max(1, self.chooser.router_count)
        reporting, age_s = self._reports(sharers)
        now_s = self.clock()
        if now_s - sums.refreshed_at_s >= REFRESH_S:
            sums.refreshed_at_s = now_s
            self._refresh(service, sums, reporting)
        own_tokens = self.own_tokens(service.name)
        known_tokens = own_tokens + (sums.reported_tokens if reporting else 0.0)
        used_tokens = known_tokens * sharers / (1 + reporting)
        return RoomEstimate(
            sums.capacity_tokens, used_tokens, sharers, age_s, reporting
        )

    def _reports(self, sharers: int) -> tuple[int, float]:
        """Return how many other routers report, and the age of their figures."""
        if self.peer_loads is None:
            return 0, 0.0
        age_s = self.peer_loads.age_s
        if age_s > REPORT_AGE_MAX_S:
            return 0, age_s
        return min(self.peer_loads.covered_routers, sharers - 1), age_s

    def _refresh(self, service: Service, sums: _Sums, reporting: int) -> None:
        generation = self.chooser.fleet_view.generation
        if sums.generation != generation:
            sums.generation = generation
            sums.layers = self._holders_by_layer(service)
            sums.capacity_tokens = min(
                (layer.capacity_tokens for layer in sums.layers), default=0.0
            )
        sums.reported_tokens = 0.0
        if reporting and self.peer_loads is not None:
            tokens = self.peer_loads.tokens
            # Targets may hold a layer without running it, so the lowest sum is nearest.
            sums.reported_tokens = min(
                (sum(map(tokens, layer.incarnations)) for layer in sums.layers),
                default=0.0,
            )

    def _holders_by_layer(self, service: Service) -> tuple[_LayerHolders, ...]:
        """Return the holders of each range of layers that the same targets hold."""
        pipeline = service.pipeline
        assert pipeline is not None
        targets = [
            target
            for target in self.chooser.fleet_view.targets.values()
            if target.service == service.name and self._is_usable(target)
        ]
        capacities = {target.id: token_capacity(pipeline, target) for target in targets}
        boundaries = {0, pipeline.layers}
        for target in targets:
            boundaries.update((target.layers.first, target.layers.end))
        layers: list[_LayerHolders] = []
        for first, end in pairwise(sorted(boundaries)):
            if first < 0 or end > pipeline.layers:
                continue
            holders = [
                target
                for target in targets
                if target.layers.first <= first and end <= target.layers.end
            ]
            layers.append(
                _LayerHolders(
                    sum(capacities[target.id] for target in holders),
                    tuple(target.incarnation for target in holders),
                )
            )
        return tuple(layers)

    def _is_usable(self, target: Target) -> bool:
        # A draining target takes no request as a later stage of a path.
        is_ready = target.state is TargetReadiness.READY
        return is_ready and not self.chooser.fleet_view.is_suspected(target)
