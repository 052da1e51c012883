"""Sound requests that routers of the model of quarantine refuse."""

from collections.abc import Sequence

from tests.support.quarantine_router import guarded_request
from tests.support.quarantine_sends import ModelRouter
from tests.support.quarantine_traffic import (
    POPULAR,
    PromptRequest,
    QuarantineCase,
    digest_of,
    first_part,
    middle_parts,
)

NONE: frozenset[str] = frozenset()


def refused_sound_requests(
    case: QuarantineCase, routers: Sequence[ModelRouter]
) -> set[tuple[str, str, int]]:
    """Return service, parts and router of the sound requests that are refused now."""
    refused = set()
    for service in case.services:
        for caller in range(case.callers):
            for middle in middle_parts():
                parts = (first_part(caller), middle)
                for digest in (digest_of(0), digest_of(POPULAR)):
                    request = PromptRequest(0, service, parts, NONE, NONE, digest)
                    guarded = guarded_request(request, case.has_prompts)
                    for router in routers:
                        if not router.guarded.may_send(guarded, False):
                            name = f"{digest} {parts}"
                            refused.add((service, name, router.index))
    return refused
