"""What routers tell each other with a request that one of them forwards.

A router without links to targets forwards the request of its caller, with the caller's
headers, to the internal listener of another router, which serves it like one of its
own callers' and never forwards it again.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from chervilstall.errors import ErrorKind
from chervilstall.fleet.records import Target, TargetIncarnation
from chervilstall.ids import TargetId
from chervilstall.platform.headers import HeaderFields, ResponseHead

FORWARDING_KEY = "chervilstall.forwarding"
"""Environment key of the `Forwarding` of a request that another router sent."""

CONFIGURATION_HEADER = "Chervilstall-Configuration"
ATTEMPTS_HEADER = "Chervilstall-Attempts"
RESPONDER_HEADER = "Chervilstall-Responder"
"""Header of a response to another router: start and id of the target it comes from."""

UNABLE_HEADER = "Chervilstall-Unable"
"""Header of a refusal after which another router may still serve the request."""

UNABLE_KINDS = frozenset(
    {
        ErrorKind.TARGETS_OUT_OF_REACH,
        ErrorKind.SHUTTING_DOWN,
        ErrorKind.NOT_READY,
        # The other router's configuration may differ for a moment.
        ErrorKind.NOT_FOUND,
        ErrorKind.UNAUTHENTICATED,
    }
)
_NAMES = frozenset({CONFIGURATION_HEADER.lower(), ATTEMPTS_HEADER.lower()})


@dataclass(frozen=True)
class Forwarding:
    """What the forwarding router says of a request.

    `configuration_version` is that by which it took the request; a router that only
    knows an older one must not serve it. `attempts_max` is the number of targets that
    may still be sent the request.
    """

    configuration_version: int
    attempts_max: int

    @property
    def headers(self) -> HeaderFields:
        """Return the headers that carry this."""
        return (
            (CONFIGURATION_HEADER, str(self.configuration_version)),
            (ATTEMPTS_HEADER, str(self.attempts_max)),
        )


def read_forwarding(headers: Iterable[tuple[str, str]]) -> Forwarding:
    """Parse the headers of a forwarded request. Raises ValueError without them."""
    by_name = {name.lower(): value for name, value in headers}
    try:
        return Forwarding(
            int(by_name[CONFIGURATION_HEADER.lower()]),
            int(by_name[ATTEMPTS_HEADER.lower()]),
        )
    except KeyError as error:
        raise ValueError(f"the header {error} is missing") from error


def without_forwarding(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers that the caller sent."""
    return [each for each in headers if each[0].lower() not in _NAMES]


def is_unable(headers: HeaderFields) -> bool:
    """Return whether a response says that its router could not take the request."""
    return any(name.lower() == UNABLE_HEADER.lower() for name, _ in headers)


def name_responder(head: ResponseHead, target: Target) -> ResponseHead:
    """Return a target's response with the header that names it to another router."""
    responder = (RESPONDER_HEADER, f"{target.started_at_ms} {target.id}")
    return replace(head, headers=(*head.headers, responder))


def read_responder(headers: HeaderFields) -> TargetIncarnation | None:
    """Return the target that another router names, None where it names none."""
    by_name = {name.lower(): value for name, value in headers}
    started, _, target_id = by_name.get(RESPONDER_HEADER.lower(), "").partition(" ")
    try:
        return TargetIncarnation(TargetId(target_id), int(started))
    except ValueError:
        return None


def without_responder(head: ResponseHead) -> ResponseHead:
    """Return a response as its target sent it."""
    name = RESPONDER_HEADER.lower()
    fields = tuple(each for each in head.headers if each[0].lower() != name)
    return head if fields == head.headers else replace(head, headers=fields)
