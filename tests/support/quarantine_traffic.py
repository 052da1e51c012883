"""Cases of the model of routers before targets that a part of a prompt crashes."""

import random
from dataclasses import dataclass

from chervilstall.quarantine.identity import REQUEST_PREFIX

WARM_UP_S = 6.0
"""Time of sound requests alone, before the first request with a crashing part."""

MIDDLE_PARTS = 6
POPULAR = "popular"
NO_PARTS: frozenset[str] = frozenset()


@dataclass(frozen=True)
class CrashingPart:
    """A part that crashes the targets of some services.

    `share` is the share of requests that hold it. Its callers are the first
    `callers` of the case. With `is_first` it comes before all other parts.
    """

    name: str
    share: float
    services: tuple[str, ...]
    callers: int
    is_first: bool = False


@dataclass(frozen=True)
class CrashingRequest:
    """A request that crashes each target of some services that begins to run it.

    `share` is the share of requests that are this one.
    """

    name: str
    share: float
    services: tuple[str, ...]


@dataclass(frozen=True)
class Burst:
    """Crashes of `count` targets for another cause, `interval_s` apart."""

    at_s: float
    count: int
    interval_s: float


@dataclass(frozen=True)
class QuarantineCase:
    """What happens in one run of the model.

    Routers whose index is below `late_routers` hear everything as late as the store
    may deliver. `cut_routers` are cut from the store once, `restarts` are killed and
    started again, and `joins` are added. The store is away from `store_away_s` to its
    second value; if `store_lost_s` is set, it comes back from a copy that old. With
    `has_same_id` a target keeps its id over a restart, and its entry tells the time of
    its start. With `has_new_caller` the last caller only begins after the warm-up. With
    `has_false_parts` the requests with a crashing part name the parts of other callers
    beside it. `first_event_s` bounds the time from a request's arrival to its first
    event. Requests with a crashing part come from `crashing_from_s` on. Before that the
    share `sound_before` of all requests names the first such part and is answered. With
    `moves_at_s` all requests are for the first service before it, then for the second.
    Without `has_prompts` requests name no parts, and their first event is the whole
    answer. With a crashing part, a target crashes after `events_before_crash` of its
    events. The share `popular` of all requests is one and the same sound one.
    """

    routers: int
    targets: int
    rate_per_s: float
    callers: int
    crashing: tuple[CrashingPart, ...]
    services: tuple[str, ...] = ("drafts",)
    bursts: tuple[Burst, ...] = ()
    restart_s: float = 3.2
    first_event_s: tuple[float, float] = (0.05, 0.6)
    late_routers: int = 0
    cut_routers: int = 0
    restarts: int = 0
    joins: int = 0
    store_away_s: tuple[float, float] | None = None
    store_lost_s: float | None = None
    has_new_caller: bool = False
    has_same_id: bool = True
    has_false_parts: bool = False
    repeat_ratio: float = 0.5
    crashing_from_s: float = WARM_UP_S
    sound_before: float = 0.0
    moves_at_s: float | None = None
    duration_s: float = 30.0
    crashing_requests: tuple[CrashingRequest, ...] = ()
    has_prompts: bool = True
    popular: float = 0.0
    attempts_max: int = 2
    events_before_crash: int = 0


@dataclass(frozen=True)
class PromptRequest:
    """A caller's request: its service, and the parts that others may share.

    `digest` stands for the request as a whole. `crashing` are those of its parts that
    crash the targets of its service, or its digest, and `harmless` those that crash
    only the targets of others. `attempt` is 0 for a caller's first attempt.
    """

    number: int
    service: str
    parts: tuple[str, ...]
    crashing: frozenset[str]
    harmless: frozenset[str]
    digest: str
    attempt: int = 0


def digest_of(name: object) -> str:
    """Return the digest of a request that has a name in the model."""
    return f"{REQUEST_PREFIX}{name}"


def first_part(caller: int) -> str:
    """Return the part with which all requests of a caller begin."""
    return f"caller-{caller}"


def middle_parts() -> list[str]:
    """Return the parts that requests of all callers share."""
    return [f"middle-{number}" for number in range(MIDDLE_PARTS)]


def sound_parts(rng: random.Random, caller: int) -> list[str]:
    """Return the shared parts of a sound request of a caller, in order."""
    return [first_part(caller), *rng.sample(middle_parts(), rng.randint(1, 3))]


def _with_false_parts(
    rng: random.Random, case: QuarantineCase, parts: list[str]
) -> list[str]:
    others = [first_part(caller) for caller in range(case.callers)]
    return [*parts, *rng.sample(others, rng.randint(1, min(3, len(others))))]


def draw_request(
    rng: random.Random, case: QuarantineCase, number: int, at_s: float
) -> PromptRequest:
    """Draw the parts of the request that comes at `at_s`.

    The callers are drawn evenly. A request that is crashing as a whole, or popular, has
    the same parts each time. A part that is crashing to one service only is held by
    requests to all services, and by those to the others from the start.
    """
    service = rng.choice(case.services)
    if case.moves_at_s is not None:
        service = case.services[at_s >= case.moves_at_s]
    for known in case.crashing_requests:
        if at_s >= case.crashing_from_s and rng.random() < known.share:
            digest = digest_of(known.name)
            crashing = frozenset({digest} if service in known.services else ())
            parts = (first_part(0), f"own-{known.name}")
            return PromptRequest(number, service, parts, crashing, NO_PARTS, digest)
    if case.popular and rng.random() < case.popular:
        digest = digest_of(POPULAR)
        parts = (first_part(0),)
        return PromptRequest(number, service, parts, NO_PARTS, NO_PARTS, digest)
    is_new_away = case.has_new_caller and at_s < WARM_UP_S
    caller = rng.randrange(case.callers - is_new_away)
    held: list[CrashingPart] = []
    for part in case.crashing:
        is_early = at_s < case.crashing_from_s and service in part.services
        if not is_early and rng.random() < part.share:
            held.append(part)
            caller = rng.randrange(part.callers)
    parts = sound_parts(rng, caller)
    if held and case.has_false_parts:
        parts = _with_false_parts(rng, case, parts)
    for part in held:
        first = 0 if part.is_first else rng.randint(1, len(parts))
        parts.insert(first, part.name)
    if case.sound_before and at_s < case.crashing_from_s:
        if rng.random() < case.sound_before:
            parts.insert(1, case.crashing[0].name)
        return PromptRequest(
            number, service, tuple(parts), NO_PARTS, NO_PARTS, digest_of(number)
        )
    crashing = frozenset(part.name for part in held if service in part.services)
    names = frozenset(part.name for part in held)
    return PromptRequest(
        number, service, tuple(parts), crashing, names - crashing, digest_of(number)
    )
