"""Counters, gauges and histograms, kept in the process and sent to statsd.

There is one histogram per workspace, request class and measure. Histograms cover 1 µs
to one hour with two significant digits.
"""

from collections import defaultdict
from dataclasses import dataclass
from enum import Enum

import statsd
from hdrh.histogram import HdrHistogram

from chervilstall.settings.processes import MetricsSettings

DURATION_MIN_US = 1
DURATION_MAX_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
HISTOGRAMS_MAX = 10_000
PERCENTILES = (50.0, 95.0, 99.0)


class Measure(Enum):
    """What a histogram measures."""

    FIRST_TOKEN = "first_token"
    BETWEEN_TOKENS = "between_tokens"
    WHOLE = "whole"
    QUEUE = "queue"


@dataclass(frozen=True)
class HistogramKey:
    """Identifies a histogram."""

    workspace: str
    request_class: str
    measure: Measure


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(DURATION_MIN_US, DURATION_MAX_US, SIGNIFICANT_DIGITS)


def record_seconds(histogram: HdrHistogram, seconds: float) -> None:
    """Record a duration in seconds, clamped to the range of the histogram."""
    value_us = min(max(int(seconds * 1e6), DURATION_MIN_US), DURATION_MAX_US)
    histogram.record_value(value_us)


def summary_lines(name: str, labels: str, histogram: HdrHistogram) -> list[str]:
    """Return the lines of a histogram in the Prometheus text exposition format.

    `labels` are those of the series, such as `cause="drain",component="order"`, or "".
    """
    lines = []
    prefix = f"{labels}," if labels else ""
    for percentile in PERCENTILES:
        value_s = histogram.get_value_at_percentile(percentile) / 1e6
        quantile = f'quantile="{percentile / 100.0:g}"'
        lines.append(f"{name}{{{prefix}{quantile}}} {value_s:g}")
    count_labels = f"{{{labels}}}" if labels else ""
    lines.append(f"{name}_count{count_labels} {histogram.get_total_count()}")
    return lines


class Metrics:
    """Counters, gauges and histograms of one process.

    >>> metrics = Metrics(MetricsSettings())
    >>> metrics.count("requests")
    >>> metrics.counters["requests"]
    1
    """

    def __init__(self, settings: MetricsSettings) -> None:
        self.counters: dict[str, int] = defaultdict(int)
        self.gauges: dict[str, float] = {}
        self._histograms: dict[HistogramKey, HdrHistogram] = {}
        self._statsd = self._new_statsd_client(settings)

    def _new_statsd_client(
        self, settings: MetricsSettings
    ) -> "statsd.StatsClient | None":
        if not settings.statsd:
            return None
        host, _, port = settings.statsd.rpartition(":")
        return statsd.StatsClient(host, int(port), prefix=settings.prefix)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.counters[name] += amount
        if self._statsd is not None:
            self._statsd.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauges[name] = value
        if self._statsd is not None:
            self._statsd.gauge(name, value)

    def histogram(self, key: HistogramKey) -> HdrHistogram:
        """Return the histogram of a key, created on first use.

        Workspaces beyond `HISTOGRAMS_MAX` share the histograms of workspace `other`.
        """
        histogram = self._histograms.get(key)
        if histogram is None:
            if len(self._histograms) >= HISTOGRAMS_MAX:
                key = HistogramKey("other", key.request_class, key.measure)
                if key in self._histograms:
                    return self._histograms[key]
            histogram = new_histogram()
            self._histograms[key] = histogram
        return histogram

    def record(self, key: HistogramKey, seconds: float) -> None:
        """Record a duration in seconds."""
        record_seconds(self.histogram(key), seconds)
        if self._statsd is not None:
            name = f"{key.measure.value}.{key.workspace}.{key.request_class}"
            self._statsd.timing(name, seconds * 1e3)

    def summary(self) -> list[dict[str, object]]:
        """Return the count and the percentiles in milliseconds of each histogram."""
        rows: list[dict[str, object]] = []
        for key, histogram in self._histograms.items():
            row: dict[str, object] = {
                "workspace": key.workspace,
                "class": key.request_class,
                "measure": key.measure.value,
                "count": histogram.get_total_count(),
            }
            for percentile in PERCENTILES:
                value_us = histogram.get_value_at_percentile(percentile)
                row[f"p{percentile:g}_ms"] = value_us / 1e3
            rows.append(row)
        return rows
