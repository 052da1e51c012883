"""Where the time goes in the pauses of streams that got another path.

A pause lasts from the last event over the old path to the first one over the new path.
It consists of the silence until the stream is checked, the check that finds the loss,
the order to the first target (or the send to another one), and the prefill at the new
stages with the steps for the next event.
"""

import time
from collections import defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from hdrh.histogram import HdrHistogram

from chervilstall.edge.request import EdgeRequest
from chervilstall.edge.streams.live_stream import LiveStream
from chervilstall.ids import RequestId
from chervilstall.telemetry.metrics import new_histogram, record_seconds, summary_lines

RESUMED_WITHIN_S = 5.0
"""Time after which a stream that was ended is no longer expected to be resumed."""

SERIES = "chervilstall_pause_seconds"


class PauseCause(Enum):
    """Why a stream was given another path and paused."""

    DRAIN = "drain"
    FAULT = "fault"


class PauseComponent(Enum):
    """A part of a pause."""

    SILENCE = "silence"
    CHECK = "check"
    ORDER = "order"
    PREFILL = "prefill"


@dataclass(frozen=True)
class PauseStart:
    """What is known of a pause once its stream has another path.

    All times are monotonic. A stream that was moved before it was checked itself has no
    time of its check.
    """

    cause: PauseCause
    last_event_at_s: float
    checked_at_s: float | None
    found_at_s: float
    ordered_at_s: float

    def components_s(self, next_event_at_s: float) -> dict[PauseComponent, float]:
        """Return how long each part lasted, for a pause that ends at a time."""
        # An event may still come between the finding and the order.
        found_at_s = max(self.found_at_s, self.last_event_at_s)
        checked_at_s = found_at_s
        if self.checked_at_s is not None:
            checked_at_s = min(self.checked_at_s, found_at_s)
        return {
            PauseComponent.SILENCE: checked_at_s - self.last_event_at_s,
            PauseComponent.CHECK: found_at_s - checked_at_s,
            PauseComponent.ORDER: self.ordered_at_s - found_at_s,
            PauseComponent.PREFILL: next_event_at_s - self.ordered_at_s,
        }


@dataclass
class PauseMeter:
    """Measures pauses, each when the next event of its stream comes.

    `record_pause` is called with the whole pause, in seconds. Each cause and component
    has one histogram.
    """

    streams: Mapping[RequestId, LiveStream]
    record_pause: Callable[[EdgeRequest, PauseCause, float], None] = (
        lambda request, cause, pause_s: None
    )
    _histograms: dict[tuple[PauseCause, PauseComponent], HdrHistogram] = field(
        default_factory=lambda: defaultdict(new_histogram)
    )
    _ended: dict[RequestId, tuple[LiveStream, float]] = field(default_factory=dict)

    def measure_moved(self, stream: LiveStream, cause: PauseCause) -> None:
        """Measure the pause of a stream that has just got another path."""
        now_s = time.monotonic()
        found_at_s = now_s if stream.found_at_s is None else stream.found_at_s
        start = PauseStart(
            cause, stream.last_event_at_s, stream.checked_at_s, found_at_s, now_s
        )
        stream.on_next_event = lambda at_s: self._record(stream.request, start, at_s)

    def note_ended(self, stream: LiveStream) -> None:
        """Record that a begun stream was ended to be resumed over another path."""
        request_id = stream.request.request_id
        self._ended.setdefault(request_id, (stream, time.monotonic()))

    def step(self, now_s: float) -> None:
        """Find the streams that were resumed since the last step."""
        for request_id, (ended, found_at_s) in list(self._ended.items()):
            resumed = self.streams.get(request_id)
            if resumed is None or resumed is ended:
                if now_s - found_at_s > RESUMED_WITHIN_S:
                    del self._ended[request_id]
                continue
            del self._ended[request_id]
            self._measure_resumed(ended, found_at_s, resumed)

    def _measure_resumed(
        self, ended: LiveStream, found_at_s: float, resumed: LiveStream
    ) -> None:
        start = PauseStart(
            PauseCause.FAULT,
            ended.last_event_at_s,
            ended.checked_at_s,
            found_at_s,
            resumed.sent_at_s,
        )
        first_event_at_s = resumed.first_event_at_s
        if first_event_at_s is not None:
            self._record(resumed.request, start, first_event_at_s)
            return
        # If it is ended again before its first event, the pause is still the same.
        resumed.last_event_at_s = ended.last_event_at_s
        resumed.on_next_event = lambda at_s: self._record(resumed.request, start, at_s)

    def _record(self, request: EdgeRequest, start: PauseStart, at_s: float) -> None:
        self.record_pause(request, start.cause, at_s - start.last_event_at_s)
        for component, part_s in start.components_s(at_s).items():
            record_seconds(self._histograms[start.cause, component], part_s)

    def exposition(self) -> list[str]:
        """Return the series in the Prometheus text exposition format."""
        lines = [f"# TYPE {SERIES} summary"]
        for (cause, component), histogram in self._histograms.items():
            labels = f'cause="{cause.value}",component="{component.value}"'
            lines += summary_lines(SERIES, labels, histogram)
        return lines
