"""One member's view of all other members, and the updates it has to gossip."""

import math
import random
import time
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from chervilstall.clock import Clock
from chervilstall.ids import InstanceId, VmId, ZoneName
from chervilstall.peer.messages import MemberState, MemberUpdate, Role
from chervilstall.settings.option import Address
from chervilstall.store.contract import VmRecord, VmState

UPDATES_PER_MESSAGE = 8
RETRANSMIT_FACTOR = 3
FORGET_AFTER_S = 120.0

# At the same incarnation, the state with the higher precedence wins.
STATE_PRECEDENCE = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.DEAD: 2,
    MemberState.LEFT: 3,
}


@dataclass
class Member:
    """A member's newest update and the clock time at which it arrived."""

    update: MemberUpdate
    since_s: float

    @property
    def address(self) -> Address:
        """Return the member's peer address."""
        return self.update.address

    @property
    def is_live(self) -> bool:
        """Return whether the member may be used; a suspected member still may."""
        return self.update.state in (MemberState.ALIVE, MemberState.SUSPECT)


class MemberTable:
    """Members by VM, with the rules that resolve conflicting updates.

    Within one instance of a member, the higher incarnation wins, then the state with
    the higher precedence. Only the member itself raises its incarnation, which is how
    it refutes a suspicion. A new instance on the same VM replaces the earlier one,
    whatever the state of that one.
    """

    def __init__(
        self,
        own: MemberUpdate,
        clock: Clock = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        self.own = own
        self._clock = clock
        self._rng = rng or random.Random()
        self._members: dict[VmId, Member] = {}
        self._ended_instances: dict[InstanceId, float] = {}
        self._vm_list: dict[VmId, VmRecord] = {}
        self._transmissions_left: dict[VmId, int] = {}
        self._queue_update(own.vm)

    # Queries

    def others(self) -> list[Member]:
        """Return every known member except this one, whatever its state."""
        return list(self._members.values())

    def live_members(self) -> list[MemberUpdate]:
        """Return the updates of the live members, including this one."""
        updates = [self.own]
        for member in self._members.values():
            if member.is_live:
                updates.append(member.update)
        return updates

    def live_members_in(self, zone: ZoneName) -> list[MemberUpdate]:
        """Return the updates of the live members of an availability zone."""
        return [update for update in self.live_members() if update.zone == zone]

    def get(self, vm: VmId) -> Member | None:
        """Return the member on a VM, or None if it is unknown."""
        return self._members.get(vm)

    def role_holder(self, name: str) -> MemberUpdate | None:
        """Return the live member that claims a role with the highest epoch, or None."""
        best: tuple[int, MemberUpdate] | None = None
        for update in self.live_members():
            for role in update.roles:
                if role.name != name:
                    continue
                if best is None or role.epoch > best[0]:
                    best = (role.epoch, update)
        return best[1] if best else None

    def vm_list(self) -> tuple[VmRecord, ...]:
        """Return the platform's VM list as last merged."""
        return tuple(self._vm_list.values())

    # Updates about this member

    def set_roles(self, roles: tuple[Role, ...]) -> None:
        """Announce the roles that this member holds."""
        if roles == self.own.roles:
            return
        self.own = msgspec.structs.replace(
            self.own, roles=roles, incarnation=self.own.incarnation + 1
        )
        self._queue_update(self.own.vm)

    def leave(self) -> None:
        """Announce that this member is leaving and holds no roles."""
        self.own = msgspec.structs.replace(
            self.own,
            state=MemberState.LEFT,
            roles=(),
            incarnation=self.own.incarnation + 1,
        )
        self._queue_update(self.own.vm)

    # Updates about other members

    def merge_updates(self, updates: Iterable[MemberUpdate]) -> None:
        """Merge updates received from other members.

        An update that calls this member suspected, dead or left is refuted.
        """
        for update in updates:
            if update.vm == self.own.vm:
                self._refute(update)
                continue
            self._merge(update)

    def _refute(self, update: MemberUpdate) -> None:
        if update.instance != self.own.instance or self.own.state is MemberState.LEFT:
            return
        if update.state is MemberState.ALIVE:
            return
        if update.incarnation >= self.own.incarnation:
            self.own = msgspec.structs.replace(
                self.own, incarnation=update.incarnation + 1
            )
            self._queue_update(self.own.vm)

    def _merge(self, update: MemberUpdate) -> None:
        if update.instance in self._ended_instances:
            return
        known = self._members.get(update.vm)
        if known is not None and not self._overrides(update, known):
            return
        if known is not None and known.update.instance != update.instance:
            self._mark_ended(known.update.instance)
        self._members[update.vm] = Member(update, self._clock())
        self._queue_update(update.vm)

    def _overrides(self, update: MemberUpdate, known: Member) -> bool:
        if update.instance != known.update.instance:
            # The other instance is newer, or the order of the two is unknown. Either
            # way it replaces the known one only if it is reported alive.
            return update.state is MemberState.ALIVE
        if update.incarnation != known.update.incarnation:
            return update.incarnation > known.update.incarnation
        return STATE_PRECEDENCE[update.state] > STATE_PRECEDENCE[known.update.state]

    def suspicions_of(self, vm: VmId) -> tuple[MemberUpdate, ...]:
        """Return the update that calls a member anything but alive, if there is one.

        Only the member itself can refute it for every other member, so the update is
        sent along with each message to the member.
        """
        known = self._members.get(vm)
        if known is None or known.update.state is MemberState.ALIVE:
            return ()
        return (known.update,)

    def suspect(self, vm: VmId) -> None:
        """Mark a live member as suspected because it did not answer."""
        self._set_state(vm, MemberState.ALIVE, MemberState.SUSPECT)

    def merge_answer(self, update: MemberUpdate) -> None:
        """Merge the update that a member sent about itself, in a probe or an answer.

        A member that counted as dead and answers is alive again: it was unreachable
        during a network partition.
        """
        known = self._members.get(update.vm)
        if known is not None and known.update.instance == update.instance:
            is_suspected = known.update.state is not MemberState.ALIVE
            if is_suspected and update.state is MemberState.ALIVE:
                del self._members[update.vm]
        self._ended_instances.pop(update.instance, None)
        self.merge_updates([update])

    def expire(self, suspicion_s: float) -> list[VmId]:
        """Mark members as dead after `suspicion_s` seconds of suspicion; return them.

        Members that are dead or have left are forgotten after `FORGET_AFTER_S`, unless
        the VM list still contains them.
        """
        now_s = self._clock()
        newly_dead = []
        for vm, member in list(self._members.items()):
            age_s = now_s - member.since_s
            if member.update.state is MemberState.SUSPECT and age_s > suspicion_s:
                self._set_state(vm, MemberState.SUSPECT, MemberState.DEAD)
                newly_dead.append(vm)
            elif not member.is_live and age_s > FORGET_AFTER_S:
                if vm not in self._vm_list:
                    self._mark_ended(member.update.instance)
                    del self._members[vm]
        for instance, ended_at_s in list(self._ended_instances.items()):
            if now_s - ended_at_s > FORGET_AFTER_S:
                del self._ended_instances[instance]
        return newly_dead

    def _mark_ended(self, instance: InstanceId) -> None:
        if instance:
            self._ended_instances[instance] = self._clock()

    def _set_state(self, vm: VmId, before: MemberState, after: MemberState) -> None:
        member = self._members.get(vm)
        if member is None or member.update.state is not before:
            return
        update = msgspec.structs.replace(member.update, state=after)
        self._members[vm] = Member(update, self._clock())
        self._queue_update(vm)

    # VM list

    def merge_vm_list(self, records: Iterable[VmRecord]) -> None:
        """Merge the platform's VM list.

        The list lags behind, so it only adds members and never marks any as dead.
        """
        self._vm_list = {record.vm: record for record in records}
        for record in self._vm_list.values():
            if record.vm == self.own.vm or record.vm in self._members:
                continue
            if record.state is not VmState.LIVE:
                continue
            # Only the address is known until the member answers a probe.
            update = MemberUpdate(
                record.vm,
                record.zone,
                record.host,
                record.port,
                InstanceId(""),
                0,
                MemberState.ALIVE,
            )
            self._members[record.vm] = Member(update, self._clock())

    # Gossip

    def _queue_update(self, vm: VmId) -> None:
        """Queue the newest update about a member for the next messages.

        The number of transmissions grows with the logarithm of the number of members.
        """
        member_count = max(2, len(self._members) + 1)
        self._transmissions_left[vm] = RETRANSMIT_FACTOR * math.ceil(
            math.log2(member_count) + 1
        )

    def next_updates(self) -> tuple[MemberUpdate, ...]:
        """Return at most `UPDATES_PER_MESSAGE` updates for one message.

        Those with the most transmissions left come first. Each call uses up one
        transmission of every chosen update.
        """
        vms = sorted(
            self._transmissions_left, key=lambda vm: -self._transmissions_left[vm]
        )
        updates = []
        for vm in vms[:UPDATES_PER_MESSAGE]:
            self._transmissions_left[vm] -= 1
            if self._transmissions_left[vm] <= 0:
                del self._transmissions_left[vm]
            if vm == self.own.vm:
                updates.append(self.own)
            elif vm in self._members and self._members[vm].update.instance:
                updates.append(self._members[vm].update)
        return tuple(updates)
