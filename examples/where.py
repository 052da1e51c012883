"""Starts a store, stand-in targets and a `chervilstall-edge`, and asks it where.

Prints the answers of `chervilstallctl where` for a request to a model: while all
targets are well, while one drains, one is suspected and one wants a pause, and while no
target is left for some layers.
With SERVE=1 in the environment, the router keeps serving afterwards.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import os  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
from pathlib import Path  # noqa: E402

import gevent  # noqa: E402
from absl import logging  # noqa: E402

from chervilstall.commands.ctl import run_ctl  # noqa: E402
from chervilstall.commands.ctl_options import CtlCommand, Where  # noqa: E402
from chervilstall.edge.server import EdgeServer  # noqa: E402
from chervilstall.fleet.records import LayerRange  # noqa: E402
from chervilstall.ids import TargetId  # noqa: E402
from chervilstall.platform.node import read_node  # noqa: E402
from chervilstall.settings.option import Address  # noqa: E402
from chervilstall.standin.platform_fixtures import (  # noqa: E402
    CALLER_HOST,
    WORKSPACE,
    build_configuration,
    build_node_file,
    write_configuration,
    write_target_entry,
)
from chervilstall.standin.platform_store import PlatformStoreServer  # noqa: E402
from chervilstall.standin.platform_target import PlatformTarget  # noqa: E402

HOST = "127.0.0.1"
FRONTEND_PORT = 18_080
METRICS_PORT = 19_464
OWN_ZONE, OTHER_ZONE = "ba-hall", "za-hall"
TARGETS = (
    ("low-1", OWN_ZONE, 0, 4),
    ("low-2", OWN_ZONE, 0, 4),
    ("low-3", OWN_ZONE, 0, 4),
    ("high-1", OWN_ZONE, 4, 8),
    ("high-2", OWN_ZONE, 4, 8),
    ("high-3", OWN_ZONE, 4, 8),
    ("far-1", OTHER_ZONE, 0, 8),
)
READY_WAIT_S = 5.0


def start_targets(store: PlatformStoreServer) -> list[PlatformTarget]:
    """Start the stand-in targets and register them in the store."""
    targets: list[PlatformTarget] = []
    for name, zone, first, end in TARGETS:
        target = PlatformTarget(name, Address(HOST, 0))
        target.layers = LayerRange(first, end)
        target.start()
        targets.append(target)
        address = str(target.address)
        write_target_entry(store.state, name, "drafts", address, zone, target.layers)
    return targets


def start_router(store: PlatformStoreServer, directory: Path) -> EdgeServer:
    """Start a router and wait until it knows the configuration and the targets."""
    path = directory / "node.json"
    path.write_bytes(
        build_node_file("vm-1", HOST, OWN_ZONE, FRONTEND_PORT, str(store.address))
    )
    router = EdgeServer(read_node(path), path, METRICS_PORT)
    router.start()
    with gevent.Timeout(READY_WAIT_S):
        while not router.is_ready:
            gevent.sleep(0.02)
    return router


def ask(title: str, question: Where) -> None:
    """Print what `chervilstallctl where` prints."""
    print(f"\n== {title}")
    run_ctl(CtlCommand(question, router=f"{HOST}:{METRICS_PORT}"))


def main() -> int:
    """Run the example and return its exit status."""
    logging.set_verbosity(logging.ERROR)
    store = PlatformStoreServer(Address(HOST, 0))
    store.start()
    write_configuration(store.state, build_configuration())
    targets = start_targets(store)
    with tempfile.TemporaryDirectory() as directory:
        router = start_router(store, Path(directory))
    question = Where(
        "/draft/letter",
        CALLER_HOST,
        workspace=WORKSPACE,
        prompt_tokens=2_000,
        answer_tokens=250,
    )
    ask("all targets are well", question)
    view, known = router.fleet_view, router.fleet_view.targets
    view.note_leaving(known[TargetId("low-2")].incarnation, by="example")
    view.suspect(known[TargetId("high-1")], "example")
    router.rate_limiter.record_pause(known[TargetId("low-1")], 20.0)
    ask("a target drains, one is suspected, one wants a pause", question)
    for name in ("high-2", "high-3", "far-1"):
        view.suspect(known[TargetId(name)], "example")
    ask("no target is left for the last layers", question)
    if os.environ.get("SERVE") == "1":
        print(json.dumps({"metrics": f"{HOST}:{METRICS_PORT}"}), flush=True)
        router.wait()
    router.stop()
    for target in targets:
        target.stop()
    store.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
