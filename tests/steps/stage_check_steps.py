"""Steps for the check of the stages of silent streams, with probes that are told."""

from collections import Counter
from types import SimpleNamespace

import gevent
from behave import given, then, when
from behave.runner import Context

from chervilstall.edge.streams.stage_check import StageCheck
from chervilstall.target.connection import ListenerState
from tests.support.agent_fleet import eventually


def _names(text: str) -> list[str]:
    return [] if text == "nobody" else text.split(",")


@given("a silent stream over stages {stages}, of which {refusing} refuse connections")
def set_stream(context: Context, stages: str, refusing: str) -> None:
    context.probed = Counter()
    context.found = []
    targets = [SimpleNamespace(id=name) for name in _names(stages)]
    path = SimpleNamespace(
        stages=[SimpleNamespace(target=target) for target in targets],
        first=targets[0],
    )
    context.stream = SimpleNamespace(path=path)

    def probe(target: SimpleNamespace) -> ListenerState:
        context.probed[target.id] += 1
        is_refusing = target.id in _names(refusing)
        return ListenerState.REFUSES if is_refusing else ListenerState.ACCEPTS

    def note(target: SimpleNamespace) -> None:
        context.found.append(target.id)

    context.check = StageCheck(note, lambda: True, probe)


@given("stages aren't to be checked")
def disable(context: Context) -> None:
    context.check.is_in_force = lambda: False


@when("its stages are checked")
def check_stages(context: Context) -> None:
    context.check.check(context.stream)
    gevent.sleep(0.05)


@then("the targets {found} count as crashed")
def check_found(context: Context, found: str) -> None:
    eventually(lambda: sorted(context.found) == _names(found))


@then("each later stage was probed once")
def check_probed(context: Context) -> None:
    later = [stage.target.id for stage in context.stream.path.stages[1:]]
    assert [context.probed[name] for name in later] == [1] * len(later)
