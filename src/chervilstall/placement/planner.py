"""Carrying placements out: one holder of a lease gives orders to targets."""

import time
from collections.abc import Container
from dataclasses import dataclass, field

import gevent

from chervilstall.errors import ChervilstallError
from chervilstall.fleet.pruning import retain_keys
from chervilstall.fleet.records import (
    LayerRange,
    Pipeline,
    Service,
    Target,
    TargetIncarnation,
    TargetReadiness,
)
from chervilstall.fleet.view import FleetView, SuspicionKind
from chervilstall.ids import TargetId
from chervilstall.lease.holder import LeaseHolder, LeaseTerm, boot_clock_s
from chervilstall.placement.group import Holder
from chervilstall.placement.plan import Placement, plan
from chervilstall.platform.targets import PlaceOrder, fetch_report, send_order
from chervilstall.telemetry.events import EventLog

log = EventLog("planner")

TICK_S = 0.05
IDLE_S = 1.0
ASK_TIMEOUT_S = 0.5
DEAD_S = 3.0
PAUSE_S = 1.0
UNANSWERED_MAX_S = 20.0
"""Longest time that a holder goes on planning without an answer of the store."""

ARRIVAL_GAP_S = 0.8
ARRIVAL_MAX_S = 5.0
SETTLED_S = 3.0
"""Time without a change of targets after which covers are laid out anew."""

REST_S = 1.0
ORDER_BEGUN = 202
ORDER_SLACK_S = 2.0
"""Time beyond the expected load after which an order counts as lost."""


@dataclass(frozen=True)
class PendingOrder:
    """An order that was given and is not yet seen in the target's own entry."""

    layers: LayerRange
    until_s: float


