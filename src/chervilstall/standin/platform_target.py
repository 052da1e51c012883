"""Stand-ins for the platform's targets: plain servers and parts of a model."""

import errno
import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import replace
from typing import Any, NoReturn

import gevent
import msgspec

from chervilstall.fleet.records import NO_LAYERS, LayerRange
from chervilstall.http_response import (
    HttpResponse,
    StartResponse,
    json_response,
    status_line,
)
from chervilstall.settings.option import Address
from chervilstall.standin.behaviours import (
    FALSE_REFUSALS,
    STREAM_ERRORS,
    UNFRAMED_BEHAVIOURS,
    Behaviour,
)
from chervilstall.standin.crashes import ResettableServer, shared_parts
from chervilstall.standin.odd_answers import ODD_BEHAVIOURS, send_odd_answer
from chervilstall.standin.target_log import Run, TargetLog
from chervilstall.standin.unframed import end_answer, send_head
from chervilstall.wsgi import (
    HEADERS_KEY,
    REQUEST_TARGET_KEY,
    SOCKET_KEY,
    Environ,
    read_body,
)

EVENT_INTERVAL_S = 0.01
SILENCE_S = 60.0
"""Sleep of a request to an unresponsive target."""
SERVER_SIGNATURE = "stand-in.1"
CALL_PATHS = frozenset({"/chervilstall/report", "/chervilstall/order", "/healthz"})


