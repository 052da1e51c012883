"""What a crash report says at each stage of an answer, and of parts known before."""

import zlib
from bisect import bisect_right
from collections.abc import Collection
from dataclasses import replace

from chervilstall.ids import PartId
from chervilstall.quarantine.evidence import EvidenceLog
from chervilstall.quarantine.records import CrashReport, PartKey

STAGE_EVENTS = (2, 12)
"""Events of one target after which an answer has passed each stage but the last.

Most parts that crash targets do so at the first events. Sound answers pass the second
stage within about a second, while the last one takes their whole time.
"""

WHOLE = len(STAGE_EVENTS)
"""The last stage, which only a whole answer of the same targets passes."""

STAGES = range(WHOLE + 1)

REPORTED_PARTS_MAX = 2_048


def stage_after(events: int) -> int:
    """Return the stage that an answer has not passed after some events.

    >>> stage_after(1), stage_after(2), stage_after(40)
    (0, 1, 2)
    """
    return bisect_right(STAGE_EVENTS, events)


def report_at(report: CrashReport, stage: int) -> CrashReport:
    """Return the part of a report that is evidence at a stage."""
    if stage == 0:
        return report
    late = [each for each in report.late if stage_after(each.events) <= stage]
    parts = {part for request in late for part in request.parts}
    return replace(
        report,
        parts=tuple(sorted(parts.union(report.parts))),
        begun_parts=report.answered_parts,
        requests=(*report.requests, *late),
    )


def all_parts(report: CrashReport) -> Collection[PartKey]:
    """Return the parts and the requests that a report names at any stage."""
    whole = report_at(report, WHOLE)
    digests = (request.digest for request in whole.requests)
    return {PartKey(report.service, part) for part in (*whole.parts, *digests)}


def with_known_parts(
    report: CrashReport, begun: EvidenceLog, answered: EvidenceLog
) -> CrashReport:
    """Return a report with those of its parts that one router has seen answers with.

    `begun` and `answered` are its logs of the first and the last stage. Where callers
    named very many parts, those with which answers began are left out, and then some
    that differ from crash to crash.
    """

    def has_begun(part: PartId) -> bool:
        return begun.has_begun(PartKey(report.service, part))

    def rank(part: PartId) -> tuple[bool, int]:
        return has_begun(part), zlib.crc32(f"{report.crash} {part}".encode())

    parts = tuple(sorted(report.parts, key=rank)[:REPORTED_PARTS_MAX])
    whole_parts = report_at(report, WHOLE).parts[:REPORTED_PARTS_MAX]
    return replace(
        report,
        parts=parts,
        begun_parts=tuple(filter(has_begun, parts)),
        answered_parts=tuple(
            part
            for part in whole_parts
            if answered.has_begun(PartKey(report.service, part))
        ),
    )
