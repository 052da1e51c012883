"""What one member believes of all others, and what it has to tell."""

import math
import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec

from chervilstall.ids import InstanceId, VmId, ZoneName
from chervilstall.peer.messages import MemberState, MemberUpdate, Role
from chervilstall.settings.option import Address
from chervilstall.store.contract import VmRecord, VmState

UPDATES_PER_MESSAGE = 8
RETELLINGS_FACTOR = 3
FORGET_AFTER_S = 120.0

# At the same incarnation the graver statement wins.
GRAVITY = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.DEAD: 2,
    MemberState.LEFT: 3,
}


@dataclass
class Member:
    """One member: the newest update, and since when its state holds."""

    update: MemberUpdate
    since_s: float

    @property
    def address(self) -> Address:
        """Return the member's peer address."""
        return Address(self.update.host, self.update.port)

    @property
    def is_live(self) -> bool:
        """Return whether the member may be used; a suspect still may."""
        return self.update.state in (MemberState.ALIVE, MemberState.SUSPECT)


class MemberTable:
    """Members by VM, with rules that settle contradicting statements.

    Within one life of a VM the higher incarnation wins, then the graver state. Only a
    member itself raises its incarnation, which is how it refutes a suspicion. A new
    instance at the same VM replaces the earlier one, whatever was said of that.
    """

    def __init__(
        self,
        own: MemberUpdate,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        self.own = own
        self._clock = clock
        self._rng = rng or random.Random()
        self._members: dict[VmId, Member] = {}
        self._ended: dict[InstanceId, float] = {}
        self._listed: dict[VmId, VmRecord] = {}
        self._to_tell: dict[VmId, int] = {}
        self.tell(own.vm)

    # Reading

    def others(self) -> list[Member]:
        """Return every known member but this one."""
        return list(self._members.values())

    def live_members(self) -> list[MemberUpdate]:
        """Return the live members, this one included."""
        found = [self.own]
        for member in self._members.values():
            if member.is_live:
                found.append(member.update)
        return found

    def live_members_in(self, zone: ZoneName) -> list[MemberUpdate]:
        """Return the live members of a zone."""
        return [update for update in self.live_members() if update.zone == zone]

    def get(self, vm: VmId) -> Member | None:
        """Return a member, or None."""
        return self._members.get(vm)

    def role_holder(self, name: str) -> MemberUpdate | None:
        """Return the live member that holds a role under the highest epoch."""
        best: tuple[int, MemberUpdate] | None = None
        for update in self.live_members():
            for role in update.roles:
                if role.name != name:
                    continue
                if best is None or role.epoch > best[0]:
                    best = (role.epoch, update)
        return best[1] if best else None

    def vm_list(self) -> tuple[VmRecord, ...]:
        """Return the VM list as last seen."""
        return tuple(self._listed.values())

    # Own statements

    def set_roles(self, roles: tuple[Role, ...]) -> None:
        """State the roles this member holds."""
        if roles == self.own.roles:
            return
        self.own = msgspec.structs.replace(
            self.own, roles=roles, incarnation=self.own.incarnation + 1
        )
        self.tell(self.own.vm)

    def leave(self) -> None:
        """State that this member is leaving."""
        self.own = msgspec.structs.replace(
            self.own,
            state=MemberState.LEFT,
            roles=(),
            incarnation=self.own.incarnation + 1,
        )
        self.tell(self.own.vm)

    # Merging

    def merge_updates(self, updates: Iterable[MemberUpdate]) -> None:
        """Take in statements of other members."""
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
            self.tell(self.own.vm)

    def _merge(self, update: MemberUpdate) -> None:
        if update.instance in self._ended:
            return
        known = self._members.get(update.vm)
        if known is not None and not self._overrides(update, known):
            return
        if known is not None and known.update.instance != update.instance:
            self._end(known.update.instance)
        self._members[update.vm] = Member(update, self._clock())
        self.tell(update.vm)

    def _overrides(self, update: MemberUpdate, known: Member) -> bool:
        if update.instance != known.update.instance:
            # An instance that has not ended and is not the known one is newer, or it
            # is unknown which is; the one that is alive is taken.
            return update.state is MemberState.ALIVE
        if update.incarnation != known.update.incarnation:
            return update.incarnation > known.update.incarnation
        return GRAVITY[update.state] > GRAVITY[known.update.state]

    def doubts_about(self, vm: VmId) -> tuple[MemberUpdate, ...]:
        """Return what is held against a member, for telling it so.

        Only the member itself can refute a doubt for everyone, so whoever speaks with
        it passes the doubt on.
        """
        known = self._members.get(vm)
        if known is None or known.update.state is MemberState.ALIVE:
            return ()
        return (known.update,)

    def suspect(self, vm: VmId) -> None:
        """State that a member did not answer."""
        self._set_state(vm, MemberState.ALIVE, MemberState.SUSPECT)

    def confirm(self, update: MemberUpdate) -> None:
        """Take in what a member said of itself when it answered.

        A member that was held for dead and answers is alive again: a cut has healed.
        """
        known = self._members.get(update.vm)
        if known is not None and known.update.instance == update.instance:
            is_doubted = known.update.state is not MemberState.ALIVE
            if is_doubted and update.state is MemberState.ALIVE:
                del self._members[update.vm]
        self._ended.pop(update.instance, None)
        self.merge_updates([update])

    def expire(self, suspicion_s: float) -> list[VmId]:
        """Turn suspects of long standing into dead members; return these."""
        now_s = self._clock()
        died = []
        for vm, member in list(self._members.items()):
            age_s = now_s - member.since_s
            if member.update.state is MemberState.SUSPECT and age_s > suspicion_s:
                self._set_state(vm, MemberState.SUSPECT, MemberState.DEAD)
                died.append(vm)
            elif not member.is_live and age_s > FORGET_AFTER_S:
                if vm not in self._listed:
                    self._end(member.update.instance)
                    del self._members[vm]
        for instance, ended_at_s in list(self._ended.items()):
            if now_s - ended_at_s > FORGET_AFTER_S:
                del self._ended[instance]
        return died

    def _end(self, instance: InstanceId) -> None:
        if instance:
            self._ended[instance] = self._clock()

    def _set_state(self, vm: VmId, before: MemberState, after: MemberState) -> None:
        member = self._members.get(vm)
        if member is None or member.update.state is not before:
            return
        update = msgspec.structs.replace(member.update, state=after)
        self._members[vm] = Member(update, self._clock())
        self.tell(vm)

    # The VM list

    def merge_vm_list(self, records: Iterable[VmRecord]) -> None:
        """Take in the platform's lagging list; it adds members, never kills them."""
        self._listed = {record.vm: record for record in records}
        for record in self._listed.values():
            if record.vm == self.own.vm or record.vm in self._members:
                continue
            if record.state is not VmState.LIVE:
                continue
            # Until it answers, nothing but its address is known.
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

    # Telling

    def tell(self, vm: VmId) -> None:
        """Spread the newest statement about a member with the next messages."""
        size = max(2, len(self._members) + 1)
        self._to_tell[vm] = RETELLINGS_FACTOR * math.ceil(math.log2(size) + 1)

    def next_updates(self) -> tuple[MemberUpdate, ...]:
        """Return a bounded number of statements, the least told first."""
        chosen = sorted(self._to_tell, key=lambda vm: -self._to_tell[vm])
        updates = []
        for vm in chosen[:UPDATES_PER_MESSAGE]:
            self._to_tell[vm] -= 1
            if self._to_tell[vm] <= 0:
                del self._to_tell[vm]
            if vm == self.own.vm:
                updates.append(self.own)
            elif vm in self._members and self._members[vm].update.instance:
                updates.append(self._members[vm].update)
        return tuple(updates)
