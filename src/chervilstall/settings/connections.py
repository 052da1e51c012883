"""Settings of connections to targets."""

from dataclasses import dataclass

from chervilstall.settings.option import option


@dataclass(frozen=True)
class TargetSettings:
    """Section `target`: deadlines on connections to targets."""

    connect_timeout_s: float = option(
        "Longest TCP connect.", 0.5, unit="s", minimum=0.01
    )
    first_event_timeout_s: float = option(
        "Longest silence before the engine accepts.", 1.0, unit="s", minimum=0.01
    )
    silence_timeout_s: float = option(
        "Longest silence inside a stream before it is resumed elsewhere.",
        1.0,
        unit="s",
        minimum=0.01,
    )
    service_timeout_s: float = option(
        "Longest wait for a plain service.", 2.0, unit="s", minimum=0.01
    )
    poll_interval_s: float = option(
        "Time between reads of a target's load and cache events.",
        0.5,
        unit="s",
        minimum=0.02,
    )
    connection_age_max_s: float = option(
        "Age at which a pooled connection is retired.", 30.0, unit="s", minimum=1.0
    )