@dataclass
class PlacementPlanner:
    """Keeps the layers of every model service placed while it holds the lease."""

    fleet_view: FleetView
    lease: LeaseHolder
    orders_sent: int = 0
    _pending: dict[TargetIncarnation, PendingOrder] = field(default_factory=dict)
    _orders_begun: dict[TargetIncarnation, int] = field(default_factory=dict)
    _rest_until_s: dict[TargetIncarnation, float] = field(default_factory=dict)
    _dead_until_s: dict[TargetIncarnation, float] = field(default_factory=dict)
    _asking: set[TargetIncarnation] = field(default_factory=set)
    _targets_seen: set[TargetIncarnation] = field(default_factory=set)
    _arrived_at_s: float = field(default_factory=time.monotonic)
    _first_seen_s: float = field(default_factory=time.monotonic)
    _settled_names: set[TargetId] = field(default_factory=set)
    _settled_at_s: float = field(default_factory=time.monotonic)
    _tenure: LeaseTerm | None = None
    _stepped_at_s: float = field(default_factory=boot_clock_s)
    _generation: int = -1
    _planned_at_s: float = float("-inf")

    def run(self) -> None:
        """Plan for the life of the process; one task runs this."""
        while True:
            gevent.sleep(TICK_S)
            self.step()

    def step(self) -> None:
        """Plan once where something changed and the lease is held."""
        now_s = boot_clock_s()
        if now_s - self._stepped_at_s > PAUSE_S:
            # The process stood still; another router may have taken the lease.
            self._tenure = None
        self._stepped_at_s = now_s
        configuration = self.fleet_view.configuration
        if configuration is None or not self.fleet_view.are_targets_loaded:
            return
        is_due = time.monotonic() - self._planned_at_s > IDLE_S
        if self._generation == self.fleet_view.generation and not is_due:
            return
        tenure = self._tenure = self._present_tenure()
        if tenure is None:
            # Another router plans.
            self._pending.clear()
            self._orders_begun.clear()
            return
        self._ask_dead_again()
        if self._is_arriving():
            return
        self._generation = self.fleet_view.generation
        self._planned_at_s = time.monotonic()
        for service in configuration.services.values():
            if service.pipeline is not None:
                self._plan_service(service, service.pipeline, tenure)

    def prune(self, present: Container[TargetIncarnation]) -> None:
        """Drop what is kept of targets that are gone."""
        for kept in (
            self._pending,
            self._orders_begun,
            self._rest_until_s,
            self._dead_until_s,
        ):
            retain_keys(kept, present)
        self._targets_seen = {
            incarnation for incarnation in self._targets_seen if incarnation in present
        }

    @property
    def is_planning(self) -> bool:
        """Return whether this router planned at its last step."""
        return self._tenure is not None

    def handle_suspicion(
        self, target: Target, doubt: SuspicionKind = SuspicionKind.SILENT
    ) -> None:
        """Look into a target that a router suspects, where this router plans.

        A silent target is asked, since it may only be out of that router's reach.
        One that refuses has said so itself.
        """
        if self._tenure is None or target.incarnation in self._asking:
            return
        if target.incarnation in self._pending:
            # It was told to change what it holds, and refuses meanwhile.
            return
        if doubt is SuspicionKind.REFUSING:
            self._mark_dead(target)
            return
        self._asking.add(target.incarnation)
        gevent.spawn(self._ask, target)

    def _ask(self, target: Target) -> None:
        try:
            report = fetch_report(target.address, ASK_TIMEOUT_S)
        finally:
            self._asking.discard(target.incarnation)
        if report is not None:
            return
        self._mark_dead(target)

    def _mark_dead(self, target: Target) -> None:
        """Plan without a target until its entry goes or it may be asked again."""
        log.warning("target counts as dead", target=target.id)
        self._dead_until_s[target.incarnation] = time.monotonic() + DEAD_S
        self._generation = -1

    def _ask_dead_again(self) -> None:
        """Ask again those that were counted as dead for a while."""
        now_s = time.monotonic()
        for incarnation, until_s in list(self._dead_until_s.items()):
            if now_s < until_s:
                continue
            del self._dead_until_s[incarnation]
            self._generation = -1
            target = self.fleet_view.targets.get(incarnation.target_id)
            if target is not None and target.incarnation == incarnation:
                self.handle_suspicion(target)

    def _is_arriving(self) -> bool:
        """Return whether a fleet, or a zone that was cut off, is still registering.

        A plan for the first few targets of many would be a bad one for all.
        """
        now_s = time.monotonic()
        targets = self.fleet_view.targets.values()
        is_new_fleet = not any(len(target.layers) for target in targets)
        for target in targets:
            is_new = target.incarnation not in self._targets_seen
            if is_new and (is_new_fleet or len(target.layers)):
                self._arrived_at_s = now_s
        self._targets_seen = {target.incarnation for target in targets}
        if is_new_fleet and now_s - self._first_seen_s > ARRIVAL_MAX_S:
            return False
        return now_s - self._arrived_at_s < ARRIVAL_GAP_S

    def _present_tenure(self) -> LeaseTerm | None:
        """Return the tenure under which orders may be given now.

        While the store answers nobody, no other router can take the lease. The last
        holder then goes on: each order names the count of orders that its target
        must have begun, so that an order that comes late or twice is refused.
        """
        try:
            return self.lease.check()
        except ChervilstallError:
            if self._tenure is None or not self.lease.is_unanswered:
                return None
            if self.lease.unanswered_s() > UNANSWERED_MAX_S:
                return None
            return self._tenure

    def _plan_service(
        self, service: Service, pipeline: Pipeline, tenure: LeaseTerm
    ) -> None:
        targets = {
            target.id: target
            for target in self.fleet_view.targets.values()
            if target.service == service.name
            and target.state is TargetReadiness.READY
            and target.incarnation not in self._dead_until_s
            and target.accelerator in pipeline.accelerators
            and self._rest_until_s.get(target.incarnation, 0.0) < time.monotonic()
        }
        holders = [
            Holder(
                target.id,
                target.zone,
                pipeline.accelerators[target.accelerator].memory_mb,
                self._held(target),
            )
            for target in targets.values()
        ]
        is_settled = not self._pending and self._is_settled(set(targets))
        changes = plan(pipeline, holders, is_settled)
        for placement in changes:
            target = targets[placement.target]
            if placement.layers == self._held(target):
                continue
            self._remember(target, placement, pipeline, len(changes))
            gevent.spawn(self._order, target, placement, tenure)

    def _is_settled(self, names: set[TargetId]) -> bool:
        """Return whether the same targets have been there for some time."""
        now_s = time.monotonic()
        if names != self._settled_names:
            self._settled_names = names
            self._settled_at_s = now_s
        return now_s - self._settled_at_s > SETTLED_S

    def _held(self, target: Target) -> LayerRange:
        """Return what a target holds, or will hold by the last order."""
        pending = self._pending.get(target.incarnation)
        if pending is None:
            return target.layers
        is_over = time.monotonic() > pending.until_s
        if is_over or pending.layers == target.layers:
            del self._pending[target.incarnation]
            return target.layers
        return pending.layers

    def _remember(
        self, target: Target, placement: Placement, pipeline: Pipeline, loads: int
    ) -> None:
        rounds = max(1.0, loads / pipeline.loads_at_once)
        share = len(placement.layers) / pipeline.layers
        load_s = pipeline.load_s * share * rounds
        until_s = time.monotonic() + load_s + ORDER_SLACK_S
        self._pending[target.incarnation] = PendingOrder(placement.layers, until_s)

    def _order(self, target: Target, placement: Placement, tenure: LeaseTerm) -> None:
        if self._present_tenure() is None:
            log.warning("order not given", target=target.id, why="lease lost")
            return
        orders_begun = self._count_orders(target)
        if orders_begun is None:
            self._give_up(target)
            return
        order = PlaceOrder(placement.layers, orders_begun, tenure.epoch)
        self.orders_sent += 1
        answer = send_order(target.address, order)
        log.info(
            "order given",
            target=target.id,
            first=placement.layers.first,
            end=placement.layers.end,
            expected_orders=orders_begun,
            fence=tenure.epoch,
            status=answer.status,
            text=answer.text,
        )
        if answer.status == ORDER_BEGUN:
            self._orders_begun[target.incarnation] = orders_begun + 1
        elif answer.status == 0:
            # The order may be carried out, now or later.
            self._orders_begun.pop(target.incarnation, None)
        elif not answer.is_accepted:
            self._give_up(target)

    def _count_orders(self, target: Target) -> int | None:
        """Return how many orders a target began, asking it where that is not known."""
        known = self._orders_begun.get(target.incarnation)
        if known is not None:
            return known
        report = fetch_report(target.address)
        if report is None:
            self._mark_dead(target)
            return None
        self._orders_begun[target.incarnation] = report.orders_begun
        return report.orders_begun

    def _give_up(self, target: Target) -> None:
        """Leave a target alone for a while after an order that it refused."""
        self._pending.pop(target.incarnation, None)
        self._orders_begun.pop(target.incarnation, None)
        self._rest_until_s[target.incarnation] = time.monotonic() + REST_S
