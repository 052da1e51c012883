"""Several agents in one process, around one stand-in store."""

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


def eventually(condition: Callable[[], object], seconds: float = 10.0) -> None:
    """Wait until a condition holds; fail where it does not within `seconds`."""
    ends_at_s = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < ends_at_s, "the condition did not come to hold"
        gevent.sleep(0.02)


def quick_agent(vm: str, zone: str, seeds: tuple[Address, ...] = ()) -> AgentSettings:
    """Return agent settings with short periods."""
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
    """Agents by name. `store_of` may give an agent a store of its own."""

    size: int
    store: MemoryStore = field(default_factory=MemoryStore)
    store_of: Callable[[str], Store] | None = None
    seed: int = 1
    agents: dict[str, AgentRuntime] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for number in range(self.size):
            self.add(f"vm-{number}", ZONES[number % len(ZONES)])

    def add(self, vm: str, zone: str, seeds: tuple[Address, ...] = ()) -> AgentRuntime:
        """Start an agent and put it into the VM list."""
        store: Store = self.store_of(vm) if self.store_of else self.store
        vm_list: VmList = store  # type: ignore[assignment]
        rng = random.Random(f"{self.seed}/{vm}")
        agent = AgentRuntime(quick_agent(vm, zone, seeds), store, vm_list, rng)
        agent.start()
        address = agent.server.address
        record = VmRecord(VmId(vm), ZoneName(zone), address.host, address.port)
        self.store.set_vm(record)
        self.agents[vm] = agent
        return agent

    def kill(self, vm: str) -> None:
        """Stop an agent without any farewell."""
        self.agents.pop(vm).stop()

    def write_change(
        self, path: str, text: str | None, author: str = "operator"
    ) -> int:
        """Have a change accepted."""
        change = ProposedChange(new_change_id(), path, text, author)
        return ConfigurationStore(self.store).accept(change)

    def load_tree(self) -> int:
        """Have the test tree accepted; return the last revision."""
        texts = tree_texts()
        revision = 0
        for path in sorted(texts, key=dependency_rank):
            revision = self.write_change(path, texts[path])
        return revision

    def revisions(self) -> set[int]:
        """Return the revisions that the agents hold."""
        return {agent.replica.revision for agent in self.agents.values()}

    def stop(self) -> None:
        """Stop every agent."""
        for agent in self.agents.values():
            agent.stop()


def dependency_rank(path: str) -> int:
    """Return the rank of a path, those that others refer to first."""
    for rank, mark in enumerate(("models/", "targets/")):
        if path.startswith(mark):
            return rank
    return 2 if path.endswith("/grant") else 3
