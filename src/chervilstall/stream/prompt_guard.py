"""Keeps prompts that crash engines away from them, at a router of the product.

The parts of a prompt are its prefixes of whole blocks. Each router decides on the
crashes that it saw itself.
"""

import time
from dataclasses import dataclass, field

import gevent

from chervilstall.ids import CrashId, PartId, RequestId, ServiceName, TargetId
from chervilstall.quarantine.crash_times import crash_at
from chervilstall.quarantine.identity import REQUEST_PREFIX
from chervilstall.quarantine.prompts import PromptQuarantine
from chervilstall.quarantine.records import (
    ClaimTrial,
    Clear,
    CrashReport,
    LostRequest,
    Propose,
    QuarantineAction,
    Stage,
)
from chervilstall.quarantine.refusal import check_parts
from chervilstall.quarantine.stages import LATER_CRASHES_MIN
from chervilstall.routing.fleet import Capability
from chervilstall.routing.selector import ChainSelector
from chervilstall.target.contract import AttemptFailed, EngineClient, FailureCause
from chervilstall.telemetry.logs import ComponentLog

log = ComponentLog("relay")

BEGUN_TOKENS = 2
"""Tokens of one engine after which it has begun an answer and survived that."""

EXAMINE_DELAY_S = 0.02
CRASH_CAUSES = (FailureCause.CLOSED, FailureCause.STAGE_DIED)


@dataclass
class GuardedPrompt:
    """A request as the guard sees it: its engines, those of one model, and its parts.

    `has_begun` is true once an engine has begun the answer. `crashed_at_s` holds the
    crashes that the request was at, with their monotonic times.
    """

    request: RequestId
    service: ServiceName
    parts: tuple[PartId, ...]
    has_begun: bool = False
    has_lost_engine: bool = False
    crashed_at_s: dict[CrashId, float] = field(default_factory=dict)

    @property
    def stage(self) -> Stage:
        """Return what the next engine must do to show that the request is harmless."""
        return Stage.ENDED if self.has_begun else Stage.BEGUN


def guarded_prompt(
    request: RequestId, capability: Capability, prefixes: tuple[int, ...]
) -> GuardedPrompt:
    """Return a request as the guard sees it; `prefixes` are hashes of its prompt's."""
    parts = tuple(PartId(f"{prefix:08x}") for prefix in prefixes)
    return GuardedPrompt(request, ServiceName(capability.model), parts)


@dataclass
class PromptGuard:
    """Tells the quarantine what becomes of requests, and checks each with it."""

    selector: ChainSelector
    engines: EngineClient
    quarantine: PromptQuarantine = field(init=False)

    def __post_init__(self) -> None:
        self.quarantine = PromptQuarantine(self._carry_out)

    def _carry_out(self, action: QuarantineAction) -> None:
        match action:
            case Propose(entry):
                log.warning("%s crashes targets.", entry.key.part)
            case Clear(key):
                log.info("%s is harmless.", key.part)
            case ClaimTrial(entry):
                self.quarantine.apply_entry(entry)
                self.quarantine.grant_trial(entry.key)

    def check(self, prompt: GuardedPrompt, may_have_run: bool) -> None:
        """Raise ChervilstallError for a request that may crash its next engine."""
        check_parts(
            self.quarantine, prompt.service, prompt.parts, may_have_run, prompt.stage
        )

    def record_begun(self, prompt: GuardedPrompt) -> None:
        """Record that an engine has begun to answer a request."""
        if not prompt.has_begun:
            prompt.has_begun = True
            self.quarantine.record_begun(prompt.service, prompt.parts)

    def record_end(self, prompt: GuardedPrompt) -> None:
        """Record that an answer has come to its end, from one engine or several."""
        self.record_begun(prompt)
        if not prompt.has_lost_engine:
            self.quarantine.record_ended(prompt.service, prompt.parts)

    def record_failure(self, prompt: GuardedPrompt, failure: AttemptFailed) -> None:
        """Record that an engine failed a request before the end of its answer."""
        if failure.cause in CRASH_CAUSES and prompt.parts:
            prompt.has_lost_engine = True
            gevent.spawn(self._examine, prompt, prompt.has_begun, failure.target)

    def _examine(
        self, prompt: GuardedPrompt, had_begun: bool, target: TargetId
    ) -> None:
        lost_at_s = time.monotonic()
        gevent.sleep(EXAMINE_DELAY_S)
        engine = self.selector.engine(target)
        if engine is None or self.engines.fetch_load(engine.address) is not None:
            # An engine that answers has only lost this request.
            return
        prompt.crashed_at_s[crash_at(target, lost_at_s)] = lost_at_s
        if not had_begun:
            self._report(prompt, crash_at(target, lost_at_s), prompt.parts)
            return
        if len(prompt.crashed_at_s) < LATER_CRASHES_MIN:
            return
        copy = LostRequest(
            PartId(REQUEST_PREFIX + prompt.request), prompt.parts, copy=prompt.request
        )
        for crash in prompt.crashed_at_s:
            self._report(prompt, crash, later_requests=(copy,))

    def _report(
        self,
        prompt: GuardedPrompt,
        crash: CrashId,
        parts: tuple[PartId, ...] = (),
        later_requests: tuple[LostRequest, ...] = (),
    ) -> None:
        report = CrashReport(
            crash,
            prompt.service,
            parts,
            age_s=time.monotonic() - prompt.crashed_at_s[crash],
            later_requests=later_requests,
        )
        self.quarantine.record_crash(self.quarantine.with_begun_parts(report))

    def expire(self) -> None:
        """Drop what is past; called once in a while."""
        self.quarantine.expire()
