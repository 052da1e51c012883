"""Steps for accepting, distributing and confirming settings."""

import json
from urllib.parse import quote

import gevent
import msgspec
from behave import given, then, when
from behave.runner import Context
from geventhttpclient import HTTPClient
from hypothesis import given as given_values
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

from chervilstall.agent.operators import OperatorApplication
from chervilstall.configuration.check import check_tree
from chervilstall.configuration.records import IN_FORCE_PREFIX, ZoneWatermark
from chervilstall.configuration.replica import Replica
from chervilstall.configuration.tree import Tree
from chervilstall.configuration.treefile import document_text
from chervilstall.configuration.watermark import NodeReportTable, Watermark
from chervilstall.configuration.writer import ConfigurationStore, ProposedChange
from chervilstall.errors import ChervilstallError
from chervilstall.gateway.auth import token_digest
from chervilstall.ids import ChangeId, InstanceId, Revision, VmId, new_change_id
from chervilstall.peer.messages import NodeReport, TreeChange, TreeDelta
from chervilstall.settings.agents import OperatorSettings
from chervilstall.settings.documents import find_document_kind
from chervilstall.settings.problems import InvalidSettings
from chervilstall.standin.faults import FOREVER, FaultKind
from chervilstall.standin.store import MemoryStore
from chervilstall.store.contract import VALUE_MAX_BYTES
from chervilstall.wsgi import Server
from tests.support.agent_fleet import AgentFleet, dependency_rank, eventually
from tests.support.router_harness import ANY_PORT, tree_texts

PLANS = "workspaces/desks/pipelines/plans"
DRAFTS = "workspaces/counters/pipelines/drafts"
FAULTS = {
    "a lost answer": (FaultKind.LOSE_ANSWER, 1),
    "stale reads": (FaultKind.STALE_READS, 3),
    "a short outage": (FaultKind.OUTAGE, 3),
    "a rate limit": (FaultKind.RATE_LIMIT, 3),
}


def plans_text(requests_per_s: int) -> str:
    return (
        f"[pipeline]\nmodel = small\nversion = v1\nrequests_per_s = {requests_per_s}\n"
    )


def propose(
    context: Context, path: str, text: str, author: str, base: int | None = None
) -> int:
    revision = Revision(base) if base is not None else None
    change = ProposedChange(new_change_id(), path, text, author, revision)
    return ConfigurationStore(context.store).accept(change)


@given("a store with the test tree accepted")
def accepted_store(context: Context) -> None:
    context.store = MemoryStore()
    texts = tree_texts()
    for path in sorted(texts, key=dependency_rank):
        context.revision = propose(context, path, texts[path], "setup")


@when("two operators change one path based on the same revision")
def change_one_path_twice(context: Context) -> None:
    propose(context, PLANS, plans_text(1), "marek", context.revision)
    try:
        propose(context, PLANS, plans_text(2), "jana", context.revision)
    except ChervilstallError as error:
        context.error = error


@then("the second change is rejected with the author of the first")
def check_conflict(context: Context) -> None:
    assert context.error.kind.value == "conflict"
    assert "marek" in context.error.message and PLANS in context.error.message


@when("two operators change different paths based on the same revision")
def change_two_paths(context: Context) -> None:
    tasks = [
        gevent.spawn(propose, context, PLANS, plans_text(1), "a", context.revision),
        gevent.spawn(propose, context, DRAFTS, plans_text(2), "b", context.revision),
    ]
    gevent.joinall(tasks, raise_error=True)
    context.revisions = sorted(task.value for task in tasks)


@then("both are accepted with consecutive revisions")
def check_order(context: Context) -> None:
    first = context.revision + 1
    assert context.revisions == [first, first + 1], context.revisions


@when("a change is proposed despite {fault}")
def propose_despite_fault(context: Context, fault: str) -> None:
    kind, times = FAULTS[fault]
    context.store.keep_stale_copy()
    propose(context, DRAFTS, plans_text(1), "before")
    context.store.faults.arm(kind, times=times)
    context.change = new_change_id()
    change = ProposedChange(context.change, PLANS, plans_text(3), "jana")
    ConfigurationStore(context.store).accept(change)


