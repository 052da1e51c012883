"""HTTP client of the platform's store and VM list."""

from urllib.parse import quote

from chervilstall.settings.agents import StoreSettings
from chervilstall.settings.connections import TargetSettings
from chervilstall.store.budget import CallBudget
from chervilstall.store.calls import (
    HTTP_ABSENT,
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


class HttpStore:
    """The platform's store and VM list over HTTP.

    Each call goes over its own connection, so a connection that went silent harms
    one call at most. Calls are bounded by `rate_limiter`.
    """

    def __init__(self, settings: StoreSettings) -> None:
        self.settings = settings
        self.rate_limiter = CallBudget(settings.calls_per_s)
        self._connections = TargetSettings(connect_timeout_s=settings.timeout_s)

    def get(self, key: str) -> StoreEntry | None:
        """Return a key's entry, or None."""
        body = self._call("GET", f"/v1/keys/{quote(key)}")
        return None if body is None else decode_body(body, StoreEntry)

    def list_entries(self, prefix: str) -> tuple[StoreEntry, ...]:
        """Return the entries below a prefix."""
        body = self._call("GET", f"/v1/list?prefix={quote(prefix)}")
        return decode_body(body or b"", tuple[StoreEntry, ...])

    def put(self, key: str, value: bytes) -> int:
        """Write a key."""
        body = self._call("PUT", f"/v1/keys/{quote(key)}", value)
        return decode_body(body or b"", SwapResult).version

    def compare_and_swap(
        self, key: str, value: bytes, expected_version: int
    ) -> SwapResult:
        """Write a key if its version is the expected one."""
        path = f"/v1/keys/{quote(key)}?expected={expected_version}"
        return decode_body(self._call("PUT", path, value) or b"", SwapResult)

    def delete(self, key: str) -> None:
        """Delete a key."""
        self._call("DELETE", f"/v1/keys/{quote(key)}")

    def watch(self, prefix: str, after_version: int, wait_s: float) -> WatchAnswer:
        """Wait for entries above a version."""
        query = f"prefix={quote(prefix)}&after={after_version}&wait_s={wait_s}"
        body = self._call("GET", f"/v1/watch?{query}", extra_s=wait_s)
        return decode_body(body or b"", WatchAnswer)

    def acquire_lease(
        self, name: str, holder: str, ttl_s: float, note: str = ""
    ) -> LeaseRecord:
        """Take or renew a lease."""
        query = f"holder={quote(holder)}&ttl_s={ttl_s}&note={quote(note)}"
        body = self._call("POST", f"/v1/leases/{quote(name)}?{query}")
        return decode_body(body or b"", LeaseRecord)

    def release_lease(self, name: str, holder: str) -> None:
        """Give a lease up."""
        self._call("DELETE", f"/v1/leases/{quote(name)}?holder={quote(holder)}")

    def list_leases(self, prefix: str) -> tuple[LeaseRecord, ...]:
        """Return the live leases below a prefix."""
        body = self._call("GET", f"/v1/leases?prefix={quote(prefix)}")
        return decode_body(body or b"", tuple[LeaseRecord, ...])

    def list_vms(self) -> tuple[VmRecord, ...]:
        """Return the VM list."""
        return decode_body(self._call("GET", "/v1/vms") or b"", tuple[VmRecord, ...])

    def _call(
        self, method: str, path: str, body: bytes = b"", extra_s: float = 0.0
    ) -> bytes | None:
        self.rate_limiter.spend()
        timeout_s = self.settings.timeout_s + extra_s
        answer = call_store(
            self.settings.address, self._connections, timeout_s, method, path, body
        )
        if answer.status == HTTP_ABSENT:
            return None
        require_ok(answer)
        return answer.body
