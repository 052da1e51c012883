"""The planner process: plans and executes steps while it holds a lease."""

import time
from dataclasses import dataclass, field

import gevent
import gevent.pool
from gevent.event import Event

from chervilstall.clock import Clock
from chervilstall.configuration.tree import Tree
from chervilstall.configuration.treefile import document_text
from chervilstall.configuration.writer import ConfigurationStore, ProposedChange
from chervilstall.errors import ChervilstallError
from chervilstall.ids import TargetId, new_change_id
from chervilstall.lease.holder import LeaseHolder, LeaseState, LeaseTerm, boot_clock_s
from chervilstall.planner.plan import (
    AssignVersion,
    LoadModel,
    ServeVersion,
    Step,
    plan_steps,
)
from chervilstall.settings.agents import PlannerSettings, StoreSettings
from chervilstall.settings.connections import TargetSettings
from chervilstall.settings.documents import TargetDocument, TargetKind
from chervilstall.settings.ini import parse_ini
from chervilstall.settings.leases import LeaseSettings
from chervilstall.settings.problems import InvalidSettings, SettingsErrorCollector
from chervilstall.settings.processes import VmSettings
from chervilstall.store.contract import Store
from chervilstall.target.contract import FencedOrder, OrderKind, TargetState
from chervilstall.target.engine_client import HttpEngineClient
from chervilstall.telemetry.logs import ComponentLog

log = ComponentLog("planner")

LEASE_NAME = "planner"
POLLS_MAX = 64
"""Engines polled concurrently."""

SECONDS_PER_MINUTE = 60.0
AUTHOR = "planner"


@dataclass(frozen=True)
class PlannerProcessSettings:
    """The settings sections of the planner process."""

    vm: VmSettings
    store: StoreSettings = StoreSettings()
    lease: LeaseSettings = LeaseSettings()
    planner: PlannerSettings = PlannerSettings()


@dataclass
class LoadRateLimiter:
    """Spaces out model loads, since the store of model weights is rate-limited.

    `clock` returns seconds.
    """

    loads_per_minute: float
    clock: Clock = time.monotonic
    _next_at_s: float = field(default=float("-inf"))

    def try_start(self) -> bool:
        """Return whether a load may start now; if so, count it."""
        now_s = self.clock()
        if now_s < self._next_at_s:
            return False
        self._next_at_s = now_s + SECONDS_PER_MINUTE / self.loads_per_minute
        return True


