"""Headers of requests and responses, translated to and from the project's types."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from geventhttpclient.header import Headers

from chervilstall.fleet.records import Target
from chervilstall.ids import PartId, RequestId, TargetId, VmId, WorkspaceName
from chervilstall.paths.records import Path
from chervilstall.platform import protocol
from chervilstall.platform.targets import HTTP_MISDIRECTED, encode_path, is_leaving

PRIORITY_MAX = 9
"""The least urgent priority that a target knows; 0 is the most urgent."""

NOT_RUN_STATUSES = frozenset({408, HTTP_MISDIRECTED, 429, 503})
"""Statuses that promise a caller that its request has not run and never will.

A target's response promises that only if it is marked as not executed.
"""

HeaderFields = tuple[tuple[str, str], ...]


@dataclass(frozen=True)
class RequestFields:
    """The values of a caller's headers.

    `timeout_s` is how long the caller waits, None if it isn't stated. Sizes are in
    tokens, 0 if they aren't stated. `prompt_parts` are the parts of the prompt that it
    may share with other requests, and `prompt` names them all, with its own, as text.
    """

    request: RequestId
    host: str
    credential: str
    timeout_s: float | None
    last_event_id: str
    prompt_tokens: float
    answer_tokens: float
    forwarded_headers: HeaderFields
    prompt_parts: tuple[PartId, ...] = ()
    prompt: str = ""


def read_request_fields(headers: Iterable[tuple[str, str]]) -> RequestFields:
    """Parse a caller's headers. Malformed numbers count as not stated."""
    fields = list(headers)
    by_name = {name.lower(): value.strip() for name, value in fields}
    dropped = set(protocol.CONNECTION_HEADERS) | protocol.ROUTER_HEADERS
    for token in by_name.get("connection", "").split(","):
        dropped.add(token.strip().lower())
    timeout_ms = _parse_number(by_name.get(protocol.DEADLINE.lower(), ""))
    prompt, _, answer = by_name.get(protocol.TOKEN_COUNT.lower(), "").partition(",")
    hint = _parse_number(by_name.get(protocol.LENGTH_HINT.lower(), ""))
    return RequestFields(
        request=RequestId(by_name.get(protocol.REQUEST_ID.lower(), "")),
        host=by_name.get("host", ""),
        credential=by_name.get(protocol.CREDENTIAL.lower(), ""),
        timeout_s=None if timeout_ms is None else timeout_ms / 1e3,
        last_event_id=by_name.get(protocol.LAST_EVENT_ID.lower(), ""),
        prompt_tokens=_parse_number(prompt) or 0.0,
        answer_tokens=hint or _parse_number(answer) or 0.0,
        forwarded_headers=tuple(
            (name, value) for name, value in fields if name.lower() not in dropped
        ),
        prompt_parts=_parse_shared_parts(fields),
        prompt=",".join(_prompt_headers(fields)),
    )


def _prompt_headers(fields: list[tuple[str, str]]) -> list[str]:
    return [
        value.strip().lower()
        for name, value in fields
        if name.lower() == protocol.PROMPT_PARTS.lower()
    ]


def _parse_shared_parts(fields: list[tuple[str, str]]) -> tuple[PartId, ...]:
    """Return the parts of a prompt without the last, which is the request's own."""
    parts: list[PartId] = []
    for value in _prompt_headers(fields):
        for part in value.split(",")[:-1]:
            parts.append(PartId(part.partition(":")[0].strip()))
    return tuple(part for part in parts if part)