class PlatformTarget:
    """One target of the platform, served over HTTP.

    `events_before_fault` is the number of events after which a stream breaks, stalls or
    pauses, and `pause_s` the length of that pause. Without `streams` an answer without
    a length is never a stream. While `stalled_on` holds an address,
    the load report lists every request as stalled on it. While `is_silent`, requests of
    any kind get no answer. `limit_per_s` is the limit that it names in its answers to
    requests, if any. With `announces_leaving` these answers also say that it leaves.
    `retry_after_s` is named in refusals. The first event of a stream comes
    `first_event_s` after its request, another answer `answer_s` after it. A request
    that names one of `crashing_parts`, or whose request target is one of
    `crashing_targets`, crashes this target, a stream after `events_before_crash`; the
    target listens again at the same address `restart_s` later, and calls `on_restart`,
    for each start is registered anew.
    """

    def __init__(self, name: str, address: Address) -> None:
        self.name = name
        self.behaviour = Behaviour.SERVE
        self.log = TargetLog()
        self.layers = NO_LAYERS
        self.orders_begun = 0
        self.events_before_fault = 3
        self.streams = True
        self.pause_s = 0.0
        self.stalled_on: str = ""
        self.queued = 0
        self.is_leaving = False
        self.is_silent = False
        self.limit_per_s: float | None = None
        self.announces_leaving = False
        self.retry_after_s: float | None = None
        self.first_event_s = EVENT_INTERVAL_S
        self.answer_s = 0.0
        self.crashing_parts: frozenset[str] = frozenset()
        self.crashing_targets: frozenset[str] = frozenset()
        self.events_before_crash = 0
        self.restart_s = 3.2
        self.on_restart: Callable[[], None] = lambda: None
        self._restart: gevent.Greenlet | None = None
        self.server = ResettableServer(address, self)

    @property
    def address(self) -> Address:
        """Return the bound address."""
        return self.server.bound_address

    def start(self) -> None:
        """Start listening."""
        self.server.start()

    def stop(self) -> None:
        """Stop listening and close every connection."""
        if self._restart is not None:
            self._restart.kill(block=False)
        self.server.kill_connections()

    def _crash(self) -> None:
        """Reset every connection and stop listening until the restart."""
        if self.server.closed:
            return
        self.log.crashed_at_s.append(time.monotonic())
        address = self.address
        self.server.reset_connections()
        self._restart = gevent.spawn_later(self.restart_s, self._listen_again, address)

    def _listen_again(self, address: Address) -> None:
        self.server = ResettableServer(address, self)
        self.server.start()
        self.on_restart()

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request."""
        if self.is_silent:
            gevent.sleep(SILENCE_S)
        if environ["PATH_INFO"] in CALL_PATHS:
            expected = dict(environ[HEADERS_KEY]).get("Expect-Instance", "")
            self.log.calls.append((environ["PATH_INFO"], expected))
            if expected not in ("", self.name):
                headers = (("Instance-Id", self.name),)
                return HttpResponse(421, b"{}", headers).start(start_response)
        match environ["PATH_INFO"]:
            case "/chervilstall/report":
                report = json_response(200, self._build_report())
                fields = (*report.headers, *self._notice_headers())
                return replace(report, headers=fields).start(start_response)
            case "/chervilstall/order":
                return self._apply_order(environ, start_response)
            case "/healthz":
                status = 503 if self.is_leaving else 200
                headers = (("Instance-Id", self.name),)
                return HttpResponse(status, b"{}", headers).start(start_response)
        return self._run_request(environ, start_response)

    def _build_report(self) -> dict[str, Any]:
        stalled = []
        if self.stalled_on:
            stalled = [
                {"id": run.request, "address": self.stalled_on} for run in self.log.runs
            ]
        return {
            "pace": 1.0,
            "busy": False,
            "sequence": self.orders_begun,
            "queued": self.queued,
            "active": 0,
            "kv-used-count": 0,
            "kv-total-count": 1000,
            "stalled": stalled,
            "layers": {"from": self.layers.first, "to": self.layers.end},
        }

    def _apply_order(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        order = msgspec.json.decode(read_body(environ))
        self.log.orders.append(order)
        if order["op"] == "repath":
            self.stalled_on = ""
            return json_response(200, {}).start(start_response)
        if order.get("expected", self.orders_begun) != self.orders_begun:
            return json_response(409, {}).start(start_response)
        self.orders_begun += 1
        self.layers = LayerRange(order["from"], order["to"])
        return json_response(202, {}).start(start_response)

    def _run_request(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterator[bytes]:
        headers = {name.lower(): value for name, value in environ[HEADERS_KEY]}
        if self.behaviour is Behaviour.REFUSE:
            self.log.refused_at_s.append(time.monotonic())
            refusal = [("Not-Executed", "1")]
            if self.retry_after_s is not None:
                refusal.append(("Retry-After", str(self.retry_after_s)))
            start_response(status_line(503), refusal)
            return
        if headers.get("expect-instance", self.name) != self.name:
            start_response(status_line(421), [("Instance-Id", self.name)])
            return
        body = environ["wsgi.input"].read()
        request = headers.get("attempt-id", "")
        method = environ["REQUEST_METHOD"]
        path = environ[REQUEST_TARGET_KEY]
        run = Run(request, method, path, headers, body, time.monotonic())
        self.log.runs.append(run)
        if self.behaviour in ODD_BEHAVIOURS:
            self._send_oddly(run, environ[SOCKET_KEY])
        if self.behaviour in UNFRAMED_BEHAVIOURS:
            self._send_unframed(run, environ[SOCKET_KEY])
        if "hop-count" in headers and self.behaviour is not Behaviour.FAIL:
            yield from self._stream_events(run, environ, start_response)
            return
        yield from self._answer(run, environ, start_response)

    def _send_oddly(self, run: Run, connection: Any) -> NoReturn:
        fields = [("Attempt-Id", run.request), ("Server-Signature", SERVER_SIGNATURE)]
        if "hop-count" in run.headers:
            fields.append(("Content-Type", "text/event-stream"))
        send_odd_answer(connection, self.behaviour, fields)

    def _send_unframed(self, run: Run, connection: Any) -> NoReturn:
        fields = [
            ("Attempt-Id", run.request),
            ("Server-Signature", SERVER_SIGNATURE),
            *self._notice_headers(),
        ]
        is_stream = self.streams and "hop-count" in run.headers
        if is_stream:
            fields.append(("Content-Type", "text/event-stream"))
            parts = self._event_texts(run)
        else:
            answer = f"answer to {run.request}".encode()
            parts = [answer[:4], answer[4:]]
        if self.behaviour is Behaviour.UNFRAMED_CRASH_HEAD:
            connection.sendall(b"HTTP/1.1 200 OK\r\nAttempt")
            self._close_and_crash(connection)
        send_head(connection, fields)
        fault_at = self.events_before_fault if is_stream else 1
        for index, part in enumerate(parts):
            if index == fault_at:
                self._apply_unframed_fault(connection, part)
            connection.sendall(part)
            gevent.sleep(EVENT_INTERVAL_S)
        raise end_answer(connection, self.behaviour is Behaviour.UNFRAMED_RESET)

    def _apply_unframed_fault(self, connection: Any, part: bytes) -> None:
        match self.behaviour:
            case Behaviour.UNFRAMED_CLOSE:
                raise end_answer(connection)
            case Behaviour.UNFRAMED_RESET:
                raise end_answer(connection, is_reset=True)
            case Behaviour.UNFRAMED_CUT | Behaviour.UNFRAMED_CRASH:
                # Only the second line end of the delimiter is missing.
                connection.sendall(part[:-1])
                if self.behaviour is Behaviour.UNFRAMED_CRASH:
                    self._close_and_crash(connection)
                raise end_answer(connection)
            case Behaviour.UNFRAMED_PAUSE:
                gevent.sleep(self.pause_s)

    def _close_and_crash(self, connection: Any) -> NoReturn:
        # Closes this connection first, so that it isn't reset.
        gevent.spawn(self._crash)
        raise end_answer(connection)

    def _event_texts(self, run: Run) -> list[bytes]:
        """Return the events of a stream from the first one that is asked for."""
        event_count = int(run.headers["token-count"].split(",")[1])
        first_event_id = int(run.headers.get("last-event-id", "0")) + 1
        return [
            f"id: {event_id}\ndata: {self.name}\n\n".encode()
            for event_id in range(first_event_id, event_count + 1)
        ]

    def _answer(
        self, run: Run, environ: Environ, start_response: StartResponse
    ) -> Iterator[bytes]:
        gevent.sleep(self.answer_s)
        if self._is_crashing(run):
            self._crash()
            raise ConnectionResetError(errno.ECONNRESET, "the target crashed")
        answer = f"answer to {run.request}".encode()
        response_headers = [
            ("Attempt-Id", run.request),
            ("Server-Signature", SERVER_SIGNATURE),
            ("Content-Length", str(len(answer))),
            *self._notice_headers(),
        ]
        connection = environ[SOCKET_KEY]
        match self.behaviour:
            case Behaviour.FAIL:
                start_response(status_line(500), response_headers)
            case Behaviour.LOSE_ANSWER:
                raise BrokenPipeError(
                    errno.EPIPE, "response dropped by an injected fault"
                )
            case Behaviour.HANG:
                gevent.sleep(30.0)
            case Behaviour.TRUNCATE_ANSWER:
                start_response(status_line(200), response_headers)
                yield answer[:4]
                raise BrokenPipeError(
                    errno.EPIPE, "response truncated by an injected fault"
                )
            case Behaviour.CRASH_IN_ANSWER:
                start_response(status_line(200), response_headers)
                yield answer[:4]
                self._crash()
                raise ConnectionResetError(errno.ECONNRESET, "the target crashed")
            case Behaviour.ANSWER_TWICE:
                response = b"HTTP/1.1 200 OK\r\n" + b"".join(
                    f"{name}: {value}\r\n".encode() for name, value in response_headers
                )
                connection.sendall((response + b"\r\n" + answer) * 2)
                raise BrokenPipeError(
                    errno.EPIPE, "connection closed after a duplicate response"
                )
            case (
                Behaviour.REFUSE_ANOTHER
                | Behaviour.REFUSE_UNMARKED
                | Behaviour.LIMIT_UNMARKED
            ):
                if self.behaviour is Behaviour.REFUSE_ANOTHER:
                    response_headers[:2] = [
                        ("Attempt-Id", "another"),
                        ("Not-Executed", "1"),
                    ]
                status = FALSE_REFUSALS[self.behaviour]
                start_response(status_line(status), response_headers)
            case Behaviour.ANSWER_WRONG_REQUEST:
                response_headers[0] = ("Attempt-Id", "another")
                start_response(status_line(200), response_headers)
            case _:
                start_response(status_line(200), response_headers)
        yield answer

    def _stream_events(
        self, run: Run, environ: Environ, start_response: StartResponse
    ) -> Iterator[bytes]:
        response_headers = [
            ("Attempt-Id", run.request),
            ("Server-Signature", SERVER_SIGNATURE),
            ("Content-Type", "text/event-stream"),
            *self._notice_headers(),
        ]
        if self.behaviour is Behaviour.STREAM_UNSIGNED:
            del response_headers[1]
        if self.behaviour is Behaviour.STREAM_ANOTHER:
            response_headers[0] = ("Attempt-Id", "another")
        start_response(status_line(200), response_headers)
        try:
            gevent.sleep(max(0.0, self.first_event_s - EVENT_INTERVAL_S))
            for index, event in enumerate(self._event_texts(run)):
                gevent.sleep(EVENT_INTERVAL_S)
                if self._is_crashing(run) and index == self.events_before_crash:
                    self._crash()
                    raise ConnectionResetError(errno.ECONNRESET, "the target crashed")
                if index == self.events_before_fault:
                    self._pause_stream()
                if index >= self.events_before_fault:
                    self._apply_stream_fault()
                if index == self.events_before_fault:
                    yield STREAM_ERRORS.get(self.behaviour, b"") + event
                    continue
                yield event
                # A fault before the first event has none to repeat.
                if index + 1 == max(self.events_before_fault, 1):
                    yield from self._repeat_event(event)
        except GeneratorExit:
            self.log.cancelled_streams += 1
            raise

    def _repeat_event(self, event: bytes) -> Iterator[bytes]:
        while self.behaviour is Behaviour.REPEAT_EVENT:
            gevent.sleep(EVENT_INTERVAL_S)
            yield event

    def _is_crashing(self, run: Run) -> bool:
        names_crashing = bool(shared_parts(run.headers) & self.crashing_parts)
        return names_crashing or run.target in self.crashing_targets

    def _notice_headers(self) -> list[tuple[str, str]]:
        headers = []
        if self.limit_per_s is not None:
            headers.append(("Server-Limit", str(self.limit_per_s)))
        if self.announces_leaving:
            headers.append(("Server-Leaving", "1"))
        return headers

    def _pause_stream(self) -> None:
        if self.behaviour is Behaviour.PAUSE_STREAM:
            gevent.sleep(self.pause_s)

    def _apply_stream_fault(self) -> None:
        match self.behaviour:
            case Behaviour.BREAK_STREAM:
                raise BrokenPipeError(errno.EPIPE, "stream closed by an injected fault")
            case Behaviour.CRASH_IN_ANSWER:
                self._crash()
                raise ConnectionResetError(errno.ECONNRESET, "the target crashed")
            case Behaviour.STALL_STREAM:
                while self.stalled_on:
                    gevent.sleep(EVENT_INTERVAL_S)
