"""Faults of a run, drawn from its seed: series that overlap, each ended again."""

import random
import signal
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import gevent

from chervilstall.soak.fleet import RouterProcess, SoakFleet, SoakTarget
from chervilstall.soak.links import Direction, Link
from chervilstall.standin.platform_target import Behaviour

GAP_MAX_S = 0.8
DURATION_MAX_S = 2.0
RESTART_MAX_S = 0.6
DELAY_MAX_S = 0.15
STORE_DELAY_MAX_S = 0.5
ODD_BEHAVIOURS = (
    Behaviour.FAIL,
    Behaviour.REFUSE,
    Behaviour.LOSE_ANSWER,
    Behaviour.TRUNCATE_ANSWER,
    Behaviour.ANSWER_TWICE,
    Behaviour.ANSWER_WRONG_REQUEST,
    Behaviour.BREAK_STREAM,
)


class FaultKind(Enum):
    """What is done to the fleet."""

    KILL = "kill a router"
    PAUSE = "pause a router"
    TERMINATE = "terminate a router"
    KILL_ALL = "kill all routers"
    RELOAD = "reload the settings of a router"
    LINK_DELAY = "delay a link"
    LINK_RESET = "reset the connections of a link"
    LINK_SILENCE = "silence the connections of a link"
    LINK_HOLD = "hold one direction of a link"
    STORE_FAILS = "let the store fail"
    STORE_SILENT = "let the store be silent"
    STORE_SLOW = "let the store be slow"
    STORE_FORGETS = "let the store forget its history"
    TARGET_ODD = "let a target behave oddly"
    TARGET_LEAVES = "let a target leave and come back"
    CONFIGURATION = "change the configuration"


@dataclass
class Strike:
    """One fault: on what, and from when to when, in monotonic seconds."""

    kind: FaultKind
    on: str
    begun_s: float
    ended_s: float = float("inf")


