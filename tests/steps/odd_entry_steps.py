"""Steps for entries of the store with content of any kind."""

import json
from pathlib import Path

from behave import given, then
from behave.runner import Context
from hypothesis import example, settings
from hypothesis import given as for_any
from hypothesis import strategies as st

from chervilstall.edge.server import EdgeServer
from chervilstall.ids import ServiceName, TargetId
from chervilstall.paths.records import PathRequest
from chervilstall.platform import protocol
from chervilstall.platform.kv import Entry
from chervilstall.platform.limits import SharedLimit, encode_limit
from chervilstall.standin.platform_fixtures import build_configuration
from tests.support.platform import Platform

PROPERTY_TEST = settings(max_examples=150, deadline=None, derandomize=True)
PREFIXES = (
    protocol.TARGETS_PREFIX,
    protocol.CONFIG_KEY,
    "chervilstall/routers/",
    "chervilstall/suspects/",
    "chervilstall/limits/",
    "chervilstall/crashes/",
    "chervilstall/quarantine/",
    "chervilstall/peers/",
    "chervilstall/leases/",
    "chervilstall/",
)
VALID = {
    "service": "drafts",
    "address": "10.0.0.9:80",
    "zone": "ba-hall",
    "state": "ready",
    "layers": {"from": 0, "to": 8},
}
NAMES = [*VALID, "born", "type", "from", "to", "target", "started_at_ms", "reporter"]
NAMES += ["per_s", "doubt", "service", "key", "part", "age_s", "version", "routes"]
SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.integers(2**63 - 1, 10**400),
    st.floats(),
    st.text(max_size=20),
    st.sampled_from(["10.0.0.1:0", "10.0.0.1:80", "ready", "drafts", "silent"]),
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=4),
        st.dictionaries(st.sampled_from(NAMES) | st.text(max_size=5), inner),
    ),
    max_leaves=12,
)
DOCUMENTS = st.dictionaries(st.sampled_from(NAMES), VALUES).map(
    lambda fields: json.dumps({**VALID, **fields}).encode()
)
CONTENTS = st.one_of(
    st.binary(max_size=60),
    VALUES.map(lambda value: json.dumps(value).encode()),
    DOCUMENTS,
    st.just(encode_limit(SharedLimit(TargetId("t"), 0, "vm", 1e300))),
)
KEYS = st.tuples(
    st.sampled_from(PREFIXES),
    st.text(max_size=12) | st.sampled_from(["t", "valid", "vm-1"]),
).map("".join)
ENTRIES = st.lists(st.tuples(KEYS, CONTENTS), min_size=1, max_size=6)
DEEP = b'{"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
TOO_LARGE = json.dumps({**VALID, "layers": {"from": 0, "to": 10**400}}).encode()


@given("a router that is not started")
def build_router(context: Context) -> None:
    platform = Platform()
    context.router = EdgeServer(platform.node_settings(), Path("/nonexistent"), 0)
    platform.store.stop()
    content = json.dumps(build_configuration()).encode()
    context.router.store_watcher._dispatch(Entry(protocol.CONFIG_KEY, content, 1))


@then("for any entries that it is told of, a valid target told next is known")
def check_any_entries(context: Context) -> None:
    watcher = context.router.store_watcher
    fleet_view = context.router.fleet_view
    revision = 1

    @PROPERTY_TEST
    @for_any(ENTRIES)
    @example([(prefix + "t", DEEP) for prefix in PREFIXES])
    @example([(prefix + "t", TOO_LARGE) for prefix in PREFIXES])
    def check(entries: list[tuple[str, bytes]]) -> None:
        nonlocal revision
        told = [*entries, ("servers/valid", json.dumps(VALID).encode())]
        for key, content in told:
            revision += 1
            watcher._dispatch(Entry(key, content, revision))
        assert TargetId("valid") in fleet_view.targets
        choose(context)

    check()


@then("every such entry may be followed by a choice of targets and by a log line")
def choose(context: Context) -> None:
    router = context.router
    service = router.fleet_view.configuration.services[ServiceName("drafts")]
    router.chooser.choose(service, PathRequest(100.0))
    for target in list(router.fleet_view.targets.values()):
        router.fleet_view.suspect(target, "test", shared=False)
        router.fleet_view.clear_suspicion(target)
