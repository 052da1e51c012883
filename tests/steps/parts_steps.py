"""Steps for membership, the planner, peers, settings files and programs."""

import doctest
import hashlib
import importlib
import json
import os
import pkgutil
import random
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import gevent
import msgspec
from behave import given, then, when
from behave.runner import Context
from gevent.event import Event

import chervilstall
from chervilstall.configuration.check import first_uncovered_layer
from chervilstall.configuration.writer import ConfigurationStore, ProposedChange
from chervilstall.errors import (
    ERROR_RESPONSES,
    ChervilstallError,
    ErrorKind,
    ExecutionState,
)
from chervilstall.ids import InstanceId, VmId, ZoneName, new_change_id
from chervilstall.membership.prober import Prober
from chervilstall.membership.table import MemberTable
from chervilstall.peer.keys import create_keys, read_keys
from chervilstall.peer.messages import (
    IndirectAnswer,
    IndirectPing,
    MemberState,
    MemberUpdate,
    Ping,
    Refused,
)
from chervilstall.peer.transport import PeerClient, PeerClientPool, PeerServer
from chervilstall.planner.plan import held_ranges
from chervilstall.planner.runtime import Planner, PlannerProcessSettings
from chervilstall.settings.agents import PeerSettings, PlannerSettings, StoreSettings
from chervilstall.settings.ini import read_sections
from chervilstall.settings.leases import LeaseSettings
from chervilstall.settings.problems import InvalidSettings
from chervilstall.settings.processes import ROUTER_SECTIONS, VmSettings
from chervilstall.settings.reference import reference_page
from chervilstall.standin.engine import EngineOptions
from chervilstall.standin.faults import FaultKind
from chervilstall.standin.store import MemoryStore
from chervilstall.standin.store_server import StoreServer
from chervilstall.standin.target_cluster import TargetCluster
from chervilstall.store.client import HttpStore
from chervilstall.store.contract import StoreFailed, StoreRefused
from chervilstall.target.contract import FencedOrder, OrderKind
from tests.support.agent_fleet import dependency_rank, eventually
from tests.support.router_harness import ANY_PORT, HOST, tree_texts

ROOT = Path(__file__).parent.parent.parent

# Membership


def update(state: MemberState, incarnation: int, instance: str = "i1") -> MemberUpdate:
    return MemberUpdate(
        VmId("vm-1"), ZoneName("z"), HOST, 1, InstanceId(instance), incarnation, state
    )


UPDATES = {
    "a suspicion": update(MemberState.SUSPECT, 1),
    "a refutation": update(MemberState.ALIVE, 2),
    "a death": update(MemberState.DEAD, 1),
    "an older alive": update(MemberState.ALIVE, 1),
    "a new instance": update(MemberState.ALIVE, 1, "i2"),
    "the old instance alive": update(MemberState.ALIVE, 5),
    "a leave": update(MemberState.LEFT, 2),
}


@given("a member table in which vm-1 is alive")
def create_member_table(context: Context) -> None:
    context.now_s = 0.0
    own = MemberUpdate(
        VmId("vm-0"), ZoneName("z"), HOST, 2, InstanceId("own"), 1, MemberState.ALIVE
    )
    context.members = MemberTable(own, lambda: context.now_s, random.Random(1))
    context.members.merge_updates([update(MemberState.ALIVE, 1)])


@when("it receives {updates}")
def receive_updates(context: Context, updates: str) -> None:
    for name in updates.split(", "):
        if name == "a direct answer":
            context.members.merge_answer(update(MemberState.ALIVE, 1))
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
    sender = update(MemberState.ALIVE, 1)
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
            [msgspec.structs.replace(update(MemberState.ALIVE, 1, str(number)), vm=vm)]
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


# Planner


def new_planner(context: Context, name: str, order_life_s: float = 0.0) -> Planner:
    settings = PlannerProcessSettings(
        vm=VmSettings(vm=VmId(name), zone=ZoneName("za-hall")),
        lease=LeaseSettings(ttl_s=1.0, margin_s=0.2),
        planner=PlannerSettings(
            interval_s=0.02,
            settle_s=0.0,
            order_life_s=order_life_s,
            loads_per_minute=60_000.0,
        ),
    )
    return Planner(settings, context.store)


