"""Steps for the order of requests by the priorities of workspaces and routes."""

import json

from behave import given, then
from behave.runner import Context

from chervilstall.edge.features import Features
from chervilstall.fleet.view import FleetView
from chervilstall.ids import WorkspaceName
from chervilstall.platform.config import decode_configuration
from chervilstall.settings.edge import EdgeSettings

PIPELINE = {"slots": 8, "layers": 4, "layer-mb": 1.0, "kinds": []}


def _numbers(text: str) -> list[int]:
    return [] if text == "none" else [int(number) for number in text.split(",")]


@given("streams of priority {routes} and workspaces of priority {workspaces}")
def build(context: Context, routes: str, workspaces: str) -> None:
    build_configuration(context, routes, workspaces)


@given("streams of priority {routes} whose events hold {tokens:d} tokens")
def build_events(context: Context, routes: str, tokens: int) -> None:
    build_configuration(context, routes, "none", stride=tokens)


def build_configuration(
    context: Context, routes: str, workspaces: str, stride: int = 1
) -> None:
    """Decode a configuration with a stream's route for each priority."""
    config = {
        "version": 1,
        "routes": [
            {
                "name": f"r{index}",
                "host": "h",
                "prefix": f"/{index}/",
                "type": "streaming",
                "service": "drafts",
                "priority": priority,
            }
            for index, priority in enumerate(_numbers(routes))
        ],
        "services": [{"name": "drafts", "engine": {**PIPELINE, "stride": stride}}],
        "tenants": [
            {"name": f"w{priority}", "api-keys": [], "priority": priority}
            for priority in _numbers(workspaces)
        ],
    }
    context.configuration = decode_configuration(json.dumps(config).encode())


@then(
    "a stream of priority {route:d} of a workspace of priority {workspace} "
    "has rank {rank:d}"
)
def check_rank(context: Context, route: int, workspace: str, rank: int) -> None:
    configuration = context.configuration
    found = next(each for each in configuration.routes if each.priority == route)
    name = None if workspace == "none" else WorkspaceName(f"w{workspace}")
    assert configuration.priority(found, name) == rank


@then("the streams {are} ranked")
def check_ranked(context: Context, are: str) -> None:
    assert context.configuration.ranks_pipeline == (are == "are")


@then("pauses {are} shortened by default")
def check_shortened(context: Context, are: str) -> None:
    view = FleetView(drain_s=2.0, configuration=context.configuration)
    features = Features(EdgeSettings(), view)
    for in_force in (features.checks_stages(), features.spreads_moves()):
        assert in_force == (are == "are")
