"""Keeps prompts that crash engines away from them, at a router of the product.

The parts of a prompt are its prefixes of whole blocks. Each router decides on the
crashes that it saw itself.
"""

import time
from dataclasses import dataclass, field

import gevent

from chervilstall.ids import PartId, ServiceName, TargetId
from chervilstall.quarantine.crash_times import crash_at
from chervilstall.quarantine.prompts import PromptQuarantine
from chervilstall.quarantine.records import (
    ClaimTrial,
    Clear,
    CrashReport,
    Propose,
    QuarantineAction,
)
from chervilstall.quarantine.refusal import check_parts
from chervilstall.routing.fleet import Capability
from chervilstall.routing.selector import ChainSelector
from chervilstall.target.contract import AttemptFailed, EngineClient, FailureCause
from chervilstall.telemetry.logs import ComponentLog

log = ComponentLog("relay")

BEGUN_TOKENS = 2
EXAMINE_DELAY_S = 0.02
CRASH_CAUSES = (FailureCause.CLOSED, FailureCause.STAGE_DIED)


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

    def check(
        self, capability: Capability, prefixes: tuple[int, ...], may_have_run: bool
    ) -> None:
        """Raise ChervilstallError for a request that may crash its next engine."""
        check_parts(
            self.quarantine, _service(capability), _parts(prefixes), may_have_run
        )

    def record_begun(self, capability: Capability, prefixes: tuple[int, ...]) -> None:
        """Record that an engine has begun to answer a request."""
        self.quarantine.record_begun(_service(capability), _parts(prefixes))

    def record_failure(
        self,
        capability: Capability,
        prefixes: tuple[int, ...],
        failure: AttemptFailed,
    ) -> None:
        """Record that an engine failed a request that it had not begun to answer."""
        if failure.cause in CRASH_CAUSES and prefixes:
            gevent.spawn(self._examine, capability, prefixes, failure.target)

    def _examine(
        self, capability: Capability, prefixes: tuple[int, ...], target: TargetId
    ) -> None:
        lost_at_s = time.monotonic()
        gevent.sleep(EXAMINE_DELAY_S)
        engine = self.selector.engine(target)
        if engine is None or self.engines.fetch_load(engine.address) is not None:
            # An engine that answers has only lost this request.
            return
        report = CrashReport(
            crash_at(target, lost_at_s),
            _service(capability),
            _parts(prefixes),
            age_s=time.monotonic() - lost_at_s,
        )
        self.quarantine.record_crash(self.quarantine.with_begun_parts(report))

    def expire(self) -> None:
        """Drop what is past; called once in a while."""
        self.quarantine.expire()


def _service(capability: Capability) -> ServiceName:
    """Return the engines that a part of a prompt may crash: those of one model."""
    return ServiceName(capability.model)


def _parts(prefixes: tuple[int, ...]) -> tuple[PartId, ...]:
    return tuple(PartId(f"{prefix:08x}") for prefix in prefixes)