@dataclass
class Faults:
    """Draws and carries out the faults of one run."""

    fleet: SoakFleet
    rng: random.Random
    strikes: list[Strike] = field(default_factory=list)
    _tasks: list[gevent.Greenlet] = field(default_factory=list)

    def run(self, for_s: float) -> None:
        """Strike at random for a while, and wait until every fault has ended."""
        end_s = time.monotonic() + for_s
        while time.monotonic() < end_s:
            kind = self.rng.choice(list(FaultKind))
            self._tasks.append(gevent.spawn(self._strike, kind))
            gevent.sleep(self.rng.uniform(0.0, GAP_MAX_S))
        gevent.joinall(self._tasks)
        for task in self._tasks:
            task.get()

    def _strike(self, kind: FaultKind) -> None:
        strike = Strike(kind, "", time.monotonic())
        self.strikes.append(strike)
        try:
            strike.on = self._carry_out(kind)
        finally:
            strike.ended_s = time.monotonic()

    def _carry_out(self, kind: FaultKind) -> str:
        match kind:
            case FaultKind.KILL:
                return self._kill(self.rng.choice(self.fleet.routers))
            case FaultKind.KILL_ALL:
                return self._kill_all()
            case FaultKind.PAUSE:
                return self._pause(self.rng.choice(self.fleet.routers))
            case FaultKind.TERMINATE:
                return self._terminate(self.rng.choice(self.fleet.routers))
            case FaultKind.RELOAD:
                return self._reload(self.rng.choice(self.fleet.routers))
            case FaultKind.TARGET_ODD:
                return self._behave_oddly(self.rng.choice(self.fleet.targets))
            case FaultKind.TARGET_LEAVES:
                return self._leave(self.rng.choice(self.fleet.targets))
            case FaultKind.CONFIGURATION:
                return str(self.fleet.change_configuration())
            case _:
                return self._disturb(kind)

    # Routers

    def _kill(self, router: RouterProcess) -> str:
        router.signal(signal.SIGKILL)
        router.wait_end()
        gevent.sleep(self.rng.uniform(0.0, RESTART_MAX_S))
        router.start()
        return router.name

    def _kill_all(self) -> str:
        for router in self.fleet.routers:
            router.signal(signal.SIGKILL)
        for router in self.fleet.routers:
            router.wait_end()
        gevent.sleep(self.rng.uniform(0.0, RESTART_MAX_S))
        for router in self.fleet.routers:
            router.start()
        return "all"

    def _pause(self, router: RouterProcess) -> str:
        router.signal(signal.SIGSTOP)
        self._wait()
        router.signal(signal.SIGCONT)
        return router.name

    def _terminate(self, router: RouterProcess) -> str:
        router.signal(signal.SIGTERM)
        router.wait_end()
        router.start()
        return router.name

    def _reload(self, router: RouterProcess) -> str:
        router.write_settings(retry_extra=self.rng.choice((100.0, 200.0)))
        if self.rng.random() < 0.5:
            router.signal(signal.SIGHUP)
        return router.name

    # Links and the store

    def _disturb(self, kind: FaultKind) -> str:
        match kind:
            case FaultKind.STORE_FAILS:
                state = self.fleet.store.state
                state.error_status = self.rng.choice((429, 503))
                return self._during("store", self._store_answers)
            case FaultKind.STORE_SILENT:
                self.fleet.store.state.is_silent = True
                return self._during("store", self._store_speaks)
            case FaultKind.STORE_SLOW:
                delay_s = self.rng.uniform(0.0, STORE_DELAY_MAX_S)
                self.fleet.store.state.delay_s = delay_s
                return self._during("store", self._store_is_quick)
            case FaultKind.STORE_FORGETS:
                self.fleet.store.state.compact_history()
                return "store"
            case _:
                return self._disturb_link(kind)

    def _store_answers(self) -> None:
        self.fleet.store.state.error_status = 0

    def _store_speaks(self) -> None:
        self.fleet.store.state.is_silent = False

    def _store_is_quick(self) -> None:
        self.fleet.store.state.delay_s = 0.0

    def _disturb_link(self, kind: FaultKind) -> str:
        name, link = self._any_link()
        match kind:
            case FaultKind.LINK_DELAY:
                link.delay_s = self.rng.uniform(0.0, DELAY_MAX_S)
                return self._during(name, lambda: setattr(link, "delay_s", 0.0))
            case FaultKind.LINK_RESET:
                link.reset_all()
            case FaultKind.LINK_SILENCE:
                link.silence_open()
            case FaultKind.LINK_HOLD:
                direction = self.rng.choice(list(Direction))
                link.held.add(direction)
                return self._during(name, lambda: link.held.discard(direction))
        return name

    def _any_link(self) -> tuple[str, Link]:
        links = [(router.name, router.link) for router in self.fleet.routers]
        links += [(target.name, target.link) for target in self.fleet.targets]
        return self.rng.choice(links)

    def _during(self, name: str, end: Callable[[], object]) -> str:
        """Let a fault last, and end it."""
        try:
            self._wait()
        finally:
            end()
        return name

    def _wait(self) -> None:
        gevent.sleep(self.rng.uniform(0.1, DURATION_MAX_S))

    # Targets

    def _behave_oddly(self, target: SoakTarget) -> str:
        target.server.events_before_fault = self.rng.randint(0, 20)
        target.server.behaviour = self.rng.choice(ODD_BEHAVIOURS)
        return self._during(target.name, lambda: self._behave(target))

    @staticmethod
    def _behave(target: SoakTarget) -> None:
        target.server.behaviour = Behaviour.SERVE

    def _leave(self, target: SoakTarget) -> str:
        self.fleet.register(target, state="draining")
        target.server.is_leaving = True
        self._wait()
        self.fleet.unregister(target)
        self._wait()
        target.server.is_leaving = False
        self.fleet.register(target)
        return target.name
