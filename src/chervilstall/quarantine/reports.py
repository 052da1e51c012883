"""What a router adds to its report of a crash."""

import zlib
from dataclasses import replace

from chervilstall.ids import PartId
from chervilstall.quarantine.evidence import EvidenceLog
from chervilstall.quarantine.records import AnswerStage, CrashReport, PartKey

REPORTED_PARTS_MAX = 2_048


def with_known_parts(
    report: CrashReport, begun: EvidenceLog, settled: EvidenceLog
) -> CrashReport:
    """Return a report with those of its parts that a router has seen answers with.

    Where callers named very many parts, those with which answers began are left out,
    and then some that differ from crash to crash.
    """

    def has_begun(part: PartId) -> bool:
        return begun.has_begun(PartKey(report.service, part))

    def rank(part: PartId) -> tuple[bool, int]:
        return has_begun(part), zlib.crc32(f"{report.crash} {part}".encode())

    parts = tuple(sorted(report.parts, key=rank)[:REPORTED_PARTS_MAX])
    unsettled_parts = report.at_stage(AnswerStage.SETTLED).parts
    return replace(
        report,
        parts=parts,
        begun_parts=tuple(filter(has_begun, parts)),
        settled_parts=tuple(
            part
            for part in unsettled_parts[:REPORTED_PARTS_MAX]
            if settled.has_begun(PartKey(report.service, part))
        ),
    )
