"""The planner: one lease holder that carries out the plan, step by step."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
import gevent.pool
from gevent.event import Event

from chervilstall.configuration.tree import Tree
from chervilstall.configuration.treefile import document_text
from chervilstall.configuration.writer import ConfigurationStore, ProposedChange
from chervilstall.errors import ChervilstallError
from chervilstall.ids import TargetId, new_change_id
from chervilstall.lease.holder import LeaseHolder, LeaseState, LeaseTerm, boot_clock_s
from chervilstall.planner.plan import (
    AssignVersion,
    GiveOrder,
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
POLLS_AT_ONCE = 64
SECONDS_PER_MINUTE = 60.0
AUTHOR = "planner"


@dataclass(frozen=True)
class PlannerProcessSettings:
    """The planner's sections, passed whole."""

    vm: VmSettings
    store: StoreSettings = StoreSettings()
    lease: LeaseSettings = LeaseSettings()
    planner: PlannerSettings = PlannerSettings()


@dataclass
class LoadPace:
    """Paces loads by the rate-limited weight store."""

    loads_per_minute: float
    clock: Callable[[], float] = time.monotonic
    _next_at_s: float = field(default=float("-inf"))

    def try_start(self) -> bool:
        """Return whether a load may start now, and count it where it may."""
        now_s = self.clock()
        if now_s < self._next_at_s:
            return False
        self._next_at_s = now_s + SECONDS_PER_MINUTE / self.loads_per_minute
        return True


class Planner:
    """Plans and carries out steps while it holds the lease.

    The lease is checked before every effect. Targets that check fencing refuse what a
    paused planner still sends; for those that don't, a new holder waits until no
    order of its predecessor can be on its way any more.
    """

    def __init__(self, settings: PlannerProcessSettings, store: Store) -> None:
        self.settings = settings
        self.configuration = ConfigurationStore(store)
        self.engines = HttpEngineClient(TargetSettings())
        self.lease = LeaseHolder(store, LEASE_NAME, settings.vm.vm, settings.lease)
        self.pace = LoadPace(settings.planner.loads_per_minute)
        self.orders_sent = 0
        self._tenure: LeaseTerm | None = None
        self._mismatches: dict[TargetId, tuple[TargetDocument, float]] = {}
        self._unfenced_from_s = float("inf")
        self._stopped = Event()

    def run(self) -> None:
        """Hold the lease and act, until `stop`."""
        renewing = gevent.spawn(self.lease.run)
        while not self._stopped.is_set():
            try:
                self.run_round()
            except (ChervilstallError, InvalidSettings) as error:
                log.info("A planning round ended early: %s.", error)
            self._stopped.wait(self.settings.planner.interval_s)
        self.lease.stop()
        renewing.kill(block=False)

    def stop(self) -> None:
        """Stop after the present step."""
        self._stopped.set()

    def run_round(self) -> None:
        """Run one planning round, where the lease is held."""
        if self.lease.state() is not LeaseState.HELD:
            self._tenure = None
            return
        self._note_tenure(self.lease.check())
        tree = self.configuration.read_tree(self.configuration.read_head().head)
        states = self.read_states(tree)
        for step in plan_steps(tree, states):
            self._carry_out(step, tree)

    def _note_tenure(self, tenure: LeaseTerm) -> None:
        if tenure == self._tenure:
            return
        self._tenure = tenure
        wait_s = self.settings.planner.order_life_s if tenure.epoch > 1 else 0.0
        self._unfenced_from_s = boot_clock_s() + wait_s
        log.info("Planning under epoch %d.", tenure.epoch)

    def read_states(self, tree: Tree) -> dict[TargetId, TargetState]:
        """Return what each engine holds; silent ones are left out."""
        pool = gevent.pool.Pool(POLLS_AT_ONCE)
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

    def _carry_out(self, step: Step, tree: Tree) -> None:
        match step:
            case GiveOrder(target, document):
                self._give_order(target, document)
            case AssignVersion(target, version):
                self._change(f"targets/{target}", tree, version=version)
            case ServeVersion(workspace, pipeline, version):
                path = f"workspaces/{workspace}/pipelines/{pipeline}"
                self._change(path, tree, version=version, next_version="")

    def _give_order(self, target: TargetId, document: TargetDocument) -> None:
        if not document.checks_fencing and boot_clock_s() < self._unfenced_from_s:
            return
        if not self._has_settled(target, document):
            return
        load = self.engines.fetch_load(document.address)
        if load is None or load.in_flight or load.waiting:
            # Streams that run there end first; routers send it nothing new.
            return
        if not self.pace.try_start():
            return
        tenure = self.lease.check()
        order = FencedOrder(
            fence=tenure.epoch,
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
            log.info("Ordered %s to load %s.", target, document.version)

    def _has_settled(self, target: TargetId, document: TargetDocument) -> bool:
        """Return whether routers have had the time to stop using a target."""
        seen = self._mismatches.get(target)
        if seen is None or seen[0] != document:
            self._mismatches[target] = (document, boot_clock_s())
            return self.settings.planner.settle_s <= 0.0
        return boot_clock_s() - seen[1] >= self.settings.planner.settle_s

    def _secret(self, document: TargetDocument) -> str:
        # A secret goes only to targets that check it; others could leak it.
        if not document.authenticates_orders:
            return ""
        return self.settings.planner.order_secret

    def _change(self, path: str, tree: Tree, **options: str) -> None:
        self.lease.check()
        sections = parse_ini(tree.texts[path], SettingsErrorCollector(path))
        text = ""
        for section, present in sections.items():
            merged = {**present, **options}
            kept = {name: value for name, value in merged.items() if value}
            text += document_text(section, kept)
        proposed = ProposedChange(new_change_id(), path, text, AUTHOR, tree.revision)
        revision = self.configuration.accept(proposed)
        log.info("Changed %s in revision %d.", path, revision)
