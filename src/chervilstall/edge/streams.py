"""Streams of model services: whole events, passed on as they come, over any paths.

The relay is a generator that the caller's task runs. It sends the request over a
path, passes whole events on, and where an exchange breaks goes on over another path
behind the last event that it passed, within the same answer.
"""

import random
import re
import time
from collections.abc import Iterator
from dataclasses import dataclass

import gevent

from chervilstall.edge.budget import FleetRetryBudget
from chervilstall.edge.exchange import Exchange, ExchangeFailed, Failure, WholeAnswer
from chervilstall.edge.live import LiveStream
from chervilstall.edge.request import EdgeRequest
from chervilstall.edge.watch import StreamWatch
from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.fleet.records import Target
from chervilstall.fleet.view import FleetView
from chervilstall.ids import TargetId
from chervilstall.paths.choice import PathChooser, PathRequest
from chervilstall.paths.records import Path
from chervilstall.platform.headers import ForwardFields, ResponseHead
from chervilstall.telemetry.events import EventLog

log = EventLog("edge")

SENDS_MAX = 6
BUSY_S = 0.3
REPAIR_S = 1.5
"""Time in which a missing part of a model is usually loaded again."""

RETURN_SPREAD_S = 2.5
"""Callers are asked back over this time, so that they do not return all at once."""

RESUME_PAUSE_S = 0.1

RETURN_SHARE = 0.3
"""Part of the time left that a caller may be asked to wait."""

EVENT_ID = re.compile(rb"^id:\s*(\d+)\s*$", re.MULTILINE)


class StreamBroken(ConnectionAbortedError):
    """A stream that was begun cannot be completed; its connection has to end."""


def event_number(event: bytes) -> int | None:
    """Return the number of an event, or None where it has none."""
    found = EVENT_ID.search(event)
    return int(found.group(1)) if found else None


@dataclass
class StreamContext:
    """What the streams of one router share."""

    fleet_view: FleetView
    chooser: PathChooser
    budget: FleetRetryBudget
    watch: StreamWatch


