"""Several agents in one process that share one in-memory store."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent

from chervilstall.agent.runtime import AgentRuntime, AgentSettings
from chervilstall.configuration.writer import ConfigurationStore, ProposedChange
from chervilstall.ids import VmId, ZoneName, new_change_id
from chervilstall.settings.agents import IdempotencySettings, PeerSettings
from chervilstall.settings.leases import LeaseSettings
from chervilstall.settings.option import Address
from chervilstall.settings.processes import LimitSettings, VmSettings
from chervilstall.standin.store import MemoryStore
from chervilstall.store.contract import Store, VmList, VmRecord
from tests.support.router_harness import ANY_PORT, tree_texts

ZONES = ("za-hall", "ke-hall", "ba-hall")


def eventually(condition: Callable[[], object], timeout_s: float = 10.0) -> None:
    """Wait until a condition is true; fail if it is not within `timeout_s`."""
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline_s, (
            "the condition did not become true in time"
        )
        gevent.sleep(0.02)


def short_interval_settings(
    vm: str, zone: str, seeds: tuple[Address, ...] = ()
) -> AgentSettings:
    """Return agent settings with short intervals and timeouts."""
    return AgentSettings(
        vm=VmSettings(vm=VmId(vm), zone=ZoneName(zone)),
        peer=PeerSettings(
            listen=ANY_PORT,
            probe_interval_s=0.1,
            probe_timeout_s=0.1,
            suspicion_s=0.4,
            vm_list_interval_s=0.2,
            pull_wait_s=0.5,
            fan_out=2,
            seeds=seeds,
        ),
        lease=LeaseSettings(ttl_s=1.5, margin_s=0.3, slots=3, limit_groups=2),
        idempotency=IdempotencySettings(commit_interval_s=0.005, claim_timeout_s=0.5),
        limits=LimitSettings(share_ttl_s=0.4),
    )


@dataclass
class AgentFleet:
    """Agents by name; `store_of` may return a separate store for an agent."""

    size: int
    store: MemoryStore = field(default_factory=MemoryStore)
    store_of: Callable[[str], Store] | None = None
    seed: int = 1
    agents: dict[str, AgentRuntime] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for number in range(self.size):
            self.add(f"vm-{number}", ZONES[number % len(ZONES)])

    def add(self, vm: str, zone: str, seeds: tuple[Address, ...] = ()) -> AgentRuntime:
        """Start an agent and register it in the VM list."""
        store: Store = self.store_of(vm) if self.store_of else self.store
        vm_list: VmList = store  # type: ignore[assignment]
        rng = random.Random(f"{self.seed}/{vm}")
        agent = AgentRuntime(
            short_interval_settings(vm, zone, seeds), store, vm_list, rng
        )
        agent.start()
        address = agent.server.address
        record = VmRecord(VmId(vm), ZoneName(zone), address.host, address.port)
        self.store.set_vm(record)
        self.agents[vm] = agent
        return agent

    def kill(self, vm: str) -> None:
        """Stop an agent without a graceful leave; it stays in the VM list."""
        self.agents.pop(vm).stop()

    def write_change(
        self, path: str, text: str | None, author: str = "operator"
    ) -> int:
        """Write a change of one path to the store and return its revision."""
        change = ProposedChange(new_change_id(), path, text, author)
        return ConfigurationStore(self.store).accept(change)

    def load_tree(self) -> int:
        """Write the test tree to the store; return the last revision."""
        texts = tree_texts()
        revision = 0
        for path in sorted(texts, key=dependency_rank):
            revision = self.write_change(path, texts[path])
        return revision

    def revisions(self) -> set[int]:
        """Return the distinct revisions of the agents' replicas."""
        return {agent.replica.revision for agent in self.agents.values()}

    def stop(self) -> None:
        """Stop every agent."""
        for agent in self.agents.values():
            agent.stop()


def dependency_rank(path: str) -> int:
    """Return the rank of a path; paths that others refer to come first."""
    for rank, prefix in enumerate(("models/", "targets/")):
        if path.startswith(prefix):
            return rank
    return 2 if path.endswith("/grant") else 3
