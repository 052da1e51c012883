"""Drawn cases of the model of quarantine, by the rows of its feature."""

import random

from tests.support.quarantine_traffic import (
    WARM_UP_S,
    Burst,
    CrashingPart,
    CrashingRequest,
    QuarantineCase,
)

SHARES = (0.02, 0.05, 0.1, 0.2, 0.4)
REQUEST = "one"
OTHER_REQUEST = "another"
SERVICE = "drafts"
OTHER_SERVICE = "summaries"
PART = "crashing"
OTHER_PART = "crashing-too"
LOOKUP_PREFIX = "a crashing lookup and "
"""Rows that begin so are played with a small plain service."""


def draw_size(rng: random.Random, routers: int) -> dict[str, object]:
    """Return the fields of a case that depend on the number of routers."""
    if routers < 10:
        return {
            "routers": routers,
            "targets": rng.choice((8, 12, 16)),
            "rate_per_s": 40.0,
            "callers": rng.randint(2, 5),
        }
    return {
        "routers": routers,
        "targets": rng.choice((24, 40, 70)),
        "rate_per_s": 100.0,
        "callers": rng.randint(3, 12),
    }


def draw_crashing_part(
    rng: random.Random, callers: int, name: str = PART, **changes: object
) -> CrashingPart:
    """Return a crashing part with a drawn share and number of callers."""
    fields: dict = {
        "name": name,
        "share": rng.choice(SHARES),
        "services": (SERVICE,),
        "callers": rng.choice((1, callers)),
    }
    return CrashingPart(**{**fields, **changes})


def draw_crashing_request(
    rng: random.Random, name: str = REQUEST, services: tuple[str, ...] = (SERVICE,)
) -> CrashingRequest:
    """Return a crashing request with a drawn share."""
    return CrashingRequest(name, rng.choice(SHARES), services)


def lookup_changes(rng: random.Random, routers: int) -> dict[str, object]:
    """Return the changes to a drawn case of a small plain service."""
    return {
        "targets": rng.choice((3, 4)) if routers < 10 else rng.choice((4, 8)),
        "rate_per_s": 12.0 if routers < 10 else 30.0,
        "callers": 2,
        "first_event_s": rng.choice(((0.02, 0.06), (0.05, 0.1), (0.1, 0.3))),
        "has_prompts": False,
        "duration_s": 60.0,
        "crashing": (),
        "crashing_requests": (draw_crashing_request(rng),),
    }


