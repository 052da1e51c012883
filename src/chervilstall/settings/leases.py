"""Settings of how roles are held by leases."""

from dataclasses import dataclass

from chervilstall.settings.option import option


@dataclass(frozen=True)
class LeaseSettings:
    """Section `lease`: how roles are held."""

    ttl_s: float = option("Life of a lease.", 6.0, unit="s", minimum=0.1)
    margin_s: float = option(
        "Time before the end at which a holder stops acting.",
        1.0,
        unit="s",
        minimum=0.01,
    )
    relays_per_zone: int = option("Relays per availability zone.", 2, minimum=1)
    slots: int = option(
        "Idempotency slots; the same on every VM for the life of the fleet.",
        9,
        minimum=1,
    )
    limit_groups: int = option("Limit holders; the same on every VM.", 4, minimum=1)