@given("stand-in targets with spare engines and a planner")
def planner_market(context: Context) -> None:
    texts = tree_texts()
    for name in ("low-1", "high-1"):
        texts[f"targets/{name}-spare"] = texts[f"targets/{name}"]
    context.target_market = TargetCluster(
        texts, EngineOptions(load_lag_s=0.0, load_duration_s=0.02)
    )
    context.stoppables.append(context.target_market)
    context.store = MemoryStore()
    writer = ConfigurationStore(context.store)
    for path in sorted(context.target_market.texts, key=dependency_rank):
        text = context.target_market.texts[path]
        writer.accept(ProposedChange(new_change_id(), path, text, "setup"))
    context.planner = new_planner(context, "vm-1")
    context.planner.lease.step()


def write_options(context: Context, path: str, **options: str) -> None:
    text = context.target_market.texts[path]
    for name, value in options.items():
        lines = [item for item in text.splitlines() if not item.startswith(name)]
        text = "\n".join([*lines, f"{name} = {value}"]) + "\n"
    change = ProposedChange(new_change_id(), path, text, "operator")
    ConfigurationStore(context.store).accept(change)


@when("a pipeline's next version is written")
def roll_out(context: Context) -> None:
    context.path = "workspaces/desks/pipelines/plans"
    write_options(context, context.path, next_version="v2")


def read_current_tree(context: Context):
    reader = ConfigurationStore(context.store)
    return reader.read_tree(reader.read_head().head)


@then("the planner makes it current, and no layer is ever unserved")
def check_roll_out(context: Context) -> None:
    deadline_s = time.monotonic() + 20.0
    while time.monotonic() < deadline_s:
        context.planner.lease.step()
        context.planner.run_round()
        tree = read_current_tree(context)
        engines = context.target_market.engines
        states = {name: item.engine.state for name, item in engines.items()}
        for _, name, pipeline in tree.pipelines():
            gap = first_uncovered_layer(held_ranges(states, pipeline), 12)
            assert gap is None, f"{name} lost layer {gap}"
        if tree.documents[context.path].version == "v2":
            assert not tree.documents[context.path].next_version
            return
        gevent.sleep(0.02)
    raise AssertionError("the next version was not served in time")


@when("the planner is paused, another takes over, and the first resumes")
def pause_planner(context: Context) -> None:
    gevent.sleep(1.1)
    other = new_planner(context, "vm-2")
    other.lease.step()
    context.fence = other.lease.check().epoch
    assert context.fence == 2
    for server in context.target_market.engines.values():
        server.engine.highest_fence = context.fence
    write_options(context, "targets/low-1-spare", version="v2")
    context.planner.run_round()


@then("targets that check fencing refuse the old fencing token")
def check_fencing(context: Context) -> None:
    engine = context.target_market.engines["low-1-spare"].engine
    old = FencedOrder(1, OrderKind.LOAD, "small", "v2", (), 0, 6)
    assert not engine.apply_order(old)
    assert engine.state.version == "v1"
    engine.options.secret = "s"
    new = msgspec.structs.replace(old, fence=2)
    assert not engine.apply_order(new)
    assert engine.apply_order(msgspec.structs.replace(new, secret="s"))


@then("the first planner sends no order")
def check_no_order(context: Context) -> None:
    assert context.planner.orders_sent == 0


@when("another planner takes over and a target ignores fencing")
def unfenced_target(context: Context) -> None:
    write_options(context, "targets/low-1-spare", version="v2", checks_fencing="no")
    gevent.sleep(1.1)
    context.planner = new_planner(context, "vm-2", order_life_s=0.5)
    context.planner.lease.step()
    context.planner.run_round()
    context.planner.run_round()


@then("it sends that target no order until old orders have expired")
def check_waits_out(context: Context) -> None:
    assert context.planner.orders_sent == 0
    gevent.sleep(0.6)
    context.planner.lease.step()
    context.planner.run_round()
    assert context.planner.orders_sent == 1


# Peers

REQUEST = IndirectPing(update(MemberState.ALIVE, 1))


