"""Entries of targets in the store, and the calls that a target answers."""

from dataclasses import dataclass
from enum import Enum
from typing import Any, Literal

import msgspec
from geventhttpclient.response import HTTPParseError

from chervilstall.fleet.records import NO_LAYERS, LayerRange, Target, TargetReadiness
from chervilstall.ids import RequestId, ServiceName, TargetId, ZoneName
from chervilstall.paths.records import Path
from chervilstall.platform import protocol
from chervilstall.settings.connections import TargetSettings
from chervilstall.settings.option import Address, parse_address
from chervilstall.target.connection import JSON_HEADERS, CallResponse, call_once

CALL_TIMEOUT_S = 1.5
ROOM_SHARE = 0.5
"""Part of the memory for requests up to which a target surely takes another one."""

ACCEPTED_STATUSES = frozenset({200, 202})


class _Layers(msgspec.Struct):
    first: int = msgspec.field(name="from")
    # The layer after the last one.
    end: int = msgspec.field(name="to")


class _Entry(msgspec.Struct, rename="kebab"):
    service: str
    address: str
    zone: str
    state: Literal["ready", "draining"]
    # Unix milliseconds of the start; with the id it names one life of a target.
    born: int = 0
    # The kind of accelerator.
    type: str = ""
    layers: _Layers | None = None


_entry_decoder = msgspec.json.Decoder(_Entry)


def decode_target(target: str, content: bytes, revision: int) -> Target | None:
    """Decode an entry; None where it names no target that can be used."""
    try:
        entry = _entry_decoder.decode(content)
        address = parse_address(entry.address)
    except ValueError:
        return None
    return Target(
        TargetId(target),
        entry.born,
        ServiceName(entry.service),
        address,
        ZoneName(entry.zone),
        TargetReadiness(entry.state),
        entry.type,
        _layers(entry.layers),
        revision,
    )


def _layers(layers: _Layers | None) -> LayerRange:
    if layers is None or not 0 <= layers.first < layers.end:
        return NO_LAYERS
    return LayerRange(layers.first, layers.end)


def encode_path(path: Path) -> str:
    """Return a path as targets read it."""
    return ",".join(
        f"{part.address}={part.layers.first}-{part.layers.end}" for part in path.stages
    )


class _Stalled(msgspec.Struct):
    id: str = ""
    address: str = ""


class _Report(msgspec.Struct, rename="kebab"):
    pace: float = 1.0
    busy: bool = False
    # Orders accepted since the start; in an entry the same name counts heartbeats.
    sequence: int = 0
    queued: int = 0
    active: int = 0
    kv_used_count: float = 0.0
    kv_total_count: float = 0.0
    stalled: list[_Stalled] = []
    layers: _Layers | None = None


@dataclass(frozen=True)
class StalledRequest:
    """A request that waits for a target that does not answer."""

    request: RequestId
    address: Address


@dataclass(frozen=True)
class TargetReport:
    """What a target said of itself some hundred milliseconds ago.

    `slowness` is its time for a pass against the usual one. Memory is counted in
    tokens times layers.
    """

    slowness: float
    is_loading: bool
    orders_begun: int
    queued: int
    active: int
    memory_used: float
    memory_total: float
    stalled: tuple[StalledRequest, ...]
    layers: LayerRange

    @property
    def has_free_memory(self) -> bool:
        """Return whether there is surely memory for another request."""
        return self.memory_used < ROOM_SHARE * self.memory_total


def fetch_report(
    address: Address, timeout_s: float = CALL_TIMEOUT_S
) -> TargetReport | None:
    """Ask a target for its report; None where it gives none in time."""
    answer = _call(address, "GET", protocol.REPORT_PATH, b"", timeout_s)
    if answer is None or answer.status != 200:
        return None
    try:
        report = msgspec.json.decode(answer.body, type=_Report)
        stalled = tuple(
            StalledRequest(RequestId(each.id), parse_address(each.address))
            for each in report.stalled
        )
    except ValueError:
        return None
    return TargetReport(
        report.pace,
        report.busy,
        report.sequence,
        report.queued,
        report.active,
        report.kv_used_count,
        report.kv_total_count,
        stalled,
        _layers(report.layers),
    )


class TargetHealth(Enum):
    """What a target says of its readiness for new work."""

    OPEN = "open"
    CLOSED = "closed"
    UNKNOWN = "unknown"


def fetch_health(
    target: Target, path: str, timeout_s: float = CALL_TIMEOUT_S
) -> TargetHealth:
    """Ask a target whether it is well and stays.

    The question takes the place of a request. One that is refused for want of room,
    or answered by another target at the same address, tells nothing.
    """
    answer = _call(target.address, "GET", path, b"", timeout_s)
    if answer is None or protocol.NOT_RUN.lower() in answer.headers:
        return TargetHealth.UNKNOWN
    if answer.headers.get(protocol.ANSWERING_TARGET.lower()) != target.id:
        return TargetHealth.UNKNOWN
    match answer.status:
        case 200:
            return TargetHealth.OPEN
        case 503:
            return TargetHealth.CLOSED
    return TargetHealth.UNKNOWN


@dataclass(frozen=True)
class PlaceOrder:
    """Hold exactly `layers`. `orders_begun` is what the target is believed to count."""

    layers: LayerRange
    orders_begun: int
    fence: int


@dataclass(frozen=True)
class RepathOrder:
    """Lead a running request over another path with the same first part."""

    request: RequestId
    path: Path


@dataclass(frozen=True)
class OrderResponse:
    """A target's answer to an order; `status` 0 stands for none."""

    status: int
    text: str = ""

    @property
    def is_accepted(self) -> bool:
        """Return whether the target took the order or was there already."""
        return self.status in ACCEPTED_STATUSES


def send_order(address: Address, order: PlaceOrder | RepathOrder) -> OrderResponse:
    """Give an order. Without an answer it may still be carried out, even later."""
    body: dict[str, Any]
    match order:
        case PlaceOrder(layers, orders_begun, fence):
            body = {
                "op": "place",
                "from": layers.first,
                "to": layers.end,
                "method": "queue",
                "expected": orders_begun,
                "fencing-token": fence,
            }
        case RepathOrder(request, path):
            body = {"op": "repath", "id": request, "path": encode_path(path)}
    answer = _call(address, "POST", protocol.ORDER_PATH, msgspec.json.encode(body))
    if answer is None:
        return OrderResponse(0)
    return OrderResponse(answer.status, answer.body[:200].decode("utf-8", "replace"))


def _call(
    address: Address,
    method: str,
    path: str,
    body: bytes,
    timeout_s: float = CALL_TIMEOUT_S,
) -> CallResponse | None:
    settings = TargetSettings(connect_timeout_s=timeout_s)
    try:
        return call_once(address, settings, timeout_s, method, path, body, JSON_HEADERS)
    except (OSError, HTTPParseError):
        return None
