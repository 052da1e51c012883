"""Random faults of a soak run; they may overlap, and each one is undone again."""

import random
import signal
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import gevent

from chervilstall.soak.cut_links import CUTS
from chervilstall.soak.fleet import RouterProcess, SoakFleet
from chervilstall.soak.links import Direction, LinkProxy
from chervilstall.soak.shutdowns import ShutdownInjector
from chervilstall.soak.targets import SoakTarget
from chervilstall.standin.platform_target import Behaviour

INTERVAL_MAX_S = 0.8
DURATION_MAX_S = 2.0
RESTART_DELAY_MAX_S = 0.6
LINK_DELAY_MAX_S = 0.15
STORE_DELAY_MAX_S = 0.5
FAULTY_BEHAVIOURS = (
    Behaviour.FAIL,
    Behaviour.REFUSE,
    Behaviour.LOSE_ANSWER,
    Behaviour.TRUNCATE_ANSWER,
    Behaviour.ANSWER_TWICE,
    Behaviour.ANSWER_WRONG_REQUEST,
    Behaviour.BREAK_STREAM,
)
ENDLESS_BEHAVIOURS = (
    Behaviour.ENDLESS_HEAD,
    Behaviour.ENDLESS_BODY,
    Behaviour.ENDLESS_TRAILERS,
    Behaviour.REPEAT_EVENT,
    Behaviour.ODD_STATUS,
    Behaviour.CRASH_IN_ANSWER,
)


class SoakFaultKind(Enum):
    """Kinds of faults that can be injected; the values are keys of the report."""

    KILL = "kill a router"
    PAUSE = "pause a router"
    TERMINATE = "terminate a router"
    KILL_ALL = "kill all routers"
    RELOAD = "reload the settings of a router"
    ROUTER_CUT = "cut a router off from all targets"
    LINK_DELAY = "delay a link"
    LINK_RESET = "reset the connections of a link"
    LINK_SILENCE = "silence the connections of a link"
    LINK_HOLD = "hold one direction of a link"
    STORE_FAILS = "let the store fail"
    STORE_SILENT = "let the store be silent"
    STORE_SLOW = "let the store be slow"
    STORE_FORGETS = "let the store forget its history"
    TARGET_FAULTY = "let a target behave oddly"
    TARGET_ENDLESS = "let a target answer without end, oddly, or crash in an answer"
    TARGET_LEAVES = "let a target leave and come back"
    CONFIGURATION = "change the configuration"


MIXED_IN_KINDS = frozenset({SoakFaultKind.ROUTER_CUT, SoakFaultKind.TARGET_ENDLESS})
"""Kinds that a mix of their own has. Runs without it draw as they did before them."""

RANDOM_KINDS = tuple(kind for kind in SoakFaultKind if kind not in MIXED_IN_KINDS)
CUT_KINDS = (*RANDOM_KINDS, *[SoakFaultKind.ROUTER_CUT] * 8)
"""Kinds of a run in which a third of the faults cut a router off from all targets."""

ENDLESS_KINDS = (*RANDOM_KINDS, *[SoakFaultKind.TARGET_ENDLESS] * 8)
"""Kinds of a run in which a third of the faults let a target answer without end."""


@dataclass
class InjectedFault:
    """One injected fault.

    `component` is the name of the affected router or target, "store", "all" for all
    routers, or the version of a new configuration. Times are monotonic seconds;
    `ended_at_s` is infinite while the fault lasts.
    """

    kind: SoakFaultKind
    component: str
    started_at_s: float
    ended_at_s: float = float("inf")