def draw_burst(rng: random.Random, targets: int, interval_s: float) -> Burst:
    """Return crashes of a third to all of the targets, as many as fit in 10 s."""
    count = rng.randint(targets // 3, targets)
    if interval_s:
        count = min(count, int(10.0 / interval_s))
    return Burst(WARM_UP_S + rng.uniform(0.0, 4.0), count, interval_s)


def case_changes(
    rng: random.Random, case: str, targets: int, callers: int
) -> dict[str, object]:
    """Return the changes to a drawn case that a row of the feature names."""
    match case:
        case "a part that comes first":
            return {"crashing": (draw_crashing_part(rng, callers, is_first=True),)}
        case "two crashing parts":
            parts = (PART, OTHER_PART)
            return {
                "crashing": tuple(
                    draw_crashing_part(rng, callers, part) for part in parts
                )
            }
        case "a part that crashes one service only":
            return {"services": (SERVICE, OTHER_SERVICE)}
        case "a burst of other crashes":
            return {"crashing": (), "bursts": (draw_burst(rng, targets, 0.0),)}
        case "crashes one after the other":
            interval_s = rng.choice((0.2, 0.5, 1.0))
            return {"crashing": (), "bursts": (draw_burst(rng, targets, interval_s),)}
        case "crashes while a caller is new":
            interval_s = rng.choice((0.2, 0.5, 1.0))
            return {
                "crashing": (),
                "bursts": (draw_burst(rng, targets, interval_s),),
                "has_new_caller": True,
                "duration_s": 60.0,
            }
        case "other crashes beside it":
            interval_s = rng.choice((0.0, 0.5))
            return {"bursts": (draw_burst(rng, targets // 2, interval_s),)}
        case "restarts":
            return {"restarts": rng.randint(1, 6)}
        case "routers that join":
            return {"joins": rng.randint(1, 6)}
        case "routers that hear late":
            return {"late_routers": 3}
        case "routers cut from the store":
            return {"cut_routers": rng.randint(1, 4)}
        case "the store away":
            first_s = rng.uniform(WARM_UP_S - 2.0, WARM_UP_S + 4.0)
            return {"store_away_s": (first_s, first_s + rng.uniform(1.0, 8.0))}
        case "the store back from an old copy":
            first_s = rng.uniform(WARM_UP_S, WARM_UP_S + 6.0)
            last_s = first_s + rng.uniform(0.2, 2.0)
            return {
                "store_away_s": (first_s, last_s),
                "store_lost_s": rng.uniform(1.0, 5.0),
            }
        case "callers that name false parts":
            return {"has_false_parts": True}
        case "many repeats":
            return {"repeat_ratio": 1.0}
        case "a long day":
            return {"duration_s": 120.0, "restarts": 3}
        case "a part that comes with the first requests":
            return {"crashing_from_s": 0.0}
        case "a part that was harmless before":
            return {"sound_before": rng.choice((0.01, 0.05, 0.3))}
        case "a move to another service":
            services = (SERVICE, OTHER_SERVICE)
            part = draw_crashing_part(rng, callers, services=services)
            moves_at_s = WARM_UP_S + rng.uniform(4.0, 14.0)
            return {
                "services": services,
                "crashing": (part,),
                "moves_at_s": moves_at_s,
            }
        case "a crashing draft":
            return {"crashing": (), "crashing_requests": (draw_crashing_request(rng),)}
        case "a crashing draft beside a crashing part":
            return {"crashing_requests": (draw_crashing_request(rng),)}
        case "a part that crashes in the middle of answers":
            return {"events_before_crash": rng.choice((2, 3, 5, 9))}
        case "a part that crashes in the middle of answers, and other crashes":
            interval_s = rng.choice((0.0, 0.5))
            return {
                "events_before_crash": rng.choice((2, 3, 5, 9)),
                "bursts": (draw_burst(rng, targets // 2, interval_s),),
            }
        case "slow answers":
            return {"first_event_s": (0.5, 2.5)}
    return {}


def lookup_case_changes(rng: random.Random, case: str) -> dict[str, object]:
    """Return the changes to lookups with a crashing one that a row names."""
    match case:
        case "sent at most once":
            return {"attempts_max": 1}
        case "a popular sound one beside it":
            return {"popular": rng.choice((0.05, 0.3))}
        case "other crashes beside it":
            return {"bursts": (Burst(WARM_UP_S + rng.uniform(0.0, 8.0), 2, 0.7),)}
        case "no crashing one, but a popular one and crashes":
            burst_s = WARM_UP_S + rng.uniform(0.0, 4.0)
            return {
                "crashing_requests": (),
                "popular": rng.choice((0.05, 0.3, 0.6)),
                "bursts": (Burst(burst_s, 4, rng.choice((0.0, 0.02, 0.2, 1.0))),),
            }
        case "two crashing ones":
            names = (REQUEST, OTHER_REQUEST)
            requests = [draw_crashing_request(rng, name) for name in names]
            return {"crashing_requests": tuple(requests)}
        case "a move to another service":
            services = (SERVICE, OTHER_SERVICE)
            return {
                "services": services,
                "targets": 8,
                "crashing_requests": (draw_crashing_request(rng, services=services),),
                "moves_at_s": WARM_UP_S + rng.uniform(4.0, 14.0),
            }
    return case_changes(rng, case, targets=4, callers=3)


def draw_case(seed: int, case: str) -> tuple[QuarantineCase, random.Random]:
    """Return the case of a seed, and the generator with which to play it.

    One seed in three draws 77 routers, the others 6.
    """
    rng = random.Random(seed)
    fields = draw_size(rng, 6 if seed % 3 else 77)
    callers = fields["callers"]
    assert isinstance(callers, int)
    targets = fields["targets"]
    assert isinstance(targets, int)
    fields["crashing"] = (draw_crashing_part(rng, callers),)
    fields["has_same_id"] = rng.random() < 0.5
    fields["first_event_s"] = rng.choice(((0.05, 0.3), (0.1, 0.6), (0.3, 1.5)))
    plain = case.removeprefix(LOOKUP_PREFIX)
    if plain != case:
        routers = fields["routers"]
        assert isinstance(routers, int)
        fields.update(lookup_changes(rng, routers))
        fields.update(lookup_case_changes(rng, plain))
    else:
        fields.update(case_changes(rng, case, targets, callers))
    return QuarantineCase(**fields), rng  # type: ignore[arg-type]
