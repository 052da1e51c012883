"""Helper process that runs many agents and reports their counters.

The agents share the interpreter and nothing else: each has its own peer listener,
connections, tables and tasks. Commands are read from standard input, one per line.
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
from chervilstall.measure.processes import resident_bytes
from chervilstall.settings.agents import PeerSettings, StoreSettings
from chervilstall.settings.option import Address, parse_address
from chervilstall.settings.processes import VmSettings
from chervilstall.standin.target_server import ANY_PORT
from chervilstall.store.client import HttpStore

SOCKETS_MAX = 16_000
REVISION_POLL_S = 0.05


def start_agent(number: int, zones: int, store: Address) -> AgentRuntime:
    """Start agent `number` with default intervals, in zone `number` modulo `zones`.

    Its peer listener is bound to a free port.
    """
    settings = AgentSettings(
        vm=VmSettings(vm=VmId(f"vm-{number}"), zone=ZoneName(f"zone-{number % zones}")),
        store=StoreSettings(address=store),
        peer=PeerSettings(listen=ANY_PORT),
    )
    client = HttpStore(settings.store)
    agent = AgentRuntime(settings, client, client)
    agent.start()
    return agent


@dataclass
class RevisionMonitor:
    """Records when all agents of this process have reached a revision.

    `arrival_times_s` holds the wall-clock time by revision; `reverts` counts how often
    the revision of an agent went backwards.
    """

    agents: list[AgentRuntime]
    arrival_times_s: dict[int, float] = field(default_factory=dict)
    reverts: int = 0

    def run(self) -> None:
        """Poll the revisions of the agents until killed."""
        arrived = 0
        last_seen = [0] * len(self.agents)
        while True:
            now_s = time.time()
            for index, agent in enumerate(self.agents):
                self.reverts += agent.replica.revision < last_seen[index]
                last_seen[index] = agent.replica.revision
            for revision in range(arrived + 1, min(last_seen) + 1):
                self.arrival_times_s[revision] = now_s
            arrived = max(arrived, min(last_seen))
            gevent.sleep(REVISION_POLL_S)


def collect_counters(
    agents: list[AgentRuntime], monitor: RevisionMonitor
) -> dict[str, object]:
    """Return the counters of the agents of this process.

    Processor time and memory are those of the process; traffic and store calls are
    sums over the agents. `members` is the smallest number of live members that an
    agent knows, `dead` the largest number of members that an agent considers dead.
    """
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return {
        "cpu_s": usage.ru_utime + usage.ru_stime,
        "rss_bytes": resident_bytes(os.getpid()),
        "sent_bytes": sum(agent.traffic.sent_bytes for agent in agents),
        "messages": sum(agent.traffic.messages for agent in agents),
        "revisions": sorted({agent.replica.revision for agent in agents}),
        "members": min(len(agent.table.live_members()) for agent in agents),
        "dead": max(
            sum(not member.is_live for member in agent.table.others())
            for agent in agents
        ),
        "store_calls": sum(agent.store.rate_limiter.calls for agent in agents),  # type: ignore[attr-defined]
        "reverts": monitor.reverts,
    }


def raise_socket_limits() -> None:
    """Raise the limits on open files and ZeroMQ sockets to hold many agents."""
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
    zmq.Context.instance().set(zmq.MAX_SOCKETS, SOCKETS_MAX)


def serve_agents(first: str, count: str, zones: str, store: str) -> None:
    """Run `count` agents from number `first` on until standard input is closed.

    Prints the peer addresses of the agents on one line. `figures` is answered with the
    counters as JSON, `arrival REVISION` with the wall-clock time in seconds at which
    the last agent reached the revision, or 0.0 if one has not reached it yet.
    """
    raise_socket_limits()
    address = parse_address(store)
    numbers = range(int(first), int(first) + int(count))
    agents = [start_agent(number, int(zones), address) for number in numbers]
    peers = [str(agent.server.address) for agent in agents]
    monitor = RevisionMonitor(agents)
    gevent.spawn(monitor.run)
    print(*peers, flush=True)
    commands = FileObject(sys.stdin.buffer, "rb")
    for line in commands:
        arguments = line.decode().split()
        if arguments[0] == "figures":
            print(json.dumps(collect_counters(agents, monitor)), flush=True)
        elif arguments[0] == "arrival":
            print(
                monitor.arrival_times_s.get(Revision(int(arguments[1])), 0.0),
                flush=True,
            )
