"""Decoding of the settings file that the platform writes to each VM."""

from pathlib import Path

import msgspec

from chervilstall.ids import VmId, ZoneName
from chervilstall.settings.node import NodeBounds, NodeSettings, StoreAddress
from chervilstall.settings.option import Address, parse_address
from chervilstall.settings.problems import InvalidSettings, SettingsErrorCollector


class _Listen(msgspec.Struct):
    frontend: str = ""
    ready: str = ""


class _Platform(msgspec.Struct, rename="kebab"):
    address: str = ""
    history_s: float = 20.0
    ttl_min_ms: float = 1000.0


class _Bounds(msgspec.Struct, rename="kebab"):
    drain_ms: float = 2000.0
    grace_s: float = 8.0
    config_apply_ms: float = 2000.0
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    retry_min_extra: float = 0.0
    fencing_enforced: bool = False


class _Limits(msgspec.Struct, rename="kebab"):
    link_mbps: float = 0.0
    memory_mb: float = 0.0
    max_fds: int = 0


class _Node(msgspec.Struct, rename="kebab"):
    node_name: str = ""
    zone: str = ""
    ip: str = ""
    zones: dict[str, str] = {}
    listen: _Listen = msgspec.field(default_factory=_Listen)
    internal_ports: list[int] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    platform: _Platform = msgspec.field(default_factory=_Platform)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


def _address(collector: SettingsErrorCollector, name: str, text: str) -> Address:
    try:
        return parse_address(text)
    except ValueError:
        collector.add("node", name, text, "host:port")
        return Address("", 0)


def _required_text(collector: SettingsErrorCollector, name: str, value: str) -> str:
    if not value:
        collector.add("node", name, value, "text")
    return value


def _positive(collector: SettingsErrorCollector, name: str, value: float) -> float:
    if not value > 0:
        collector.add("node", name, str(value), "a number above 0")
    return value


def _limit(collector: SettingsErrorCollector, name: str, value: float) -> int:
    """Return a limit of the VM; 0 if the platform names none."""
    if not 0 <= value < float("inf"):
        collector.add("node", name, str(value), "a number, at least 0")
        return 0
    return int(value)


def read_node(path: Path) -> NodeSettings:
    """Read the settings file. Raises InvalidSettings with all errors at once."""
    return decode_node(path.read_bytes(), path.name)


def decode_node(content: bytes, source: str) -> NodeSettings:
    """Decode the content of the settings file. Unknown fields are ignored.

    `source` names the file in errors. Raises InvalidSettings with all errors at once.
    """
    collector = SettingsErrorCollector(source)
    try:
        node = msgspec.json.decode(content, type=_Node)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        collector.add("node", "", "", f"a readable file: {error}")
        raise InvalidSettings("invalid settings", collector.errors) from error
    settings = NodeSettings(
        vm=VmId(_required_text(collector, "node-name", node.node_name)),
        zone=ZoneName(_required_text(collector, "zone", node.zone)),
        host=node.ip,
        zones=tuple(ZoneName(name) for name in node.zones),
        frontend_address=_address(collector, "listen.frontend", node.listen.frontend),
        ready_address=_address(collector, "listen.ready", node.listen.ready),
        ports=tuple(node.internal_ports),
        store=StoreAddress(
            _address(collector, "platform.address", node.platform.address),
            node.platform.history_s,
            node.platform.ttl_min_ms / 1e3,
        ),
        bounds=_bounds(collector, node.bounds),
        link_mbps=int(node.limits.link_mbps),
        memory_mb=_limit(collector, "limits.memory-mb", node.limits.memory_mb),
        descriptors_max=_limit(collector, "limits.max-fds", node.limits.max_fds),
    )
    if collector.errors:
        raise InvalidSettings("invalid settings", collector.errors)
    return settings


def _bounds(collector: SettingsErrorCollector, bounds: _Bounds) -> NodeBounds:
    return NodeBounds(
        drain_s=_positive(collector, "bounds.drain-ms", bounds.drain_ms) / 1e3,
        grace_s=_positive(collector, "bounds.grace-s", bounds.grace_s),
        apply_s=_positive(collector, "bounds.config-apply-ms", bounds.config_apply_ms)
        / 1e3,
        retry_ratio=bounds.retry_budget_ratio,
        retry_window_s=_positive(
            collector, "bounds.budget-window-s", bounds.budget_window_s
        ),
        retry_extra=bounds.retry_min_extra,
        is_fenced=bounds.fencing_enforced,
    )