@then("the history contains the change exactly once")
def check_history(context: Context) -> None:
    context.store.faults.clear()
    history = ConfigurationStore(context.store).history()
    assert [item.change for item in history].count(context.change) == 1
    revisions = [item.revision for item in history]
    assert revisions == list(range(1, len(revisions) + 1)), revisions


@when("an operator writes {path:S} with {text}")
def write_invalid(context: Context, path: str, text: str) -> None:
    kind = find_document_kind(path)
    options = dict(part.split(" = ") for part in text.split(" ; "))
    document = document_text(kind.section if kind else "x", options)
    context.before = context.store.list_entries("")
    try:
        propose(context, path, document, "jana")
    except InvalidSettings as errors:
        context.messages = [str(error) for error in errors.exceptions]


@then('the change is rejected with "{message}"')
def check_rejected(context: Context, message: str) -> None:
    assert any(message in text for text in context.messages), context.messages


@then("the contents of the store are unchanged")
def check_unchanged(context: Context) -> None:
    assert context.store.list_entries("") == context.before


@then("a tree with four errors reports all four")
def check_all_errors(context: Context) -> None:
    texts = {
        "models/m": "[model]\nlayers = none\nversions = v1",
        "targets/t": "[target]\nkind = engine\nzone = Z!\naddress = nowhere",
        "links/a/b": "[link]\ntokens_per_s = -1",
    }
    try:
        check_tree(Tree.build(Revision(1), texts))
    except InvalidSettings as errors:
        found = {(error.source, error.name) for error in errors.exceptions}
    assert found >= {
        ("models/m", "layers"),
        ("targets/t", "zone"),
        ("targets/t", "address"),
        ("links/a/b", "tokens_per_s"),
    }, found


