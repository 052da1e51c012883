"""Settings of connections to targets."""

from dataclasses import dataclass

from chervilstall.settings.option import option


@dataclass(frozen=True)
class TargetSettings:
    """Section `target`: timeouts of connections to targets."""

    connect_timeout_s: float = option(
        "Timeout of a TCP connect.", 0.5, unit="s", minimum=0.01
    )
    first_event_timeout_s: float = option(
        "Timeout of an engine accepting a request.", 1.0, unit="s", minimum=0.01
    )
    silence_timeout_s: float = option(
        "Time without data after which a stream may be resumed elsewhere.",
        1.0,
        unit="s",
        minimum=0.01,
    )
    service_timeout_s: float = option(
        "Timeout of a call to a plain service.", 2.0, unit="s", minimum=0.01
    )
    poll_interval_s: float = option(
        "Time between polls of a target's load and cache events.",
        0.5,
        unit="s",
        minimum=0.02,
    )
    connection_age_max_s: float = option(
        "Age at which a pooled connection is closed.", 30.0, unit="s", minimum=1.0
    )