def _parse_number(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0.0 <= value < 1e12 else None


def _parse_target(text: str | None) -> TargetId | None:
    return TargetId(text) if text else None


@dataclass(frozen=True)
class ForwardFields:
    """Values of the headers that the router adds to a request it forwards."""

    target: Target
    remaining_s: float
    workspace: WorkspaceName | None
    priority: int
    path: Path | None = None
    last_event_id: str = ""


def forward_headers(forwarded: HeaderFields, fields: ForwardFields) -> Headers:
    """Build the headers of a request to a target.

    The router's value of Last-Event-Id replaces that of the caller.
    """
    headers = Headers()
    for name, value in forwarded:
        if fields.last_event_id and name.lower() == protocol.LAST_EVENT_ID.lower():
            continue
        headers.add(name, value)
    headers.add(protocol.DEADLINE, str(max(1, int(fields.remaining_s * 1e3))))
    headers.add(protocol.EXPECTED_TARGET, fields.target.id)
    headers.add(protocol.PRIORITY, str(min(max(fields.priority, 0), PRIORITY_MAX)))
    if fields.workspace is not None:
        headers.add(protocol.WORKSPACE, fields.workspace)
    if fields.path is not None:
        headers.add(protocol.PIPELINE_PATH, encode_path(fields.path))
    if fields.last_event_id:
        headers.add(protocol.LAST_EVENT_ID, fields.last_event_id)
    return headers


def router_headers(
    fields: RequestFields, remaining_s: float, last_event_id: str, router: VmId
) -> Headers:
    """Build the headers of a request that goes to another router.

    They are the caller's, with the time that is left. `last_event_id` replaces that of
    the caller if it is set. A target that has the address of `router` by now refuses
    the request, since it is not the instance that is expected.
    """
    headers = Headers()
    for name, value in fields.forwarded_headers:
        if last_event_id and name.lower() == protocol.LAST_EVENT_ID.lower():
            continue
        headers.add(name, value)
    headers.add(protocol.DEADLINE, str(max(1, int(remaining_s * 1e3))))
    headers.add(protocol.EXPECTED_TARGET, router)
    if fields.credential:
        headers.add(protocol.CREDENTIAL, fields.credential)
    if last_event_id:
        headers.add(protocol.LAST_EVENT_ID, last_event_id)
    return headers


@dataclass(frozen=True)
class ResponseHead:
    """Status and headers of a target's response.

    `matches_request` is true if the response carries the ID of the request that was
    sent, `is_other_request` if it carries another one, and `is_signed` if it comes from
    a target of the service. `is_not_executed` is true if the responder states that this
    request has not run; but for a misdirected request no status says that by itself.
    `faulty_address` is the address of the target that the responder names as the cause
    of a failure.
    `limit_per_s` is the number of requests a second that the responder takes from all
    routers together, None if it names no limit. `is_leaving` is true if the responder
    is about to exit. `retry_after_s` is the time for which a refusing responder wants
    no more requests from this router, None if it names none. `responder` is the ID of
    the responder where it states it. `keep_alive_s` is the time for which the responder
    keeps the idle connection open, None if it names none, 0 if it closes it.
    """

    status: int
    headers: HeaderFields
    matches_request: bool
    is_other_request: bool
    is_signed: bool
    is_not_executed: bool
    is_stream: bool
    faulty_address: str
    limit_per_s: float | None = None
    is_leaving: bool = False
    retry_after_s: float | None = None
    responder: TargetId | None = None
    keep_alive_s: float | None = None


def read_response_head(response: Any, request: RequestId) -> ResponseHead:
    """Parse status and headers of the response to `request`."""
    fields = [(name, str(value)) for name, value in response.headers]
    by_name = {name.lower(): value.strip() for name, value in fields}
    named_request = by_name.get(protocol.REQUEST_ID.lower())
    is_other_request = named_request is not None and named_request != request
    return ResponseHead(
        status=response.status_code,
        headers=tuple(
            (name, value)
            for name, value in fields
            if name.lower() not in protocol.CONNECTION_HEADERS
        ),
        matches_request=named_request == request,
        is_other_request=is_other_request,
        is_signed=protocol.SERVER_SIGNATURE.lower() in by_name,
        is_not_executed=not is_other_request
        and (
            protocol.NOT_EXECUTED.lower() in by_name
            or response.status_code == HTTP_MISDIRECTED
        ),
        is_stream=by_name.get("content-type", "").startswith(
            protocol.EVENT_STREAM_TYPE
        ),
        faulty_address=by_name.get(protocol.FAULTY_TARGET.lower(), ""),
        limit_per_s=_parse_number(by_name.get(protocol.RATE_LIMIT.lower(), "")),
        retry_after_s=_parse_number(by_name.get(protocol.RETRY_AFTER.lower(), "")),
        is_leaving=is_leaving(by_name),
        responder=_parse_target(by_name.get(protocol.ANSWERING_TARGET.lower())),
        keep_alive_s=_parse_keep_alive(by_name.get(protocol.KEEP_ALIVE.lower(), "")),
    )


def _parse_keep_alive(text: str) -> float | None:
    """Return the idle time that a Keep-Alive header names, 0 if it allows no request.

    Parameters that are unknown or malformed count as not stated.
    """
    timeout_s = None
    for parameter in text.split(","):
        name, _, value = parameter.partition("=")
        number = _parse_number(value.strip(' "'))
        if name.strip().lower() == "max" and number == 0.0:
            return 0.0
        if name.strip().lower() == "timeout":
            timeout_s = number
    return timeout_s
