"""Passes the settings tree down to the agents, and reports up to the zone's root.

Holders of a relay role watch the store. The holder of a zone's relay role 0 is the
zone's root, and every other agent pulls from a parent in its zone: ordered by
rendezvous score, they form a tree of bounded fan-out below the root. A pull is a long
poll that waits at the parent for a newer revision, so a change reaches the leaves at
once. An agent whose parent does not respond pulls from another live member, of any
zone.
"""

import hashlib
import random
import time
from collections.abc import Callable

import gevent
import msgspec

from chervilstall.agent.roles import RoleKind, RoleManager, relay_role
from chervilstall.configuration.records import (
    HEAD_KEY,
    IN_FORCE_PREFIX,
    ZoneWatermark,
    decode_head,
    decode_watermark,
)
from chervilstall.configuration.replica import Replica
from chervilstall.configuration.watermark import (
    NodeReportTable,
    RouterReports,
    Watermark,
)
from chervilstall.configuration.writer import ConfigurationStore
from chervilstall.errors import ChervilstallError
from chervilstall.ids import Revision, VmId
from chervilstall.membership.table import MemberTable
from chervilstall.peer.messages import (
    MemberUpdate,
    Message,
    NodeReport,
    PullTree,
    TreeDelta,
    TreeWhole,
)
from chervilstall.peer.transport import PeerClientPool
from chervilstall.rendezvous import rendezvous_score
from chervilstall.settings.agents import PeerSettings
from chervilstall.settings.option import Address
from chervilstall.store.contract import (
    Store,
    StoreEntry,
    StoreFailed,
    VmList,
    VmRecord,
    WatchAnswer,
)
from chervilstall.tasks import run_forever
from chervilstall.telemetry.logs import ComponentLog

log = ComponentLog("settings")

WATCH_WAIT_S = 10.0
PULL_MARGIN_S = 1.0
ROLE_CHECK_INTERVAL_S = 0.1
RETRY_MIN_S = 0.05
RETRY_MAX_S = 1.0
PUBLISH_INTERVAL_S = 0.2
UNCONFIRMED_PUBLISH_INTERVAL_S = 2.0
"""Shortest time after a write until one with the same revision."""

ROUTER_NAME_SEPARATOR = "/"


def vm_list_digest(records: tuple[VmRecord, ...]) -> str:
    """Return a digest for comparing two VM lists."""
    return hashlib.blake2b(msgspec.json.encode(records), digest_size=8).hexdigest()


