"""Up to which revision the settings are in force in a zone.

Every node reports the revision that it and its routers apply; reports travel up the
tree of pulls with the pulls themselves. The watermark of a zone is the lowest report
over the nodes that must be counted: those in the VM list and those heard of recently.
It never steps back. A node that does not report holds it where it is and is named,
so it never claims too much.
"""

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from chervilstall.ids import Revision, VmId
from chervilstall.peer.messages import NodeReport

ROUTER_LIFE_S = 30.0


@dataclass
class NodeReportTable:
    """The newest report of each node below this one.

    A report is state and not a heartbeat: it stands until the node reports a higher
    revision or a new instance, which may start lower. Whether a node has to be counted
    at all is for membership and the VM list to say.
    """

    _reports: dict[VmId, NodeReport] = field(default_factory=dict)

    def merge(self, reports: Iterable[NodeReport]) -> None:
        """Take in reports; an older revision of the same instance is dropped."""
        for report in reports:
            known = self._reports.get(report.vm)
            if known is not None and known.instance == report.instance:
                if report.revision <= known.revision:
                    continue
            self._reports[report.vm] = report

    def retain(self, nodes: set[VmId]) -> None:
        """Forget every node but these."""
        for vm in set(self._reports) - nodes:
            del self._reports[vm]

    def reports(self) -> tuple[NodeReport, ...]:
        """Return every report."""
        return tuple(self._reports.values())

    def changed_since(self, sent: dict[VmId, NodeReport]) -> tuple[NodeReport, ...]:
        """Return the reports that differ from those sent before."""
        return tuple(
            report for vm, report in self._reports.items() if sent.get(vm) != report
        )

    def revision_of(self, vm: VmId) -> Revision | None:
        """Return the revision that a node reported, or None."""
        report = self._reports.get(vm)
        return report.revision if report else None


@dataclass
class RouterReports:
    """Reports of this VM's routers; one not heard of for a while is gone."""

    clock: Callable[[], float] = time.monotonic
    _heard: dict[VmId, tuple[NodeReport, float]] = field(default_factory=dict)

    def record(self, report: NodeReport) -> None:
        """Take in a router's report."""
        self._heard[report.vm] = (report, self.clock())

    def lowest_revision(self, revision: Revision) -> Revision:
        """Return the lowest of a revision and those that live routers report."""
        oldest_s = self.clock() - ROUTER_LIFE_S
        for vm, (report, heard_at_s) in list(self._heard.items()):
            if heard_at_s < oldest_s:
                del self._heard[vm]
                continue
            revision = min(revision, report.revision)
        return revision


@dataclass
class Watermark:
    """The revision in force over a set of nodes.

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
        """Take in the present reports of `nodes` and return the watermark.

        Nodes without a report are unconfirmed. With none to count, nothing changes.
        """
        revisions = {vm: table.revision_of(vm) or Revision(0) for vm in nodes}
        if not revisions:
            return self.revision
        highest = max(revisions.values())
        behind = [vm for vm, revision in revisions.items() if revision < highest]
        self.unconfirmed = tuple(sorted(behind))
        # A node without a report counts as revision 0 and holds the watermark.
        self.revision = max(self.revision, min(revisions.values()))
        return self.revision
