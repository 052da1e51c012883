"""Election of agents to roles; every role is a lease in the store.

Only the members that rank highest for a role by rendezvous hashing are candidates for
its lease, so the number of store calls depends on the number of roles and not on the
number of agents.
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

CANDIDATES_PER_ROLE = 2
STEP_INTERVAL_S = 0.5
RENEWAL_JITTER = 0.2  # share of the renewal interval, in either direction


class RoleKind(Enum):
    """Kinds of role.

    A relay watches the store for its zone, a slot role answers the idempotency claims
    of a slot, and a limits role allocates the shares of a limit group.
    """

    RELAY = "relay"
    SLOT = "slot"
    LIMITS = "limits"


SLOT_ROLE_PREFIX = f"{RoleKind.SLOT.value}/"


@dataclass(frozen=True)
class RoleName:
    """Identity of a role: kind, number, and the zone for kinds that have one."""

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
    return SLOT_ROLE_PREFIX + slot


def limits_role(number: int) -> str:
    """Return the role name of a limit group."""
    return str(RoleName(RoleKind.LIMITS, number))


def relay_role(zone: ZoneName, number: int) -> str:
    """Return the role name of a zone's relay."""
    return str(RoleName(RoleKind.RELAY, number, zone))


def fleet_roles(settings: LeaseSettings, zone: ZoneName) -> list[RoleName]:
    """Return all roles that an agent of a zone may hold."""
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
class _Candidacy:
    holder: LeaseHolder
    task: gevent.Greenlet
    term: LeaseTerm | None = None


@dataclass
class RoleManager:
    """Acquires and renews roles, and calls back when one is gained or lost.

    A role that is held is kept as long as it can be renewed, also when another member
    now ranks higher, so that roles do not move with every change of membership.
    """

    store: Store
    table: MemberTable
    settings: LeaseSettings
    on_role_gained: Callable[[RoleName, LeaseTerm], object]
    on_role_lost: Callable[[RoleName], object]
    rng: random.Random = field(default_factory=random.Random)
    _candidacies: dict[RoleName, _Candidacy] = field(default_factory=dict)
    _ranked_vms: frozenset[str] = frozenset()
    _wanted_roles: set[RoleName] = field(default_factory=set)

    def run(self) -> None:
        """Follow membership and leases until killed; run in one greenlet."""
        run_forever(log, self._step_and_sleep)

    def _step_and_sleep(self) -> None:
        self.step()
        gevent.sleep(STEP_INTERVAL_S)

    def step(self) -> None:
        """Start and end candidacies, and call back for roles gained and lost."""
        self._update_wanted_roles()
        for role in self._wanted_roles:
            if role not in self._candidacies and not self._is_second_relay(role):
                self._start_candidacy(role)
        for role, candidacy in list(self._candidacies.items()):
            self._check_lease(role, candidacy)
            is_wanted = role in self._wanted_roles or candidacy.term is not None
            if not is_wanted or self._is_second_relay(role):
                self._withdraw(role, candidacy)
        self._publish_roles()

    def _update_wanted_roles(self) -> None:
        live = self.table.live_members()
        names = frozenset(update.vm for update in live)
        if names == self._ranked_vms:
            return
        self._ranked_vms = names
        own = self.table.own
        self._wanted_roles = set()
        zones = sorted({update.zone for update in live})
        for role in fleet_roles(self.settings, own.zone):
            # A role without a zone is assigned to one by its number.
            zone = role.zone or zones[role.number % len(zones)]
            candidates = [item.vm for item in live if item.zone == zone]
            if own.vm not in candidates:
                continue
            name = str(role)
            candidates.sort(key=lambda vm: rendezvous_score(name, vm), reverse=True)
            if own.vm in candidates[:CANDIDATES_PER_ROLE]:
                self._wanted_roles.add(role)

    def _start_candidacy(self, role: RoleName) -> None:
        note = self.table.own.vm
        holder_name = f"{self.table.own.vm}/{self.table.own.instance}"
        holder = LeaseHolder(
            self.store, str(role), holder_name, self.settings, note=note
        )
        task = gevent.spawn(
            holder.run, lambda: self.rng.uniform(-RENEWAL_JITTER, RENEWAL_JITTER)
        )
        self._candidacies[role] = _Candidacy(holder, task)

    def _check_lease(self, role: RoleName, candidacy: _Candidacy) -> None:
        held_term = None
        if candidacy.holder.state() is LeaseState.HELD:
            held_term = candidacy.holder.check()
        if held_term == candidacy.term:
            return
        if candidacy.term is not None:
            log.info("Lost role %s.", role)
            self.on_role_lost(role)
        candidacy.term = held_term
        if held_term is not None:
            log.info("Gained role %s with epoch %d.", role, held_term.epoch)
            self.on_role_gained(role, held_term)

    def _is_second_relay(self, role: RoleName) -> bool:
        """Return whether this agent already holds a lower-numbered relay role.

        One agent holds two relay roles only while its zone has no other live member.
        """
        if role.kind is not RoleKind.RELAY or self._is_only_candidate():
            return False
        return any(
            held.number < role.number for held in self.held_roles(RoleKind.RELAY)
        )

    def _is_only_candidate(self) -> bool:
        return (
            len(self.table.live_members_in(self.table.own.zone)) < CANDIDATES_PER_ROLE
        )

    def _withdraw(self, role: RoleName, candidacy: _Candidacy) -> None:
        if candidacy.term is not None:
            self.on_role_lost(role)
        self._stop_candidacy(role)

    def _stop_candidacy(self, role: RoleName) -> None:
        candidacy = self._candidacies.pop(role)
        candidacy.holder.stop()
        candidacy.task.kill(block=False)

    def _publish_roles(self) -> None:
        roles = []
        for role, candidacy in self._candidacies.items():
            if candidacy.term is not None:
                roles.append(Role(str(role), candidacy.term.epoch))
        self.table.set_roles(tuple(sorted(roles, key=lambda role: role.name)))

    def held_roles(self, kind: RoleKind) -> list[RoleName]:
        """Return the roles of a kind that this agent holds."""
        roles = []
        for role, candidacy in self._candidacies.items():
            if role.kind is kind and candidacy.term is not None:
                roles.append(role)
        return roles

    def abandon(self) -> None:
        """Stop renewing all roles without releasing them, as a killed process would."""
        for candidacy in self._candidacies.values():
            candidacy.task.kill(block=False)

    def release_all(self) -> None:
        """Release all roles; call this after closing what serves them."""
        for role in list(self._candidacies):
            self._stop_candidacy(role)
        self._publish_roles()
