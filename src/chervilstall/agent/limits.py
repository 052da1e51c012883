"""Shares of limits: held here for some groups, asked for elsewhere for others."""

import zlib
from collections import defaultdict

from chervilstall.admission.leased_shares import ShareAllocator
from chervilstall.admission.router_limits import limits_of
from chervilstall.agent.roles import RoleName, limits_role
from chervilstall.configuration.tree import Tree
from chervilstall.errors import ChervilstallError
from chervilstall.ids import LimitName
from chervilstall.lease.holder import LeaseTerm
from chervilstall.membership.table import MemberTable
from chervilstall.peer.messages import ShareGrants, ShareRequests
from chervilstall.peer.shares import ShareGrant, ShareRequest
from chervilstall.peer.transport import PeerClientPool
from chervilstall.settings.leases import LeaseSettings
from chervilstall.settings.option import Address
from chervilstall.settings.processes import LimitSettings

FORWARD_TIMEOUT_S = 0.5


class LimitGroups:
    """The limit groups this agent holds, and the way to all others."""

    def __init__(
        self,
        table: MemberTable,
        clients: PeerClientPool,
        settings: LimitSettings,
        leases: LeaseSettings,
    ) -> None:
        self.table = table
        self.clients = clients
        self.settings = settings
        self.group_count = leases.limit_groups
        self.allocators: dict[int, ShareAllocator] = {}
        self._limits: dict[LimitName, float] = {}

    def update(self, tree: Tree) -> None:
        """Take in the limits of a new revision."""
        self._limits = limits_of(tree)

    def on_role_gained(self, role: RoleName, tenure: LeaseTerm) -> None:
        """Start holding a group; the first holder ever has nothing to wait out."""
        is_first = tenure.epoch == 1
        self.allocators[role.number] = ShareAllocator(self.settings, is_first)

    def on_role_lost(self, role: RoleName) -> None:
        """Stop holding a group."""
        self.allocators.pop(role.number, None)

    def group_for_limit(self, limit: LimitName) -> int:
        """Return the group that a limit belongs to."""
        return zlib.crc32(limit.encode()) % self.group_count

    def answer(self, message: ShareRequests) -> ShareGrants:
        """Grant what is held here, and ask other holders for the rest."""
        by_group: dict[int, list[ShareRequest]] = defaultdict(list)
        for request in message.requests:
            by_group[self.group_for_limit(request.limit)].append(request)
        grants: list[ShareGrant] = []
        for group, requests in by_group.items():
            holder = self.allocators.get(group)
            if holder is not None:
                grants += self._grant(holder, requests)
            elif not message.is_forwarded:
                grants += self._forward(group, requests)
        return ShareGrants(tuple(grants))

    def _grant(
        self, holder: ShareAllocator, requests: list[ShareRequest]
    ) -> list[ShareGrant]:
        grants = []
        for request in requests:
            limit = self._limits.get(request.limit)
            if limit is not None:
                grants.append(holder.grant(request, limit))
        return grants

    def _forward(self, group: int, requests: list[ShareRequest]) -> list[ShareGrant]:
        member = self.table.role_holder(limits_role(group))
        if member is None or member.vm == self.table.own.vm:
            return []
        client = self.clients.client(Address(member.host, member.port))
        message = ShareRequests(tuple(requests), is_forwarded=True)
        try:
            reply = client.ask(message, ShareGrants, FORWARD_TIMEOUT_S)
        except ChervilstallError:
            return []
        return list(reply.grants)
