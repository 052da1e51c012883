"""The WSGI application that serves callers."""

from collections.abc import Iterable, Iterator
from urllib.parse import quote

import gevent

from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.gateway.auth import Caller
from chervilstall.gateway.completions import CompletionCall, CompletionRun
from chervilstall.gateway.parsing import (
    CompletionRequest,
    parse_caller_options,
    parse_chat,
    parse_text,
    read_caller_body,
)
from chervilstall.gateway.responses import error_response
from chervilstall.gateway.runtime import RouterRuntime
from chervilstall.gateway.services import ServiceRequest, ServiceRun
from chervilstall.http_response import HttpResponse, StartResponse, json_response
from chervilstall.ids import RequestId, new_request_id
from chervilstall.process_limits.memory import Holding, HoldingKind
from chervilstall.target.contract import ServiceCall
from chervilstall.telemetry.logs import ComponentLog
from chervilstall.wsgi import Environ

log = ComponentLog("gateway")

OUTCOME_MAX_BYTES = 32_768
CHAT_PATH = "/v1/chat/completions"
TEXT_PATH = "/v1/completions"
MODELS_PATH = "/v1/models"
SERVICES_PREFIX = "/services/"
HOLDING_KEY = "chervilstall.holding"
"""Environment key of what accounts for the memory of the request's body."""


class GatewayApplication:
    """Authenticates, parses and runs each request.

    The server runs one greenlet per connection. `outcome_max_bytes` is the size of
    the largest response body that is stored for repeats of an idempotency key.
    """

    def __init__(
        self, runtime: RouterRuntime, outcome_max_bytes: int = OUTCOME_MAX_BYTES
    ) -> None:
        self.runtime = runtime
        self.outcome_max_bytes = outcome_max_bytes

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request; every failure becomes an error response."""
        request_id = new_request_id()
        self.runtime.request_tracker.start()
        holding = self.runtime.client_memory.hold(HoldingKind.BODY)
        environ[HOLDING_KEY] = holding
        is_streaming = False
        try:
            body = self._serve(request_id, environ, start_response)
            if isinstance(body, list):
                return body
            is_streaming = True
            return TrackedStream(body, self.runtime, holding)
        except ChervilstallError as error:
            return self._respond_error(error, request_id, start_response)
        except gevent.GreenletExit:
            raise
        except Exception as error:
            log.error("Unhandled exception: %r.", error, request=request_id)
            internal_error = ChervilstallError(
                ErrorKind.INTERNAL, "an internal failure"
            )
            return self._respond_error(internal_error, request_id, start_response)
        finally:
            if not is_streaming:
                holding.free()
                self.runtime.request_tracker.finish()

    def _respond_error(
        self,
        error: ChervilstallError,
        request_id: RequestId,
        start_response: StartResponse,
    ) -> list[bytes]:
        self.runtime.metrics.count(f"answers.{error.kind.value}")
        log.info("Responded with error %s.", error, request=request_id)
        return error_response(error, request_id).start(start_response)

    def _serve(
        self, request_id: RequestId, environ: Environ, start_response: StartResponse
    ) -> Iterator[bytes] | list[bytes]:
        path = environ["PATH_INFO"]
        self.runtime.require_serving()
        caller = self.runtime.authenticator.authenticate(
            environ.get("HTTP_AUTHORIZATION", "")
        )
        if path.startswith(SERVICES_PREFIX):
            response = self._call_service(request_id, caller, environ)
            return response.start(start_response)
        if path == MODELS_PATH:
            self._require_method(environ, "GET")
            return self._list_models(caller).start(start_response)
        if path not in (CHAT_PATH, TEXT_PATH):
            raise ChervilstallError(ErrorKind.NOT_FOUND, "no such path")
        self._require_method(environ, "POST")
        body = self._read_body(environ)
        completion: CompletionRequest
        completion = parse_chat(body) if path == CHAT_PATH else parse_text(body)
        options = parse_caller_options(environ)
        call = CompletionCall(request_id, caller, completion, options, path, body)
        run = CompletionRun(self.runtime, call, self.outcome_max_bytes)
        return run.respond(start_response)

    def _read_body(self, environ: Environ) -> bytes:
        """Read the body, which may take so long that the router stops meanwhile."""
        body = read_caller_body(
            environ, self.runtime.settings.listen, environ[HOLDING_KEY]
        )
        self.runtime.require_serving()
        return body

    def _require_method(self, environ: Environ, method: str) -> None:
        if environ["REQUEST_METHOD"] != method:
            raise ChervilstallError(
                ErrorKind.BAD_REQUEST, f"this path takes {method} only"
            )

    def _list_models(self, caller: Caller) -> HttpResponse:
        models = []
        for workspace, name, _ in self.runtime.tree.pipelines():
            if workspace != caller.workspace:
                continue
            models.append(
                {"id": name, "object": "model", "created": 0, "owned_by": workspace}
            )
        return json_response(200, {"object": "list", "data": models})

    def _call_service(
        self, request_id: RequestId, caller: Caller, environ: Environ
    ) -> HttpResponse:
        name, _, service_path = (
            environ["PATH_INFO"].removeprefix(SERVICES_PREFIX).partition("/")
        )
        body = self._read_body(environ)
        options = parse_caller_options(environ)
        path = _encoded_path(service_path, environ.get("QUERY_STRING", ""))
        headers = _caller_headers(environ)
        call = ServiceCall(environ["REQUEST_METHOD"], path, headers, body)
        service_request = ServiceRequest(request_id, caller, name, call, options)
        return ServiceRun(
            self.runtime, service_request, self.outcome_max_bytes
        ).respond()


def _encoded_path(path_text: str, query: str) -> str:
    """Return a decoded WSGI path and its query in percent-encoded form."""
    path = "/" + quote(path_text.encode("latin-1"), safe="/:@!$&'()*+,;=~-._")
    return f"{path}?{query}" if query else path


def _caller_headers(environ: Environ) -> tuple[tuple[str, str], ...]:
    headers = []
    for name, value in environ.items():
        if name.startswith("HTTP_"):
            headers.append((name[5:].replace("_", "-").title(), value))
    if environ.get("CONTENT_TYPE"):
        headers.append(("Content-Type", environ["CONTENT_TYPE"]))
    return tuple(headers)


class TrackedStream:
    """A streamed response body; its request counts as running until `close`.

    `holding` accounts for the request's body until then.
    """

    def __init__(
        self, chunks: Iterator[bytes], runtime: RouterRuntime, holding: Holding
    ) -> None:
        self._holding = holding
        self._chunks = chunks
        self._runtime = runtime
        self._is_closed = False

    def __iter__(self) -> Iterator[bytes]:
        return self._chunks

    def close(self) -> None:
        """Stop the stream; the server calls this at its end or on a disconnect."""
        if self._is_closed:
            return
        self._is_closed = True
        try:
            self._chunks.close()  # type: ignore[attr-defined]
        finally:
            self._holding.free()
            self._runtime.request_tracker.finish()
