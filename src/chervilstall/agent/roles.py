"""Which roles this agent contends for, and what it does while it holds them.

Every role is a lease. Only the few members that rank first for a role by rendezvous
hashing contend for it, so the store's calls depend on the number of roles and not on
the number of agents.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import gevent

from chervilstall.ids import SlotName, ZoneName
from chervilstall.lease.holder import LeaseHolder, LeaseState, LeaseTerm
from chervilstall.membership.table import MemberTable
from chervilstall.peer.messages import Role
from chervilstall.rendezvous import rendezvous_score
from chervilstall.settings.leases import LeaseSettings
from chervilstall.store.contract import Store
from chervilstall.tasks import run_forever
from chervilstall.telemetry.logs import ComponentLog

log = ComponentLog("roles")

CONTENDERS = 2
STEP_S = 0.5
JITTER = 0.2


class RoleKind(Enum):
    """Kinds of role."""

    RELAY = "relay"
    SLOT = "slot"
    LIMITS = "limits"


@dataclass(frozen=True)
class RoleName:
    """One role: its kind, number, and the zone it belongs to where it has one."""

    kind: RoleKind
    number: int
    zone: ZoneName | None = None

    def __str__(self) -> str:
        if self.zone is not None:
            return f"{self.kind.value}/{self.zone}/{self.number}"
        return f"{self.kind.value}/{self.number:03d}"


def slot_name(number: int) -> SlotName:
    """Return the name of a slot."""
    return SlotName(f"{number:03d}")


def slot_role(slot: SlotName) -> str:
    """Return the role name of a slot."""
    return f"{RoleKind.SLOT.value}/{slot}"


def limits_role(number: int) -> str:
    """Return the role name of a limit group."""
    return str(RoleName(RoleKind.LIMITS, number))


def relay_role(zone: ZoneName, number: int) -> str:
    """Return the role name of a zone's relay."""
    return str(RoleName(RoleKind.RELAY, number, zone))


def fleet_roles(settings: LeaseSettings, zone: ZoneName) -> list[RoleName]:
    """Return the roles that an agent of a zone may come to hold."""
    roles = [
        RoleName(RoleKind.RELAY, number, zone)
        for number in range(settings.relays_per_zone)
    ]
    roles += [RoleName(RoleKind.SLOT, number) for number in range(settings.slots)]
    roles += [
        RoleName(RoleKind.LIMITS, number) for number in range(settings.limit_groups)
    ]
    return roles


@dataclass
class _Contest:
    holder: LeaseHolder
    task: gevent.Greenlet
    tenure: LeaseTerm | None = None


@dataclass
class RoleManager:
    """Contends for roles and calls back as they are gained and lost.

    A role once held is kept while it can be renewed, also where another member now
    ranks higher, so that members coming and going do not move roles about.
    """

    store: Store
    table: MemberTable
    settings: LeaseSettings
    on_gain: Callable[[RoleName, LeaseTerm], object]
    on_lose: Callable[[RoleName], object]
    rng: random.Random = field(default_factory=random.Random)
    _contests: dict[RoleName, _Contest] = field(default_factory=dict)
    _ranked_for: frozenset[str] = frozenset()
    _wanted: set[RoleName] = field(default_factory=set)

    def run(self) -> None:
        """Follow membership and leases until killed; one task runs this."""
        run_forever(log, self._period)

    def _period(self) -> None:
        self.step()
        gevent.sleep(STEP_S)

    def step(self) -> None:
        """Start and end contests, and call back on what changed."""
        self._rank()
        for role in self._wanted:
            if role not in self._contests and not self._is_second_relay(role):
                self._start(role)
        for role, contest in list(self._contests.items()):
            self._follow(role, contest)
            is_wanted = role in self._wanted or contest.tenure is not None
            if not is_wanted or self._is_second_relay(role):
                self._give_up(role, contest)
        self._announce()

    def _rank(self) -> None:
        live = self.table.live_members()
        names = frozenset(update.vm for update in live)
        if names == self._ranked_for:
            return
        self._ranked_for = names
        own = self.table.own
        self._wanted = set()
        zones = sorted({update.zone for update in live})
        for role in fleet_roles(self.settings, own.zone):
            zone = role.zone or zones[role.number % len(zones)]
            candidates = [item.vm for item in live if item.zone == zone]
            if own.vm not in candidates:
                continue
            name = str(role)
            candidates.sort(key=lambda vm: rendezvous_score(name, vm), reverse=True)
            if own.vm in candidates[:CONTENDERS]:
                self._wanted.add(role)

    def _start(self, role: RoleName) -> None:
        note = self.table.own.vm
        holder_name = f"{self.table.own.vm}/{self.table.own.instance}"
        holder = LeaseHolder(
            self.store, str(role), holder_name, self.settings, note=note
        )
        task = gevent.spawn(holder.run, lambda: self.rng.uniform(-JITTER, JITTER))
        self._contests[role] = _Contest(holder, task)

    def _follow(self, role: RoleName, contest: _Contest) -> None:
        held = None
        if contest.holder.state() is LeaseState.HELD:
            held = contest.holder.check()
        if held == contest.tenure:
            return
        if contest.tenure is not None:
            log.info("Lost %s.", role)
            self.on_lose(role)
        contest.tenure = held
        if held is not None:
            log.info("Holding %s under epoch %d.", role, held.epoch)
            self.on_gain(role, held)

    def _is_second_relay(self, role: RoleName) -> bool:
        """Return whether another relay of the zone is held here already."""
        if role.kind is not RoleKind.RELAY or self._is_alone():
            return False
        return any(held.number < role.number for held in self.held(RoleKind.RELAY))

    def _is_alone(self) -> bool:
        return len(self.table.live_members_in(self.table.own.zone)) < CONTENDERS

    def _give_up(self, role: RoleName, contest: _Contest) -> None:
        if contest.tenure is not None:
            self.on_lose(role)
        self._end(role)

    def _end(self, role: RoleName) -> None:
        contest = self._contests.pop(role)
        contest.holder.stop()
        contest.task.kill(block=False)

    def _announce(self) -> None:
        roles = []
        for role, contest in self._contests.items():
            if contest.tenure is not None:
                roles.append(Role(str(role), contest.tenure.epoch))
        self.table.set_roles(tuple(sorted(roles, key=lambda role: role.name)))

    def held(self, kind: RoleKind) -> list[RoleName]:
        """Return the held roles of a kind."""
        found = []
        for role, contest in self._contests.items():
            if role.kind is kind and contest.tenure is not None:
                found.append(role)
        return found

    def abandon(self) -> None:
        """Stop renewing every role without giving it up, as a kill would."""
        for contest in self._contests.values():
            contest.task.kill(block=False)

    def release_all(self) -> None:
        """Give every role up; called after what they serve has been closed."""
        for role in list(self._contests):
            self._end(role)
        self._announce()
