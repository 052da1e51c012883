"""HTTP server of the in-memory store."""

from collections.abc import Iterable
from urllib.parse import parse_qs, unquote

import msgspec

from chervilstall.http_response import HttpResponse, StartResponse, json_response
from chervilstall.settings.option import Address
from chervilstall.standin.shared_link import SharedLink
from chervilstall.standin.store import MemoryStore
from chervilstall.store.contract import (
    StoreFailed,
    StoreRefused,
    SwapResult,
    VmRecord,
)
from chervilstall.wsgi import Environ, Server, read_body

KEYS_PATH = "/v1/keys/"
LEASES_PATH = "/v1/leases/"
ABSENT_ERROR = {"error": "absent"}


class StoreServer:
    """Serves a `MemoryStore` over the HTTP API of the platform's store.

    Responses take the time that they need on `link`, if one is set.
    """

    def __init__(
        self, store: MemoryStore, address: Address = Address("127.0.0.1", 0)
    ) -> None:
        self.store = store
        self.link: SharedLink | None = None
        self.server = Server(address, self.application)
        self.server.start()

    @property
    def address(self) -> Address:
        """Return the bound address."""
        return self.server.bound_address

    def stop(self) -> None:
        """Stop listening and close every connection."""
        self.server.kill_connections()

    def application(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one call. StoreRefused answers 503, StoreFailed 500."""
        try:
            reply = self._handle_call(environ)
        except StoreRefused as error:
            reply = json_response(503, {"error": str(error)})
        except StoreFailed as error:
            reply = json_response(500, {"error": str(error)})
        content = reply.start(start_response)
        return content if self.link is None else self.link.send(reply.body)

    def _handle_call(self, environ: Environ) -> HttpResponse:
        method = environ["REQUEST_METHOD"]
        path = unquote(environ["PATH_INFO"])
        query = {
            name: values[0]
            for name, values in parse_qs(environ["QUERY_STRING"]).items()
        }
        if path.startswith(KEYS_PATH):
            key = path.removeprefix(KEYS_PATH)
            return self._handle_key(method, key, query, read_body(environ))
        if path.startswith(LEASES_PATH):
            return self._handle_lease(method, path.removeprefix(LEASES_PATH), query)
        match path:
            case "/v1/list":
                entries = self.store.list_entries(query.get("prefix", ""))
                return json_response(200, entries)
            case "/v1/watch":
                answer = self.store.watch(
                    query.get("prefix", ""),
                    int(query["after"]),
                    float(query["wait_s"]),
                )
                return json_response(200, answer)
            case "/v1/leases":
                leases = self.store.list_leases(query.get("prefix", ""))
                return json_response(200, leases)
            case "/v1/vms" if method == "POST":
                record = msgspec.json.decode(read_body(environ), type=VmRecord)
                self.store.set_vm(record)
                return json_response(200, {})
            case "/v1/vms":
                return json_response(200, self.store.list_vms())
            case "/v1/calls":
                return json_response(200, self.store.calls.by_method)
        return json_response(400, {"error": "no such path"})

    def _handle_key(
        self, method: str, key: str, query: dict[str, str], body: bytes
    ) -> HttpResponse:
        match method:
            case "GET":
                entry = self.store.get(key)
                return (
                    json_response(200, entry)
                    if entry
                    else json_response(404, ABSENT_ERROR)
                )
            case "PUT" if "expected" in query:
                expected = int(query["expected"])
                return json_response(
                    200, self.store.compare_and_swap(key, body, expected)
                )
            case "PUT":
                return json_response(200, SwapResult(True, self.store.put(key, body)))
            case "DELETE":
                self.store.delete(key)
                return json_response(200, {})
        return json_response(405, {"error": "method not allowed"})

    def _handle_lease(
        self, method: str, name: str, query: dict[str, str]
    ) -> HttpResponse:
        if method == "DELETE":
            self.store.release_lease(name, query["holder"])
            return json_response(200, {})
        record = self.store.acquire_lease(
            name, query["holder"], float(query["ttl_s"]), query.get("note", "")
        )
        return json_response(200, record)
