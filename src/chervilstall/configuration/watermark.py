"""Tracks the revision up to which settings are in force in an availability zone.

Every node reports the revision that it and its routers apply. Reports are sent up the
tree of pulls, as part of the pull requests. The watermark of a zone is the lowest
revision over the nodes in the VM list and the live members of the zone. It never
decreases. A node that does not report keeps it from rising and is listed as
unconfirmed, so the watermark is never above what a counted node has confirmed.
"""

import time
from collections.abc import Iterable
from dataclasses import dataclass, field

from chervilstall.clock import Clock
from chervilstall.ids import Revision, VmId
from chervilstall.peer.messages import NodeReport

ROUTER_REPORT_TTL_S = 30.0


@dataclass
class NodeReportTable:
    """The newest report of this node and of each node below it in the pull tree.

    A report is not a heartbeat and does not expire: it is valid until the node reports
    a higher revision, or a new instance, which may start at a lower revision.
    Membership and the VM list decide whether a node is counted at all.
    """

    _reports: dict[VmId, NodeReport] = field(default_factory=dict)

    def merge(self, reports: Iterable[NodeReport]) -> None:
        """Merge reports, dropping those with no newer revision of the same instance."""
        for report in reports:
            known = self._reports.get(report.vm)
            if known is not None and known.instance == report.instance:
                if report.revision <= known.revision:
                    continue
            self._reports[report.vm] = report

    def retain(self, nodes: set[VmId]) -> None:
        """Remove the reports of all nodes except these."""
        for vm in set(self._reports) - nodes:
            del self._reports[vm]

    def reports(self) -> tuple[NodeReport, ...]:
        """Return every report."""
        return tuple(self._reports.values())

    def changed_since(self, sent: dict[VmId, NodeReport]) -> tuple[NodeReport, ...]:
        """Return the reports that differ from those sent earlier."""
        return tuple(
            report for vm, report in self._reports.items() if sent.get(vm) != report
        )

    def revision_of(self, vm: VmId) -> Revision | None:
        """Return the revision that a node reported, or None without a report."""
        report = self._reports.get(vm)
        return report.revision if report else None


@dataclass
class RouterReports:
    """Reports of this VM's routers; each expires after `ROUTER_REPORT_TTL_S`."""

    clock: Clock = time.monotonic
    _received: dict[VmId, tuple[NodeReport, float]] = field(default_factory=dict)

    def record(self, report: NodeReport) -> None:
        """Store a router's report with the time at which it arrived."""
        self._received[report.vm] = (report, self.clock())

    def lowest_revision(self, revision: Revision) -> Revision:
        """Return the lowest of `revision` and the unexpired reports' revisions."""
        oldest_s = self.clock() - ROUTER_REPORT_TTL_S
        for vm, (report, received_at_s) in list(self._received.items()):
            if received_at_s < oldest_s:
                del self._received[vm]
                continue
            revision = min(revision, report.revision)
        return revision


@dataclass
class Watermark:
    """The revision in force on every node of a set.

    >>> watermark = Watermark()
    >>> from chervilstall.ids import InstanceId
    >>> table = NodeReportTable()
    >>> table.merge([NodeReport(VmId("a"), InstanceId("1"), Revision(3))])
    >>> watermark.advance(table, {VmId("a")}), watermark.unconfirmed
    (3, ())
    """

    revision: Revision = Revision(0)
    unconfirmed: tuple[VmId, ...] = ()

    def advance(self, table: NodeReportTable, nodes: set[VmId]) -> Revision:
        """Recompute the watermark from the reports of `nodes` and return it.

        `unconfirmed` then lists the nodes below the highest reported revision,
        including those without a report. If `nodes` is empty, nothing changes.
        """
        revisions = {vm: table.revision_of(vm) or Revision(0) for vm in nodes}
        if not revisions:
            return self.revision
        highest = max(revisions.values())
        behind = [vm for vm, revision in revisions.items() if revision < highest]
        self.unconfirmed = tuple(sorted(behind))
        # A node without a report counts as revision 0, so the watermark can't rise.
        self.revision = max(self.revision, min(revisions.values()))
        return self.revision
