"""One agent's parts, wired together from its settings."""

import random
from dataclasses import dataclass

import gevent
from gevent.event import Event

from chervilstall.agent.claims import Homes
from chervilstall.agent.limits import LimitHolders
from chervilstall.agent.roles import RoleKind, RoleManager, RoleName
from chervilstall.agent.spread import Spread
from chervilstall.configuration.replica import Replica
from chervilstall.configuration.tree import Tree
from chervilstall.ids import new_instance_id
from chervilstall.lease.holder import LeaseTerm
from chervilstall.membership.prober import Prober
from chervilstall.membership.table import MemberTable
from chervilstall.peer.claims import ClaimRequest, OutcomeReport
from chervilstall.peer.keys import read_keys
from chervilstall.peer.messages import (
    ForwardedClaim,
    ForwardedReport,
    IndirectPing,
    MemberState,
    MemberUpdate,
    Message,
    Ping,
    PullTree,
    Refused,
    ReportAnswer,
    ShareRequests,
)
from chervilstall.peer.transport import PeerClientPool, PeerServer, PeerTraffic
from chervilstall.settings.agents import (
    IdempotencySettings,
    OperatorSettings,
    PeerSettings,
    StoreSettings,
)
from chervilstall.settings.leases import LeaseSettings
from chervilstall.settings.processes import LimitSettings, MetricsSettings, VmSettings
from chervilstall.store.contract import Store, StoreFailed, VmList
from chervilstall.telemetry.logs import ComponentLog

log = ComponentLog("agent")

FAREWELLS = 3
START_RETRY_S = 0.5


@dataclass(frozen=True)
class AgentSettings:
    """The agent's sections, passed whole."""

    vm: VmSettings
    store: StoreSettings = StoreSettings()
    peer: PeerSettings = PeerSettings()
    operators: OperatorSettings = OperatorSettings()
    lease: LeaseSettings = LeaseSettings()
    idempotency: IdempotencySettings = IdempotencySettings()
    limits: LimitSettings = LimitSettings()
    metrics: MetricsSettings = MetricsSettings()


class AgentRuntime:
    """One agent. `store` and `vm_list` are the platform's contracts.

    Several agents may run in one process, each with its own address, which is how
    tests and measurements run many.
    """

    def __init__(
        self,
        settings: AgentSettings,
        store: Store,
        vm_list: VmList,
        rng: random.Random | None = None,
    ) -> None:
        self.settings = settings
        self.rng = rng or random.Random()
        self.traffic = PeerTraffic()
        keys = read_keys(settings.peer.curve_directory)
        self.server = PeerServer(settings.peer.listen, self.answer, keys, self.traffic)
        self.clients = PeerClientPool(keys, self.traffic)
        self.store = store
        self._vm_list = vm_list
        self._tasks: list[gevent.Greenlet] = []
        self._stopped = Event()

    def start(self) -> None:
        """Bind the peer listener and start every task."""
        self.server.start()
        vm = self.settings.vm
        own = MemberUpdate(
            vm.vm,
            vm.zone,
            self.server.address.host,
            self.server.address.port,
            new_instance_id(),
            1,
            MemberState.ALIVE,
        )
        self.table = MemberTable(own, rng=self.rng)
        self.prober = Prober(self.table, self.clients, self.settings.peer, self.rng)
        self.replica = Replica(self._on_tree)
        self.slot_homes = Homes(
            self.store,
            self.table,
            self.clients,
            self.settings.idempotency,
            self.settings.lease,
        )
        self.limits = LimitHolders(
            self.table, self.clients, self.settings.limits, self.settings.lease
        )
        self.roles = RoleManager(
            self.store,
            self.table,
            self.settings.lease,
            self._on_gain,
            self._on_lose,
            self.rng,
        )
        self.spread = Spread(
            self.store,
            self._vm_list,
            self.table,
            self.roles,
            self.clients,
            self.settings.peer,
            self.replica,
            self.rng,
        )
        self._tasks = [
            gevent.spawn(self._read_first_vm_list),
            gevent.spawn(self.prober.run),
            gevent.spawn(self.roles.run),
            gevent.spawn(self.spread.follow_parent),
            gevent.spawn(self.spread.follow_store),
            gevent.spawn(self.spread.follow_vm_list),
            gevent.spawn(self.spread.publish_watermark),
        ]

    def _read_first_vm_list(self) -> None:
        while True:
            try:
                self.spread.read_vm_list()
                return
            except StoreFailed:
                if self.table.others():
                    return
                gevent.sleep(START_RETRY_S * self.rng.uniform(0.5, 1.5))

    def _on_tree(self, tree: Tree) -> None:
        self.limits.update(tree)

    def _on_gain(self, role: RoleName, tenure: LeaseTerm) -> None:
        match role.kind:
            case RoleKind.SLOT:
                self.slot_homes.gain(role, tenure)
            case RoleKind.LIMITS:
                self.limits.gain(role, tenure)
            case RoleKind.RELAY:
                return

    def _on_lose(self, role: RoleName) -> None:
        match role.kind:
            case RoleKind.SLOT:
                self.slot_homes.lose(role)
            case RoleKind.LIMITS:
                self.limits.lose(role)
            case RoleKind.RELAY:
                return

    def answer(self, message: Message) -> Message:
        """Answer one message of a peer or of a router of this VM."""
        match message:
            case Ping():
                return self.prober.answer_ping(message)
            case IndirectPing():
                return self.prober.answer_indirect(message)
            case PullTree():
                return self.spread.answer_pull(message)
            case ClaimRequest():
                return self.slot_homes.claim(message)
            case ForwardedClaim(claim):
                return self.slot_homes.answer_forwarded(claim)
            case OutcomeReport():
                return ReportAnswer(self.slot_homes.report(message))
            case ForwardedReport(report):
                return ReportAnswer(self.slot_homes.report(report, is_forwarded=True))
            case ShareRequests():
                return self.limits.answer(message)
        return Refused(f"{type(message).__name__} is not a request")

    # Ending

    def drain_and_stop(self) -> None:
        """Close homes, give roles up, say farewell, and stop."""
        self.slot_homes.close_all()
        self.roles.release_all()
        self.table.leave()
        others = [item for item in self.table.others() if item.is_live]
        chosen = self.rng.sample(others, min(FAREWELLS, len(others)))
        farewells = [gevent.spawn(self.prober.ping, item) for item in chosen]
        gevent.joinall(farewells, timeout=self.settings.peer.probe_timeout_s * 2)
        self.stop()

    def stop(self) -> None:
        """Stop at once, as a kill would."""
        gevent.killall(self._tasks, block=False)
        self.slot_homes.drop_all()
        self.roles.abandon()
        self.server.stop()
        self.clients.stop()
        self._stopped.set()

    def wait(self) -> None:
        """Wait until the agent has stopped."""
        self._stopped.wait()
