"""HTTP client of the platform's store and VM list."""

from urllib.parse import quote

import msgspec

from chervilstall.decoding import decode_untrusted
from chervilstall.settings.agents import StoreSettings
from chervilstall.settings.connections import TargetSettings
from chervilstall.store.calls import (
    HTTP_NOT_FOUND,
    call_store,
    decode_body,
    require_ok,
)
from chervilstall.store.contract import (
    LeaseRecord,
    StoreEntry,
    SwapResult,
    VmRecord,
    WatchAnswer,
)
from chervilstall.store.rate_limiter import CallRateLimiter
from chervilstall.target.calls import Call, LongBody
from chervilstall.telemetry.logs import ComponentLog

log = ComponentLog("store")

_vm_decoder = msgspec.json.Decoder(VmRecord)


class HttpStore:
    """The platform's store and VM list over HTTP.

    Each call opens a connection of its own, so that a connection whose peer stopped
    responding affects one call only. `rate_limiter` limits the rate of calls. The time
    limit of the settings holds until a response begins, and for each piece of it.
    """

    def __init__(self, settings: StoreSettings) -> None:
        self.settings = settings
        self.rate_limiter = CallRateLimiter(settings.calls_per_s)
        self._connections = TargetSettings(connect_timeout_s=settings.timeout_s)
        self._long_body = LongBody(settings.timeout_s)

    def get(self, key: str) -> StoreEntry | None:
        """Return a key's entry, or None if it is absent."""
        body = self._call("GET", f"/v1/keys/{quote(key)}")
        return None if body is None else decode_body(body, StoreEntry)

    def list_entries(self, prefix: str) -> tuple[StoreEntry, ...]:
        """Return the entries whose keys start with a prefix."""
        body = self._call("GET", f"/v1/list?prefix={quote(prefix)}")
        return decode_body(body or b"", tuple[StoreEntry, ...])

    def put(self, key: str, value: bytes) -> int:
        """Write a key and return its new version."""
        body = self._call("PUT", f"/v1/keys/{quote(key)}", value)
        return decode_body(body or b"", SwapResult).version

    def compare_and_swap(
        self, key: str, value: bytes, expected_version: int
    ) -> SwapResult:
        """Write a key if its version is the expected one; 0 expects absence."""
        path = f"/v1/keys/{quote(key)}?expected={expected_version}"
        return decode_body(self._call("PUT", path, value) or b"", SwapResult)

    def delete(self, key: str) -> None:
        """Delete a key, which may be absent."""
        self._call("DELETE", f"/v1/keys/{quote(key)}")

    def watch(self, prefix: str, after_version: int, wait_s: float) -> WatchAnswer:
        """Return entries above a version, waiting up to `wait_s` for the first."""
        query = f"prefix={quote(prefix)}&after={after_version}&wait_s={wait_s}"
        body = self._call("GET", f"/v1/watch?{query}", extra_s=wait_s)
        return decode_body(body or b"", WatchAnswer)

    def acquire_lease(
        self, name: str, holder: str, ttl_s: float, note: str = ""
    ) -> LeaseRecord:
        """Acquire or renew a lease, or return the record of its holder."""
        query = f"holder={quote(holder)}&ttl_s={ttl_s}&note={quote(note)}"
        body = self._call("POST", f"/v1/leases/{quote(name)}?{query}")
        return decode_body(body or b"", LeaseRecord)

    def release_lease(self, name: str, holder: str) -> None:
        """Release a lease, which may be held by nobody."""
        self._call("DELETE", f"/v1/leases/{quote(name)}?holder={quote(holder)}")

    def list_leases(self, prefix: str) -> tuple[LeaseRecord, ...]:
        """Return the unexpired leases whose names start with a prefix."""
        body = self._call("GET", f"/v1/leases?prefix={quote(prefix)}")
        return decode_body(body or b"", tuple[LeaseRecord, ...])

    def list_vms(self) -> tuple[VmRecord, ...]:
        """Return the VMs of the list, which lags behind.

        A record that can't be read is left out.
        """
        body = self._call("GET", "/v1/vms") or b""
        records: list[VmRecord] = []
        for content in decode_body(body, tuple[msgspec.Raw, ...]):
            try:
                records.append(decode_untrusted(_vm_decoder, bytes(content)))
            except ValueError as error:
                log.warning("Left out a VM of the platform's list: %s.", error)
        return tuple(records)

    def _call(
        self, method: str, path: str, body: bytes = b"", extra_s: float = 0.0
    ) -> bytes | None:
        self.rate_limiter.acquire()
        timeout_s = self.settings.timeout_s + extra_s
        call = Call(method, path, timeout_s, body, long_body=self._long_body)
        response = call_store(self.settings.address, self._connections, call)
        if response.status == HTTP_NOT_FOUND:
            return None
        require_ok(response)
        return response.body