class SettingsDistributor:
    """Receives the settings tree, serves it to child agents, and passes reports up."""

    def __init__(
        self,
        store: Store,
        vm_list: VmList,
        table: MemberTable,
        roles: RoleManager,
        clients: PeerClientPool,
        settings: PeerSettings,
        replica: Replica,
        rng: random.Random | None = None,
    ) -> None:
        self.table = table
        self.roles = roles
        self.clients = clients
        self.settings = settings
        self.replica = replica
        self.reports = NodeReportTable()
        self.routers = RouterReports()
        self.watermark = Watermark()
        self._sent_reports: dict[VmId, NodeReport] = {}
        self._reports_sent_to: VmId | None = None
        self.failed_pulls = 0
        self.store_failures = 0
        self._store = store
        self._vm_list = vm_list
        self._reader = ConfigurationStore(store)
        self._rng = rng or random.Random()
        self._vm_records: tuple[VmRecord, ...] = ()
        self._vm_records_digest = vm_list_digest(())
        self._head_version = 0
        self._consecutive_failures = 0
        self._failed_parent: VmId | None = None
        self._published: ZoneWatermark | None = None
        self._published_at_s = float("-inf")

    # Receiving settings

    def poll_parent(self) -> None:
        """Long-poll the parent until killed; idle while this is the zone's root."""
        run_forever(log, self._poll_parent_once)

    def _poll_parent_once(self) -> None:
        if self._is_root():
            gevent.sleep(ROLE_CHECK_INTERVAL_S)
            return
        self._receive_or_back_off(self._pull)

    def watch_store(self) -> None:
        """Watch the store until killed; idle while this agent holds no relay role."""
        run_forever(log, self._watch_store_once)

    def _watch_store_once(self) -> None:
        if not self.roles.held_roles(RoleKind.RELAY):
            gevent.sleep(ROLE_CHECK_INTERVAL_S)
            return
        self._receive_or_back_off(self._watch_head)

    def _receive_or_back_off(self, receive: Callable[[], None]) -> None:
        try:
            receive()
            self._consecutive_failures = 0
        except ChervilstallError as error:
            self._consecutive_failures += 1
            log.debug("Could not receive settings: %s.", error)
            gevent.sleep(self._backoff_s())

    def _is_root(self) -> bool:
        name = relay_role(self.table.own.zone, 0)
        return name in [str(role) for role in self.roles.held_roles(RoleKind.RELAY)]

    def _backoff_s(self) -> float:
        backoff_max_s = min(
            RETRY_MAX_S, RETRY_MIN_S * 2 ** min(self._consecutive_failures, 10)
        )
        return self._rng.uniform(RETRY_MIN_S, max(RETRY_MIN_S, backoff_max_s))

    def _watch_head(self) -> None:
        try:
            answer = self._store.watch(HEAD_KEY, self._head_version, WATCH_WAIT_S)
            self._apply_head(answer)
        except StoreFailed:
            self.store_failures += 1
            # A member elsewhere may still reach the store or have a newer revision.
            self._pull_from(self._pick_member(), wait_s=0.0)
            raise

    def _apply_head(self, watch_answer: WatchAnswer) -> None:
        for entry in watch_answer.entries:
            head = decode_head(entry.value)
            tree = self._reader.read_tree(head)
            changes = tuple(change.to_tree_change() for change in head.changes)
            self.replica.advance(tree, changes)
            self._head_version = max(self._head_version, entry.version)

    def _pull(self) -> None:
        parent = self.parent()
        if parent is None or parent.vm == self._failed_parent:
            parent = self._pick_member()
        self._pull_from(parent, self.settings.pull_wait_s)

    def _pull_from(self, member: MemberUpdate | None, wait_s: float) -> None:
        address = self._pick_seed()
        if member is not None:
            address = member.address
        if address is None:
            gevent.sleep(RETRY_MAX_S)
            return
        reports = self._unsent_reports(member.vm if member is not None else None)
        request = PullTree(
            self.replica.revision, wait_s, reports, self._vm_records_digest
        )
        try:
            answer = self.clients.client(address).call(request, wait_s + PULL_MARGIN_S)
        except ChervilstallError:
            self.failed_pulls += 1
            self._reports_sent_to = None
            self._failed_parent = member.vm if member is not None else None
            raise
        self._sent_reports.update({report.vm: report for report in reports})
        if member is not None and member.vm != self._failed_parent:
            self._failed_parent = None
        if isinstance(answer, (TreeDelta, TreeWhole)):
            self.replica.apply(answer)
            if answer.vms is not None:
                self._apply_vm_list(answer.vms)

    def parent(self) -> MemberUpdate | None:
        """Return the member to pull from: the root or an inner node of the tree.

        Returns None for the root itself and while the zone has no known root.
        """
        own = self.table.own
        zone = own.zone
        members = self.table.live_members_in(zone)
        root = self.table.role_holder(relay_role(zone, 0))
        if root is None or root.zone != zone:
            return None
        others = [item for item in members if item.vm != root.vm]
        others.sort(key=lambda item: rendezvous_score(zone, item.vm))
        names = [item.vm for item in others]
        if own.vm not in names:
            return None
        index = names.index(own.vm) // self.settings.fan_out
        return root if index == 0 else others[index - 1]

    def _pick_member(self) -> MemberUpdate | None:
        own = self.table.own.vm
        others = [item for item in self.table.live_members() if item.vm != own]
        return self._rng.choice(others) if others else None

    def _pick_seed(self) -> Address | None:
        seeds = [
            address
            for address in self.settings.seeds
            if address.port != self.table.own.port
            or address.host != self.table.own.host
        ]
        return self._rng.choice(seeds) if seeds else None

    # Serving child agents

    def answer_pull(self, message: PullTree) -> Message:
        """Answer a pull, waiting up to `wait_s` for a newer revision.

        A child with an outdated VM list is answered at once, with the list.
        """
        self._merge_reports(message.reports)
        has_newer_list = message.vm_list_digest not in ("", self._vm_records_digest)
        wait_s = 0.0 if has_newer_list else min(message.wait_s, WATCH_WAIT_S)
        if self.replica.is_loaded or wait_s:
            self.replica.wait_above(message.revision, wait_s)
        answer = self.replica.changes_since(message.revision)
        if has_newer_list and self._vm_records:
            answer = msgspec.structs.replace(answer, vms=self._vm_records)
        return answer

    # Reports

    def _unsent_reports(self, parent: VmId | None) -> tuple[NodeReport, ...]:
        """Return the reports that `parent` has not received; all for a new parent."""
        if parent != self._reports_sent_to:
            self._reports_sent_to = parent
            self._sent_reports.clear()
        self.reports.merge([self._own_report()])
        return self.reports.changed_since(self._sent_reports)

    def _own_report(self) -> NodeReport:
        own = self.table.own
        revision = self.routers.lowest_revision(self.replica.revision)
        return NodeReport(own.vm, own.instance, revision)

    def _merge_reports(self, reports: tuple[NodeReport, ...]) -> None:
        """Merge reports of this VM's routers and of nodes in the zone.

        Other reports come from members that could not reach their parent. They are
        dropped, because passing them on could send them in a loop.
        """
        own = self.table.own
        zone_reports = []
        for report in reports:
            if report.vm.startswith(own.vm + ROUTER_NAME_SEPARATOR):
                self.routers.record(report)
                continue
            member = self.table.get(report.vm)
            if member is not None and member.update.zone == own.zone:
                zone_reports.append(report)
        self.reports.merge(zone_reports)

    # The VM list

    def read_vm_list(self) -> None:
        """Read and apply the VM list of the platform. Raises StoreFailed."""
        self._apply_vm_list(self._vm_list.list_vms())

    def _apply_vm_list(self, records: tuple[VmRecord, ...]) -> None:
        self._vm_records = records
        self._vm_records_digest = vm_list_digest(records)
        self.table.merge_vm_list(records)
        peer_addresses = {item.address for item in self.table.others()}
        self.clients.retain(peer_addresses | set(self.settings.seeds))

    def poll_vm_list(self) -> None:
        """Read the VM list while holding a relay role, until killed.

        The interval has 10 % jitter, so that relays do not read in step.
        """
        while True:
            if self.roles.held_roles(RoleKind.RELAY):
                try:
                    self.read_vm_list()
                except StoreFailed:
                    self.store_failures += 1
            gevent.sleep(self.settings.vm_list_interval_s * self._rng.uniform(0.9, 1.1))

    # The watermark

    def publish_watermark(self) -> None:
        """Write the zone's watermark to the store as its root, until killed."""
        run_forever(log, self._publish_once)

    def _publish_once(self) -> None:
        gevent.sleep(PUBLISH_INTERVAL_S)
        if not self._is_root():
            self._published = None
            return
        try:
            self._publish_if_changed()
        except StoreFailed:
            self.store_failures += 1

    def counted_nodes(self) -> set[VmId]:
        """Return the VMs that the watermark covers: listed or live in the zone."""
        zone = self.table.own.zone
        counted = {record.vm for record in self._vm_records if record.zone == zone}
        counted |= {update.vm for update in self.table.live_members_in(zone)}
        return counted

    def _publish_if_changed(self) -> None:
        self.reports.merge([self._own_report()])
        counted = self.counted_nodes()
        self.reports.retain(counted)
        revision = self.watermark.advance(self.reports, counted)
        now_s = time.monotonic()
        watermark_record = ZoneWatermark(
            self.table.own.zone,
            revision,
            len(counted),
            self.watermark.unconfirmed,
            0.0,
        )
        if watermark_record == self._published:
            return
        is_new_revision = (
            self._published is None or self._published.revision != revision
        )
        if (
            not is_new_revision
            and now_s - self._published_at_s < UNCONFIRMED_PUBLISH_INTERVAL_S
        ):
            return
        self._write_watermark(watermark_record)
        self._published = watermark_record
        self._published_at_s = now_s

    @staticmethod
    def _decode_watermark(entry: StoreEntry | None) -> ZoneWatermark | None:
        """Return the stored watermark, or None if there is none that can be read."""
        if entry is None:
            return None
        try:
            return decode_watermark(entry.value)
        except StoreFailed as error:
            log.warning("%s is written anew: %s.", entry.key, error)
            return None

    def _write_watermark(self, record: ZoneWatermark) -> None:
        key = IN_FORCE_PREFIX + record.zone
        entry = self._store.get(key)
        stored = self._decode_watermark(entry)
        if stored is not None and stored.revision > record.revision:
            # An earlier relay confirmed a higher revision, which stays in force.
            self.watermark.revision = Revision(stored.revision)
            return
        stamped = msgspec.structs.replace(record, at_s=time.time())
        self._store.put(key, msgspec.json.encode(stamped))
