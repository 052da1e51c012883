"""Settings of the leases by which agents hold roles."""

from dataclasses import dataclass

from chervilstall.settings.option import option


@dataclass(frozen=True)
class LeaseSettings:
    """Section `lease`: the leases of roles, and how many roles there are."""

    ttl_s: float = option("Time to live of a lease.", 6.0, unit="s", minimum=0.1)
    margin_s: float = option(
        "Time before a lease's expiry at which its holder stops acting.",
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
    limit_groups: int = option(
        "Groups into which limits are divided, each with one holder; "
        "the same on every VM.",
        4,
        minimum=1,
    )