@when("{changes:d} changes are accepted from two concurrent writers")
def accept_many_changes(context: Context, changes: int) -> None:
    def write(path: str) -> None:
        for number in range(changes // 2):
            propose(context, path, plans_text(number), path)

    tasks = [gevent.spawn(write, path) for path in (PLANS, DRAFTS)]
    gevent.joinall(tasks, raise_error=True)
    context.last = plans_text(changes // 2 - 1)


@then("a new reader gets the last text and the whole history")
def check_new_reader(context: Context) -> None:
    reader = ConfigurationStore(context.store)
    head = reader.read_head().head
    tree = reader.read_tree(head)
    assert tree.texts[PLANS] == context.last == tree.texts[DRAFTS]
    assert head.snapshot > 0
    revisions = [item.revision for item in reader.history()]
    assert revisions == list(range(1, head.revision + 1))
    assert reader.text_at(PLANS, Revision(context.revision)) == tree_texts()[PLANS]


@then("no value in the store exceeds its size limit")
def check_sizes(context: Context) -> None:
    entries = context.store.list_entries("")
    assert all(len(entry.value) <= VALUE_MAX_BYTES for entry in entries)
    assert len([e for e in entries if "snapshots" in e.key]) <= 3


class ReplicaMachine(RuleBasedStateMachine):
    """A replica receives old, new, repeated and non-contiguous changes.

    Its revision may never decrease, and its tree has to match its revision.
    """

    def __init__(self) -> None:
        super().__init__()
        self.replica = Replica()
        self.highest = 0

    @rule(start=st.integers(1, 12), count=st.integers(0, 5))
    def apply_changes(self, start: int, count: int) -> None:
        """Apply a peer's answer with consecutive changes."""
        changes = []
        for revision in range(start, start + count):
            text = f"[model]\nlayers = {revision}\nversions = v1"
            change = TreeChange(
                Revision(revision), ChangeId(str(revision)), "models/m", text
            )
            changes.append(change)
        self.replica.apply(TreeDelta(tuple(changes)))
        self.check()

    @rule(revision=st.integers(1, 20))
    def apply_tree(self, revision: int) -> None:
        """Switch to a tree read from the store, possibly a stale one."""
        text = f"[model]\nlayers = {revision}\nversions = v1"
        self.replica.advance(Tree.build(Revision(revision), {"models/m": text}))
        self.check()

    @rule(revision=st.integers(0, 20))
    def catch_up(self, revision: int) -> None:
        """Let another replica catch up from this one."""
        other = Replica()
        other.advance(self.tree_at(revision))
        other.apply(self.replica.changes_since(other.revision))
        if other.revision < self.replica.revision:
            raise AssertionError("the answer did not lead to the current tree")

    def tree_at(self, revision: int) -> Tree:
        text = f"[model]\nlayers = {revision or 1}\nversions = v1"
        return Tree.build(Revision(revision), {"models/m": text})

    def check(self) -> None:
        assert self.replica.revision >= self.highest
        self.highest = self.replica.revision
        if self.highest:
            assert self.replica.tree.models()["m"].layers == self.highest


@then("the replica state machine holds for every generated sequence")
def run_replica_machine(context: Context) -> None:
    options = settings(max_examples=100, deadline=None, derandomize=True)
    run_state_machine_as_test(ReplicaMachine, settings=options)


@then("the watermark property holds for all generated reports")
def check_watermark(context: Context) -> None:
    names = ("a", "b", "c")

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given_values(
        st.lists(
            st.tuples(st.sampled_from(names), st.integers(0, 2), st.integers(0, 9)),
            max_size=30,
        )
    )
    def watermark_holds(reports: list[tuple[str, int, int]]) -> None:
        table, watermark, before = NodeReportTable(), Watermark(), 0
        newest: dict[str, int] = {}
        for vm, instance, revision in reports:
            report = NodeReport(VmId(vm), InstanceId(str(instance)), Revision(revision))
            table.merge([report])
            newest[vm] = max(newest.get(vm, 0), revision)
            now = watermark.advance(table, {VmId(name) for name in names})
            assert now >= before
            assert now <= min(newest.get(name, 0) for name in names)
            before = now

    watermark_holds()


# Fleets


@given("a fleet of {size:d} agents with the test tree")
def start_fleet(context: Context, size: int) -> None:
    context.fleet = AgentFleet(size)
    context.stoppables.append(context.fleet)
    context.store = context.fleet.store
    revision = context.fleet.load_tree()
    eventually(lambda: context.fleet.revisions() == {revision}, 15.0)


def zone_watermarks(fleet: AgentFleet) -> dict[str, ZoneWatermark]:
    records = {}
    for entry in fleet.store.list_entries(IN_FORCE_PREFIX):
        record = msgspec.json.decode(entry.value, type=ZoneWatermark)
        records[record.zone] = record
    return records


@when("a change is accepted")
def accept_change(context: Context) -> None:
    context.last = context.fleet.write_change(PLANS, plans_text(7))


@when("every relay is killed and a change is accepted")
def kill_relays_and_accept(context: Context) -> None:
    eventually(
        lambda: (
            sum(bool(relay_roles(agent)) for agent in context.fleet.agents.values())
            >= 3
        )
    )
    killed = {}
    for vm, agent in list(context.fleet.agents.items()):
        zone = agent.table.own.zone
        if relay_roles(agent) and zone not in killed:
            killed[zone] = vm
            context.fleet.kill(vm)
            context.fleet.store.remove_vm(vm)
    accept_change(context)


def relay_roles(agent) -> list[str]:
    return [r.name for r in agent.table.own.roles if r.name.startswith("relay")]


@then("every agent applies it and every zone confirms it")
def check_in_force(context: Context) -> None:
    eventually(lambda: context.fleet.revisions() == {context.last}, 20.0)

    def confirmed() -> bool:
        records = zone_watermarks(context.fleet)
        return len(records) == 3 and all(
            record.revision == context.last for record in records.values()
        )

    eventually(confirmed, 20.0)


@when("the store becomes unreachable and an agent starts with a seed")
def start_without_store(context: Context) -> None:
    context.store.faults.arm(FaultKind.OUTAGE, times=FOREVER)
    seed = next(iter(context.fleet.agents.values())).server.address
    context.new_agent = context.fleet.add("vm-new", "ke-hall", (seed,))


@then("the new agent gets its tree from a peer")
def check_tree_from_peer(context: Context) -> None:
    newest_revision = max(context.fleet.revisions())
    eventually(lambda: context.new_agent.replica.revision == newest_revision, 10.0)


@when("an agent stops applying settings and a change is accepted")
def stop_applying_on_one_agent(context: Context) -> None:
    eventually(lambda: len(zone_watermarks(context.fleet)) == 3)
    for vm, agent in context.fleet.agents.items():
        if not relay_roles(agent):
            context.lagging_vm = vm
            agent.replica.advance = lambda *_: False
            break
    accept_change(context)
    context.zone = context.fleet.agents[context.lagging_vm].table.own.zone


@then("its zone does not confirm the change and lists the agent as unconfirmed")
def check_unconfirmed(context: Context) -> None:
    eventually(
        lambda: (
            context.lagging_vm
            in zone_watermarks(context.fleet)[context.zone].unconfirmed
        ),
        15.0,
    )
    assert zone_watermarks(context.fleet)[context.zone].revision < context.last


@when("every agent is replaced in turn while changes are accepted")
def replace_all(context: Context) -> None:
    for number, vm in enumerate(list(context.fleet.agents)):
        agent = context.fleet.agents.pop(vm)
        zone = agent.table.own.zone
        agent.drain_and_stop()
        context.store.remove_vm(vm)
        context.fleet.add(f"new-{number}", zone)
        context.last = context.fleet.write_change(PLANS, plans_text(number))
        eventually(lambda: context.last in context.fleet.revisions(), 20.0)


@then("every agent applies the last change and every slot has a home")
def check_replaced(context: Context) -> None:
    eventually(lambda: context.fleet.revisions() == {context.last}, 20.0)

    def every_slot_has_home() -> bool:
        slots = set()
        for agent in context.fleet.agents.values():
            slots |= set(agent.slot_homes.homes)
        return len(slots) == 3

    eventually(every_slot_has_home, 20.0)


@then("the operators' listener lets each token write only what it owns")
def check_owner_tokens(context: Context) -> None:
    agent = next(iter(context.fleet.agents.values()))
    digest = token_digest("operator")
    agent.settings = with_operator_token(agent.settings, digest)
    server = Server(ANY_PORT, OperatorApplication(agent))
    server.start()
    address = server.bound_address

    def status(method: str, path: str, token: str, text: str = "") -> int:
        client = HTTPClient(address.host, address.port)
        headers = {"Authorization": f"Bearer {token}"}
        response = client.request(
            method, f"/v1/settings/{quote(path)}", body=text, headers=headers
        )
        body = response.read()
        client.close()
        assert json.loads(body)
        return response.status_code

    assert status("PUT", PLANS, "desks-owner", plans_text(1)) == 200
    assert status("PUT", PLANS, "counters-owner", plans_text(1)) == 403
    assert status("PUT", "workspaces/desks/grant", "desks-owner", "[grant]") == 403
    assert status("PUT", PLANS, "guess", plans_text(1)) == 401
    assert status("PUT", PLANS, "operator", plans_text(2)) == 200
    assert status("GET", PLANS, "desks-owner") == 200
    assert status("DELETE", "workspaces/desks/pipelines/none", "operator") == 404
    assert status("PUT", PLANS, "operator", "[pipeline]\nmodle = x") == 422
    server.kill_connections()


def with_operator_token(agent_settings, digest: str):
    """Return agent settings that accept the operator token with this digest."""
    import dataclasses

    operators = OperatorSettings(listen=ANY_PORT, token_sha256=(digest,))
    return dataclasses.replace(agent_settings, operators=operators)
