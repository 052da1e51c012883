"""What a router says of the parts in a report of a crash."""

import zlib
from collections.abc import Callable
from dataclasses import replace

from chervilstall.ids import PartId
from chervilstall.quarantine.records import CrashReport, Stage

REPORTED_PARTS_MAX = 2_048

HasPassed = Callable[[Stage, PartId], bool]
"""Whether the router has seen an answer with a part pass a stage."""


def with_known_parts(report: CrashReport, has_passed: HasPassed) -> CrashReport:
    """Return a report that says with which of its parts answers passed a stage.

    Where callers named very many, those with which answers began are left out, and then
    some that differ from crash to crash.
    """

    def rank(part: PartId) -> tuple[bool, int]:
        digest = zlib.crc32(f"{report.crash} {part}".encode())
        return has_passed(Stage.BEGUN, part), digest

    parts = tuple(sorted(report.parts, key=rank)[:REPORTED_PARTS_MAX])
    later_parts = report.of_later_requests().parts
    return replace(
        report,
        parts=parts,
        begun_parts=tuple([part for part in parts if has_passed(Stage.BEGUN, part)]),
        ended_parts=tuple(
            [part for part in later_parts if has_passed(Stage.ENDED, part)]
        ),
    )
