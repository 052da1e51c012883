"""Steps for the table of members and for partitions of the fleet."""

import random

import msgspec
from behave import given, then, when
from behave.runner import Context

from chervilstall.ids import InstanceId, VmId, ZoneName
from chervilstall.membership.prober import Prober
from chervilstall.membership.table import MemberTable
from chervilstall.peer.messages import MemberState, MemberUpdate, Ping
from chervilstall.peer.transport import PeerClientPool
from chervilstall.settings.agents import PeerSettings
from tests.support.agent_fleet import eventually
from tests.support.members import member_update
from tests.support.router_harness import HOST

UPDATES = {
    "a suspicion": member_update(MemberState.SUSPECT, 1),
    "a refutation": member_update(MemberState.ALIVE, 2),
    "a death": member_update(MemberState.DEAD, 1),
    "an older alive": member_update(MemberState.ALIVE, 1),
    "a new instance": member_update(MemberState.ALIVE, 1, "i2"),
    "the old instance alive": member_update(MemberState.ALIVE, 5),
    "a leave": member_update(MemberState.LEFT, 2),
}


@given("a member table in which vm-1 is alive")
def create_member_table(context: Context) -> None:
    context.now_s = 0.0
    own = MemberUpdate(
        VmId("vm-0"), ZoneName("z"), HOST, 2, InstanceId("own"), 1, MemberState.ALIVE
    )
    context.members = MemberTable(own, lambda: context.now_s, random.Random(1))
    context.members.merge_updates([member_update(MemberState.ALIVE, 1)])


@when("it receives {updates}")
def receive_updates(context: Context, updates: str) -> None:
    for name in updates.split(", "):
        if name == "a direct answer":
            context.members.merge_answer(member_update(MemberState.ALIVE, 1))
        elif name == "no refutation in time":
            context.now_s += 10.0
            assert context.members.expire(4.0) == ["vm-1"]
        else:
            context.members.merge_updates([UPDATES[name]])


@then("vm-1 is {state}")
def check_member(context: Context, state: str) -> None:
    member = context.members.get(VmId("vm-1"))
    assert member.update.state is MemberState(state), member
    if state == "alive" and member.update.instance == "i2":
        assert member.update.incarnation == 1


@then("a suspicion of itself raises its own incarnation")
def check_refutation(context: Context) -> None:
    own = context.members.own
    suspicion = msgspec.structs.replace(own, state=MemberState.SUSPECT)
    context.members.merge_updates([suspicion])
    assert context.members.own.incarnation == own.incarnation + 1
    assert context.members.own in context.members.next_updates()


@then("its answer to vm-1 contains the death, and vm-1 refutes it for every member")
def check_suspicion_refuted(context: Context) -> None:
    prober = Prober(context.members, PeerClientPool(), PeerSettings())
    sender = member_update(MemberState.ALIVE, 1)
    answer = prober.answer_ping(Ping(sender))
    suspected = MemberTable(sender)
    suspected.merge_updates(answer.updates)
    assert suspected.own.incarnation == 2
    other = MemberTable(context.members.own)
    other.merge_updates([UPDATES["a death"]])
    other.merge_updates([suspected.own])
    assert other.get(VmId("vm-1")).update.state is MemberState.ALIVE


@then("a table of 2,100 members sends at most 8 updates at once")
def check_update_count(context: Context) -> None:
    create_member_table(context)
    for number in range(2_100):
        vm = VmId(f"vm-{number + 10}")
        context.members.merge_updates(
            [
                msgspec.structs.replace(
                    member_update(MemberState.ALIVE, 1, str(number)), vm=vm
                )
            ]
        )
    assert len(context.members.next_updates()) == 8


@when("a zone is cut off from the others and reconnected")
def cut_and_heal(context: Context) -> None:
    cluster = context.cluster
    agents = cluster.fleet.agents.values()
    cluster.network.partitioned_from_zones.add("ke-hall")
    eventually(
        lambda: all(any(not m.is_live for m in a.table.others()) for a in agents), 20.0
    )
    cluster.heal()


@then("every agent considers every other agent alive")
def check_healed(context: Context) -> None:
    agents = context.cluster.fleet.agents
    eventually(
        lambda: all(
            len(a.table.live_members()) == len(agents) for a in agents.values()
        ),
        20.0,
    )
