"""DRAIN: a server that was cut off from the store leaves, and is used again after."""

import json
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from standins import (  # noqa: E402
    Consumer, ENGINE, Machine, Server, Store, Traffic, configuration, now_s, route,
    run_case, wait_until,
)

DRAIN_S = 2.0
PING_S = 1.2
CUT_S = 5.0


def case(record, has_trouble, scratch, machines):
    store = Store(record)
    config = configuration(routes=[route("/draft/", "streaming", "drafts")])
    # A server holds six layers of eight at most, so that a path needs two servers.
    config["services"][1]["engine"] = {**ENGINE, "layer-mb": 3300.0}
    store.put("op/config", json.dumps(config).encode())
    options = {"kind": "l4", "event_s": 0.01}
    leaving = Server(record, store, "s-leaves", "drafts", "ba-hall", layers=(0, 4), **options)
    other = Server(record, store, "s-other", "drafts", "za-hall", layers=(0, 4), **options)
    second = Server(record, store, "s-second", "drafts", "ba-hall", layers=(4, 8), **options)
    plain = [
        Server(record, store, f"l-{number}", "lookups", "za-hall") for number in range(2)
    ]
    for server in (leaving, other, second, *plain):
        server.register()
    machine = Machine(1, "ba-hall", store.address, scratch, ["ba-hall", "za-hall"])
    machines.append(machine)
    wait_until(machine.is_ready, 20, "the machine is not ready")
    traffic = Traffic(
        Consumer(record, machine), "/draft/a", 20,
        Token_Count="100,10", Prefix_Hash="a1:80,b2:20", Model="m0",
    )
    time.sleep(3.0)

    cut_at_s = time.monotonic()
    record.line("s-leaves is cut off from the store" if has_trouble else "no cut")
    time.sleep(1.0)
    leaving.is_leaving = True
    record.line("s-leaves leaves, and says so in its answers")
    if has_trouble:
        time.sleep(max(0.0, cut_at_s + 3 * PING_S - time.monotonic()))
        # The store removes the entry after three pings of silence.
        leaving.unregister()
        time.sleep(max(0.0, cut_at_s + CUT_S - time.monotonic()))
        record.line("s-leaves reaches the store again")
    leaving.register("draining")
    # It serves for `drain-ms` after the store has accepted that, and a little longer.
    time.sleep(DRAIN_S + 1.0)
    traffic.stop()

    told_at_s = [
        answer.ended_at_s
        for answer in traffic.answers
        if answer.headers.get("server-leaving") == "1"
    ]
    if not told_at_s:
        wait_until(lambda: False, 0, "no answer with Server-Leaving was passed on")
    first_s = min(told_at_s)
    sent_at_s = {answer.attempt: answer.sent_at_s for answer in traffic.answers}
    record.line(f"the machine first passed on Server-Leaving at {first_s:.3f}")
    return [
        f"DRAIN: {attempt}, sent {sent_at_s[attempt] - first_s:.2f} s after the machine "
        f"passed on Server-Leaving of s-leaves, reached s-leaves at {arrived_s:.3f}"
        for arrived_s, attempt in leaving.arrivals
        if sent_at_s.get(attempt, 0.0) > first_s + DRAIN_S
    ]


HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""With TROUBLE=0 in the environment the case runs without the disruption."""

run_case(Path(__file__).parent, case, HAS_TROUBLE)
