"""Decoding of targets' store entries, and the calls that targets serve."""

import re
import time
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from ipaddress import IPv4Address
from typing import Annotated, Any, Literal

import msgspec
from geventhttpclient.response import HTTPParseError

from chervilstall.decoding import Count, decode_untrusted
from chervilstall.fleet.records import NO_LAYERS, LayerRange, Target, TargetReadiness
from chervilstall.heard_clock import HEARD
from chervilstall.ids import RequestId, ServiceName, TargetId, ZoneName
from chervilstall.paths.records import Path
from chervilstall.platform import protocol
from chervilstall.settings.connections import TargetSettings
from chervilstall.settings.option import Address, parse_address
from chervilstall.target.calls import Call, CallResponse, call_once
from chervilstall.target.connection import JSON_HEADERS
from chervilstall.telemetry.events import EventLog

log = EventLog("fleet")

CALL_TIMEOUT_S = 1.5
TRIES_MAX = 3
"""Calls after which silence counts although the own time-outs ran late each time."""

RESPONSE_MAX_BYTES = 1_000_000
FREE_MEMORY_USE_MAX = 0.5
"""Share of the memory in use up to which a target certainly admits another request."""

ACCEPTED_STATUSES = frozenset({200, 202})
HTTP_MISDIRECTED = 421
LAYERS_MAX = 1_000_000
TARGET_ID_PATTERN = re.compile(r"[!-+\--~]{1,200}")
"""Printable ASCII without a comma, since the ID is sent in headers."""

_Layer = Annotated[int, msgspec.Meta(ge=0, le=LAYERS_MAX)]


class _Layers(msgspec.Struct):
    first: _Layer = msgspec.field(name="from")
    # Exclusive: one past the last layer.
    end: _Layer = msgspec.field(name="to")


class _Entry(msgspec.Struct, rename="kebab"):
    service: str
    address: str
    zone: str
    state: Literal["ready", "draining"]
    # Start in Unix milliseconds; with the ID it identifies one incarnation.
    born: Count = 0
    # Heartbeats so far. In a report, `sequence` counts orders.
    sequence: Count = 0
    # Type of the accelerator.
    type: str = ""
    layers: _Layers | None = None


_entry_decoder = msgspec.json.Decoder(_Entry)


def decode_target(target: str, content: bytes, revision: int) -> Target | None:
    """Decode a target's entry; None if it is malformed."""
    try:
        entry = decode_untrusted(_entry_decoder, content)
        address = _parse_target_address(entry.address)
    except ValueError:
        return None
    if TARGET_ID_PATTERN.fullmatch(target) is None:
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
        entry.sequence,
    )


def _parse_target_address(text: str) -> Address:
    """Parse the address of a target, which is sent in headers. Raises ValueError."""
    address = parse_address(text)
    if address.port == 0:
        raise ValueError("nothing listens on port 0")
    return Address(str(IPv4Address(address.host)), address.port)


def _layers(layers: _Layers | None) -> LayerRange:
    if layers is None or not 0 <= layers.first < layers.end:
        return NO_LAYERS
    return LayerRange(layers.first, layers.end)


def encode_path(path: Path) -> str:
    """Return the header value of a path, such as `10.0.0.1:80=0-4,10.0.0.2:80=4-8`."""
    return ",".join(
        f"{stage.address}={stage.layers.first}-{stage.layers.end}"
        for stage in path.stages
    )


class _Stalled(msgspec.Struct):
    id: str = ""
    address: str = ""


class _Report(msgspec.Struct, rename="kebab"):
    pace: float = 1.0
    busy: bool = False
    # Orders accepted since the start. In an entry, `sequence` counts heartbeats.
    sequence: Count = 0
    queued: Count = 0
    active: Count = 0
    kv_used_count: float = 0.0
    kv_total_count: float = 0.0
    stalled: list[_Stalled] = []
    layers: _Layers | None = None


_report_decoder = msgspec.json.Decoder(_Report)


@dataclass(frozen=True)
class StalledRequest:
    """A request that waits for another target that doesn't respond."""

    request: RequestId
    address: Address


@dataclass(frozen=True)
class TargetReport:
    """State that a target reports, which is a few hundred milliseconds old.

    `slowness` is the ratio of the time for a pass to the usual time. `orders_begun`
    counts the orders accepted since the start. The unit of `memory_used` and
    `memory_total` is tokens times layers. `is_leaving` is true if the target is about
    to exit.
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
    is_leaving: bool = False

    @property
    def has_free_memory(self) -> bool:
        """Return whether there is certainly memory for another request."""
        return self.memory_used < FREE_MEMORY_USE_MAX * self.memory_total


class NoReport(Enum):
    """Why there is no report of a target although something responded.

    MISDIRECTED: its address belongs to another target by now.
    """

    MISDIRECTED = "another target has its address"


def fetch_report(
    target: Target, timeout_s: float = CALL_TIMEOUT_S
) -> TargetReport | NoReport | None:
    """Fetch a target's report; None if there is no valid one in time."""
    response = _call(target, "GET", protocol.REPORT_PATH, b"", timeout_s)
    if response is not None and response.status == HTTP_MISDIRECTED:
        return NoReport.MISDIRECTED
    if response is None or response.status != 200:
        return None
    try:
        report = decode_untrusted(_report_decoder, response.body)
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
        is_leaving(response.headers),
    )


