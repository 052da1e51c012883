"""Keeps calls that crash the targets of plain services away from them.

Each router of the product's own interface decides on the crashes that it saw itself.
"""

import time
from dataclasses import dataclass

import gevent

from chervilstall.ids import PartId, ServiceName, TargetId, WorkspaceName
from chervilstall.quarantine.crash_times import crash_at
from chervilstall.quarantine.identity import request_digest
from chervilstall.quarantine.prompts import PromptQuarantine
from chervilstall.quarantine.records import CrashReport, LostRequest
from chervilstall.quarantine.refusal import check_parts
from chervilstall.settings.option import Address
from chervilstall.target.contract import ServiceCall
from chervilstall.target.listener_probe import refuses_connections

EXAMINE_DELAY_S = 0.02
CONNECT_TIMEOUT_S = 0.3


@dataclass(frozen=True)
class GuardedCall:
    """A call as the quarantine sees it: its service and what its repeats share."""

    service: ServiceName
    digest: PartId


def guarded_call(
    service: ServiceName, workspace: WorkspaceName, call: ServiceCall
) -> GuardedCall:
    """Return a call as the quarantine sees it."""
    digest = request_digest(service, call.method, call.path, workspace, "", call.body)
    return GuardedCall(service, digest)


@dataclass
class ServiceGuard:
    """Tells the quarantine what becomes of calls, and checks each with it."""

    quarantine: PromptQuarantine

    def check(self, call: GuardedCall, may_have_run: bool) -> None:
        """Raise ChervilstallError for a call that may crash its next target."""
        check_parts(self.quarantine, call.service, (call.digest,), may_have_run)

    def record_answer(self, call: GuardedCall) -> None:
        """Record that a target has answered a call and survived that."""
        self.quarantine.record_begun(call.service, (call.digest,))

    def record_lost(
        self, call: GuardedCall, target: TargetId, address: Address, sent_at_s: float
    ) -> None:
        """Record that a target closed a call's connection without an answer."""
        gevent.spawn(self._examine, call, target, address, sent_at_s, time.monotonic())

    def _examine(
        self,
        call: GuardedCall,
        target: TargetId,
        address: Address,
        sent_at_s: float,
        lost_at_s: float,
    ) -> None:
        gevent.sleep(EXAMINE_DELAY_S)
        if not refuses_connections(address, CONNECT_TIMEOUT_S):
            # A target that still listens has only lost this call.
            return
        lost = LostRequest(call.digest, held_s=lost_at_s - sent_at_s)
        self.quarantine.record_crash(
            CrashReport(
                crash_at(target, lost_at_s),
                call.service,
                (),
                age_s=time.monotonic() - lost_at_s,
                requests=(lost,),
            )
        )
