"""DRAIN: what a server said through another machine isn't taken up."""

import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from standins import (  # noqa: E402
    Consumer, Machine, Server, Store, StoreView, Traffic, configuration, route,
    run_case, wait_until,
)

DRAIN_S = 2.0


def case(record, has_trouble, scratch, machines):
    store = Store(record)
    config = configuration(routes=[route("/lookup/", "idempotent", "lookups")])
    store.put("op/config", json.dumps(config).encode())
    leaving = Server(record, store, "s-leaves", "lookups", "ba-hall", work_s=0.15)
    staying = Server(record, store, "s-stays", "lookups", "ba-hall", work_s=0.15)
    views = [StoreView(store) for _ in range(2)]
    for server in (leaving, staying):
        server.register()
        for view in views:
            view.add_link(server)
    zones = ["ba-hall", "za-hall"]
    for number, (zone, view) in enumerate(zip(zones, views)):
        machines.append(Machine(number + 1, zone, view.address, scratch, zones))
    for machine in machines:
        wait_until(machine.is_ready, 20, "a machine is not ready")
    cut_machine = machines[0]
    traffic = Traffic(Consumer(record, cut_machine), "/lookup/a", 40)
    time.sleep(3.0)

    if has_trouble:
        store.go_away()
        record.line("the store is away")
        views[0].cut("reset")
        record.line(f"{cut_machine.name} is partitioned from all servers")
    time.sleep(1.5)
    # Without the store it can't report that, and serves on.
    leaving.is_leaving = True
    record.line("s-leaves leaves, and says so in its answers")
    if not has_trouble:
        leaving.register("draining")
    time.sleep(2.5)
    if has_trouble:
        views[0].heal()
        record.line("the partition is over")
    time.sleep(1.5)
    if has_trouble:
        store.come_back()
        leaving.register("draining")
    time.sleep(DRAIN_S)
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


run_case(Path(__file__).parent, case)
