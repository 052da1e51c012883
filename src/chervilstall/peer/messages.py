"""Every message between the project's own processes.

Messages are msgspec structs in MessagePack, tagged by name. A request carries a call
number that its reply repeats. A process refuses a message it does not know, so new
messages are added before they are sent.
"""

from enum import Enum
from typing import Union

import msgspec

from chervilstall.ids import ChangeId, Epoch, InstanceId, Revision, VmId, ZoneName
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
from chervilstall.store.contract import VmRecord


class MemberState(Enum):
    """State of a member as others see it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


class Role(msgspec.Struct, frozen=True):
    """A role that a member holds by lease, fenced by the lease's epoch."""

    name: str
    epoch: Epoch


class MemberUpdate(msgspec.Struct, frozen=True):
    """What is said of a member; a higher incarnation overrides a lower one."""

    vm: VmId
    zone: ZoneName
    host: str
    port: int
    instance: InstanceId
    incarnation: int
    state: MemberState
    roles: tuple[Role, ...] = ()


class Ping(msgspec.Struct, frozen=True, tag=True):
    """A membership probe, carrying recent updates."""

    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()


class PingAnswer(msgspec.Struct, frozen=True, tag=True):
    """The answer to a probe: the answering member itself, and recent updates."""

    member: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()


class IndirectPing(msgspec.Struct, frozen=True, tag=True):
    """A request to probe another member."""

    target: MemberUpdate


class IndirectAnswer(msgspec.Struct, frozen=True, tag=True):
    """Whether the other member answered."""

    is_reached: bool


class NodeReport(msgspec.Struct, frozen=True):
    """The revision that a node and its routers have in force."""

    vm: VmId
    instance: InstanceId
    revision: Revision


class PullTree(msgspec.Struct, frozen=True, tag=True):
    """A wish for settings above a revision, with reports of the asker's subtree.

    The parent answers at once where it has something newer, else after `wait_s`.
    """

    revision: Revision
    wait_s: float
    reports: tuple[NodeReport, ...] = ()
    vm_list_digest: str = ""


class TreeChange(msgspec.Struct, frozen=True):
    """One accepted change; `text` None removes the path."""

    revision: Revision
    change: ChangeId
    path: str
    text: str | None


class TreeDelta(msgspec.Struct, frozen=True, tag=True):
    """Changes above a revision, in order; empty where there are none yet."""

    changes: tuple[TreeChange, ...]
    vms: tuple[VmRecord, ...] | None = None


class TreeWhole(msgspec.Struct, frozen=True, tag=True):
    """A whole tree, as compressed JSON of texts by path."""

    revision: Revision
    texts: bytes
    vms: tuple[VmRecord, ...] | None = None


class ShareRequests(msgspec.Struct, frozen=True, tag=True):
    """Demands for shares of limits. `is_forwarded` stops a second hop."""

    requests: tuple[ShareRequest, ...]
    is_forwarded: bool = False


class ShareGrants(msgspec.Struct, frozen=True, tag=True):
    """The shares that could be granted."""

    grants: tuple[ShareGrant, ...]


class ForwardedClaim(msgspec.Struct, frozen=True, tag=True):
    """A claim sent from the router's agent to the key's home."""

    claim: ClaimRequest


class ForwardedReport(msgspec.Struct, frozen=True, tag=True):
    """A report sent from the router's agent to the key's home."""

    report: OutcomeReport


class ReportAnswer(msgspec.Struct, frozen=True, tag=True):
    """Whether a home took a report."""

    is_taken: bool


class Refused(msgspec.Struct, frozen=True, tag=True):
    """The peer can't serve the request; the reason is for logs."""

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
    Refused,
]


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with the call it belongs to."""

    call: int
    body: Message
