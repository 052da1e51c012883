"""Suspicions: why a target is avoided for a while."""

from dataclasses import dataclass
from enum import Enum


class SuspicionKind(Enum):
    """Why a target is avoided.

    SILENT: it does not answer. REFUSING: it answers and refuses work. STALLING: other
    targets report requests that wait for it.
    """

    SILENT = "silent"
    REFUSING = "refusing"
    STALLING = "stalling"


@dataclass
class Suspicion:
    """Why a target is avoided, and until when.

    `until_s` is a time of the monotonic clock in seconds.
    """

    kind: SuspicionKind
    until_s: float