@dataclass
class FaultInjector:
    """Chooses and injects the faults of one run; `shutdowns` records each shutdown.

    Faults are drawn evenly from `kinds`.
    """

    fleet: SoakFleet
    rng: random.Random
    shutdowns: ShutdownInjector
    kinds: tuple[SoakFaultKind, ...] = RANDOM_KINDS
    faults: list[InjectedFault] = field(default_factory=list)
    _tasks: list[gevent.Greenlet] = field(default_factory=list)

    def run(self, duration_s: float) -> None:
        """Inject random faults for `duration_s`, then wait until all have ended."""
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            kind = self.rng.choice(self.kinds)
            self._tasks.append(gevent.spawn(self._inject, kind))
            gevent.sleep(self.rng.uniform(0.0, INTERVAL_MAX_S))
        gevent.joinall(self._tasks)
        for task in self._tasks:
            task.get()

    def _inject(self, kind: SoakFaultKind) -> None:
        fault = InjectedFault(kind, "", time.monotonic())
        self.faults.append(fault)
        try:
            fault.component = self._apply(kind)
        finally:
            fault.ended_at_s = time.monotonic()

    def _apply(self, kind: SoakFaultKind) -> str:
        match kind:
            case SoakFaultKind.KILL:
                return self._kill_router(self.rng.choice(self.fleet.routers))
            case SoakFaultKind.KILL_ALL:
                return self._kill_all_routers()
            case SoakFaultKind.PAUSE:
                return self._pause_router(self.rng.choice(self.fleet.routers))
            case SoakFaultKind.TERMINATE:
                return self._terminate_router(self.rng.choice(self.fleet.routers))
            case SoakFaultKind.ROUTER_CUT:
                return self._cut_router(self.rng.choice(self.fleet.routers))
            case SoakFaultKind.RELOAD:
                return self._reload_router(self.rng.choice(self.fleet.routers))
            case SoakFaultKind.TARGET_FAULTY:
                target = self.rng.choice(self.fleet.targets)
                return self._make_target_faulty(target, FAULTY_BEHAVIOURS)
            case SoakFaultKind.TARGET_ENDLESS:
                target = self.rng.choice(self.fleet.targets)
                return self._make_target_faulty(target, ENDLESS_BEHAVIOURS)
            case SoakFaultKind.TARGET_LEAVES:
                return self._drain_and_return(self.rng.choice(self.fleet.targets))
            case SoakFaultKind.CONFIGURATION:
                return str(self.fleet.change_configuration())
            case _:
                return self._apply_store_or_link_fault(kind)

    # Routers

    def _kill_router(self, router: RouterProcess) -> str:
        router.signal(signal.SIGKILL)
        router.wait_for_exit()
        gevent.sleep(self.rng.uniform(0.0, RESTART_DELAY_MAX_S))
        router.start()
        return router.name

    def _kill_all_routers(self) -> str:
        for router in self.fleet.routers:
            router.signal(signal.SIGKILL)
        for router in self.fleet.routers:
            router.wait_for_exit()
        gevent.sleep(self.rng.uniform(0.0, RESTART_DELAY_MAX_S))
        for router in self.fleet.routers:
            router.start()
        return "all"

    def _pause_router(self, router: RouterProcess) -> str:
        router.signal(signal.SIGSTOP)
        self._wait_random_time()
        router.signal(signal.SIGCONT)
        return router.name

    def _terminate_router(self, router: RouterProcess) -> str:
        self.shutdowns.shut_down(router, [])
        router.start()
        return router.name

    def _cut_router(self, router: RouterProcess) -> str:
        router.target_links.begin(self.rng.choice(CUTS))
        return self._wait_then_end(router.name, router.target_links.heal)

    def _reload_router(self, router: RouterProcess) -> str:
        router.write_settings(retry_extra=self.rng.choice((100.0, 200.0)))
        if self.rng.random() < 0.5:
            router.signal(signal.SIGHUP)
        return router.name

    # Links and the store

    def _apply_store_or_link_fault(self, kind: SoakFaultKind) -> str:
        match kind:
            case SoakFaultKind.STORE_FAILS:
                state = self.fleet.store.state
                state.error_status = self.rng.choice((429, 503))
                return self._wait_then_end("store", self._end_store_failure)
            case SoakFaultKind.STORE_SILENT:
                self.fleet.store.state.is_silent = True
                return self._wait_then_end("store", self._end_store_silence)
            case SoakFaultKind.STORE_SLOW:
                delay_s = self.rng.uniform(0.0, STORE_DELAY_MAX_S)
                self.fleet.store.state.delay_s = delay_s
                return self._wait_then_end("store", self._end_store_delay)
            case SoakFaultKind.STORE_FORGETS:
                self.fleet.store.state.compact_history()
                return "store"
            case _:
                return self._apply_link_fault(kind)

    def _end_store_failure(self) -> None:
        self.fleet.store.state.error_status = 0

    def _end_store_silence(self) -> None:
        self.fleet.store.state.is_silent = False

    def _end_store_delay(self) -> None:
        self.fleet.store.state.delay_s = 0.0

    def _apply_link_fault(self, kind: SoakFaultKind) -> str:
        name, link = self._choose_link()
        match kind:
            case SoakFaultKind.LINK_DELAY:
                link.delay_s = self.rng.uniform(0.0, LINK_DELAY_MAX_S)
                return self._wait_then_end(name, lambda: setattr(link, "delay_s", 0.0))
            case SoakFaultKind.LINK_RESET:
                link.reset_connections()
            case SoakFaultKind.LINK_SILENCE:
                link.silence_connections()
            case SoakFaultKind.LINK_HOLD:
                direction = self.rng.choice(list(Direction))
                link.held_directions.add(direction)
                return self._wait_then_end(
                    name, lambda: link.held_directions.discard(direction)
                )
        return name

    def _choose_link(self) -> tuple[str, LinkProxy]:
        links = [(router.name, router.link) for router in self.fleet.routers]
        links += [(target.name, target.link) for target in self.fleet.targets]
        return self.rng.choice(links)

    def _wait_then_end(self, name: str, end: Callable[[], object]) -> str:
        """Wait a random time, end a fault with `end` and return `name`."""
        try:
            self._wait_random_time()
        finally:
            end()
        return name

    def _wait_random_time(self) -> None:
        gevent.sleep(self.rng.uniform(0.1, DURATION_MAX_S))

    # Targets

    def _make_target_faulty(
        self, target: SoakTarget, behaviours: tuple[Behaviour, ...]
    ) -> str:
        target.server.events_before_fault = self.rng.randint(0, 20)
        target.server.behaviour = self.rng.choice(behaviours)
        return self._wait_then_end(target.name, lambda: self._restore_target(target))

    @staticmethod
    def _restore_target(target: SoakTarget) -> None:
        target.server.behaviour = Behaviour.SERVE

    def _drain_and_return(self, target: SoakTarget) -> str:
        self.fleet.register(target, state="draining")
        target.server.is_leaving = True
        self._wait_random_time()
        self.fleet.unregister(target)
        self._wait_random_time()
        target.server.is_leaving = False
        # A target that leaves ends, so the one that returns is another incarnation.
        target.starts += 1
        self.fleet.register(target)
        return target.name
