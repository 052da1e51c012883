"""Settings of one VM of the router: where it is, what it serves, and its bounds."""

from dataclasses import dataclass

from chervilstall.ids import VmId, ZoneName
from chervilstall.settings.option import Address


@dataclass(frozen=True)
class StoreAddress:
    """Where the store is, how long it keeps history, and its shortest lease."""

    address: Address
    history_s: float
    ttl_min_s: float


@dataclass(frozen=True)
class NodeBounds:
    """Bounds that the router keeps.

    A target that is leaving gets nothing `drain_s` after it said so. A change is in
    force within `apply_s`. After SIGTERM the process has `grace_s`. In any window of
    `retry_window_s` the whole fleet sends a service at most `retry_ratio` of its
    requests plus `retry_extra` once more. `is_fenced` says whether targets refuse
    orders with an old fencing token.
    """

    drain_s: float
    grace_s: float
    apply_s: float
    retry_ratio: float
    retry_window_s: float
    retry_extra: float
    is_fenced: bool


@dataclass(frozen=True)
class NodeSettings:
    """Everything that the settings file of a VM says. `ports` are free for own use."""

    vm: VmId
    zone: ZoneName
    host: str
    zones: tuple[ZoneName, ...]
    frontend_address: Address
    ready_address: Address
    ports: tuple[int, ...]
    store: StoreAddress
    bounds: NodeBounds