def is_leaving(headers: Mapping[str, str]) -> bool:
    """Return whether a response, by its lower-case headers, is of a leaving target."""
    return headers.get(protocol.LEAVING.lower()) == "1"


class TargetHealth(Enum):
    """Whether a target accepts new work, by its own statement."""

    OPEN = "open"
    CLOSED = "closed"
    UNKNOWN = "unknown"


def fetch_health(
    target: Target, path: str, timeout_s: float = CALL_TIMEOUT_S
) -> TargetHealth:
    """Call a target's health path.

    The call occupies a request slot of the target. The result is UNKNOWN if the
    target rejected the call because it is full, or if another target at the same
    address responded.
    """
    response = _call(target, "GET", path, b"", timeout_s)
    if response is None or protocol.NOT_EXECUTED.lower() in response.headers:
        return TargetHealth.UNKNOWN
    if response.headers.get(protocol.ANSWERING_TARGET.lower()) != target.id:
        return TargetHealth.UNKNOWN
    match response.status:
        case 200:
            return TargetHealth.OPEN
        case 503:
            return TargetHealth.CLOSED
    return TargetHealth.UNKNOWN


@dataclass(frozen=True)
class PlaceOrder:
    """Order to hold exactly `layers`.

    `orders_begun` is the count of accepted orders that the target is expected to have
    reached; `fence` is the fencing token of the sender's lease.
    """

    layers: LayerRange
    orders_begun: int
    fence: int


@dataclass(frozen=True)
class RepathOrder:
    """Order to move a running request to another path with the same first stage."""

    request: RequestId
    path: Path


@dataclass(frozen=True)
class OrderResponse:
    """A target's response to an order; `status` 0 means that there was none."""

    status: int
    text: str = ""

    @property
    def is_accepted(self) -> bool:
        """Return whether the target accepted the order or had carried it out before."""
        return self.status in ACCEPTED_STATUSES

    @property
    def is_misdirected(self) -> bool:
        """Return whether another target has the address by now; it did nothing."""
        return self.status == HTTP_MISDIRECTED


def send_order(target: Target, order: PlaceOrder | RepathOrder) -> OrderResponse:
    """Send an order and return the response.

    An order without a response may still be carried out, even later, but only by the
    target that it is meant for.
    """
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
    response = _call(target, "POST", protocol.ORDER_PATH, msgspec.json.encode(body))
    if response is None:
        return OrderResponse(0)
    return OrderResponse(
        response.status, response.body[:200].decode("utf-8", "replace")
    )


def responds(target: Target, timeout_s: float) -> bool:
    """Return whether a target responds to a call, whatever its response says.

    The call needs no request slot of the target. A response of another target at the
    same address shows as well that the link works.
    """
    return _call(target, "GET", protocol.REPORT_PATH, b"", timeout_s) is not None


def _call(
    target: Target,
    method: str,
    path: str,
    body: bytes,
    timeout_s: float = CALL_TIMEOUT_S,
) -> CallResponse | None:
    """Make a call that only `target` carries out, also if its address was reused."""
    settings = TargetSettings(connect_timeout_s=timeout_s)
    headers = {**JSON_HEADERS, protocol.EXPECTED_TARGET: target.id}
    call = Call(method, path, timeout_s, body, headers, RESPONSE_MAX_BYTES)
    response = _call_heard(target, settings, call)
    if response is None:
        return None
    if response.status == HTTP_MISDIRECTED:
        log.info(
            "address of another target",
            target=target.id,
            address=str(target.address),
            path=path,
            responder=response.headers.get(protocol.ANSWERING_TARGET.lower(), ""),
        )
    return response


def _call_heard(
    target: Target, settings: TargetSettings, call: Call
) -> CallResponse | None:
    """Make a call; repeat one that only reads if the own time-outs ran late in it.

    The response may have come while the event loop was held.
    """
    tries = TRIES_MAX if call.method == "GET" else 1
    for _ in range(tries):
        began_at_s = time.monotonic()
        try:
            return call_once(target.address, settings, call)
        except (OSError, HTTPParseError):
            is_timeout = time.monotonic() - began_at_s >= call.timeout_s
            if not is_timeout or not HEARD.was_deaf_since(began_at_s):
                return None
        log.info("call repeated", target=target.id, path=call.path, why="timers late")
    return None
