"""Steps for engines and services whose answers have neither a length nor chunks."""

import time
from dataclasses import dataclass, field

import msgspec
from behave import given, then, when
from behave.runner import Context

from chervilstall.http_response import StartResponse
from chervilstall.ids import AttemptNumber, Position, RequestId, TargetId
from chervilstall.settings.connections import TargetSettings
from chervilstall.settings.option import Address
from chervilstall.standin.target_server import encode_event
from chervilstall.standin.unframed import end_answer, send_head
from chervilstall.target.contract import (
    ATTEMPT_HEADER,
    REQUEST_HEADER,
    AttemptFailed,
    AttemptProgress,
    EventKind,
    FailureCause,
    GenerateOrder,
    Hop,
    LoadReport,
    Priority,
    ServiceCall,
    StreamEvent,
)
from chervilstall.target.engine_client import HttpEngineClient
from chervilstall.target.service_client import HttpServiceClient
from chervilstall.wsgi import SOCKET_KEY, Environ, Server, read_body
from tests.support.router_harness import ANY_PORT

TARGET = TargetId("unframed")
ANSWER = b'{"whole": true}'
LENGTH_FINISH = "length"


@dataclass
class UnframedTarget:
    """A target that serves engine streams, short calls and service calls.

    `ending` is how an answer ends before its end, and `event` the event of a stream
    that it ends in, or before it where `is_before` is set.
    """

    ending: str = "finish"
    event: int | None = None
    is_before: bool = False
    server: Server = field(init=False)

    def __post_init__(self) -> None:
        self.server = Server(ANY_PORT, self.application)
        self.server.start()

    @property
    def address(self) -> Address:
        """Return the bound address."""
        return self.server.bound_address

    def stop(self) -> None:
        """Stop listening and close every connection."""
        self.server.kill_connections()

    def application(self, environ: Environ, start_response: StartResponse) -> list:
        """Answer one request over its socket."""
        connection = environ[SOCKET_KEY]
        body = read_body(environ)
        send_head(
            connection,
            (
                (REQUEST_HEADER, environ.get("HTTP_CHERVILSTALL_REQUEST", "")),
                (ATTEMPT_HEADER, environ.get("HTTP_CHERVILSTALL_ATTEMPT", "")),
            ),
        )
        if environ["PATH_INFO"] == "/v1/generate":
            parts = stream_parts(msgspec.json.decode(body, type=GenerateOrder))
            for index, part in enumerate(parts):
                if index == self.event:
                    connection.sendall(b"" if self.is_before else part[:-1])
                    raise end_answer(connection, self.ending == "reset")
                connection.sendall(part)
            raise end_answer(connection)
        is_load = environ["PATH_INFO"] == "/v1/load"
        answer = msgspec.json.encode(LoadReport(0, 0, 0.0)) if is_load else ANSWER
        connection.sendall(answer[:5])
        if self.ending == "finish":
            connection.sendall(answer[5:])
        raise end_answer(connection, self.ending == "reset")


def stream_parts(order: GenerateOrder) -> list[bytes]:
    """Return the events that answer an order."""
    identity = (order.request, order.attempt)
    events = [StreamEvent(*identity, EventKind.ACCEPTED)]
    for position in range(order.max_tokens):
        events.append(
            StreamEvent(*identity, EventKind.TOKEN, Position(position), f"t{position}")
        )
    end = Position(order.max_tokens)
    events.append(StreamEvent(*identity, EventKind.END, end, finish=LENGTH_FINISH))
    return [encode_event(event) for event in events]


@given("a target whose answers have neither a length nor chunks")
def start_unframed(context: Context) -> None:
    context.unframed = UnframedTarget()
    context.stoppables.append(context.unframed)


@given("it would {ending} each answer before its end")
def set_ending(context: Context, ending: str) -> None:
    context.unframed.ending = ending


@given("its streams {ending} {place} the event {event:d}")
def set_stream_ending(context: Context, ending: str, place: str, event: int) -> None:
    context.unframed.ending = ending
    context.unframed.event = event
    context.unframed.is_before = place == "before"


@when("two {kind} calls are sent to it as to a service")
def call_service(context: Context, kind: str) -> None:
    client = HttpServiceClient(TargetSettings())
    call = ServiceCall("GET", "/thing", (), b"")
    context.outcomes = []
    for number in (1, 2):
        try:
            outcome = client.call(
                TARGET,
                context.unframed.address,
                call,
                RequestId(f"r{number}"),
                AttemptNumber(1),
                kind == "repeatable",
                2.0,
            )
        except AttemptFailed as error:
            outcome = error
        context.outcomes.append(outcome)


@then("both answers are whole")
def check_whole_answers(context: Context) -> None:
    bodies = [getattr(each, "body", each) for each in context.outcomes]
    assert bodies == [ANSWER, ANSWER], bodies


@then("both fail as closed after they were sent")
def check_closed(context: Context) -> None:
    for outcome in context.outcomes:
        assert isinstance(outcome, AttemptFailed), outcome
        assert outcome.cause is FailureCause.CLOSED, outcome
        assert outcome.progress is AttemptProgress.SENT, outcome


@when("its load is asked for")
def fetch_load(context: Context) -> None:
    client = HttpEngineClient(TargetSettings())
    context.load = client.fetch_load(context.unframed.address)


@then("the load report is {result}")
def check_load(context: Context, result: str) -> None:
    assert (context.load is not None) == (result == "there"), context.load


def order_to(address: Address, tokens: int = 4) -> GenerateOrder:
    """Return an order for a number of tokens from one target."""
    return GenerateOrder(
        RequestId("r1"),
        AttemptNumber(1),
        "assistant",
        "1",
        "",
        "prompt",
        tokens,
        Priority.STANDARD,
        (Hop(TARGET, address.host, address.port, 0, 12),),
    )


@when("a stream of {tokens:d} tokens is read from it")
def read_stream(context: Context, tokens: int) -> None:
    order = order_to(context.unframed.address, tokens)
    context.tokens = []
    context.failure = None
    client = HttpEngineClient(TargetSettings())
    try:
        context.stream = client.generate(order, time.monotonic() + 5.0)
        while context.stream.progress is not AttemptProgress.FINISHED:
            event = context.stream.next_event()
            if event.kind is EventKind.TOKEN:
                context.tokens.append(event.token)
    except AttemptFailed as error:
        context.failure = error


@then("{count:d} tokens arrive and the stream has finished")
def check_finished(context: Context, count: int) -> None:
    assert context.failure is None, context.failure
    tokens = [f"t{position}" for position in range(count)]
    assert context.tokens == tokens, context.tokens


@then("{count:d} tokens arrive and the stream is broken off")
def check_broken_off(context: Context, count: int) -> None:
    assert context.failure is not None, context.tokens
    assert context.failure.cause is FailureCause.CLOSED, context.failure.cause
    tokens = [f"t{position}" for position in range(count)]
    assert context.tokens == tokens, context.tokens
