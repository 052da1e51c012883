"""All messages between Chervilstall processes.

Messages are msgspec structs in MessagePack, tagged with their class name. A request
carries a call number that its reply repeats. A process drops messages with unknown
tags, so every receiver must know a new message before any process sends it.
"""

from enum import Enum
from typing import Union

import msgspec

from chervilstall.ids import ChangeId, Epoch, InstanceId, Revision, VmId, ZoneName
from chervilstall.peer.changes import Changes, ChangesNotHeld, ChangesRequest
from chervilstall.peer.claims import (
    Claimed,
    ClaimRequest,
    InDoubt,
    Mismatched,
    OutcomeReport,
    Repeated,
    Unavailable,
)
from chervilstall.peer.shares import ShareGrant, ShareRequest
from chervilstall.settings.option import Address
from chervilstall.store.contract import VmRecord


class MemberState(Enum):
    """State of a member as other members see it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


class Role(msgspec.Struct, frozen=True):
    """A role that a member holds through a lease, with the lease's epoch."""

    name: str
    epoch: Epoch


class MemberUpdate(msgspec.Struct, frozen=True):
    """Statement about a member; a higher incarnation overrides a lower one.

    `instance` identifies the process that runs on the VM. Only the member itself raises
    its `incarnation`.
    """

    vm: VmId
    zone: ZoneName
    host: str
    port: int
    instance: InstanceId
    incarnation: int
    state: MemberState
    roles: tuple[Role, ...] = ()

    @property
    def address(self) -> Address:
        """Return the member's peer address."""
        return Address(self.host, self.port)


class Ping(msgspec.Struct, frozen=True, tag=True):
    """A membership probe from `sender`, with recent updates."""

    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()


class PingAnswer(msgspec.Struct, frozen=True, tag=True):
    """Answer to a probe: the probed member's own state, and recent updates."""

    member: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()


class IndirectPing(msgspec.Struct, frozen=True, tag=True):
    """Request to probe `target` for the sender."""

    target: MemberUpdate


class IndirectAnswer(msgspec.Struct, frozen=True, tag=True):
    """Whether the target of an indirect probe answered."""

    is_reached: bool


class NodeReport(msgspec.Struct, frozen=True):
    """The lowest settings revision that a node and its routers apply."""

    vm: VmId
    instance: InstanceId
    revision: Revision


class PullTree(msgspec.Struct, frozen=True, tag=True):
    """Request for settings newer than a revision, with reports of the sender's subtree.

    The parent answers as soon as it has newer settings, or after `wait_s` seconds. It
    adds its VM list to the answer if `vm_list_digest` differs from its own digest.
    """

    revision: Revision
    wait_s: float
    reports: tuple[NodeReport, ...] = ()
    vm_list_digest: str = ""


class TreeChange(msgspec.Struct, frozen=True):
    """An accepted change; `text` None removes the path."""

    revision: Revision
    change: ChangeId
    path: str
    text: str | None


class TreeDelta(msgspec.Struct, frozen=True, tag=True):
    """Changes after a revision in order of revision, empty if there are none yet.

    `vms` is the VM list if the receiver's copy is outdated.
    """

    changes: tuple[TreeChange, ...]
    vms: tuple[VmRecord, ...] | None = None


class TreeWhole(msgspec.Struct, frozen=True, tag=True):
    """A whole tree, as compressed JSON of document texts by path.

    `vms` is the VM list if the receiver's copy is outdated.
    """

    revision: Revision
    texts: bytes
    vms: tuple[VmRecord, ...] | None = None


class ShareRequests(msgspec.Struct, frozen=True, tag=True):
    """Requests for shares of limits.

    A request with `is_forwarded` set is not forwarded again.
    """

    requests: tuple[ShareRequest, ...]
    is_forwarded: bool = False


class ShareGrants(msgspec.Struct, frozen=True, tag=True):
    """The shares that were granted; may be fewer than requested."""

    grants: tuple[ShareGrant, ...]


class ForwardedClaim(msgspec.Struct, frozen=True, tag=True):
    """A claim that a router's agent forwards to the home of the key."""

    claim: ClaimRequest


class ForwardedReport(msgspec.Struct, frozen=True, tag=True):
    """An outcome report that a router's agent forwards to the home of the key."""

    report: OutcomeReport


class ReportAnswer(msgspec.Struct, frozen=True, tag=True):
    """Whether a home recorded a report."""

    is_taken: bool


class Refused(msgspec.Struct, frozen=True, tag=True):
    """The peer can't answer the request. The reason is meant for logs."""

    reason: str


Message = Union[
    Ping,
    PingAnswer,
    IndirectPing,
    IndirectAnswer,
    PullTree,
    TreeDelta,
    TreeWhole,
    ShareRequests,
    ShareGrants,
    ClaimRequest,
    Claimed,
    Repeated,
    Mismatched,
    InDoubt,
    Unavailable,
    OutcomeReport,
    ForwardedClaim,
    ForwardedReport,
    ReportAnswer,
    ChangesRequest,
    Changes,
    ChangesNotHeld,
    Refused,
]


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with the number of the call that it belongs to."""

    call: int
    body: Message
