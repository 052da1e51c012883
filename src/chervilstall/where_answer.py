"""Question and answer of `chervilstallctl where`: where would a request go now?

Both routers answer `GET /where` on their listeners for operators. The question is the
query string; the answer is a JSON document of bounded size.
"""

import re
from collections.abc import Iterable
from typing import Any
from urllib.parse import parse_qsl, urlencode

import msgspec

from chervilstall.errors import ChervilstallError
from chervilstall.http_response import HttpResponse, json_response

WHERE_PATH = "/where"
RANDOM = "random"
"""Name of the component that is drawn for each request, and left out of the answer."""

SCOPE_ALL = "all"
SCOPE_FIRST_STAGE = "first stage"
SCOPE_LATER_STAGES = "later stages"
SCOPE_COSTS_MORE = "costs more"

QUERY_MAX_BYTES = 4_096
PARTS_MAX = 8
TOKENS_MAX = 10_000_000
PATHS_MAX = 4
EXCLUDED_MAX = 50

_WHOLE_NUMBER = re.compile("[0-9]{1,8}")
_TEXT_MAX = {"host": 255, "path": 2_048, "model": 255, "workspace": 255}
_SIZES = ("prompt_tokens", "answer_tokens", "priority")
_PART_MAX = 255


class UnknownName(Exception):
    """The question names something that isn't configured, such as a workspace."""


class WhereQuestion(msgspec.Struct, frozen=True):
    """A request that is described and not sent.

    `path` is that of the request; for a completion at `chervilstall-router`, `model`
    names the pipeline. Without `priority`, that of the route and workspace applies.
    `parts` are the shared parts of the prompt, of which some may be in quarantine.
    """

    host: str = ""
    path: str = ""
    model: str = ""
    workspace: str = ""
    prompt_tokens: int = 0
    answer_tokens: int = 0
    priority: int | None = None
    parts: tuple[str, ...] = ()

    def encode(self) -> str:
        """Return the query string."""
        fields = [
            (name, str(getattr(self, name)))
            for name in (*_TEXT_MAX, *_SIZES)
            if getattr(self, name) not in ("", None)
        ]
        return urlencode([*fields, *(("part", part) for part in self.parts)])


def parse_question(query: str) -> WhereQuestion:
    """Parse a query string. Raises ValueError that names the malformed field."""
    if len(query) > QUERY_MAX_BYTES:
        raise ValueError(f"the question has more than {QUERY_MAX_BYTES} bytes")
    try:
        pairs = parse_qsl(
            query, keep_blank_values=True, strict_parsing=bool(query), errors="strict"
        )
    except ValueError as error:
        raise ValueError("the question is malformed") from error
    fields: dict[str, Any] = {}
    parts: list[str] = []
    for name, value in pairs:
        if name in fields:
            raise ValueError(f"{name} is given twice")
        if name == "part":
            parts.append(_parse_text(name, value, _PART_MAX))
        elif name in _TEXT_MAX:
            fields[name] = _parse_text(name, value, _TEXT_MAX[name])
        elif name in _SIZES:
            fields[name] = _parse_size(name, value)
        else:
            raise ValueError(f"there is no field {name[:40]!r}")
    if len(parts) > PARTS_MAX:
        raise ValueError(f"more than {PARTS_MAX} parts")
    return WhereQuestion(**fields, parts=tuple(parts))


def _parse_text(name: str, value: str, length_max: int) -> str:
    if len(value) > length_max or not value.isprintable():
        raise ValueError(f"{name} is not printable text of at most {length_max} bytes")
    return value


def _parse_size(name: str, value: str) -> int:
    if not _WHOLE_NUMBER.fullmatch(value) or int(value) > TOKENS_MAX:
        raise ValueError(f"{name} is not a whole number from 0 to {TOKENS_MAX}")
    return int(value)


class CostPart(msgspec.Struct, frozen=True):
    """One component of a cost.

    `source` says what it is calculated from. `age_s` is the age of the oldest of these
    figures, None where they have none or it isn't known.
    """

    name: str
    value: float
    unit: str
    source: str
    age_s: float | None = None


class StageAnswer(msgspec.Struct, frozen=True):
    """One stage of a path. Targets of plain services have no layers."""

    target: str
    zone: str
    first_layer: int | None = None
    end_layer: int | None = None
    cost: float = 0.0


class RankedPath(msgspec.Struct, frozen=True):
    """A path, its cost and the components that add up to it.

    Where stages work at the same time, `is_maximum` is set: the cost is that of the
    costliest stage, and the components are those of this stage.
    """

    stages: tuple[StageAnswer, ...]
    cost: float
    unit: str
    parts: tuple[CostPart, ...]
    is_maximum: bool = False


class ExcludedTarget(msgspec.Struct, frozen=True):
    """A target that is not used, or not everywhere.

    `scope` is the use that the reason applies to. It is "costs more" for a target that
    may be used but is avoided. `age_s` is the age of the information behind the reason.
    """

    target: str
    zone: str
    reason: str
    scope: str = SCOPE_ALL
    detail: str = ""
    age_s: float | None = None


class AdmissionAnswer(msgspec.Struct, frozen=True):
    """What would become of the request before it is sent.

    `outcome` is "admitted", "waits", "refused" or "forwarded" (to another router).
    A refusal has a status, and the bounds of the Retry-After time where it states one.
    """

    outcome: str
    reason: str
    status: int | None = None
    retry_after_s: tuple[float, float] | None = None
    expected_wait_s: float | None = None
    longest_wait_s: float | None = None


class WhereAnswer(msgspec.Struct, frozen=True):
    """Where a router would send a request now; the first of `paths` is the chosen one.

    `version` is that of the configuration, or the revision of the settings.
    """

    router: str
    zone: str
    version: int
    route: str
    service: str
    workspace: str
    priority: str
    prompt_tokens: int
    answer_tokens: int
    admission: AdmissionAnswer
    paths: tuple[RankedPath, ...] = ()
    excluded: tuple[ExcludedTarget, ...] = ()
    excluded_more: int = 0
    notes: tuple[str, ...] = ()


def refused(
    error: ChervilstallError, retry_after_s: tuple[float, float] | None = None
) -> AdmissionAnswer:
    """Return the answer for a request that ends with an error.

    `retry_after_s` holds the bounds of the Retry-After time if it isn't the error's.
    """
    bounds_s = None
    if error.response.is_retryable:
        low_s, high_s = retry_after_s or (error.retry_after_s, error.retry_after_s)
        bounds_s = (round(low_s, 2), round(high_s, 2))
    return AdmissionAnswer("refused", str(error), error.response.status, bounds_s)


def first_excluded(
    excluded: Iterable[ExcludedTarget],
) -> tuple[tuple[ExcludedTarget, ...], int]:
    """Return the first `EXCLUDED_MAX` by reason and target, and how many follow."""
    ordered = sorted(excluded, key=lambda each: (each.reason, each.target))
    return tuple(ordered[:EXCLUDED_MAX]), max(0, len(ordered) - EXCLUDED_MAX)


def where_error(status: int, message: str) -> HttpResponse:
    """Return the response to a question that can't be answered."""
    return json_response(status, {"error": message})
