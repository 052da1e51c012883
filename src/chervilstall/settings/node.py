"""Settings of one VM of the router: location, listeners, store and bounds."""

from dataclasses import dataclass

from chervilstall.ids import VmId, ZoneName
from chervilstall.settings.option import Address


@dataclass(frozen=True)
class StoreAddress:
    """Address of the store, how long it keeps history, and its shortest lease."""

    address: Address
    history_s: float
    ttl_min_s: float


@dataclass(frozen=True)
class NodeBounds:
    """Bounds that the router has to keep.

    A draining target gets no new requests from `drain_s` after it announced that it
    leaves. A settings change is in force within `apply_s`. After SIGTERM the process
    may run for `grace_s`. In any window of `retry_window_s`, the whole fleet retries
    at most `retry_ratio` of a service's requests plus `retry_extra`. `is_fenced` says
    whether targets refuse orders with an old fencing token.
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
    """Contents of a VM's settings file.

    The ports from the first to the last of `ports` are free for the router's internal
    use. `link_mbps` is the rate of the VM's link in Mbit/s, `memory_mb` its memory and
    `descriptors_max` the number of descriptors that a process may open; each is 0 if it
    is not known.
    """

    vm: VmId
    zone: ZoneName
    host: str
    zones: tuple[ZoneName, ...]
    frontend_address: Address
    ready_address: Address
    ports: tuple[int, ...]
    store: StoreAddress
    bounds: NodeBounds
    link_mbps: int = 0
    memory_mb: int = 0
    descriptors_max: int = 0
