"""What control costs per agent, and how long a change takes, as the fleet grows.

Agents run with their ordinary periods in a few helper processes around a store in
another. Each size is measured after membership has settled, with changes being
accepted at the two-year rate and faster.
"""

import json
import time
from dataclasses import dataclass

import gevent
import msgspec
from geventhttpclient import HTTPClient

from chervilstall.configuration.records import IN_FORCE_PREFIX, ZoneWatermark
from chervilstall.configuration.writer import ConfigurationStore, ProposedChange
from chervilstall.gateway.auth import token_digest
from chervilstall.ids import VmId, ZoneName, new_change_id
from chervilstall.measure.processes import HelperProcess, start_helper
from chervilstall.measure.statistics import percentile, round_floats, slope
from chervilstall.settings.agents import StoreSettings
from chervilstall.settings.option import Address, parse_address
from chervilstall.store.client import HttpStore
from chervilstall.store.contract import VmRecord

ZONES = 3
AGENTS_PER_PROCESS = 40
SETTLE_TIMEOUT_S = 90.0
MEASURED_S = 15.0
CHANGES_PER_S = 8_100 / 86_400
CHANGE_INTERVAL_S = 0.5
IN_FORCE_POLL_S = 0.02
IN_FORCE_TIMEOUT_S = 20.0
STORE_CALLS_PER_S = 500.0


@dataclass(frozen=True)
class Snapshot:
    """Counters of every helper at one moment."""

    at_s: float
    cpu_s: float
    rss_bytes: int
    sent_bytes: int
    messages: int
    store_calls: int
    reverts: int
    members: int
    dead: int


def add_vm(address: Address, record: VmRecord) -> None:
    """Put a VM into the stand-in's list."""
    client = HTTPClient(address.host, address.port, disable_ipv6=True)
    client.post("/v1/vms", body=msgspec.json.encode(record)).read()
    client.close()


class AgentFarm:
    """Agents in helper processes, their store, and a writer of settings."""

    def __init__(self, nodes: int) -> None:
        self.nodes = nodes
        self.store_process = start_helper("store")
        address = self.store_process.words[0]
        self.address = parse_address(address)
        self.store = HttpStore(
            StoreSettings(address=parse_address(address), calls_per_s=STORE_CALLS_PER_S)
        )
        self.writer = ConfigurationStore(self.store)
        self.helpers: list[HelperProcess] = []
        first = 0
        while first < nodes:
            count = min(AGENTS_PER_PROCESS, nodes - first)
            helper = start_helper("agents", str(first), str(count), str(ZONES), address)
            self.helpers.append(helper)
            self._list_vms(first, helper)
            first += count

    def _list_vms(self, first: int, helper: HelperProcess) -> None:
        for offset, peer in enumerate(helper.words):
            number = first + offset
            where = parse_address(peer)
            record = VmRecord(
                VmId(f"vm-{number}"),
                ZoneName(f"zone-{number % ZONES}"),
                where.host,
                where.port,
            )
            add_vm(self.address, record)

    def snapshot(self) -> Snapshot:
        """Ask every helper for its counters."""
        parts = [json.loads(helper.ask("figures")) for helper in self.helpers]
        return Snapshot(
            time.monotonic(),
            sum(part["cpu_s"] for part in parts),
            sum(part["rss_bytes"] for part in parts),
            sum(part["sent_bytes"] for part in parts),
            sum(part["messages"] for part in parts),
            sum(part["store_calls"] for part in parts),
            sum(part["reverts"] for part in parts),
            min(part["members"] for part in parts),
            max(part["dead"] for part in parts),
        )

    def settle(self) -> float:
        """Wait until every agent knows every other; return the seconds it took."""
        started_at_s = time.monotonic()
        while time.monotonic() - started_at_s < SETTLE_TIMEOUT_S:
            now = self.snapshot()
            if now.members == self.nodes and now.dead == 0:
                return time.monotonic() - started_at_s
            gevent.sleep(0.5)
        return float("inf")

    def change(self, number: int) -> int:
        """Have a change accepted and return its revision."""
        text = (
            f"[grant]\ntoken_sha256 = {token_digest('x')}\n"
            f"requests_per_s = {number + 1}\n"
        )
        change = ProposedChange(
            new_change_id(), f"workspaces/w{number % 50}/grant", text, "measure"
        )
        return self.writer.accept(change)

    def confirmed(self) -> int:
        """Return the lowest revision that the zones have confirmed."""
        revisions = []
        for entry in self.store.list_entries(IN_FORCE_PREFIX):
            revisions.append(
                msgspec.json.decode(entry.value, type=ZoneWatermark).revision
            )
        return min(revisions) if len(revisions) == ZONES else 0

    def arrival_s(self, revision: int) -> float:
        """Return the wall-clock time at which the last agent had a revision."""
        arrivals = [float(helper.ask(f"arrival {revision}")) for helper in self.helpers]
        return max(arrivals) if all(arrivals) else float("inf")

    def stop(self) -> None:
        """End every helper."""
        for helper in self.helpers:
            helper.stop()
        self.store_process.stop()


@dataclass
class ChangeTimes:
    """Seconds from acceptance to the last agent, and to every zone's record."""

    arrival_s: list[float]
    confirmed_s: list[float]