@given("a peer server with the fleet's keys")
def peer_server(context: Context) -> None:
    context.folder = Path(tempfile.mkdtemp())
    create_keys(context.folder / "fleet")
    create_keys(context.folder / "other")
    context.keys = read_keys(str(context.folder / "fleet"))
    context.delay_s = 0.0
    context.held = None

    def answer(message):
        held, context.held = context.held, None
        if held is not None:
            held.wait()
        delay_s, context.delay_s = context.delay_s, 0.0
        gevent.sleep(delay_s)
        if isinstance(message, IndirectPing):
            return IndirectAnswer(True)
        return Refused("not a request")

    context.server = PeerServer(ANY_PORT, answer, context.keys)
    context.server.start()
    context.stoppables.append(context.server)


@when("a client sends a request with {keys}")
def ask_peer(context: Context, keys: str) -> None:
    chosen = {
        "the fleet's keys": context.keys,
        "other keys": read_keys(str(context.folder / "other")),
        "no keys": None,
    }[keys]
    client = PeerClient(context.server.address, chosen)
    context.stoppables.append(client)
    try:
        context.result = client.ask(REQUEST, IndirectAnswer, 0.5)
    except ChervilstallError as error:
        context.result = error


@then("the client is {result}")
def check_peer(context: Context, result: str) -> None:
    is_answered = isinstance(context.result, IndirectAnswer)
    assert is_answered == (result == "answered"), context.result


@then("it survives malformed messages and refuses messages that are not requests")
def check_malformed_messages(context: Context) -> None:
    client = PeerClient(context.server.address, context.keys)
    context.stoppables.append(client)
    client._connect().socket.send(b"\xffgarbage")
    assert isinstance(client.call(IndirectAnswer(True), 1.0), Refused)
    assert client.ask(REQUEST, IndirectAnswer, 1.0).is_reached


@when("it does not answer one call in time")
def delay_answer(context: Context) -> None:
    context.client = PeerClient(context.server.address, context.keys)
    context.stoppables.append(context.client)
    context.delay_s = 5.0
    try:
        context.client.call(REQUEST, 0.2)
        raise AssertionError("the delayed call was answered in time")
    except ChervilstallError as error:
        assert error.kind is ErrorKind.PEER_UNAVAILABLE


@then("the next call is answered over a new connection")
def check_new_connection(context: Context) -> None:
    assert context.client.resets == 1
    assert context.client.ask(REQUEST, IndirectAnswer, 1.0).is_reached


@when("a call times out while the reply to a longer one is on its way")
def time_out_beside_longer_call(context: Context) -> None:
    context.client = PeerClient(context.server.address, context.keys)
    context.stoppables.append(context.client)
    held = context.held = Event()
    context.longer = gevent.spawn(context.client.ask, REQUEST, IndirectAnswer, 5.0)
    eventually(lambda: context.held is None)
    context.held = Event()
    try:
        context.client.call(REQUEST, 0.2)
        raise AssertionError("the held call was answered")
    except ChervilstallError as error:
        assert error.kind is ErrorKind.PEER_UNAVAILABLE
    context.held = None
    held.set()


@then("the longer call is answered, and the next one over a new connection")
def check_longer_call(context: Context) -> None:
    check_new_connection(context)
    assert context.longer.get().is_reached


@then("connections without calls are closed")
def check_closed_connections(context: Context) -> None:
    assert not context.client._replaced


# Settings and programs


@then("a router file with five mistakes reports all five")
def check_mistakes(context: Context) -> None:
    text = (
        "[vm]\nvm = vm-1\n[listen]\ncallers = nowhere\nbody_max_byte = 5\n"
        "[retry]\nbudget_share = 7\n[qeue]\nx = 1\n"
    )
    try:
        read_sections(text, "router.ini", ROUTER_SECTIONS)
    except InvalidSettings as errors:
        texts = [str(mistake) for mistake in errors.exceptions]
    assert len(texts) == 5, texts
    assert all(text.startswith("router.ini: ") for text in texts)
    joined = "\n".join(texts)
    for part in ("host:port", "body_max_bytes", "at most 1", "required", "unknown sec"):
        assert part in joined, (part, joined)


def run_program(name: str, *arguments: str, **environment: str):
    command = [sys.executable, "-m", f"chervilstall.commands.{name}", *arguments]
    return subprocess.run(
        command,
        capture_output=True,
        text=True,
        timeout=60,
        cwd=ROOT,
        env={**os.environ, **environment},
    )


