"""Cost of the control plane per agent and propagation time of configuration changes.

Agents run with default intervals in a few helper processes, around a store in another
process. Each number of agents is measured after membership has settled, without changes
and with changes at a rate above the one projected for two years ahead.
"""

import json
import time
from dataclasses import dataclass

import gevent
import msgspec
from geventhttpclient import HTTPClient

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
WINDOW_S = 15.0
# 8,100 changes a day, projected for two years ahead.
PROJECTED_CHANGES_PER_S = 8_100 / 86_400
CHANGE_INTERVAL_S = 0.5
CONFIRMATION_POLL_S = 0.02
CONFIRMATION_TIMEOUT_S = 20.0
STORE_CALLS_PER_S = 500.0


@dataclass(frozen=True)
class ClusterCounters:
    """Counters summed over the helpers, at one moment or as a difference of two.

    `at_s` is a monotonic time or the length of the window. `members` is the smallest
    and `dead` the largest number that any agent reports.
    """

    at_s: float
    cpu_s: float
    rss_bytes: int
    sent_bytes: int
    messages: int
    store_calls: int
    reverts: int
    members: int
    dead: int


def register_vm(address: Address, record: VmRecord) -> None:
    """Add a VM to the VM list of the stand-in store."""
    client = HTTPClient(address.host, address.port, disable_ipv6=True)
    client.post("/v1/vms", body=msgspec.json.encode(record)).read()
    client.close()


