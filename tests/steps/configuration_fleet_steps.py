"""Steps for distributing settings to a fleet of agents and confirming them."""

import dataclasses
import json
from urllib.parse import quote

import msgspec
from behave import given, then, when
from behave.runner import Context
from geventhttpclient import HTTPClient

from chervilstall.agent.operators import OperatorApplication
from chervilstall.configuration.records import IN_FORCE_PREFIX, ZoneWatermark
from chervilstall.gateway.auth import token_digest
from chervilstall.settings.agents import OperatorSettings
from chervilstall.standin.faults import FOREVER, FaultKind
from chervilstall.wsgi import Server
from tests.support.agent_fleet import AgentFleet, eventually
from tests.support.pipeline_documents import PLANS, plans_text
from tests.support.router_harness import ANY_PORT


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
    operators = OperatorSettings(listen=ANY_PORT, token_sha256=(digest,))
    return dataclasses.replace(agent_settings, operators=operators)