@then("{program:w} exits 0 for --help and names its exit codes")
def check_help(context: Context, program: str) -> None:
    result = run_program(program, "--help")
    assert result.returncode == 0 and "Exit codes" in result.stdout, result


@then("{program:w} exits 3 for a bad file")
def check_bad_file(context: Context, program: str) -> None:
    path = Path(tempfile.mkdtemp()) / "bad.ini"
    path.write_text("[nonsense]\na = 1\n[vm x]\nzone = !\n")
    result = run_program(program, str(path), "--check")
    assert result.returncode == 3 and "nonsense" in result.stderr, result


@then("the table of answers is complete")
def check_answers(context: Context) -> None:
    assert set(ERROR_RESPONSES) == set(ErrorKind)
    for kind, answer in ERROR_RESPONSES.items():
        if kind in (ErrorKind.OUTCOME_UNKNOWN, ErrorKind.STREAM_BROKEN):
            assert (
                answer.execution is ExecutionState.UNKNOWN and not answer.is_retryable
            )
        if answer.status == 429:
            assert answer.execution is ExecutionState.NO and answer.is_retryable


@then("the committed reference page is the generated one")
def check_reference(context: Context) -> None:
    committed = (ROOT / "docs" / "configuration.md").read_text()
    assert committed.strip() == reference_page().strip(), "run make docs"


@then("every doctest passes")
def check_doctests(context: Context) -> None:
    example_count = 0
    for module in pkgutil.walk_packages(chervilstall.__path__, "chervilstall."):
        if ".commands" in module.name or ".helpers" in module.name:
            continue
        result = doctest.testmod(importlib.import_module(module.name))
        assert not result.failed, module.name
        example_count += result.attempted
    assert example_count > 20, example_count


@then("the store contract holds for each implementation")
def check_store_contract(context: Context) -> None:
    memory = MemoryStore()
    server = StoreServer(MemoryStore(), ANY_PORT)
    client = HttpStore(StoreSettings(address=server.address, calls_per_s=10_000.0))
    for store, faults in ((memory, memory.faults), (client, server.store.faults)):
        check_store(store, faults)
    server.stop()
    try:
        client.get("a")
        raise AssertionError("a stopped store answered a call")
    except StoreRefused:
        pass


def check_store(store, faults) -> None:
    """Check that one store implementation keeps the store contract."""
    assert store.get("a") is None
    first = store.put("a/1", b"\x00one")
    assert store.get("a/1").value == b"\x00one"
    assert not store.compare_and_swap("a/1", b"two", 0).is_swapped
    assert store.compare_and_swap("a/1", b"two", first).is_swapped
    assert store.compare_and_swap("a/2", b"new", 0).is_swapped
    assert [entry.key for entry in store.list_entries("a/")] == ["a/1", "a/2"]
    version = store.get("a/2").version
    assert store.watch("a/", version, 0.05).entries == ()
    gevent.spawn_later(0.05, store.put, "a/3", b"late")
    assert [e.key for e in store.watch("a/", version, 2.0).entries] == ["a/3"]
    store.delete("a/1")
    assert store.get("a/1") is None
    mine = store.acquire_lease("role", "me", 0.3, "note")
    assert store.acquire_lease("role", "you", 5.0).holder == "me"
    assert [lease.note for lease in store.list_leases("ro")] == ["note"]
    gevent.sleep(0.35)
    yours = store.acquire_lease("role", "you", 5.0)
    assert yours.holder == "you" and yours.epoch > mine.epoch
    store.release_lease("role", "you")
    assert store.list_leases("role") == ()
    faults.arm(FaultKind.LOSE_ANSWER)
    try:
        store.put("lost", b"x")
        raise AssertionError("the store answered despite the injected fault")
    except StoreRefused as error:
        raise AssertionError("a lost answer was reported as a refusal") from error
    except StoreFailed:
        assert store.get("lost").value == b"x"


# Processes


def start_process(context: Context, name: str, text: str) -> list[str]:
    """Start a program with an INI file; return the addresses in its first two lines."""
    context.started = getattr(context, "started", 0) + 1
    path = context.folder / f"{name}-{context.started}.ini"
    path.write_text(text)
    command = [sys.executable, "-m", f"chervilstall.commands.{name}", str(path)]
    process = subprocess.Popen(
        command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True, cwd=ROOT
    )

    class Stopper:
        def stop(self) -> None:
            process.kill()
            process.wait()

    context.stoppables.append(Stopper())
    context.processes = [*getattr(context, "processes", []), process]
    return [process.stdout.readline().split()[-1].rstrip(".") for _ in range(2)]


