"""Steps for accepting changes of settings and keeping their history."""

import gevent
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as given_values
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

from chervilstall.configuration.check import check_tree
from chervilstall.configuration.replica import Replica
from chervilstall.configuration.tree import Tree
from chervilstall.configuration.treefile import document_text
from chervilstall.configuration.watermark import NodeReportTable, Watermark
from chervilstall.configuration.writer import ConfigurationStore, ProposedChange
from chervilstall.errors import ChervilstallError
from chervilstall.ids import ChangeId, InstanceId, Revision, VmId, new_change_id
from chervilstall.peer.messages import NodeReport, TreeChange, TreeDelta
from chervilstall.settings.documents import find_document_kind
from chervilstall.settings.problems import InvalidSettings
from chervilstall.standin.faults import FaultKind
from chervilstall.standin.store import MemoryStore
from chervilstall.store.contract import VALUE_MAX_BYTES
from tests.support.agent_fleet import dependency_rank
from tests.support.pipeline_documents import DRAFTS, PLANS, plans_text
from tests.support.router_harness import tree_texts

FAULTS = {
    "a lost answer": (FaultKind.LOSE_ANSWER, 1),
    "stale reads": (FaultKind.STALE_READS, 3),
    "a short outage": (FaultKind.OUTAGE, 3),
    "a rate limit": (FaultKind.RATE_LIMIT, 3),
}


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
