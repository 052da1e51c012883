"""The refusal of requests that crash targets, as a whole or by their prompts."""

from collections.abc import Iterable

from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.ids import PartId, ServiceName
from chervilstall.quarantine.identity import is_request
from chervilstall.quarantine.prompts import PromptQuarantine
from chervilstall.quarantine.records import Stage

QUARANTINE_RETRY_S = 60.0


def check_parts(
    quarantine: PromptQuarantine,
    service: ServiceName,
    parts: Iterable[PartId],
    may_have_run: bool,
    stage: Stage = Stage.BEGUN,
) -> None:
    """Raise ChervilstallError for a request that may crash its next target.

    For one whose answer has passed an earlier `stage`, other evidence doesn't count.

    Where an earlier attempt `may_have_run`, the error does not say that the request did
    not. Such a request is also refused if it may have crashed the earlier target.
    """
    part = quarantine.refused_part(service, parts, stage)
    if part is not None:
        what = "the request" if is_request(part) else f"part {part} of the prompt"
        reason = f"{what} crashes targets"
        if may_have_run:
            raise ChervilstallError(ErrorKind.OUTCOME_UNKNOWN, reason)
        raise ChervilstallError(
            ErrorKind.PROMPT_QUARANTINED, reason, QUARANTINE_RETRY_S
        )
    if stage is not Stage.BEGUN:
        return
    if may_have_run and quarantine.is_suspect(service, parts):
        reason = "the request may have crashed its target"
        raise ChervilstallError(ErrorKind.OUTCOME_UNKNOWN, reason)
