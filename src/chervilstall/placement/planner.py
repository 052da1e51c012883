"""The planner that places model layers by sending orders to targets.

One router plans at a time: the one that holds the lease.
"""

import time
from collections.abc import Callable, Container
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
from chervilstall.fleet.suspicion import SuspicionKind
from chervilstall.fleet.view import FleetView
from chervilstall.ids import TargetId
from chervilstall.lease.holder import LeaseHolder, LeaseTerm, boot_clock_s
from chervilstall.placement.group import LayerHolder
from chervilstall.placement.plan import LayerAssignment, plan
from chervilstall.platform.targets import (
    NoReport,
    PlaceOrder,
    TargetReport,
    fetch_report,
    send_order,
)
from chervilstall.telemetry.events import EventLog

log = EventLog("planner")

TICK_S = 0.05
REPLAN_S = 1.0
PROBE_TIMEOUT_S = 0.5
DEAD_S = 3.0
"""Time after which a target that counts as dead is checked again."""

PAUSE_S = 1.0
"""Time between two steps above which the process must have been paused."""

UNANSWERED_MAX_S = 20.0
"""Longest time that the holder goes on planning without an answer from the store."""

ARRIVAL_GAP_S = 0.8
"""Time without a new target after which the targets count as registered."""

ARRIVAL_MAX_S = 5.0
"""Longest time that a new fleet is waited for."""

SETTLED_S = 3.0
"""Time without a change of targets after which groups are rebalanced."""

BACKOFF_S = 1.0
STATUS_ORDER_BEGUN = 202
ORDER_SLACK_S = 2.0
"""Time beyond the expected load time after which an order counts as lost."""


@dataclass(frozen=True)
class PendingOrder:
    """An order that was sent and does not show in the target's own entry yet.

    After `until_s`, a time of the monotonic clock, it counts as lost.
    """

    layers: LayerRange
    until_s: float


