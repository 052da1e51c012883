"""The limit on the targets that one request may be sent to."""

from dataclasses import dataclass, field

from chervilstall.fleet.records import Target
from chervilstall.fleet.view import FleetView
from chervilstall.ids import TargetId


@dataclass
class AttemptLimit:
    """Counts the targets that may have run a request, up to its route's limit.

    A target counts even while it does not respond or has no entry in the store. It may
    be silent for a moment, or leave without notice, and still run the request. It
    stops counting only once it has started again, since a restart ends its requests.

    `attempts_max` is the route's limit.
    """

    fleet_view: FleetView
    attempts_max: int
    _started_at_ms: dict[TargetId, int] = field(default_factory=dict)

    def record(self, target: Target) -> None:
        """Count a target that was sent the request and may have run it."""
        self._started_at_ms[target.id] = target.started_at_ms

    @property
    def counted(self) -> list[TargetId]:
        """Return the targets that count, in the order in which they were tried."""
        return [
            target_id
            for target_id, started_at_ms in self._started_at_ms.items()
            if not self._has_restarted(target_id, started_at_ms)
        ]

    def _has_restarted(self, target_id: TargetId, started_at_ms: int) -> bool:
        target = self.fleet_view.targets.get(target_id)
        return target is not None and target.started_at_ms > started_at_ms

    @property
    def left(self) -> int:
        """Return how many more targets may be sent the request."""
        return self.attempts_max - len(self.counted)

    @property
    def is_reached(self) -> bool:
        """Return whether only targets that were tried may get the request again."""
        return self.left <= 0

    def leaves_another(self, first: Target) -> bool:
        """Return whether the request may go on at a target other than `first`.

        At the limit, that is another one that was tried and is not suspected.
        """
        others = [each for each in self.counted if each != first.id]
        if len(others) + 1 < self.attempts_max:
            return True
        for target_id in others:
            target = self.fleet_view.targets.get(target_id)
            if target is not None and not self.fleet_view.is_suspected(target):
                return True
        return False
