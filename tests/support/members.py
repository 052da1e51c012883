"""Updates about members, for tests."""

from chervilstall.ids import InstanceId, VmId, ZoneName
from chervilstall.peer.messages import MemberState, MemberUpdate
from tests.support.router_harness import HOST


def member_update(
    state: MemberState, incarnation: int, instance: str = "i1"
) -> MemberUpdate:
    """Return an update about vm-1."""
    return MemberUpdate(
        VmId("vm-1"), ZoneName("z"), HOST, 1, InstanceId(instance), incarnation, state
    )
