"""Counters and gauges of the admission by room, with a bounded number of series."""

from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum

from hdrh.histogram import HdrHistogram

from chervilstall.edge.room.service import ServiceRoom
from chervilstall.ids import ServiceName, WorkspaceName
from chervilstall.telemetry.edge_metrics import OTHER
from chervilstall.telemetry.metrics import new_histogram, record_seconds, summary_lines

REFUSAL_SERIES_MAX = 2_000
PRIORITIES_MAX = 32
PREFIX = "chervilstall_room_"


class RefusalReason(Enum):
    """Why a request was refused before it was sent to a target."""

    NO_ROOM_EXPECTED = "no_room_expected"
    """Room wasn't expected within the time that the request may wait."""

    WAITED_IN_VAIN = "waited_in_vain"
    """The longest wait passed before there was room."""


@dataclass
class RoomMetrics:
    """What the gate counts; `exposition` adds the present room of each service."""

    refusals: dict[tuple[str, int, str], int] = field(
        default_factory=lambda: defaultdict(int)
    )
    _waits: dict[str, HdrHistogram] = field(default_factory=dict)

    def record_refusal(
        self, reason: RefusalReason, priority: int, workspace: WorkspaceName
    ) -> None:
        """Count a refused request."""
        key = (reason.value, priority, str(workspace))
        if key not in self.refusals and len(self.refusals) >= REFUSAL_SERIES_MAX:
            key = (reason.value, priority, OTHER)
        self.refusals[key] += 1

    def record_wait(self, priority: int, waited_s: float) -> None:
        """Record the time in the queue of a request that started or was refused."""
        label = str(priority)
        if label not in self._waits and len(self._waits) >= PRIORITIES_MAX:
            label = OTHER
        record_seconds(self._waits.setdefault(label, new_histogram()), waited_s)

    def exposition(self, rooms: dict[ServiceName, ServiceRoom]) -> list[str]:
        """Return the lines of all series in the Prometheus text format."""
        lines: list[str] = []
        for name, room in rooms.items():
            lines += _room_lines(name, room)
        for (reason, priority, workspace), count in sorted(self.refusals.items()):
            labels = f'reason="{reason}",priority="{priority}",workspace="{workspace}"'
            lines.append(f"{PREFIX}refusals_total{{{labels}}} {count}")
        for label, histogram in sorted(self._waits.items()):
            labels = f'priority="{label}"'
            lines += summary_lines(f"{PREFIX}wait_seconds", labels, histogram)
        return lines


def _room_lines(name: ServiceName, room: ServiceRoom) -> list[str]:
    labels = f'service="{name}"'
    lines = [
        f"{PREFIX}own_tokens{{{labels}}} {room.ledger.tokens:g}",
        f"{PREFIX}share_scale{{{labels}}} {room.scale.value:g}",
        f"{PREFIX}short_answers_part{{{labels}}} {room.scale.short_part:g}",
    ]
    limits = room.limits()
    if limits is not None:
        estimate = limits.estimate
        lines += [
            f"{PREFIX}capacity_tokens{{{labels}}} {estimate.capacity_tokens:g}",
            f"{PREFIX}used_tokens{{{labels}}} {estimate.used_tokens:g}",
            f"{PREFIX}limit_tokens{{{labels}}} {limits.tokens:g}",
            f"{PREFIX}reporting_routers{{{labels}}} {estimate.reporting}",
        ]
    for priority, use in room.ledger.by_urgency():
        class_labels = f'{labels},priority="{priority}"'
        lines.append(f"{PREFIX}queue_length{{{class_labels}}} {use.queue.length}")
        lines.append(f"{PREFIX}class_tokens{{{class_labels}}} {use.tokens:g}")
    return lines
