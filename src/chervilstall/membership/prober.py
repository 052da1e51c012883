"""Probing other members: one a period, indirectly where it does not answer."""

import random
import time

import gevent

from chervilstall.errors import ChervilstallError
from chervilstall.membership.table import Member, MemberTable
from chervilstall.peer.messages import (
    IndirectAnswer,
    IndirectPing,
    MemberState,
    Ping,
    PingAnswer,
)
from chervilstall.peer.transport import PeerClientPool
from chervilstall.settings.agents import PeerSettings
from chervilstall.tasks import run_forever
from chervilstall.telemetry.logs import ComponentLog

log = ComponentLog("membership")

DEAD_PROBE_EVERY = 5
LATE_FACTOR = 2.0


class Prober:
    """Keeps a member table true by probing.

    Each period one member is probed, in a shuffled round so that every member's turn
    comes within one round; every few periods a dead member that the VM list still
    shows is probed as well, which is how healed zones find each other. Messages per
    period do not depend on the number of members. A prober that was itself late, by a
    pause or for want of processor time, suspects nobody in that period.
    """

    def __init__(
        self,
        table: MemberTable,
        clients: PeerClientPool,
        settings: PeerSettings,
        rng: random.Random | None = None,
    ) -> None:
        self.table = table
        self.clients = clients
        self.settings = settings
        self.probes = 0
        self._rng = rng or random.Random()
        self._round: list[Member] = []
        self._periods = 0

    def run(self) -> None:
        """Probe until killed; one task runs this."""
        run_forever(log, self._period)

    def _period(self) -> None:
        self.step()
        gevent.sleep(self.settings.probe_interval_s)

    def step(self) -> None:
        """Run one period."""
        self._periods += 1
        started_at_s = time.monotonic()
        member = self._next_member()
        if member is not None and not self._probe(member):
            elapsed_s = time.monotonic() - started_at_s
            if elapsed_s < self._longest_probe_s() * LATE_FACTOR:
                self.table.suspect(member.update.vm)
        if self._periods % DEAD_PROBE_EVERY == 0:
            self._probe_dead()
        for vm in self.table.expire(self.settings.suspicion_s):
            log.info("Member %s is held for dead.", vm)

    def _longest_probe_s(self) -> float:
        return 3.0 * self.settings.probe_timeout_s

    def _next_member(self) -> Member | None:
        while True:
            if not self._round:
                self._round = [item for item in self.table.others() if item.is_live]
                self._rng.shuffle(self._round)
            if not self._round:
                return None
            member = self._round.pop()
            current = self.table.get(member.update.vm)
            if current is not None and current.is_live:
                return current

    def _probe(self, member: Member) -> bool:
        return self.ping(member) or self._probe_indirectly(member)

    def ping(self, member: Member) -> bool:
        """Probe a member directly; True where it answered."""
        self.probes += 1
        doubts = self.table.doubts_about(member.update.vm)
        updates = (*doubts, *self.table.next_updates())
        message = Ping(self.table.own, updates)
        try:
            answer = self.clients.client(member.address).ask(
                message, PingAnswer, self.settings.probe_timeout_s
            )
        except ChervilstallError:
            return False
        self.table.confirm(answer.member)
        self.table.merge_updates(answer.updates)
        return True

    def _probe_indirectly(self, member: Member) -> bool:
        helpers = [
            item
            for item in self.table.others()
            if item.update.state is MemberState.ALIVE
            and item.update.vm != member.update.vm
        ]
        count = min(self.settings.indirect_probes, len(helpers))
        chosen = self._rng.sample(helpers, count)
        tasks = [gevent.spawn(self._ask_helper, item, member) for item in chosen]
        gevent.joinall(tasks, timeout=self.settings.probe_timeout_s * 2)
        return any(task.value for task in tasks if task.successful())

    def _ask_helper(self, helper: Member, member: Member) -> bool:
        try:
            answer = self.clients.client(helper.address).ask(
                IndirectPing(member.update),
                IndirectAnswer,
                self.settings.probe_timeout_s * 2,
            )
        except ChervilstallError:
            return False
        return answer.is_reached

    def _probe_dead(self) -> None:
        listed = {record.vm for record in self.table.vm_list()}
        dead = [
            item
            for item in self.table.others()
            if not item.is_live and item.update.vm in listed
        ]
        if dead:
            self.ping(self._rng.choice(dead))

    # Serving

    def answer_ping(self, message: Ping) -> PingAnswer:
        """Answer a probe."""
        doubts = self.table.doubts_about(message.sender.vm)
        self.table.confirm(message.sender)
        self.table.merge_updates(message.updates)
        updates = (*doubts, *self.table.next_updates())
        return PingAnswer(self.table.own, updates)

    def answer_indirect(self, message: IndirectPing) -> IndirectAnswer:
        """Probe a member on another's behalf."""
        known = self.table.get(message.target.vm)
        member = known or Member(message.target, time.monotonic())
        return IndirectAnswer(self.ping(member))