def make_changes(farm: AgentFarm, changes: int) -> ChangeTimes:
    """Make changes one after the other and time each."""
    times = ChangeTimes([], [])
    for number in range(changes):
        revision = farm.change(number)
        accepted_at_s = time.time()
        ends_at_s = accepted_at_s + IN_FORCE_TIMEOUT_S
        while farm.confirmed() < revision and time.time() < ends_at_s:
            gevent.sleep(IN_FORCE_POLL_S)
        times.confirmed_s.append(time.time() - accepted_at_s)
        arrived_at_s = farm.arrival_s(revision)
        times.arrival_s.append(max(0.0, arrived_at_s - accepted_at_s))
    return times


def run_configuration(seed: int, nodes: int, changes: int) -> dict[str, object]:
    """Return how long accepted changes take to be in force everywhere."""
    farm = AgentFarm(nodes)
    try:
        settled_s = farm.settle()
        make_changes(farm, 2)
        before = farm.snapshot()
        times = make_changes(farm, changes)
        after = farm.snapshot()
    finally:
        farm.stop()
    elapsed_s = after.at_s - before.at_s
    return {
        "experiment": "configuration",
        "seed": seed,
        "nodes": nodes,
        "agents_per_process": AGENTS_PER_PROCESS,
        "settled_s": settled_s,
        "changes": changes,
        "arrival_p50_s": percentile(times.arrival_s, 0.5),
        "arrival_p99_s": percentile(times.arrival_s, 0.99),
        "in_force_p50_s": percentile(times.confirmed_s, 0.5),
        "in_force_p99_s": percentile(times.confirmed_s, 0.99),
        "reverts": after.reverts,
        "store_calls_per_s": (after.store_calls - before.store_calls) / elapsed_s,
    }


def run_window(farm: AgentFarm, interval_s: float | None) -> tuple[Snapshot, int]:
    """Let the farm run for a while, with changes at an interval; return the cost."""
    before = farm.snapshot()
    ends_at_s = time.monotonic() + MEASURED_S
    changes = 0
    while time.monotonic() < ends_at_s:
        if interval_s is None:
            gevent.sleep(MEASURED_S)
            continue
        farm.change(changes)
        changes += 1
        gevent.sleep(interval_s)
    after = farm.snapshot()
    cost = Snapshot(
        after.at_s - before.at_s,
        after.cpu_s - before.cpu_s,
        after.rss_bytes,
        after.sent_bytes - before.sent_bytes,
        after.messages - before.messages,
        after.store_calls - before.store_calls,
        after.reverts,
        after.members,
        after.dead,
    )
    return cost, changes


def measure_size(nodes: int) -> dict[str, float]:
    """Return the cost per agent at one size: at rest, and what a change adds.

    The figures without a suffix are worked out for the two-year rate of changes.
    """
    farm = AgentFarm(nodes)
    try:
        farm.settle()
        make_changes(farm, 2)
        quiet, _ = run_window(farm, None)
        busy, changes = run_window(farm, CHANGE_INTERVAL_S)
    finally:
        farm.stop()

    def per_node(quiet_value: float, busy_value: float) -> tuple[float, float]:
        at_rest = quiet_value / quiet.at_s / nodes
        per_change = (busy_value / busy.at_s / nodes - at_rest) * busy.at_s / changes
        return at_rest, max(0.0, per_change)

    cpu_rest, cpu_change = per_node(quiet.cpu_s * 100.0, busy.cpu_s * 100.0)
    bytes_rest, bytes_change = per_node(quiet.sent_bytes, busy.sent_bytes)
    return {
        "nodes": float(nodes),
        "cpu_percent": cpu_rest + cpu_change * CHANGES_PER_S,
        "cpu_percent_at_rest": cpu_rest,
        "cpu_ms_per_change": cpu_change * 10.0,
        "bytes_per_s": bytes_rest + bytes_change * CHANGES_PER_S,
        "bytes_per_s_at_rest": bytes_rest,
        "bytes_per_change": bytes_change,
        "messages_per_s": quiet.messages / quiet.at_s / nodes,
        "rss_mb": busy.rss_bytes / nodes / 1e6,
        "store_calls_per_s": quiet.store_calls / quiet.at_s,
        "store_calls_per_change": (
            busy.store_calls - quiet.store_calls / quiet.at_s * busy.at_s
        )
        / changes,
    }


def run_control(seed: int, sizes: list[int]) -> dict[str, object]:
    """Return the cost per agent at each size, and the slopes per agent added."""
    rows = [measure_size(size) for size in sizes]
    names = ("cpu_percent", "rss_mb", "bytes_per_s", "messages_per_s")
    slopes: dict[str, object] = {}
    for name in (*names, "store_calls_per_s", "bytes_per_change", "cpu_ms_per_change"):
        slopes[name] = slope([(row["nodes"], row[name]) for row in rows])
    return {
        "experiment": "control",
        "seed": seed,
        "agents_per_process": AGENTS_PER_PROCESS,
        **{name: rows[-1][name] for name in (*names, "store_calls_per_s")},
        "slopes_per_node": slopes,
        "sizes": [round_floats(dict(row)) for row in rows],
    }
