"""Headers of requests and answers, translated to and from the project's types."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from geventhttpclient.header import Headers

from chervilstall.fleet.records import Target
from chervilstall.ids import RequestId, WorkspaceName
from chervilstall.paths.records import Path
from chervilstall.platform import protocol
from chervilstall.platform.targets import encode_path

PRIORITY_MAX = 9
"""The least urgent priority that a target knows; 0 is the most urgent."""

HeaderFields = tuple[tuple[str, str], ...]


@dataclass(frozen=True)
class RequestFields:
    """What a caller's headers say. Sizes are in tokens, 0 where not told."""

    request: RequestId
    host: str
    credential: str
    timeout_s: float | None
    last_event_id: str
    prompt_tokens: float
    answer_tokens: float
    forwarded_headers: HeaderFields


def read_request_fields(headers: Iterable[tuple[str, str]]) -> RequestFields:
    """Read a caller's headers; numbers that cannot be read count as not told."""
    fields = list(headers)
    found = {name.lower(): value.strip() for name, value in fields}
    dropped = set(protocol.CONNECTION_HEADERS) | protocol.OWN_HEADERS
    for word in found.get("connection", "").split(","):
        dropped.add(word.strip().lower())
    wait_ms = _number(found.get(protocol.DEADLINE.lower(), ""))
    prompt, _, answer = found.get(protocol.TOKENS.lower(), "").partition(",")
    hint = _number(found.get(protocol.LENGTH_HINT.lower(), ""))
    return RequestFields(
        request=RequestId(found.get(protocol.REQUEST_ID.lower(), "")),
        host=found.get("host", ""),
        credential=found.get(protocol.KEY.lower(), ""),
        timeout_s=None if wait_ms is None else wait_ms / 1e3,
        last_event_id=found.get(protocol.LAST_EVENT.lower(), ""),
        prompt_tokens=_number(prompt) or 0.0,
        answer_tokens=hint or _number(answer) or 0.0,
        forwarded_headers=tuple(
            (name, value) for name, value in fields if name.lower() not in dropped
        ),
    )


def _number(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0.0 <= value < 1e12 else None


@dataclass(frozen=True)
class ForwardFields:
    """What the router adds to a request that it passes on."""

    target: Target
    remaining_s: float
    workspace: WorkspaceName | None
    priority: int
    path: Path | None = None
    last_event_id: str = ""


def forward_headers(passed_on: HeaderFields, send: ForwardFields) -> Headers:
    """Return the headers of a request to a target."""
    headers = Headers()
    for name, value in passed_on:
        if send.last_event_id and name.lower() == protocol.LAST_EVENT.lower():
            continue
        headers.add(name, value)
    headers.add(protocol.DEADLINE, str(max(1, int(send.remaining_s * 1e3))))
    headers.add(protocol.EXPECTED_TARGET, send.target.id)
    headers.add(protocol.PRIORITY, str(min(max(send.priority, 0), PRIORITY_MAX)))
    if send.workspace is not None:
        headers.add(protocol.WORKSPACE, send.workspace)
    if send.path is not None:
        headers.add(protocol.PATH, encode_path(send.path))
    if send.last_event_id:
        headers.add(protocol.LAST_EVENT, send.last_event_id)
    return headers


@dataclass(frozen=True)
class ResponseHead:
    """Status and headers of a target's answer.

    `matches_request` tells that the answer names the request that it was sent for,
    `is_signed` that a target of the service made it. `faulty_address` names the target
    that the failure is laid to.
    """

    status: int
    headers: HeaderFields
    matches_request: bool
    is_signed: bool
    is_not_executed: bool
    is_stream: bool
    faulty_address: str


def read_response_head(response: Any, request: RequestId) -> ResponseHead:
    """Read status and headers of an answer to `request`."""
    fields = [(name, str(value)) for name, value in response.headers]
    found = {name.lower(): value.strip() for name, value in fields}
    return ResponseHead(
        status=response.status_code,
        headers=tuple(
            (name, value)
            for name, value in fields
            if name.lower() not in protocol.CONNECTION_HEADERS
        ),
        matches_request=found.get(protocol.REQUEST_ID.lower()) == request,
        is_signed=protocol.SIGNATURE.lower() in found,
        is_not_executed=protocol.NOT_RUN.lower() in found
        or response.status_code == 421,
        is_stream=found.get("content-type", "").startswith(protocol.STREAM_TYPE),
        faulty_address=found.get(protocol.FAULTY_TARGET.lower(), ""),
    )
