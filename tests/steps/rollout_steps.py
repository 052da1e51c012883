"""Steps for the planner that rolls out versions of pipelines."""

import time

import gevent
import msgspec
from behave import given, then, when
from behave.runner import Context

from chervilstall.configuration.check import first_uncovered_layer
from chervilstall.configuration.writer import ConfigurationStore, ProposedChange
from chervilstall.ids import VmId, ZoneName, new_change_id
from chervilstall.planner.plan import held_ranges
from chervilstall.planner.runtime import Planner, PlannerProcessSettings
from chervilstall.settings.agents import PlannerSettings
from chervilstall.settings.leases import LeaseSettings
from chervilstall.settings.processes import VmSettings
from chervilstall.standin.engine import EngineOptions
from chervilstall.standin.store import MemoryStore
from chervilstall.standin.target_cluster import TargetCluster
from chervilstall.target.contract import FencedOrder, OrderKind
from tests.support.agent_fleet import dependency_rank
from tests.support.router_harness import tree_texts


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
def start_planner(context: Context) -> None:
    texts = tree_texts()
    for name in ("low-1", "high-1"):
        texts[f"targets/{name}-spare"] = texts[f"targets/{name}"]
    context.target_cluster = TargetCluster(
        texts, EngineOptions(load_lag_s=0.0, load_duration_s=0.02)
    )
    context.stoppables.append(context.target_cluster)
    context.store = MemoryStore()
    writer = ConfigurationStore(context.store)
    for path in sorted(context.target_cluster.texts, key=dependency_rank):
        text = context.target_cluster.texts[path]
        writer.accept(ProposedChange(new_change_id(), path, text, "setup"))
    context.planner = new_planner(context, "vm-1")
    context.planner.lease.step()


def write_options(context: Context, path: str, **options: str) -> None:
    text = context.target_cluster.texts[path]
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
        engines = context.target_cluster.engines
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
    for server in context.target_cluster.engines.values():
        server.engine.highest_fence = context.fence
    write_options(context, "targets/low-1-spare", version="v2")
    context.planner.run_round()


@then("targets that check fencing refuse the old fencing token")
def check_fencing(context: Context) -> None:
    engine = context.target_cluster.engines["low-1-spare"].engine
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
