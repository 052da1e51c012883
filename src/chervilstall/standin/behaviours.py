"""How a stand-in target may treat the requests that it gets."""

from enum import Enum


class Behaviour(Enum):
    """How a stand-in handles the requests that it gets."""

    SERVE = "serve"
    FAIL = "fail"
    REFUSE = "refuse"
    LOSE_ANSWER = "lose the answer"
    HANG = "hang"
    TRUNCATE_ANSWER = "cut the answer"
    ANSWER_TWICE = "answer twice"
    ENDLESS_HEAD = "send a head without end"
    ENDLESS_BODY = "send a body without end"
    ENDLESS_TRAILERS = "send header lines behind the last chunk without end"
    ODD_STATUS = "answer with a status that HTTP doesn't know"
    ANSWER_WRONG_REQUEST = "answer another request"
    CRASH_IN_ANSWER = "crash in the middle of an answer"
    BREAK_STREAM = "break the stream"
    STALL_STREAM = "stall the stream"
    PAUSE_STREAM = "pause the stream"
    REFUSE_ANOTHER = "run it and refuse another request"
    REFUSE_UNMARKED = "run it and answer 503 without a mark"
    LIMIT_UNMARKED = "run it and answer 429 without a mark"
    ERROR_TEXT = "write an error's text into the stream"
    ERROR_HEAD = "write an error's head into the stream"
    ERROR_EVENT = "write an error into the stream as an event without an id"
    REPEAT_EVENT = "repeat an event without end"
    STREAM_UNSIGNED = "stream without a signature"
    STREAM_ANOTHER = "stream for another request"
    UNFRAMED = "answer without a length"
    UNFRAMED_CLOSE = "close an answer without a length"
    UNFRAMED_RESET = "reset an answer without a length"
    UNFRAMED_CUT = "close an answer without a length inside an event"
    UNFRAMED_CRASH = "crash inside an event of an answer without a length"
    UNFRAMED_CRASH_HEAD = "crash inside the head of an answer without a length"
    UNFRAMED_PAUSE = "pause in an answer without a length"


UNFRAMED_BEHAVIOURS = frozenset(
    {each for each in Behaviour if each.name.startswith("UNFRAMED")}
)

ERROR_TEXT = b"upstream unavailable"
STREAM_ERRORS = {
    Behaviour.ERROR_TEXT: ERROR_TEXT + b"\n\n",
    Behaviour.ERROR_HEAD: (
        b"HTTP/1.1 503 Service Unavailable\r\nServer-Signature: other\r\n"
        b"Content-Length: 20\r\n\r\n" + ERROR_TEXT
    ),
    Behaviour.ERROR_EVENT: b"data: " + ERROR_TEXT + b"\n\n",
}
"""What some behaviours write where the next event of a stream is due."""

FALSE_REFUSALS = {
    Behaviour.REFUSE_ANOTHER: 503,
    Behaviour.REFUSE_UNMARKED: 503,
    Behaviour.LIMIT_UNMARKED: 429,
}
"""Statuses of refusals of requests that have run all the same."""
