"""Short calls over connections that are kept between calls.

A new connection costs a target time and counts against its limit on connections. Only
calls that may be repeated come here: what goes wrong on a kept connection costs that
connection, and the call is made again over a new one.
"""

import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from chervilstall.settings.connections import TargetSettings
from chervilstall.settings.option import Address
from chervilstall.target.calls import Call, CallResponse, call_once, exchange
from chervilstall.target.connection import reusable_client
from chervilstall.waiting import is_readable

KEPT_MAX = 64
"""Idle connections of one process."""

IDLE_MAX_S = 4.0
"""Time without a call after which a connection isn't used again."""

REUSED_TIMEOUT_S = 0.1
"""Wait for a response on a kept connection, which may have gone silent for good.

Targets answer such calls within a millisecond or two.
"""


@dataclass
class _Kept:
    client: HTTPClient
    until_s: float


@dataclass
class KeptCalls:
    """Makes calls that may be repeated, over kept connections while it is in force.

    An address has one idle connection at most, so that all routers together hold few of
    a target's connections. The least recently used one is closed when there are too
    many.
    """

    is_in_force: Callable[[], bool] = lambda: False
    opened: int = 0
    reused: int = 0
    _kept: OrderedDict[Address, _Kept] = field(default_factory=OrderedDict)

    def call(
        self, address: Address, settings: TargetSettings, call: Call
    ) -> CallResponse:
        """Make a call, with the errors of `call_once`."""
        if not self.is_in_force():
            return call_once(address, settings, call)
        began_at_s = time.monotonic()
        response = self._call_over_kept(address, call)
        if response is not None:
            return response
        self.opened += 1
        left_s = max(0.001, began_at_s + call.timeout_s - time.monotonic())
        client = reusable_client(address, settings, left_s, call.body_max_bytes)
        return self._exchange(address, client, replace(call, timeout_s=left_s))

    def _call_over_kept(self, address: Address, call: Call) -> CallResponse | None:
        """Make a call over a kept connection; None if there is none that works."""
        kept = self._kept.pop(address, None)
        if kept is None:
            return None
        pool: Any = kept.client._connection_pool
        if kept.until_s < time.monotonic() or is_readable(pool.socket):
            # Readable while idle: it was closed, or has bytes of no request.
            kept.client.close()
            return None
        timeout_s = min(call.timeout_s, REUSED_TIMEOUT_S)
        try:
            response = self._exchange(
                address, kept.client, replace(call, timeout_s=timeout_s)
            )
        except (OSError, HTTPParseError):
            return None
        self.reused += 1
        return response

    def _exchange(
        self, address: Address, client: HTTPClient, call: Call
    ) -> CallResponse:
        is_kept = False
        try:
            response = exchange(client, call)
            pool: Any = client._connection_pool
            is_clean = pool.is_reusable and not response.has_trailing_bytes
            is_kept = is_clean and address not in self._kept
            if is_kept:
                self._keep(address, client)
            return response
        finally:
            if not is_kept:
                client.close()

    def _keep(self, address: Address, client: HTTPClient) -> None:
        self._kept[address] = _Kept(client, time.monotonic() + IDLE_MAX_S)
        while len(self._kept) > KEPT_MAX:
            _, oldest = self._kept.popitem(last=False)
            oldest.client.close()

    def expire(self) -> None:
        """Close connections that were idle for too long."""
        now_s = time.monotonic()
        for address, kept in list(self._kept.items()):
            if kept.until_s < now_s:
                del self._kept[address]
                kept.client.close()
