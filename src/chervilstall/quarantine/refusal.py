"""The refusal of requests that crash targets, as a whole or by their prompts."""

from collections.abc import Iterable

from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.ids import PartId, ServiceName
from chervilstall.quarantine.identity import is_request
from chervilstall.quarantine.prompts import PromptQuarantine

QUARANTINE_RETRY_S = 60.0


def check_parts(
    quarantine: PromptQuarantine,
    service: ServiceName,
    parts: Iterable[PartId],
    may_have_run: bool,
    has_begun: bool = False,
) -> None:
    """Raise ChervilstallError for a request that may crash its next target.

    Where an earlier attempt `may_have_run`, the error does not say that the request did
    not. Such a request is also refused if it may have crashed the earlier target and
    its answer has not begun.
    """
    part = quarantine.refused_part(service, parts)
    if part is not None:
        what = "the request" if is_request(part) else f"part {part} of the prompt"
        reason = f"{what} crashes targets"
        if may_have_run:
            raise ChervilstallError(ErrorKind.OUTCOME_UNKNOWN, reason)
        raise ChervilstallError(
            ErrorKind.PROMPT_QUARANTINED, reason, QUARANTINE_RETRY_S
        )
    if may_have_run and not has_begun and quarantine.is_suspect(service, parts):
        reason = "the request may have crashed its target"
        raise ChervilstallError(ErrorKind.OUTCOME_UNKNOWN, reason)
