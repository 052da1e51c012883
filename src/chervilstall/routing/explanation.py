"""Routing decisions of recent requests, for lookup by request id."""

from collections import OrderedDict

import msgspec

from chervilstall.ids import RequestId

ENTRIES_MAX = 5_000


class RouteStep(msgspec.Struct, frozen=True):
    """The routing decision of one attempt.

    `targets` are the chosen targets in the order of their stages. `considered` names
    the targets that the attempt avoided because earlier attempts had failed there.
    `reason` is free text.
    """

    attempt: int
    targets: tuple[str, ...]
    is_spilling: bool
    considered: tuple[str, ...]
    reason: str


class Explanation(msgspec.Struct):
    """The routing decisions and the outcome of one request.

    `queued_ms` is the time spent in the admission queue, summed over all attempts.
    `outcome` is "finished", the text of the final error, or empty while it runs.
    """

    request: RequestId
    workspace: str
    pipeline: str
    request_class: str
    queued_ms: float = 0.0
    steps: list[RouteStep] = []
    outcome: str = ""


class ExplanationLog:
    """Keeps the explanations of the most recent `entries_max` requests."""

    def __init__(self, entries_max: int = ENTRIES_MAX) -> None:
        self._entries_max = entries_max
        self._entries: OrderedDict[RequestId, Explanation] = OrderedDict()

    def add(self, explanation: Explanation) -> None:
        """Add an explanation, evicting the oldest one when the log is full."""
        self._entries[explanation.request] = explanation
        if len(self._entries) > self._entries_max:
            self._entries.popitem(last=False)

    def get(self, request: RequestId) -> Explanation | None:
        """Return a request's explanation, or None if unknown or already evicted."""
        return self._entries.get(request)