@given("a store, three agents and a router as processes")
def start_processes(context: Context) -> None:
    context.folder = Path(tempfile.mkdtemp())
    tree = context.folder / "tree.ini"
    text = (ROOT / "tests/support/tree.ini").read_text().replace("127.0.0.1", HOST)
    tree.write_text(text)
    context.tree = context.folder / "bound.ini"
    ports = [20_000 + os.getpid() % 20_000 + number for number in range(3)]
    zones = ("za-hall", "ke-hall", "ba-hall")
    vms = "".join(
        f"[vm vm-{n}]\nzone = {zone}\npeer = {HOST}:{ports[n]}\n"
        for n, zone in enumerate(zones)
    )
    store, _ = start_process(
        context,
        "standin",
        f"[standin]\nstore = {HOST}:0\ntree = {tree}\nwrite_tree = {context.tree}\n"
        + vms,
    )
    digest = hashlib.sha256(b"operator").hexdigest()
    context.agents = []
    for number, zone in enumerate(zones):
        listen = f"{HOST}:{ports[number]}"
        addresses = start_process(
            context,
            "agent",
            f"[vm]\nvm = vm-{number}\nzone = {zone}\n[store]\naddress = {store}\n"
            f"[peer]\nlisten = {listen}\nprobe_interval_s = 0.2\n"
            f"[operators]\nlisten = {HOST}:0\ntoken_sha256 = {digest}\n"
            "[lease]\nttl_s = 1.5\nmargin_s = 0.3\nslots = 3\n",
        )
        context.agents.append(addresses)
    context.callers, context.admin = start_process(
        context,
        "router",
        f"[vm]\nvm = vm-0\nzone = za-hall\n[agent]\naddress = {HOST}:{ports[0]}\n"
        f"[listen]\ncallers = {HOST}:0\nadmin = {HOST}:0\ndrain_wait_s = 0.1\n",
    )


def run_ctl(context: Context, *arguments: str):
    agent = ("--agent", context.agents[1][1], "--router", context.admin)
    return run_program("ctl", *agent, *arguments, CHERVILSTALL_TOKEN="operator")


@when("a tree is loaded with the operators' tool")
def load_tree(context: Context) -> None:
    eventually(context.tree.exists)
    result = run_ctl(context, "load", str(context.tree))
    assert result.returncode == 0, result


@then("a hold and a streamed draft are answered, and a change is in force")
def check_processes(context: Context) -> None:
    from geventhttpclient import HTTPClient

    host, _, port = context.callers.rpartition(":")

    def send(path: str, body: dict) -> bytes:
        client = HTTPClient(host, int(port), network_timeout=10.0)
        headers = {
            "Authorization": "Bearer counters-token",
            "Idempotency-Key": f"k{body}".replace(" ", ""),
        }
        response = client.post(path, body=json.dumps(body), headers=headers)
        answer = response.read()
        client.close()
        return answer if response.status_code == 200 else b""

    eventually(lambda: send("/services/holds/seats", {"seat": 1}), 20.0)
    message = {"role": "user", "content": "claim"}
    draft = {"model": "claims", "messages": [message], "stream": True, "max_tokens": 4}
    assert b"[DONE]" in send("/v1/chat/completions", draft)
    document = context.folder / "plans.ini"
    document.write_text("[pipeline]\nmodel = small\nversion = v1\n")
    path = "workspaces/desks/pipelines/plans"
    result = run_ctl(context, "put", path, str(document), "--wait", "15")
    assert result.returncode == 0, result
    assert json.loads(result.stdout)["unconfirmed"] == [], result
    assert run_ctl(context, "status").returncode == 0
    assert "bound_tokens_per_s" in run_ctl(context, "bound").stdout
    drained = run_ctl(context, "drain", "low-1")
    assert drained.returncode == 0, drained
    stale = run_ctl(context, "put", path, str(document), "--base", "1")
    assert stale.returncode == 4, stale
    router = context.processes[-1]
    router.terminate()
    assert router.wait(20) == 0
