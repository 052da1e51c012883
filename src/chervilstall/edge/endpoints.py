"""What the router serves besides callers: readiness, metrics, malformed requests."""

from collections.abc import Callable
from dataclasses import dataclass

from chervilstall.edge.error_responses import error_response
from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.http_response import HttpResponse, StartResponse, json_response
from chervilstall.platform import protocol
from chervilstall.where_answer import WHERE_PATH
from chervilstall.wsgi import Environ

ERROR_KINDS = {
    408: ErrorKind.REQUEST_TIMEOUT,
    413: ErrorKind.BODY_TOO_LARGE,
    414: ErrorKind.HEADERS_TOO_LARGE,
    431: ErrorKind.HEADERS_TOO_LARGE,
    500: ErrorKind.INTERNAL,
}


def bad_request_response(status: int) -> HttpResponse:
    """Return the response to a request that could not be parsed, from its status."""
    kind = ERROR_KINDS.get(status, ErrorKind.BAD_REQUEST)
    return error_response(ChervilstallError(kind, "the request is malformed"))


@dataclass
class OperatorEndpoints:
    """WSGI application with readiness for the load balancer and metrics.

    `where` answers the query string of a question where a request would go.
    """

    is_ready: Callable[[], bool]
    metrics_text: Callable[[], str]
    where: Callable[[str], HttpResponse]

    def __call__(self, environ: Environ, start_response: StartResponse) -> list[bytes]:
        """Serve one request."""
        path, query = environ["PATH_INFO"], environ["QUERY_STRING"]
        return self._respond(path, query).start(start_response)

    def _respond(self, path: str, query: str) -> HttpResponse:
        match path:
            case protocol.READY_PATH:
                is_ready = self.is_ready()
                return json_response(200 if is_ready else 503, {"ready": is_ready})
            case "/metrics":
                text = self.metrics_text().encode()
                return HttpResponse(200, text, (("Content-Type", "text/plain"),))
            case _ if path == WHERE_PATH:
                return self.where(query)
        return json_response(404, {"error": "no such path"})
