"""A model of routers before targets that a part of a prompt crashes, without a network.

Events run in the order of a simulated clock: callers' requests and their repeats,
arrivals at targets, first events, crashes for any cause, the store's deliveries of what
routers share, and cuts, restarts and joins of routers.
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from tests.support.clock import Clock
from tests.support.quarantine_refusals import refused_sound_requests
from tests.support.quarantine_router import (
    GuardedRequest,
    GuardedRouter,
    ModelFleetView,
    guarded_request,
    simulated_surroundings,
)
from tests.support.quarantine_rule import (
    CONTACT_S,
    FirstAttempt,
    PartArrival,
    TargetCrash,
)
from tests.support.quarantine_sends import ModelRouter, Relay, Send
from tests.support.quarantine_store import SharedStore
from tests.support.quarantine_targets import ModelTarget, TargetEntries
from tests.support.quarantine_traffic import (
    WARM_UP_S,
    PromptRequest,
    QuarantineCase,
    draw_request,
)
from tests.support.simulated_tasks import SimulatedTasks

NONE: frozenset[str] = frozenset()
REPEATS_MAX = 2
AVOIDED_S = 1.0
"""Time for which a router avoids a target that refused or broke a connection."""

CHOICES_MAX = 3
PRUNE_INTERVAL_S = 5.0
EXPIRE_INTERVAL_S = 0.5
CRASH_SEEN_S = (0.001, 0.02)
WAY_S = (0.001, 0.03)
EVENT_INTERVAL_S = (0.03, 0.2)
ANSWER_S = (0.5, 5.0)


@dataclass
class QuarantineFleet:
    """Plays one case and keeps what targets and callers saw.

    Times of what it keeps count from the start of the run. `refused_sound` holds the
    sound requests that a router refuses both at the end and CONTACT_S before it, by
    service, parts and router.
    """

    case: QuarantineCase
    rng: random.Random
    refused_sound: set[tuple[str, str, int]] = field(default_factory=set)
    arrivals: list[PartArrival] = field(default_factory=list)
    crashes: list[TargetCrash] = field(default_factory=list)
    first_attempts: dict[int, FirstAttempt] = field(default_factory=dict)
    routers: dict[int, ModelRouter] = field(default_factory=dict)
    _started_s: dict[int, float] = field(default_factory=dict)
    _events: list[tuple[float, int, Callable[[], object]]] = field(default_factory=list)
    _sequence: int = 0

    def play(self) -> None:
        """Play the case on a clock of its own."""
        self.clock = Clock()
        self.began_at_s = self.clock.now_s
        self.tasks = SimulatedTasks(self._in)
        self.store = SharedStore(self.rng, self.case, lambda: self.now_s, self._at)
        self.entries = TargetEntries(
            self.case, self.rng, lambda: self.now_s, self.tasks
        )
        self.targets = list(self.entries.by_name.values())
        refuses = self.entries.refuses_connections
        try:
            with simulated_surroundings(self.tasks, self.rng, refuses):
                self._start()
                self._run()
                self.refused_sound &= self._refused_sound_requests()
        finally:
            self.clock.stop()

    def _run(self) -> None:
        while self._events:
            at_s, _, action = heapq.heappop(self._events)
            if at_s > self.began_at_s + self.case.duration_s:
                return
            self.clock.now_s = at_s
            action()

    @property
    def now_s(self) -> float:
        """Return the time since the start."""
        return self.clock.now_s - self.began_at_s

    def is_in_touch(self, router: int, at_s: float) -> bool:
        """Return whether a router and the store had no impairment lately."""
        started_s = self._started_s.get(router)
        if started_s is not None and started_s > at_s - CONTACT_S:
            return False
        return not any(
            first_s <= at_s and last_s > at_s - CONTACT_S
            for first_s, last_s in self.store.outages_of(router)
        )

    def _refused_sound_requests(self) -> set[tuple[str, str, int]]:
        in_touch = [
            router
            for index, router in self.routers.items()
            if self.is_in_touch(index, self.now_s)
        ]
        return refused_sound_requests(self.case, in_touch)

    def _at(self, at_s: float, action: Callable[[], object]) -> None:
        """Run an action at a time since the start."""
        self._sequence += 1
        event = (self.began_at_s + at_s, self._sequence, action)
        heapq.heappush(self._events, event)

    def _in(self, delay_s: float, action: Callable[[], object]) -> None:
        self._at(self.now_s + delay_s, action)

    def _on_way(self, action: Callable[[], object]) -> None:
        self._in(self.rng.uniform(*WAY_S), action)

    # Start

    def _start(self) -> None:
        case = self.case
        self._plan_cuts()
        for index in range(case.routers):
            self._start_router(index)
        self._plan_requests()
        self._plan_bursts()
        self._plan_starts()
        self._in(PRUNE_INTERVAL_S, self._prune)
        self._in(EXPIRE_INTERVAL_S, self._expire)
        self._at(case.duration_s - CONTACT_S, self._probe)

    def _probe(self) -> None:
        self.refused_sound = self._refused_sound_requests()

    def _plan_cuts(self) -> None:
        for index in range(self.case.cut_routers):
            first_s = self.rng.uniform(2.0, 14.0)
            last_s = first_s + self.rng.uniform(1.0, 8.0)
            self.store.outages[index] = [(first_s, last_s)]
        if self.case.store_away_s is None or self.case.store_lost_s is None:
            return
        first_s, last_s = self.case.store_away_s
        copied_s = first_s - self.case.store_lost_s
        self._at(last_s, lambda: self.store.return_from_copy(copied_s))

    def _plan_requests(self) -> None:
        at_s = 0.0
        number = 0
        while at_s < self.case.duration_s:
            at_s += self.rng.expovariate(self.case.rate_per_s)
            number += 1
            request = draw_request(self.rng, self.case, number, at_s)
            self._at(at_s, lambda request=request: self._ask(request))

    def _plan_bursts(self) -> None:
        for burst in self.case.bursts:
            for number in range(burst.count):
                at_s = burst.at_s + number * burst.interval_s
                self._at(at_s, self._crash_any)

    def _plan_starts(self) -> None:
        case = self.case
        for _ in range(case.restarts):
            self._at(WARM_UP_S + self.rng.uniform(0.0, 12.0), self._restart)
        for number in range(case.joins):
            index = case.routers + number
            at_s = WARM_UP_S + self.rng.uniform(0.0, 12.0)
            self._at(at_s, lambda index=index: self._join(index))

    def _start_router(self, index: int) -> None:
        fleet_view = ModelFleetView(
            lambda target_id: self.entries.read_id(index, target_id),
            lambda record, why: self._avoid(router, record.address.host),
        )
        guarded = GuardedRouter(index, fleet_view, self.store, self.tasks)
        router = self.routers[index] = ModelRouter(index, guarded)

    def _restart(self) -> None:
        """Kill a router with all that it has open, and start it again."""
        index = self.rng.choice(list(self.routers))
        killed = self.routers[index]
        killed.is_dead = True
        for target in self.targets:
            for send in list(target.running.values()):
                if send.relay.router is killed:
                    del target.running[send.number]
        self._join(index)

    def _join(self, index: int) -> None:
        self._started_s[index] = self.now_s
        self._start_router(index)

    def _expire(self) -> None:
        for router in self.routers.values():
            router.guarded.quarantine.expire()
        self._in(EXPIRE_INTERVAL_S, self._expire)

    def _prune(self) -> None:
        for router in self.routers.values():
            known = (self.entries.read(router.index, each) for each in self.targets)
            router.guarded.prune({record.incarnation for record in known})
        self._in(PRUNE_INTERVAL_S, self._prune)

    # Callers

    def _ask(self, request: PromptRequest) -> None:
        index = self.rng.choice(list(self.routers))
        if request.attempt == 0 and not request.crashing:
            self.first_attempts[request.number] = FirstAttempt(
                self.now_s,
                request.service,
                request.parts[0],
                request.harmless,
                self.is_in_touch(index, self.now_s),
            )
        self._try(Relay(self.routers[index], request, self._guarded(request)))

    def _guarded(self, request: PromptRequest) -> GuardedRequest:
        return guarded_request(request, self.case.has_prompts)

    def _fail(self, request: PromptRequest) -> None:
        """End a request without an answer; its caller may repeat it."""
        if request.attempt >= REPEATS_MAX:
            return
        if self.rng.random() < self.case.repeat_ratio:
            repeat = replace(request, attempt=request.attempt + 1)
            self._in(self.rng.uniform(0.2, 1.0), lambda: self._ask(repeat))

    # Routers

    def _avoid(self, router: ModelRouter, name: str) -> None:
        router.avoided_until_s[name] = self.now_s + AVOIDED_S

    def _try(self, relay: Relay) -> None:
        router = relay.router
        if router.is_dead:
            return
        is_allowed = router.guarded.may_send(relay.guarded, relay.may_have_run)
        target = self._choose_target(router, relay.request.service)
        if target is None or not is_allowed or relay.attempts >= self.case.attempts_max:
            self._fail(relay.request)
            return
        relay.attempts += 1
        relay.guarded.sent_at_s = self.clock.now_s
        self._sequence += 1
        record = self.entries.read(router.index, target)
        send = Send(self._sequence, relay, target, record)
        is_in_touch = self.is_in_touch(router.index, self.now_s)
        self._on_way(lambda: self._arrive(send, is_in_touch))

    def _choose_target(self, router: ModelRouter, service: str) -> ModelTarget | None:
        """Return a target that takes the request; those that are down refuse it."""
        known = [
            target
            for target in self.entries.of_service(service)
            if router.avoided_until_s.get(target.name, 0.0) <= self.now_s
        ]
        for _ in range(min(CHOICES_MAX, len(known))):
            target = self.rng.choice(known)
            if self.entries.takes_requests(router.index, target):
                return target
            self._avoid(router, target.name)
            known.remove(target)
        return None

    def _receive_answer(self, send: Send) -> None:
        if send.relay.router.is_dead:
            return
        send.relay.router.guarded.record_answer(send.relay.guarded)
        self._record_begun(send.relay)

    def _receive_event(self, send: Send) -> None:
        relay = send.relay
        if relay.router.is_dead:
            return
        send.events += 1
        relay.router.guarded.record_event(relay.guarded, send.events)
        self._record_begun(relay)

    def _record_begun(self, relay: Relay) -> None:
        attempt = self.first_attempts.get(relay.request.number)
        if attempt is not None and relay.request.attempt == 0:
            attempt.has_begun = True

    def _see_crash(self, sends: list[Send]) -> None:
        """Tell a router of the requests that a crash broke, and try them again."""
        for send in sends:
            relay = send.relay
            if relay.router.is_dead:
                return
            relay.may_have_run = True
            if relay.guarded.events_forwarded:
                relay.attempts = 1
            relay.router.guarded.record_lost(relay.guarded, send.record)
            self._avoid(relay.router, send.target.name)
            self._try(relay)

    def _see_refusal(self, send: Send) -> None:
        """Tell a router that a request found a closed port, and did not run."""
        send.relay.attempts -= 1
        self._avoid(send.relay.router, send.target.name)
        self._try(send.relay)

    # Targets

    def _arrive(self, send: Send, is_in_touch: bool) -> None:
        relay, target = send.relay, send.target
        if relay.router.is_dead:
            return
        if not target.is_up(self.now_s):
            self._on_way(lambda: self._see_refusal(send))
            return
        target.running[send.number] = send
        crashing = self._crashing_parts(relay.request)
        if crashing:
            self.arrivals.append(
                PartArrival(
                    self.now_s,
                    relay.router.index,
                    relay.request.service,
                    crashing,
                    is_in_touch,
                )
            )
        wait_s = self.rng.uniform(*self.case.first_event_s)
        self._in(wait_s, lambda: self._write_first_event(send))

    def _crashing_parts(self, request: PromptRequest) -> frozenset[str]:
        """Return the parts of a request that crash its targets now."""
        if not self.case.sound_before or self.now_s < self.case.crashing_from_s:
            return request.crashing
        names = {part.name for part in self.case.crashing}
        return request.crashing | names.intersection(request.parts)

    def _write_first_event(self, send: Send) -> None:
        if send.number not in send.target.running:
            return
        crashing = self._crashing_parts(send.relay.request)
        if crashing:
            self._write_until_crash(send, crashing, self.case.events_before_crash)
            return
        if not self.case.has_prompts:
            del send.target.running[send.number]
            self._on_way(lambda: self._receive_answer(send))
            return
        self._write_event(send)
        interval_s = self.rng.uniform(*EVENT_INTERVAL_S)
        self._in(interval_s, lambda: self._write_event(send))
        self._in(self.rng.uniform(*ANSWER_S), lambda: self._end(send))

    def _write_until_crash(
        self, send: Send, crashing: frozenset[str], events: int
    ) -> None:
        """Write some events, and crash in place of the next one."""
        if send.number not in send.target.running:
            return
        if not events:
            self._crash(send.target, crashing)
            return
        self._write_event(send)
        self._in(
            self.rng.uniform(*EVENT_INTERVAL_S),
            lambda: self._write_until_crash(send, crashing, events - 1),
        )

    def _write_event(self, send: Send) -> None:
        """Write an event, which is lost if a crash comes before it has arrived."""

        def receive() -> None:
            if send.number in send.target.running:
                self._receive_event(send)

        if send.number in send.target.running:
            self._on_way(receive)

    def _end(self, send: Send) -> None:
        if send.target.running.pop(send.number, None) is not None:
            send.relay.router.guarded.record_end(send.relay.guarded)

    def _crash_any(self) -> None:
        up = [each for each in self.targets if each.is_up(self.now_s)]
        if up:
            self._crash(self.rng.choice(up), NONE)

    def _crash(self, target: ModelTarget, parts: frozenset[str]) -> None:
        self.crashes.append(TargetCrash(self.now_s, target.service, parts))
        broken: dict[int, list[Send]] = {}
        for send in target.crash(self.now_s, self.case.restart_s):
            broken.setdefault(id(send.relay.router), []).append(send)
        for sends in broken.values():
            seen_s = self.rng.uniform(*CRASH_SEEN_S)
            self._in(seen_s, lambda sends=sends: self._see_crash(sends))
