"""What this router tells the others: the load that its own requests put on targets."""

import random
import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from itertools import pairwise

from chervilstall.edge.loads.keys import target_key
from chervilstall.edge.loads.messages import (
    DEMAND_MAX,
    FIGURE_MAX,
    FORMAT,
    PREFILL_UNIT_MS,
    TOKENS_UNIT,
    ClassDemand,
    LoadMessage,
)
from chervilstall.fleet.records import TargetIncarnation
from chervilstall.ids import VmId
from chervilstall.paths.load import LoadTracker
from chervilstall.paths.peer_loads import NO_LOAD, TargetLoad

FULL_EVERY = 4
"""Messages from one full copy to the next."""

DEMAND_INTERVAL_S = 0.9
"""Least time between two messages with demand, which counts the last second."""


@dataclass
class LoadReporter:
    """Builds the messages of one run of a router.

    Between full copies a message names the targets whose load has changed.
    """

    vm: VmId
    load: LoadTracker
    run: int = field(default_factory=lambda: random.getrandbits(48))
    _sequence: int = 0
    _sent: dict[int, TargetLoad] = field(default_factory=dict)
    _demand_at_s: float = float("-inf")

    def next_message(self) -> LoadMessage:
        """Return the next message; it has to be sent."""
        is_full = self._sequence % FULL_EVERY == 0
        loads = {
            target_key(incarnation): load
            for incarnation, load in self.current_loads().items()
        }
        named = loads if is_full else _changes(self._sent, loads)
        self._sent = loads
        self._sequence += 1
        demand = self._next_demand(is_full)
        return build_message(self.vm, self.run, self._sequence, is_full, named, demand)

    def current_loads(self) -> dict[TargetIncarnation, TargetLoad]:
        """Return the load on each target, in the units of the messages."""
        load = self.load
        backlogs_s = load.prefill_backlogs_s()
        refusals = load.refusals.counts()
        loads: dict[TargetIncarnation, TargetLoad] = {}
        for incarnation in {*load.requests, *backlogs_s, *refusals}:
            tokens = round(load.tokens.get(incarnation, 0.0) / TOKENS_UNIT)
            prefill = round(backlogs_s.get(incarnation, 0.0) * 1e3 / PREFILL_UNIT_MS)
            target_load = TargetLoad(
                _bounded(tokens) * TOKENS_UNIT,
                _bounded(load.requests.get(incarnation, 0)),
                _bounded(prefill) * PREFILL_UNIT_MS,
                _bounded(refusals.get(incarnation, 0)),
            )
            if target_load != NO_LOAD:
                loads[incarnation] = target_load
        return loads

    def _next_demand(self, is_full: bool) -> list[ClassDemand] | None:
        """Return the demand of all classes, or of the largest if there are many.

        None says that the last one was sent just before.
        """
        now_s = time.monotonic()
        if not is_full and now_s < self._demand_at_s + DEMAND_INTERVAL_S:
            return None
        self._demand_at_s = now_s
        counts = self.load.demand.counts()
        largest = sorted(counts, key=lambda each: -counts[each])[:DEMAND_MAX]
        return [
            ClassDemand(each.priority, each.workspace, _bounded(counts[each]))
            for each in largest
        ]


def build_message(
    vm: VmId,
    run: int,
    sequence: int,
    is_full: bool,
    loads: Mapping[int, TargetLoad],
    demand: list[ClassDemand] | None,
    routers: int = 1,
    age_s: float = 0.0,
) -> LoadMessage:
    """Return a message that is sent now, with loads by the keys of targets."""
    keys = sorted(loads)
    figures = [loads[key] for key in keys]
    return LoadMessage(
        FORMAT,
        vm,
        run,
        sequence,
        int(time.monotonic() * 1e3),
        is_full,
        [later - earlier for earlier, later in pairwise([0, *keys])],
        [each.requests for each in figures],
        [each.tokens // TOKENS_UNIT for each in figures],
        [each.prefill_ms // PREFILL_UNIT_MS for each in figures],
        [each.refusals for each in figures],
        demand,
        routers,
        int(age_s * 1e3),
    )


def _bounded(figure: int) -> int:
    return min(max(0, figure), FIGURE_MAX)


def _changes(
    before: Mapping[int, TargetLoad], now: Mapping[int, TargetLoad]
) -> dict[int, TargetLoad]:
    changes = {key: load for key, load in now.items() if before.get(key) != load}
    changes.update((key, NO_LOAD) for key in before.keys() - now.keys())
    return changes
