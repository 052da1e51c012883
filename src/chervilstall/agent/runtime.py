"""The runtime of one agent: its components, built from the settings."""

import random
from dataclasses import dataclass

import gevent
from gevent.event import Event

from chervilstall.agent.claims import SlotHomes
from chervilstall.agent.distribution import SettingsDistributor
from chervilstall.agent.limits import LimitGroups
from chervilstall.agent.roles import RoleKind, RoleManager, RoleName
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

# Members that a leaving agent tells directly; gossip informs the others.
LEAVE_NOTICES = 3
VM_LIST_RETRY_S = 0.5


@dataclass(frozen=True)
class AgentSettings:
    """All settings sections of an agent."""

    vm: VmSettings
    store: StoreSettings = StoreSettings()
    peer: PeerSettings = PeerSettings()
    operators: OperatorSettings = OperatorSettings()
    lease: LeaseSettings = LeaseSettings()
    idempotency: IdempotencySettings = IdempotencySettings()
    limits: LimitSettings = LimitSettings()
    metrics: MetricsSettings = MetricsSettings()


class AgentRuntime:
    """The components of one agent.

    `store` and `vm_list` are clients of the platform. Several agents may run in one
    process, each on its own address; tests and measurements do so.
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
        self._is_draining = False

    def start(self) -> None:
        """Bind the peer listener, build the components and start their greenlets."""
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
        self.slot_homes = SlotHomes(
            self.store,
            self.table,
            self.clients,
            self.settings.idempotency,
            self.settings.lease,
        )
        self.limits = LimitGroups(
            self.table, self.clients, self.settings.limits, self.settings.lease
        )
        self.roles = RoleManager(
            self.store,
            self.table,
            self.settings.lease,
            self._on_role_gained,
            self._on_role_lost,
            self.rng,
        )
        self.distributor = SettingsDistributor(
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
            gevent.spawn(self.distributor.poll_parent),
            gevent.spawn(self.distributor.watch_store),
            gevent.spawn(self.distributor.poll_vm_list),
            gevent.spawn(self.distributor.publish_watermark),
        ]

    def _read_first_vm_list(self) -> None:
        while True:
            try:
                self.distributor.read_vm_list()
                return
            except StoreFailed:
                if self.table.others():
                    return
                gevent.sleep(VM_LIST_RETRY_S * self.rng.uniform(0.5, 1.5))

    def _on_tree(self, tree: Tree) -> None:
        self.limits.update(tree)

    def _on_role_gained(self, role: RoleName, term: LeaseTerm) -> None:
        match role.kind:
            case RoleKind.SLOT:
                self.slot_homes.on_role_gained(role, term)
            case RoleKind.LIMITS:
                self.limits.on_role_gained(role, term)
            case RoleKind.RELAY:
                return

    def _on_role_lost(self, role: RoleName) -> None:
        match role.kind:
            case RoleKind.SLOT:
                self.slot_homes.on_role_lost(role)
            case RoleKind.LIMITS:
                self.limits.on_role_lost(role)
            case RoleKind.RELAY:
                return

    def answer(self, message: Message) -> Message:
        """Handle one request of a peer or of a router on this VM."""
        match message:
            case Ping():
                return self.prober.answer_ping(message)
            case IndirectPing():
                return self.prober.answer_indirect(message)
            case PullTree():
                return self.distributor.answer_pull(message)
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

    # Stopping

    def drain_and_stop(self) -> None:
        """Close the slot homes, release all roles, tell some members, and stop.

        Calls in progress are refused, so that their callers need not wait for their
        timeouts. Later calls do nothing.
        """
        if self._is_draining:
            return
        self._is_draining = True
        self.slot_homes.close_all()
        self.roles.release_all()
        self.table.leave()
        live_members = [item for item in self.table.others() if item.is_live]
        receivers = self.rng.sample(live_members, min(LEAVE_NOTICES, len(live_members)))
        notices = [gevent.spawn(self.prober.ping, item) for item in receivers]
        gevent.joinall(notices, timeout=self.settings.peer.probe_timeout_s * 2)
        self.server.finish()
        self.stop()

    def stop(self) -> None:
        """Stop at once without releasing roles, as if the process were killed."""
        gevent.killall(self._tasks, block=False)
        self.slot_homes.drop_all()
        self.roles.abandon()
        self.server.stop()
        self.clients.stop()
        self._stopped.set()

    def wait(self) -> None:
        """Wait until the agent has stopped."""
        self._stopped.wait()
