"""Request counters and latency histograms of a router, by workspace and route."""

from collections import defaultdict
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from hdrh.histogram import HdrHistogram

from chervilstall.telemetry.metrics import new_histogram, record_seconds, summary_lines

SERIES_MAX = 2_000
HISTOGRAMS_MAX = 1_000
"""One histogram takes about 27 KB."""

OTHER = "other"


class RequestOutcome(Enum):
    """How a request ended for its caller."""

    SERVED = "served"
    FAILED_BY_TARGET = "failed_by_target"
    REFUSED = "refused"
    BROKEN = "broken"
    CALLER_LEFT = "caller_left"

    @classmethod
    def of_status(cls, status: int) -> "RequestOutcome":
        """Return the outcome for the status of a target's complete response."""
        return cls.SERVED if status < 400 else cls.FAILED_BY_TARGET


class MeasuredRequest(Protocol):
    """The attributes of a finished request that the metrics read."""

    @property
    def labels(self) -> tuple[str, str]:
        """Return workspace and route."""

    @property
    def queued_s(self) -> float | None:
        """Return the time from arrival to the first send; None if it was never sent."""

    @property
    def longest_gap_s(self) -> float | None:
        """Return the longest time between two events; None for fewer than two."""


Series = tuple[str, str, str]


class EdgeMetrics:
    """Counters and latency histograms of one process, with a bounded number of series.

    Requests beyond the bounds are counted under the workspace and route `other`.
    `sources` return the lines of series that other parts of the router keep.
    """

    def __init__(self) -> None:
        self.counters: dict[Series, int] = defaultdict(int)
        self.gauges: dict[str, float] = {}
        self.sources: list[Callable[[], list[str]]] = []
        self._histograms: dict[Series, HdrHistogram] = {}

    def record_first_event(self, request: MeasuredRequest, elapsed_s: float) -> None:
        """Record the time to the first event of a stream, in seconds."""
        self._record(("first_event", *request.labels), elapsed_s)

    def record_pause(
        self, request: MeasuredRequest, cause: Enum, pause_s: float
    ) -> None:
        """Record the pause of a stream that was given another path, in seconds."""
        self._record((f"pause_{cause.value}", *request.labels), pause_s)

    def record_finished(
        self, request: MeasuredRequest, outcome: RequestOutcome, elapsed_s: float
    ) -> None:
        """Count a finished request and record its times."""
        key = (*request.labels, outcome.value)
        if key not in self.counters and len(self.counters) >= SERIES_MAX:
            key = (OTHER, OTHER, outcome.value)
        self.counters[key] += 1
        self._record(("whole", *request.labels), elapsed_s)
        if request.queued_s is not None:
            self._record(("queue", *request.labels), request.queued_s)
        if request.longest_gap_s is not None:
            self._record(("gap", *request.labels), request.longest_gap_s)

    def _record(self, key: Series, elapsed_s: float) -> None:
        if key not in self._histograms and len(self._histograms) >= HISTOGRAMS_MAX:
            key = (key[0], OTHER, OTHER)
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = new_histogram()
            self._histograms[key] = histogram
        record_seconds(histogram, elapsed_s)

    def exposition(self) -> str:
        """Return all series in the Prometheus text exposition format."""
        lines = ["# TYPE chervilstall_requests_total counter"]
        for (workspace, route, outcome), count in sorted(self.counters.items()):
            labels = f'workspace="{workspace}",route="{route}",outcome="{outcome}"'
            lines.append(f"chervilstall_requests_total{{{labels}}} {count}")
        for name, value in sorted(self.gauges.items()):
            lines.append(f"# TYPE chervilstall_{name} gauge")
            lines.append(f"chervilstall_{name} {value:g}")
        for source in self.sources:
            lines += source()
        lines.append("# TYPE chervilstall_latency_seconds summary")
        for (measure, workspace, route), histogram in sorted(self._histograms.items()):
            labels = f'measure="{measure}",workspace="{workspace}",route="{route}"'
            lines += summary_lines("chervilstall_latency_seconds", labels, histogram)
        return "\n".join(lines) + "\n"
