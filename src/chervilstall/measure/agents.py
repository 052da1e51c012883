"""Many agents in one helper process, asked for their figures over standard input.

Agents of one process share its interpreter but nothing else: each has its own peer
listener, connections, tables and tasks.
"""

import json
import os
import resource
import sys
import time
from dataclasses import dataclass, field

import gevent
import zmq.green as zmq
from gevent.fileobject import FileObject

from chervilstall.agent.runtime import AgentRuntime, AgentSettings
from chervilstall.ids import Revision, VmId, ZoneName
from chervilstall.settings.agents import PeerSettings, StoreSettings
from chervilstall.settings.option import Address, parse_address
from chervilstall.settings.processes import VmSettings
from chervilstall.store.client import HttpStore

ANY = Address("127.0.0.1", 0)
SOCKETS_MAX = 16_000
WATCH_INTERVAL_S = 0.05
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def start_agent(number: int, zones: int, store: Address) -> AgentRuntime:
    """Start one agent with the ordinary periods."""
    settings = AgentSettings(
        vm=VmSettings(vm=VmId(f"vm-{number}"), zone=ZoneName(f"zone-{number % zones}")),
        store=StoreSettings(address=store),
        peer=PeerSettings(listen=ANY),
    )
    client = HttpStore(settings.store)
    agent = AgentRuntime(settings, client, client)
    agent.start()
    return agent


def resident_bytes() -> int:
    """Return this process's resident memory."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * PAGE_BYTES


@dataclass
class RevisionWatch:
    """When the last agent here reached each revision, and steps back seen."""

    agents: list[AgentRuntime]
    arrivals: dict[int, float] = field(default_factory=dict)
    reverts: int = 0

    def run(self) -> None:
        """Watch until killed."""
        reached = 0
        seen = [0] * len(self.agents)
        while True:
            now_s = time.time()
            for index, agent in enumerate(self.agents):
                self.reverts += agent.replica.revision < seen[index]
                seen[index] = agent.replica.revision
            for revision in range(reached + 1, min(seen) + 1):
                self.arrivals[revision] = now_s
            reached = max(reached, min(seen))
            gevent.sleep(WATCH_INTERVAL_S)


def figures(agents: list[AgentRuntime], watch: RevisionWatch) -> dict[str, object]:
    """Return the summed counters of this process's agents."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return {
        "cpu_s": usage.ru_utime + usage.ru_stime,
        "rss_bytes": resident_bytes(),
        "sent_bytes": sum(agent.traffic.sent_bytes for agent in agents),
        "messages": sum(agent.traffic.messages for agent in agents),
        "revisions": sorted({agent.replica.revision for agent in agents}),
        "members": min(len(agent.table.live_members()) for agent in agents),
        "dead": max(
            sum(not item.is_live for item in agent.table.others()) for agent in agents
        ),
        "store_calls": sum(agent.store.rate_limiter.calls for agent in agents),  # type: ignore[attr-defined]
        "reverts": watch.reverts,
    }


def allow_many_sockets() -> None:
    """Raise this process's own bounds: it stands for many."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    zmq.Context.instance().set(zmq.MAX_SOCKETS, SOCKETS_MAX)


def serve_agents(first: str, count: str, zones: str, store: str) -> None:
    """Run agents and answer `figures` and `arrival REVISION` until ended."""
    allow_many_sockets()
    address = parse_address(store)
    numbers = range(int(first), int(first) + int(count))
    agents = [start_agent(number, int(zones), address) for number in numbers]
    peers = [str(agent.server.address) for agent in agents]
    watch = RevisionWatch(agents)
    gevent.spawn(watch.run)
    print(*peers, flush=True)
    lines = FileObject(sys.stdin.buffer, "rb")
    for line in lines:
        words = line.decode().split()
        if words[0] == "figures":
            print(json.dumps(figures(agents, watch)), flush=True)
        elif words[0] == "arrival":
            print(watch.arrivals.get(Revision(int(words[1])), 0.0), flush=True)