class AgentCluster:
    """Agents in helper processes, their store, and a writer of the configuration."""

    def __init__(self, nodes: int) -> None:
        self.nodes = nodes
        self.store_process = start_helper("store")
        address = self.store_process.addresses[0]
        self.address = parse_address(address)
        self.store = HttpStore(
            StoreSettings(address=parse_address(address), calls_per_s=STORE_CALLS_PER_S)
        )
        self.configuration = ConfigurationStore(self.store)
        self.helpers: list[HelperProcess] = []
        first = 0
        while first < nodes:
            count = min(AGENTS_PER_PROCESS, nodes - first)
            helper = start_helper("agents", str(first), str(count), str(ZONES), address)
            self.helpers.append(helper)
            self._register_vms(first, helper)
            first += count

    def _register_vms(self, first: int, helper: HelperProcess) -> None:
        for offset, peer in enumerate(helper.addresses):
            number = first + offset
            peer_address = parse_address(peer)
            record = VmRecord(
                VmId(f"vm-{number}"),
                ZoneName(f"zone-{number % ZONES}"),
                peer_address.host,
                peer_address.port,
            )
            register_vm(self.address, record)

    def read_counters(self) -> ClusterCounters:
        """Read the counters of every helper and combine them."""
        parts = [json.loads(helper.query("figures")) for helper in self.helpers]
        return ClusterCounters(
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

    def wait_until_settled(self) -> float:
        """Wait until every agent lists all agents as live.

        Returns the seconds that it took, infinity after SETTLE_TIMEOUT_S.
        """
        started_at_s = time.monotonic()
        while time.monotonic() - started_at_s < SETTLE_TIMEOUT_S:
            counters = self.read_counters()
            if counters.members == self.nodes and counters.dead == 0:
                return time.monotonic() - started_at_s
            gevent.sleep(0.5)
        return float("inf")

    def write_change(self, number: int) -> int:
        """Write a change of one workspace's grant and return its revision."""
        text = (
            f"[grant]\ntoken_sha256 = {token_digest('x')}\n"
            f"requests_per_s = {number + 1}\n"
        )
        change = ProposedChange(
            new_change_id(), f"workspaces/w{number % 50}/grant", text, "measure"
        )
        return self.configuration.accept(change)

    def confirmed_revision(self) -> int:
        """Return the lowest revision confirmed by a zone, 0 while a zone is missing."""
        records = self.configuration.read_watermarks()
        revisions = [record.revision for record in records]
        return min(revisions) if len(revisions) == ZONES else 0

    def last_arrival_s(self, revision: int) -> float:
        """Return the wall-clock time at which the last agent reached a revision.

        Returns infinity if an agent has not reached it.
        """
        arrivals = [
            float(helper.query(f"arrival {revision}")) for helper in self.helpers
        ]
        return max(arrivals) if all(arrivals) else float("inf")

    def stop(self) -> None:
        """Terminate every helper process."""
        for helper in self.helpers:
            helper.stop()
        self.store_process.stop()


@dataclass
class ChangeTimes:
    """Time from the acceptance of each change.

    `arrival_s` ends when the last agent has the change, `confirmed_s` when the
    watermark of every zone covers it.
    """

    arrival_s: list[float]
    confirmed_s: list[float]


def time_changes(cluster: AgentCluster, changes: int) -> ChangeTimes:
    """Make changes one after the other and measure the propagation of each."""
    times = ChangeTimes([], [])
    for number in range(changes):
        revision = cluster.write_change(number)
        accepted_at_s = time.time()
        ends_at_s = accepted_at_s + CONFIRMATION_TIMEOUT_S
        while cluster.confirmed_revision() < revision and time.time() < ends_at_s:
            gevent.sleep(CONFIRMATION_POLL_S)
        times.confirmed_s.append(time.time() - accepted_at_s)
        arrived_at_s = cluster.last_arrival_s(revision)
        times.arrival_s.append(max(0.0, arrived_at_s - accepted_at_s))
    return times


def run_configuration(seed: int, nodes: int, changes: int) -> dict[str, object]:
    """Return how long accepted changes take to be in effect on every agent."""
    cluster = AgentCluster(nodes)
    try:
        settled_s = cluster.wait_until_settled()
        time_changes(cluster, 2)
        before = cluster.read_counters()
        times = time_changes(cluster, changes)
        after = cluster.read_counters()
    finally:
        cluster.stop()
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


def measure_window(
    cluster: AgentCluster, interval_s: float | None
) -> tuple[ClusterCounters, int]:
    """Return the counters spent in WINDOW_S, and the number of changes made.

    A change is made every `interval_s` seconds, none if it is None.
    """
    before = cluster.read_counters()
    ends_at_s = time.monotonic() + WINDOW_S
    changes = 0
    while time.monotonic() < ends_at_s:
        if interval_s is None:
            gevent.sleep(WINDOW_S)
            continue
        cluster.write_change(changes)
        changes += 1
        gevent.sleep(interval_s)
    after = cluster.read_counters()
    difference = ClusterCounters(
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
    return difference, changes


def measure_size(nodes: int) -> dict[str, float]:
    """Return the cost per agent in a cluster of `nodes` agents.

    Figures with `at_rest` are taken without changes, those with `per_change` are the
    cost that one change adds; `cpu_percent` and `bytes_per_s` combine both at
    PROJECTED_CHANGES_PER_S.
    """
    cluster = AgentCluster(nodes)
    try:
        cluster.wait_until_settled()
        time_changes(cluster, 2)
        idle, _ = measure_window(cluster, None)
        changing, changes = measure_window(cluster, CHANGE_INTERVAL_S)
    finally:
        cluster.stop()

    def per_node(idle_value: float, changing_value: float) -> tuple[float, float]:
        at_rest = idle_value / idle.at_s / nodes
        per_change = (
            (changing_value / changing.at_s / nodes - at_rest) * changing.at_s / changes
        )
        return at_rest, max(0.0, per_change)

    cpu_at_rest, cpu_per_change = per_node(idle.cpu_s * 100.0, changing.cpu_s * 100.0)
    bytes_at_rest, bytes_per_change = per_node(idle.sent_bytes, changing.sent_bytes)
    return {
        "nodes": float(nodes),
        "cpu_percent": cpu_at_rest + cpu_per_change * PROJECTED_CHANGES_PER_S,
        "cpu_percent_at_rest": cpu_at_rest,
        "cpu_ms_per_change": cpu_per_change * 10.0,
        "bytes_per_s": bytes_at_rest + bytes_per_change * PROJECTED_CHANGES_PER_S,
        "bytes_per_s_at_rest": bytes_at_rest,
        "bytes_per_change": bytes_per_change,
        "messages_per_s": idle.messages / idle.at_s / nodes,
        "rss_mb": changing.rss_bytes / nodes / 1e6,
        "store_calls_per_s": idle.store_calls / idle.at_s,
        "store_calls_per_change": (
            changing.store_calls - idle.store_calls / idle.at_s * changing.at_s
        )
        / changes,
    }


def run_control(seed: int, sizes: list[int]) -> dict[str, object]:
    """Return the cost per agent at each size, and its slope per additional agent."""
    rows = [measure_size(size) for size in sizes]
    columns = ("cpu_percent", "rss_mb", "bytes_per_s", "messages_per_s")
    slopes: dict[str, object] = {}
    for name in (
        *columns,
        "store_calls_per_s",
        "bytes_per_change",
        "cpu_ms_per_change",
    ):
        slopes[name] = slope([(row["nodes"], row[name]) for row in rows])
    return {
        "experiment": "control",
        "seed": seed,
        "agents_per_process": AGENTS_PER_PROCESS,
        **{name: rows[-1][name] for name in (*columns, "store_calls_per_s")},
        "slopes_per_node": slopes,
        "sizes": [round_floats(dict(row)) for row in rows],
    }