@dataclass
class PlacementPlanner:
    """Keeps the layers of every model placed on its targets while it holds the lease.

    `on_silence` is called with a target that does not respond to this router.
    `orders_sent` counts the orders sent. Each order names how many orders its target
    must have begun so far, so that a target refuses one that is late or repeated.
    """

    fleet_view: FleetView
    lease: LeaseHolder
    on_silence: Callable[[Target], object] = lambda target: None
    orders_sent: int = 0
    _pending: dict[TargetIncarnation, PendingOrder] = field(default_factory=dict)
    _orders_begun: dict[TargetIncarnation, int] = field(default_factory=dict)
    _backoff_until_s: dict[TargetIncarnation, float] = field(default_factory=dict)
    _dead_until_s: dict[TargetIncarnation, float] = field(default_factory=dict)
    _probing: set[TargetIncarnation] = field(default_factory=set)
    _known_incarnations: set[TargetIncarnation] = field(default_factory=set)
    _last_arrival_s: float = field(default_factory=time.monotonic)
    _first_seen_s: float = field(default_factory=time.monotonic)
    _settled_targets: set[TargetId] = field(default_factory=set)
    _targets_changed_at_s: float = field(default_factory=time.monotonic)
    _term: LeaseTerm | None = None
    _stepped_at_s: float = field(default_factory=boot_clock_s)
    _planned_generation: int = -1
    _planned_at_s: float = float("-inf")

    def run(self) -> None:
        """Plan until the process ends; one task runs this."""
        while True:
            gevent.sleep(TICK_S)
            self.step()

    def step(self) -> None:
        """Plan once if the lease is held and something changed or a plan is due."""
        now_s = boot_clock_s()
        if now_s - self._stepped_at_s > PAUSE_S:
            # The process was paused; another router may have taken the lease.
            self._term = None
        self._stepped_at_s = now_s
        configuration = self.fleet_view.configuration
        if configuration is None or not self.fleet_view.are_targets_loaded:
            return
        is_due = time.monotonic() - self._planned_at_s > REPLAN_S
        if self._planned_generation == self.fleet_view.generation and not is_due:
            return
        term = self._term = self._current_term()
        if term is None:
            # The lease is not held; another router plans.
            self._pending.clear()
            self._orders_begun.clear()
            return
        self._recheck_dead()
        if self._is_registering():
            return
        self._planned_generation = self.fleet_view.generation
        self._planned_at_s = time.monotonic()
        for service in configuration.services.values():
            if service.pipeline is not None:
                self._plan_service(service, service.pipeline, term)

    def prune(self, present: Container[TargetIncarnation]) -> None:
        """Drop the state of targets that are not in `present`."""
        for state in (
            self._pending,
            self._orders_begun,
            self._backoff_until_s,
            self._dead_until_s,
        ):
            retain_keys(state, present)
        self._known_incarnations = {
            incarnation
            for incarnation in self._known_incarnations
            if incarnation in present
        }

    @property
    def is_planning(self) -> bool:
        """Return whether this router held the lease when it last checked."""
        return self._term is not None

    def stand_down(self) -> None:
        """Stop planning, and forget what this router took for dead.

        Call this when it reaches no target; the orders that it would give are wrong.
        """
        self._term = None
        self._planned_generation = -1
        self._dead_until_s.clear()

    def handle_suspicion(
        self, target: Target, kind: SuspicionKind = SuspicionKind.SILENT
    ) -> None:
        """Check a target that a router suspects; does nothing unless this one plans.

        A target that refuses work counts as dead at once, since it said so itself. Any
        other is asked for a report first, since it may only be unreachable from the
        router that suspects it.
        """
        if self._term is None or target.incarnation in self._probing:
            return
        if target.incarnation in self._pending:
            # It refuses work because it is carrying out an order.
            return
        if kind is SuspicionKind.REFUSING:
            self._mark_dead(target)
            return
        self._probing.add(target.incarnation)
        gevent.spawn(self._probe, target)

    def _probe(self, target: Target) -> None:
        try:
            report = fetch_report(target, PROBE_TIMEOUT_S)
        finally:
            self._probing.discard(target.incarnation)
        self._check_report(target, report)

    def _check_report(
        self, target: Target, report: TargetReport | NoReport | None
    ) -> None:
        """Plan without a target that gave no report, or whose address has another."""
        match report:
            case None:
                self._mark_dead(target)
                self.on_silence(target)
            case NoReport.MISDIRECTED:
                self._mark_dead(target)

    def _mark_dead(self, target: Target) -> None:
        """Plan without a target until its entry is gone or DEAD_S has passed."""
        log.warning("target counts as dead", target=target.id)
        self._dead_until_s[target.incarnation] = time.monotonic() + DEAD_S
        self._planned_generation = -1

    def _recheck_dead(self) -> None:
        """Check again the targets that have counted as dead for DEAD_S."""
        now_s = time.monotonic()
        for incarnation, until_s in list(self._dead_until_s.items()):
            if now_s < until_s:
                continue
            del self._dead_until_s[incarnation]
            self._planned_generation = -1
            target = self.fleet_view.targets.get(incarnation.target_id)
            if target is not None and target.incarnation == incarnation:
                self.handle_suspicion(target)

    def _is_registering(self) -> bool:
        """Return whether a new fleet, or a zone that was cut off, is still registering.

        A plan for the first few of many targets would be a bad one for all of them.
        """
        now_s = time.monotonic()
        targets = self.fleet_view.targets.values()
        is_new_fleet = not any(len(target.layers) for target in targets)
        for target in targets:
            is_new = target.incarnation not in self._known_incarnations
            if is_new and (is_new_fleet or len(target.layers)):
                self._last_arrival_s = now_s
        self._known_incarnations = {target.incarnation for target in targets}
        if is_new_fleet and now_s - self._first_seen_s > ARRIVAL_MAX_S:
            return False
        return now_s - self._last_arrival_s < ARRIVAL_GAP_S

    def _current_term(self) -> LeaseTerm | None:
        """Return the lease term under which orders may be sent now, or None.

        While the store answers nobody, no other router can take the lease, so the last
        holder goes on for up to UNANSWERED_MAX_S. Each order names the number of orders
        that its target must have begun, so a late or repeated order is refused.
        """
        try:
            return self.lease.check()
        except ChervilstallError:
            if self._term is None or not self.lease.is_unanswered:
                return None
            if self.lease.unanswered_s() > UNANSWERED_MAX_S:
                return None
            return self._term

    def _plan_service(
        self, service: Service, pipeline: Pipeline, term: LeaseTerm
    ) -> None:
        targets = {
            target.id: target
            for target in self.fleet_view.targets.values()
            if target.service == service.name
            and target.state is TargetReadiness.READY
            and target.incarnation not in self._dead_until_s
            and target.accelerator in pipeline.accelerators
        }
        holders = [self._describe(target, pipeline) for target in targets.values()]
        is_settled = not self._pending and self._is_settled(set(targets))
        assignments = plan(pipeline, holders, is_settled)
        loads = len(self._pending) + len(assignments)
        for assignment in assignments:
            target = targets[assignment.target_id]
            if assignment.layers == self._assigned_layers(target):
                continue
            self._add_pending(target, assignment, pipeline, loads)
            gevent.spawn(self._send_order, target, assignment, term)

    def _describe(self, target: Target, pipeline: Pipeline) -> LayerHolder:
        """Describe a target to the plan.

        One that carries out an order, or has just refused one, takes no other now.
        """
        layers = self._assigned_layers(target)
        is_loading = target.incarnation in self._pending
        backoff_until_s = self._backoff_until_s.get(target.incarnation, 0.0)
        return LayerHolder(
            target.id,
            target.zone,
            pipeline.accelerators[target.accelerator].memory_mb,
            layers,
            is_loading,
            is_busy=is_loading or time.monotonic() < backoff_until_s,
        )

    def _is_settled(self, target_ids: set[TargetId]) -> bool:
        """Return whether the set of targets has been the same for SETTLED_S."""
        now_s = time.monotonic()
        if target_ids != self._settled_targets:
            self._settled_targets = target_ids
            self._targets_changed_at_s = now_s
        return now_s - self._targets_changed_at_s > SETTLED_S

    def _assigned_layers(self, target: Target) -> LayerRange:
        """Return the layers that a target holds, or will hold after a pending order."""
        pending = self._pending.get(target.incarnation)
        if pending is None:
            return target.layers
        is_lost = time.monotonic() > pending.until_s
        if is_lost or pending.layers == target.layers:
            del self._pending[target.incarnation]
            return target.layers
        return pending.layers

    def _add_pending(
        self,
        target: Target,
        assignment: LayerAssignment,
        pipeline: Pipeline,
        loads: int,
    ) -> None:
        rounds = max(1.0, loads / pipeline.loads_at_once)
        share = len(assignment.layers) / pipeline.layers
        load_s = pipeline.load_s * share * rounds
        until_s = time.monotonic() + load_s + ORDER_SLACK_S
        self._pending[target.incarnation] = PendingOrder(assignment.layers, until_s)

    def _send_order(
        self, target: Target, assignment: LayerAssignment, term: LeaseTerm
    ) -> None:
        if self._current_term() is None:
            log.warning("order not given", target=target.id, why="lease lost")
            return
        orders_begun = self._fetch_orders_begun(target)
        if orders_begun is None:
            self._back_off(target)
            return
        order = PlaceOrder(assignment.layers, orders_begun, term.epoch)
        self.orders_sent += 1
        answer = send_order(target, order)
        log.info(
            "order given",
            target=target.id,
            first=assignment.layers.first,
            end=assignment.layers.end,
            expected_orders=orders_begun,
            fence=term.epoch,
            status=answer.status,
            text=answer.text,
        )
        if answer.status == STATUS_ORDER_BEGUN:
            self._orders_begun[target.incarnation] = orders_begun + 1
        elif answer.status == 0:
            # No answer: the target may still carry the order out, even later.
            self._orders_begun.pop(target.incarnation, None)
        elif not answer.is_accepted:
            self._back_off(target)
        if answer.is_misdirected:
            self._mark_dead(target)

    def _fetch_orders_begun(self, target: Target) -> int | None:
        """Return how many orders a target has begun, asking it if that is not known.

        A target that gives no report counts as dead, as one whose address belongs to
        another target does, and the result is None.
        """
        known = self._orders_begun.get(target.incarnation)
        if known is not None:
            return known
        report = fetch_report(target)
        if not isinstance(report, TargetReport):
            self._check_report(target, report)
            return None
        self._orders_begun[target.incarnation] = report.orders_begun
        return report.orders_begun

    def _back_off(self, target: Target) -> None:
        """Leave a target alone for BACKOFF_S after a failed order."""
        self._pending.pop(target.incarnation, None)
        self._orders_begun.pop(target.incarnation, None)
        self._backoff_until_s[target.incarnation] = time.monotonic() + BACKOFF_S
