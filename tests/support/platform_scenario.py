"""What scenarios on a platform share: its start, its targets and drafts."""

import http.client

from behave.runner import Context

from chervilstall.fleet.records import LayerRange
from chervilstall.standin.platform_fixtures import LAYERS
from chervilstall.standin.platform_target import Behaviour, PlatformTarget
from tests.support.platform import ZONES, Platform, send
from tests.support.router_harness import Response

FIRST_PART = LayerRange(0, LAYERS // 2)
LAST_PART = LayerRange(LAYERS // 2, LAYERS)


def start_platform(context: Context, config: dict | None = None) -> Platform:
    """Start a platform that is stopped at the end of the scenario."""
    context.platform = Platform()
    context.stoppables.append(context.platform)
    context.platform.start(config)
    return context.platform


def add_lookups(platform: Platform) -> None:
    """Add a target of lookups in each zone."""
    for zone in ZONES:
        platform.add_target(f"lookup-{zone}", "lookups", zone)


def add_model(platform: Platform) -> None:
    """Add a target for each part of the model in each zone."""
    for zone in ZONES:
        platform.add_target(f"a-{zone}", "drafts", zone, FIRST_PART)
        platform.add_target(f"b-{zone}", "drafts", zone, LAST_PART)


def own_lookup(context: Context) -> PlatformTarget:
    """Return the target of lookups in the own zone."""
    return context.platform.targets[f"lookup-{ZONES[0]}"]


def own_first(context: Context) -> PlatformTarget:
    """Return the target in the own zone that holds the first part of the model."""
    return context.platform.targets[f"a-{ZONES[0]}"]


def first_targets(context: Context) -> list[PlatformTarget]:
    """Return every target that holds the first part of the model."""
    targets = context.platform.targets.values()
    return [target for target in targets if target.layers.first == 0]


def pause_stream(target: PlatformTarget, events: int, pause_s: float) -> None:
    """Let a target pause its streams after a number of events."""
    target.behaviour = Behaviour.PAUSE_STREAM
    target.events_before_fault = events
    target.pause_s = pause_s


def avoided_targets(context: Context) -> list[str]:
    """Return the names of the targets that the router suspects."""
    fleet_view = context.router.fleet_view
    return [
        name
        for name, each in fleet_view.targets.items()
        if fleet_view.is_suspected(each)
    ]


def send_draft(context: Context, events: int) -> None:
    """Ask for a draft and keep its response, also when it is cut off."""
    try:
        context.response = send(context.router, "/draft/x", Token_Count=f"100,{events}")
    except http.client.IncompleteRead as error:
        context.response = Response(200, {}, error.partial)
        context.is_incomplete = True
