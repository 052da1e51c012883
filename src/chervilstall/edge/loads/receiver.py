"""Messages of other routers, applied to what is known of their load."""

import time
from dataclasses import dataclass, field
from itertools import accumulate

from chervilstall.edge.loads.keys import TargetKeys
from chervilstall.edge.loads.messages import (
    PREFILL_UNIT_MS,
    TOKENS_UNIT,
    ClassDemand,
    LoadMessage,
)
from chervilstall.fleet.records import TargetIncarnation
from chervilstall.ids import VmId, WorkspaceName
from chervilstall.paths.peer_loads import (
    FRESH_S,
    DemandClass,
    PeerLoads,
    RouterReport,
    TargetLoad,
)

OFFSET_WINDOW_S = 20.0
"""Time over which the fastest message tells how the clocks of two routers differ.

The clock of a VM that was suspended falls behind by that time, and its messages seem
too old until two such windows have passed.
"""

PROMPT_S = 0.2
"""Longest time that a router's first message may have waited here to be used."""


@dataclass
class _Sender:
    """What is known of one run of a router.

    An offset is this router's clock at the arrival of a message minus the sender's when
    it was sent; the least one of the present and the last window is kept.
    """

    run: int
    sequence: int
    window_began_s: float
    least_offset_s: float = float("inf")
    least_offset_before_s: float = float("inf")

    def taken_at_s(self, sent_at_s: float, now_s: float) -> float:
        """Return when the figures of a message were taken, by this router's clock.

        A message that was on its way for longer than the fastest one, or was kept
        waiting here, is as much older.
        """
        if now_s - self.window_began_s > OFFSET_WINDOW_S:
            self.window_began_s = now_s
            self.least_offset_before_s = self.least_offset_s
            self.least_offset_s = float("inf")
        self.least_offset_s = min(self.least_offset_s, now_s - sent_at_s)
        return sent_at_s + min(self.least_offset_s, self.least_offset_before_s)


@dataclass
class LoadReceiver:
    """Applies messages to the figures that `peer_loads` sums.

    A router's changes are used only if none before was missed; after a gap, the next
    full copy is waited for.
    """

    vm: VmId
    peer_loads: PeerLoads
    keys: TargetKeys
    _senders: dict[VmId, _Sender] = field(default_factory=dict)

    def handle(
        self, message: LoadMessage, not_before_s: float, name: VmId | None = None
    ) -> None:
        """Apply one message, under a name other than that of the sender if given.

        It arrived after the monotonic time `not_before_s`, when no message was left
        waiting. A router's first message tells how its clock differs, so that it is
        passed over if it may have waited.
        """
        vm = name or VmId(message.vm)
        now_s = time.monotonic()
        sender = self._senders.get(vm)
        if sender is None or sender.run != message.run:
            self.peer_loads.drop(vm)
            if now_s - not_before_s > PROMPT_S:
                return
            sender = self._senders[vm] = _Sender(message.run, 0, now_s)
        is_next = message.sequence == sender.sequence + 1
        if message.sequence <= sender.sequence:
            return
        sender.sequence = message.sequence
        taken_at_s = sender.taken_at_s(message.sent_at_ms / 1e3, now_s)
        taken_at_s -= message.age_ms / 1e3
        if now_s - taken_at_s > FRESH_S or not (message.is_full or is_next):
            self.peer_loads.drop(vm)
            return
        self._apply(vm, message, taken_at_s)

    def _apply(self, vm: VmId, message: LoadMessage, taken_at_s: float) -> None:
        loads = self._loads(message)
        demand = None if message.demand is None else _demand(message.demand)
        if message.is_full:
            report = RouterReport(taken_at_s, loads, demand or {}, message.routers)
            self.peer_loads.replace(vm, report)
        else:
            self.peer_loads.update(vm, taken_at_s, loads, demand)

    def _loads(self, message: LoadMessage) -> dict[TargetIncarnation, TargetLoad]:
        """Return the loads of a message; targets not known here are left out."""
        loads: dict[TargetIncarnation, TargetLoad] = {}
        for index, key in enumerate(accumulate(message.key_steps)):
            incarnation = self.keys.find(key)
            if incarnation is None:
                continue
            loads[incarnation] = TargetLoad(
                message.tokens[index] * TOKENS_UNIT,
                message.requests[index],
                message.prefill[index] * PREFILL_UNIT_MS,
                message.refusals[index],
            )
        return loads

    def retain(self, vms: set[VmId]) -> None:
        """Forget all routers except these."""
        for vm in self._senders.keys() - vms:
            del self._senders[vm]
            self.peer_loads.drop(vm)


def _demand(classes: list[ClassDemand]) -> dict[DemandClass, int]:
    return {
        DemandClass(each.priority, _workspace(each.workspace)): each.requests
        for each in classes
    }


def _workspace(name: str | None) -> WorkspaceName | None:
    return None if name is None else WorkspaceName(name)