class Planner:
    """Plans and executes steps while it holds the planner's lease.

    The lease is checked before every effect. Targets that check fencing tokens refuse
    orders that a paused planner sends after it lost the lease. For targets that do
    not, a new lease holder waits `order_life_s`, until no order of its predecessor
    can be in transit.
    """

    def __init__(self, settings: PlannerProcessSettings, store: Store) -> None:
        self.settings = settings
        self.configuration = ConfigurationStore(store)
        self.engines = HttpEngineClient(TargetSettings())
        self.lease = LeaseHolder(store, LEASE_NAME, settings.vm.vm, settings.lease)
        self.load_limiter = LoadRateLimiter(settings.planner.loads_per_minute)
        self.orders_sent = 0
        self._lease_term: LeaseTerm | None = None
        self._mismatches_since: dict[TargetId, tuple[TargetDocument, float]] = {}
        self._unfenced_from_s = float("inf")
        self._stopped = Event()

    def run(self) -> None:
        """Contend for the lease and run planning rounds until `stop` is called."""
        renewing = gevent.spawn(self.lease.run)
        while not self._stopped.is_set():
            try:
                self.run_round()
            except (ChervilstallError, InvalidSettings) as error:
                log.info("Planning round aborted: %s.", error)
            self._stopped.wait(self.settings.planner.interval_s)
        self.lease.stop()
        renewing.kill(block=False)

    def stop(self) -> None:
        """End `run` after the current planning round."""
        self._stopped.set()

    def run_round(self) -> None:
        """Run one planning round if this process holds the lease."""
        if self.lease.state() is not LeaseState.HELD:
            self._lease_term = None
            return
        self._update_lease_term(self.lease.check())
        tree = self.configuration.read_tree(self.configuration.read_head().head)
        states = self.read_states(tree)
        for step in plan_steps(tree, states):
            self._execute(step, tree)

    def _update_lease_term(self, lease_term: LeaseTerm) -> None:
        if lease_term == self._lease_term:
            return
        self._lease_term = lease_term
        wait_s = self.settings.planner.order_life_s if lease_term.epoch > 1 else 0.0
        self._unfenced_from_s = boot_clock_s() + wait_s
        log.info("Started planning in lease epoch %d.", lease_term.epoch)

    def read_states(self, tree: Tree) -> dict[TargetId, TargetState]:
        """Return the state of each engine, without those that did not answer."""
        pool = gevent.pool.Pool(POLLS_MAX)
        tasks: dict[TargetId, gevent.Greenlet] = {}
        for name, document in tree.targets().items():
            if document.kind is TargetKind.ENGINE:
                tasks[name] = pool.spawn(self.engines.fetch_state, document.address)
        pool.join()
        states = {}
        for name, task in tasks.items():
            if task.value is not None:
                states[name] = task.value
        return states

    def _execute(self, step: Step, tree: Tree) -> None:
        match step:
            case LoadModel(target, document):
                self._send_load_order(target, document)
            case AssignVersion(target, version):
                self._change_document(f"targets/{target}", tree, version=version)
            case ServeVersion(workspace, pipeline, version):
                path = f"workspaces/{workspace}/pipelines/{pipeline}"
                self._change_document(path, tree, version=version, next_version="")

    def _send_load_order(self, target: TargetId, document: TargetDocument) -> None:
        if not document.checks_fencing and boot_clock_s() < self._unfenced_from_s:
            return
        if not self._has_settled(target, document):
            return
        load = self.engines.fetch_load(document.address)
        if load is None or load.in_flight or load.waiting:
            # Wait for its requests to end; routers send it no new ones.
            return
        if not self.load_limiter.try_start():
            return
        lease_term = self.lease.check()
        order = FencedOrder(
            fence=lease_term.epoch,
            kind=OrderKind.LOAD,
            model=document.model,
            version=document.version,
            adapters=document.adapters,
            first_layer=document.first_layer,
            end_layer=document.end_layer,
            secret=self._secret(document),
        )
        if self.engines.send_order(document.address, order):
            self.orders_sent += 1
            log.info("Ordered target %s to load version %s.", target, document.version)

    def _has_settled(self, target: TargetId, document: TargetDocument) -> bool:
        """Return whether routers have had time to stop using a target.

        The time counts from the first round that found the target's state different
        from its present document.
        """
        mismatch = self._mismatches_since.get(target)
        if mismatch is None or mismatch[0] != document:
            self._mismatches_since[target] = (document, boot_clock_s())
            return self.settings.planner.settle_s <= 0.0
        return boot_clock_s() - mismatch[1] >= self.settings.planner.settle_s

    def _secret(self, document: TargetDocument) -> str:
        # Only targets that check the secret receive it; others might leak it.
        if not document.authenticates_orders:
            return ""
        return self.settings.planner.order_secret

    def _change_document(self, path: str, tree: Tree, **changes: str) -> None:
        self.lease.check()
        sections = parse_ini(tree.texts[path], SettingsErrorCollector(path))
        text = ""
        for section, old_options in sections.items():
            new_options = {**old_options, **changes}
            set_options = {name: value for name, value in new_options.items() if value}
            text += document_text(section, set_options)
        proposed = ProposedChange(new_change_id(), path, text, AUTHOR, tree.revision)
        revision = self.configuration.accept(proposed)
        log.info("Changed %s in revision %d.", path, revision)
