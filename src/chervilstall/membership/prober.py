"""Failure detection: probes one member per period, indirectly if it doesn't answer."""

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

DEAD_PROBE_EVERY_PERIODS = 5
LATE_FACTOR = 2.0  # above this multiple of the longest probe, the prober was delayed


class Prober:
    """Keeps a member table up to date by probing.

    Each period probes one member, in a shuffled round-robin order, so that every member
    is probed once per round. Every few periods a dead member that is still in the VM
    list is probed too, which lets zones find each other after a network partition has
    healed. The number of messages per period does not depend on the number of members.
    If the prober itself was delayed, by a pause or a lack of CPU time, it suspects
    nobody in that period.
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
        """Probe until killed. Run it in one task."""
        run_forever(log, self._period)

    def _period(self) -> None:
        self.step()
        gevent.sleep(self.settings.probe_interval_s)

    def step(self) -> None:
        """Probe for one period and expire old suspicions."""
        self._periods += 1
        started_at_s = time.monotonic()
        member = self._next_member()
        if member is not None and not self._probe(member):
            elapsed_s = time.monotonic() - started_at_s
            if elapsed_s < self._max_probe_s() * LATE_FACTOR:
                self.table.suspect(member.update.vm)
        if self._periods % DEAD_PROBE_EVERY_PERIODS == 0:
            self._probe_dead()
        for vm in self.table.expire(self.settings.suspicion_s):
            log.info("Member %s counts as dead: its suspicion timed out.", vm)

    def _max_probe_s(self) -> float:
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
        """Probe a member directly; return whether it answered."""
        self.probes += 1
        suspicions = self.table.suspicions_of(member.update.vm)
        updates = (*suspicions, *self.table.next_updates())
        message = Ping(self.table.own, updates)
        try:
            answer = self.clients.client(member.address).ask(
                message, PingAnswer, self.settings.probe_timeout_s
            )
        except ChervilstallError:
            return False
        self.table.merge_answer(answer.member)
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
        tasks = [gevent.spawn(self._probe_through, item, member) for item in chosen]
        gevent.joinall(tasks, timeout=self.settings.probe_timeout_s * 2)
        return any(task.value for task in tasks if task.successful())

    def _probe_through(self, helper: Member, member: Member) -> bool:
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
        listed_vms = {record.vm for record in self.table.vm_list()}
        dead = [
            item
            for item in self.table.others()
            if not item.is_live and item.update.vm in listed_vms
        ]
        if dead:
            self.ping(self._rng.choice(dead))

    # Answering probes

    def answer_ping(self, message: Ping) -> PingAnswer:
        """Merge the updates of a probe and return the answer to it."""
        suspicions = self.table.suspicions_of(message.sender.vm)
        self.table.merge_answer(message.sender)
        self.table.merge_updates(message.updates)
        updates = (*suspicions, *self.table.next_updates())
        return PingAnswer(self.table.own, updates)

    def answer_indirect(self, message: IndirectPing) -> IndirectAnswer:
        """Probe a member for another member that could not reach it."""
        known = self.table.get(message.target.vm)
        member = known or Member(message.target, time.monotonic())
        return IndirectAnswer(self.ping(member))
