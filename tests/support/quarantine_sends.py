"""Routers of the model of quarantine and what they send."""

from dataclasses import dataclass, field

from chervilstall.fleet.records import Target
from tests.support.quarantine_router import GuardedRequest, GuardedRouter
from tests.support.quarantine_targets import ModelTarget
from tests.support.quarantine_traffic import PromptRequest


@dataclass
class ModelRouter:
    """A router; a restart replaces it."""

    index: int
    guarded: GuardedRouter
    avoided_until_s: dict[str, float] = field(default_factory=dict)
    is_dead: bool = False


@dataclass
class Relay:
    """One caller's request at one router, over all its attempts."""

    router: ModelRouter
    request: PromptRequest
    guarded: GuardedRequest
    attempts: int = 0
    may_have_run: bool = False


@dataclass
class Send:
    """One attempt on its way to or at a target, whose entry was `record`.

    `events` counts those that its router has received.
    """

    number: int
    relay: Relay
    target: ModelTarget
    record: Target
    events: int = 0
