"""Grants shares of limits for the groups held here; forwards the other requests."""

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
from chervilstall.settings.processes import LimitSettings

FORWARD_TIMEOUT_S = 0.5


class LimitGroups:
    """The limit groups that this agent holds, and forwarding to other holders.

    Every limit belongs to one of `limit_groups` groups. The holder of a group's role
    allocates the shares of its limits.
    """

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
        """Replace the limits by those of a new settings revision."""
        self._limits = limits_of(tree)

    def on_role_gained(self, role: RoleName, term: LeaseTerm) -> None:
        """Start allocating a group's shares.

        In epoch 1 there was no earlier holder whose shares could still be in use, so
        the allocator need not wait for them to expire.
        """
        is_first = term.epoch == 1
        self.allocators[role.number] = ShareAllocator(self.settings, is_first)

    def on_role_lost(self, role: RoleName) -> None:
        """Stop allocating a group's shares."""
        self.allocators.pop(role.number, None)

    def group_for_limit(self, limit: LimitName) -> int:
        """Return the group that a limit belongs to."""
        return zlib.crc32(limit.encode()) % self.group_count

    def answer(self, message: ShareRequests) -> ShareGrants:
        """Grant shares of the groups held here and forward the rest to their holders.

        A forwarded message is not forwarded again.
        """
        by_group: dict[int, list[ShareRequest]] = defaultdict(list)
        for request in message.requests:
            by_group[self.group_for_limit(request.limit)].append(request)
        grants: list[ShareGrant] = []
        for group, requests in by_group.items():
            allocator = self.allocators.get(group)
            if allocator is not None:
                grants += self._grant(allocator, requests)
            elif not message.is_forwarded:
                grants += self._forward(group, requests)
        return ShareGrants(tuple(grants))

    def _grant(
        self, allocator: ShareAllocator, requests: list[ShareRequest]
    ) -> list[ShareGrant]:
        grants = []
        for request in requests:
            limit = self._limits.get(request.limit)
            if limit is not None:
                grants.append(allocator.grant(request, limit))
        return grants

    def _forward(self, group: int, requests: list[ShareRequest]) -> list[ShareGrant]:
        member = self.table.role_holder(limits_role(group))
        if member is None or member.vm == self.table.own.vm:
            return []
        client = self.clients.client(member.address)
        message = ShareRequests(tuple(requests), is_forwarded=True)
        try:
            reply = client.ask(message, ShareGrants, FORWARD_TIMEOUT_S)
        except ChervilstallError:
            return []
        return list(reply.grants)