class StreamRelay:
    """Runs one streaming request.

    `begin` returns the head of the answer, or a whole answer where the target gave no
    stream; then iterate `events` once. Raises ChervilstallError from `begin`, and
    StreamBroken from `events`.
    """

    def __init__(self, context: StreamContext, request: EdgeRequest) -> None:
        self.context = context
        self.request = request
        self.head: ResponseHead | None = None
        self.last_number = _number_of(request.fields.last_event_id)
        self._avoid: set[TargetId] = set()
        self._refusers: set[TargetId] = set()
        self._firsts: set[TargetId] = set()
        self._may_have_run = False
        self._passed_at_s = time.monotonic()
        self._why = "no path covers the model"
        self._exchange: Exchange | None = None
        self._stream: LiveStream | None = None
        self._pending: bytes | None = None

    # Beginning

    def begin(self) -> ResponseHead | WholeAnswer:
        """Send the request until a target answers with its first event."""
        while True:
            answer = self._try_once()
            if answer is not None:
                return answer

    def _try_once(self) -> ResponseHead | WholeAnswer | None:
        path = self._next_path()
        try:
            head = self._open(path)
            if head.status == 200 and head.is_stream and head.is_signed:
                self._pending = self._read_event()
                self.context.watch.note_begun(path.first)
                self.head = head
                return head
            return self._judge(path, head)
        except ExchangeFailed as error:
            self._end_exchange()
            self._note_failure(path, error)
            return None

    def _next_path(self) -> Path:
        """Return the path of the next send. Raises the refusal where there is none."""
        request = self.request
        if request.has_caller_left:
            raise ChervilstallError(ErrorKind.OUTCOME_UNKNOWN, "the caller left")
        if request.left_s <= 0.0:
            raise self._refusal("the deadline has passed")
        if self._may_have_run and not request.route.is_retryable:
            raise self._refusal(self._why)
        if request.sends >= SENDS_MAX:
            raise self._refusal(self._why)
        path = self._choose()
        if path is None:
            raise self._refusal(self._why)
        if request.sends and not self._pay_repeat():
            raise self._refusal("the budget for repeats is used up")
        return path

    def _pay_repeat(self) -> bool:
        """Take one repeat from the budget unless one was taken for this request."""
        request = self.request
        if request.repeats_paid:
            request.repeats_paid -= 1
            return True
        is_begun = self.head is not None
        return self.context.budget.try_spend(request.service.name, is_begun)

    def _choose(self) -> Path | None:
        request = self.request
        is_bound = len(self._firsts) >= request.route.attempts_max
        for avoid in (self._avoid | self._refusers, self._refusers):
            if is_bound:
                for first in sorted(self._firsts - avoid):
                    wanted = PathRequest(request.tokens, frozenset(avoid), first)
                    path = self.context.chooser.choose(request.service, wanted)
                    if path is not None:
                        return path
                if not self._are_firsts_gone():
                    continue
            wanted = PathRequest(request.tokens, frozenset(avoid))
            path = self.context.chooser.choose(request.service, wanted)
            if path is not None:
                return path
        return None

    def _are_firsts_gone(self) -> bool:
        """Return whether a target that was tried is dead, so that it counts no more.

        One that only stands still may have run the request.
        """
        targets = self.context.fleet_view.targets
        for name in self._firsts:
            target = targets.get(name)
            if target is None or self.context.fleet_view.is_unresponsive(target):
                return True
        return False

    def _open(self, path: Path) -> ResponseHead:
        request = self.request
        last_event = ""
        if self.last_number is not None:
            last_event = str(self.last_number)
        send = ForwardFields(
            path.first,
            request.caller_left_s,
            request.workspace,
            request.priority,
            path,
            last_event,
        )
        exchange = Exchange(request, send)
        self._exchange = exchange
        self._stream = LiveStream(request, exchange, path, time.monotonic())
        self.context.watch.streams[request.name] = self._stream
        self.context.chooser.load.add(path, request.tokens)
        assert request.service.pipeline is not None
        self.context.chooser.note_prefill(
            request.service.pipeline, path, request.prompt_tokens
        )
        log.routine(
            "sent",
            request=request.name,
            path=[part.target.id for part in path.stages],
            generation=self.context.fleet_view.generation,
            after_event=last_event,
        )
        head = exchange.open(request.left_s)
        if not head.is_not_executed:
            self._firsts.add(path.first.id)
        return head

    def _judge(self, path: Path, head: ResponseHead) -> WholeAnswer | None:
        """Take an answer that is no stream."""
        assert self._exchange is not None
        answer = self._exchange.read_whole(head, self.request.left_s)
        self._end_exchange()
        self._why = f"target answered {head.status}"
        if head.is_not_executed:
            self._note_refusal(path, head)
            return None
        self._may_have_run = True
        if head.status < 500 or not self.request.route.is_retryable:
            if head.status < 300 and not head.is_signed:
                return None
            return answer
        return None

    def _note_refusal(self, path: Path, head: ResponseHead) -> None:
        faulty = self._target_at(path, head.faulty_address) or path.first
        log.warning(
            "target refused",
            request=self.request.name,
            target=faulty.id,
            status=head.status,
        )
        self._refusers.add(faulty.id)
        self.context.chooser.load.note_full(faulty.incarnation, BUSY_S)
        self.context.watch.examine(faulty)

    @staticmethod
    def _target_at(path: Path, address: str) -> Target | None:
        for part in path.stages:
            if str(part.address) == address:
                return part.target
        return None

    def _note_failure(self, path: Path, error: ExchangeFailed) -> None:
        self._why = error.failure.value
        if error.was_sent:
            self._may_have_run = True
            self._firsts.add(path.first.id)
        if error.failure is Failure.CALLER_LEFT:
            return
        log.warning(
            "send failed",
            request=self.request.name,
            target=path.first.id,
            why=error.failure.value,
            was_sent=error.was_sent,
            events_passed=self.request.events_passed,
        )
        if error.failure is Failure.NO_CONNECTION:
            self.context.fleet_view.suspect(path.first, error.failure.value)
        if error.failure is not Failure.TIMEOUT:
            self._avoid.add(path.first.id)

    def _refusal(self, why: str) -> ChervilstallError:
        if not self._may_have_run:
            return ChervilstallError(ErrorKind.NO_TARGET, why, self._return_s())
        if self.request.left_s <= 0.0:
            return ChervilstallError(ErrorKind.DEADLINE_UNKNOWN, why)
        return ChervilstallError(ErrorKind.OUTCOME_UNKNOWN, why)

    def _return_s(self) -> float:
        """Return when the caller should come back."""
        wait_s = REPAIR_S + RETURN_SPREAD_S * random.random()
        return min(wait_s, max(0.0, self.request.caller_left_s) * RETURN_SHARE)

    # Passing on

    def events(self) -> Iterator[bytes]:
        """Yield whole events in order, each once, until the stream is complete."""
        while True:
            try:
                yield from self._pass_on()
                return
            except ExchangeFailed as error:
                assert self._stream is not None
                path = self._stream.path
                self._end_exchange()
                self._note_failure(path, error)
            self._resume()

    def _pass_on(self) -> Iterator[bytes]:
        event = self._pending
        self._pending = None
        while event is not None:
            number = event_number(event)
            if number is None or self.last_number is None or number > self.last_number:
                self.last_number = self.last_number if number is None else number
                now_s = time.monotonic()
                if self.request.events_passed:
                    self.request.note_gap(now_s - self._passed_at_s)
                self.request.events_passed += 1
                self._passed_at_s = now_s
                yield event
            event = self._read_event()
        if self._exchange is not None and self._exchange.abort_reason is not None:
            raise ExchangeFailed(self._exchange.abort_reason, was_sent=True)

    def _read_event(self) -> bytes | None:
        assert self._exchange is not None and self._stream is not None
        event = self._exchange.read_event()
        self._stream.note_event()
        return event

    def _resume(self) -> None:
        """Open another exchange behind the last event that was passed on."""
        while True:
            if self.last_number is None or not self.request.route.is_resumable:
                raise StreamBroken("the stream cannot be resumed")
            try:
                answer = self._try_once()
            except ChervilstallError as error:
                if not self._may_wait():
                    raise StreamBroken(error.message) from error
                gevent.sleep(RESUME_PAUSE_S)
                continue
            if isinstance(answer, ResponseHead):
                log.warning(
                    "stream resumed",
                    request=self.request.name,
                    after_event=self.last_number,
                )
                return
            if answer is not None:
                raise StreamBroken("a resumed stream got another answer")

    def _may_wait(self) -> bool:
        """Return whether a later try could still reach the caller in time.

        A missing part of a model is loaded again within a second or two. How long a
        pause is too long is for the caller to say, by leaving or by its deadline.
        """
        request = self.request
        if request.has_caller_left or request.left_s <= RESUME_PAUSE_S:
            return False
        return request.sends < SENDS_MAX

    # Ending

    def _end_exchange(self) -> None:
        if self._exchange is None or self._stream is None:
            return
        self.context.watch.streams.pop(self.request.name, None)
        self.context.chooser.load.remove(self._stream.path, self.request.tokens)
        self._exchange.close()
        self._exchange = None

    def close(self) -> None:
        """End what still runs; a target stops its work when its connection closes."""
        self._end_exchange()


def _number_of(text: str) -> int | None:
    try:
        return int(text)
    except ValueError:
        return None
