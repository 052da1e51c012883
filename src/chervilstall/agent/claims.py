"""Idempotency claims and reports: served here or forwarded to the key's home.

Keys are divided into slots. The home of a key is the agent that holds the slot's lease.
"""

import time

import gevent

from chervilstall.agent.roles import SLOT_ROLE_PREFIX, RoleName, slot_name, slot_role
from chervilstall.errors import ChervilstallError
from chervilstall.idempotency.home import HomeState, SlotHome
from chervilstall.idempotency.local_claims import slot_for_key
from chervilstall.idempotency.log import LogFenced
from chervilstall.ids import SlotName
from chervilstall.lease.holder import LeaseTerm
from chervilstall.membership.table import MemberTable
from chervilstall.peer.claims import (
    CLAIM_ANSWER_TYPES,
    ClaimAnswer,
    ClaimRequest,
    OutcomeReport,
    Unavailable,
)
from chervilstall.peer.messages import (
    ForwardedClaim,
    ForwardedReport,
    MemberUpdate,
    ReportAnswer,
)
from chervilstall.peer.transport import PeerClientPool
from chervilstall.settings.agents import IdempotencySettings
from chervilstall.settings.leases import LeaseSettings
from chervilstall.store.contract import Store, StoreFailed
from chervilstall.telemetry.logs import ComponentLog

log = ComponentLog("homes")

FORWARD_MARGIN_S = 0.5
FORWARD_ATTEMPTS = 2
OPEN_RETRY_S = 0.2
HOLDERS_TTL_S = 1.0


class SlotHomes:
    """The slot homes that this agent serves, and forwarding to those of others."""

    def __init__(
        self,
        store: Store,
        table: MemberTable,
        clients: PeerClientPool,
        settings: IdempotencySettings,
        leases: LeaseSettings,
    ) -> None:
        self.table = table
        self.clients = clients
        self.settings = settings
        self.slots = [slot_name(number) for number in range(leases.slots)]
        self.homes: dict[SlotName, SlotHome] = {}
        self._store = store
        self._tasks: dict[SlotName, gevent.Greenlet] = {}
        self._stored_holders: dict[str, str] = {}
        self._holders_read_at_s = float("-inf")

    # Serving homes

    def on_role_gained(self, role: RoleName, term: LeaseTerm) -> None:
        """Open and serve the home of a slot whose lease was gained."""
        slot = slot_name(role.number)
        home = SlotHome(self._store, slot, term.epoch, self.settings)
        self.homes[slot] = home
        self._tasks[slot] = gevent.spawn(self._open_and_serve, home)

    def _open_and_serve(self, home: SlotHome) -> None:
        while self.homes.get(home.slot) is home:
            try:
                home.open()
                break
            except StoreFailed:
                gevent.sleep(OPEN_RETRY_S)
        else:
            return
        log.info("Opened slot %s with %d keys.", home.slot, home.key_count)
        try:
            home.serve()
        except LogFenced:
            log.info("Another agent took over slot %s.", home.slot)

    def on_role_lost(self, role: RoleName) -> None:
        """Stop the home of a slot whose lease was lost.

        While the store is unavailable no other agent can gain the lease, so the home
        keeps serving first attempts. Its log raises LogFenced once another home has
        taken the slot over.
        """
        slot = slot_name(role.number)
        home = self.homes.get(slot)
        if home is None:
            return
        if home.state is HomeState.SERVING and home.log.failing_since_s is not None:
            return
        self._drop_home(slot)

    def _drop_home(self, slot: SlotName) -> None:
        home = self.homes.pop(slot, None)
        if home is not None:
            home.abandon()
        task = self._tasks.pop(slot, None)
        if task is not None:
            task.kill(block=False)

    def close_all(self) -> None:
        """Close the log of every home.

        The successor of a closed log knows that no attempt ran unrecorded.
        """
        closing = [gevent.spawn(home.close) for home in self.homes.values()]
        gevent.joinall(closing)
        self.drop_all()

    def drop_all(self) -> None:
        """Stop every home at once, without closing its log."""
        for slot in list(self.homes):
            self._drop_home(slot)

    # Finding homes

    def _find_holder(self, slot: SlotName) -> MemberUpdate | None:
        return self.table.role_holder(slot_role(slot))

    def _find_holder_in_store(self, slot: SlotName) -> MemberUpdate | None:
        """Find the holder of a slot by the leases in the store.

        Used where the member table names no holder, or one that did not answer. The
        leases are cached for `HOLDERS_TTL_S`.
        """
        if time.monotonic() - self._holders_read_at_s > HOLDERS_TTL_S:
            self._holders_read_at_s = time.monotonic()
            try:
                records = self._store.list_leases(SLOT_ROLE_PREFIX)
            except StoreFailed:
                return None
            self._stored_holders = {record.name: record.note for record in records}
        for update in self.table.live_members():
            if update.vm == self._stored_holders.get(slot_role(slot)):
                return update
        return None

    def claim(self, request: ClaimRequest) -> ClaimAnswer:
        """Claim a key at its home, here or at another agent.

        Returns Unavailable if no home could answer the claim.
        """
        slot = slot_for_key(request.key, self.slots)
        reason = f"slot {slot} has no home that answers"
        for attempt in range(FORWARD_ATTEMPTS):
            home = self.homes.get(slot)
            if home is not None and home.state is HomeState.SERVING:
                return home.claim(request)
            holder = self._find_holder(slot)
            if holder is None or attempt:
                holder = self._find_holder_in_store(slot) or holder
            if holder is None or holder.vm == self.table.own.vm:
                gevent.sleep(OPEN_RETRY_S)
                continue
            try:
                answer = self._forward_claim(holder, request)
            except ChervilstallError as error:
                reason = str(error)
                continue
            if not isinstance(answer, Unavailable):
                return answer
            reason = answer.reason
        return Unavailable(reason)

    def _forward_claim(
        self, holder: MemberUpdate, request: ClaimRequest
    ) -> ClaimAnswer:
        client = self.clients.client(holder.address)
        timeout_s = request.wait_s + FORWARD_MARGIN_S
        reply = client.call(ForwardedClaim(request), timeout_s)
        if isinstance(reply, CLAIM_ANSWER_TYPES):
            return reply
        return Unavailable("the peer is not a home")

    def answer_forwarded(self, request: ClaimRequest) -> ClaimAnswer:
        """Answer a claim that another agent forwarded; it is not forwarded again."""
        home = self.homes.get(slot_for_key(request.key, self.slots))
        if home is None:
            return Unavailable("the slot is not here")
        return home.claim(request)

    def report(self, report: OutcomeReport, is_forwarded: bool = False) -> bool:
        """Report to the key's home, here or at another agent.

        Returns whether a home accepted the report. A forwarded report is not
        forwarded again.
        """
        slot = slot_for_key(report.key, self.slots)
        home = self.homes.get(slot)
        if home is not None:
            return home.report(report)
        holder = self._find_holder(slot) or self._find_holder_in_store(slot)
        if is_forwarded or holder is None or holder.vm == self.table.own.vm:
            return False
        client = self.clients.client(holder.address)
        try:
            reply = client.ask(ForwardedReport(report), ReportAnswer, FORWARD_MARGIN_S)
        except ChervilstallError:
            return False
        return reply.is_taken
