"""What a router serves to other routers: their requests, and reports on its reach."""

from collections.abc import Iterable
from dataclasses import dataclass

from chervilstall.edge.app import EdgeApplication
from chervilstall.edge.peers.forwarding import (
    FORWARDING_KEY,
    read_forwarding,
    without_forwarding,
)
from chervilstall.edge.peers.reach_report import REACH_PATH, ReachEndpoint
from chervilstall.http_response import HttpResponse, StartResponse, json_response
from chervilstall.wsgi import HEADERS_KEY, Environ


@dataclass
class PeerEndpoint:
    """WSGI application that serves forwarded requests like those of callers.

    It also tells other routers which targets are within reach.
    """

    app: EdgeApplication
    reach: ReachEndpoint

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request."""
        headers = environ[HEADERS_KEY]
        try:
            environ[FORWARDING_KEY] = read_forwarding(headers)
        except ValueError as error:
            return self._answer_other(environ, error).start(start_response)
        environ[HEADERS_KEY] = without_forwarding(headers)
        return self.app(environ, start_response)

    def _answer_other(self, environ: Environ, error: ValueError) -> HttpResponse:
        """Answer what is no forwarded request: a question on the reach, or nonsense.

        A caller's request for the same path has the headers of a forwarded one.
        """
        if environ["PATH_INFO"] == REACH_PATH:
            return self.reach.respond(environ["QUERY_STRING"])
        return json_response(400, {"error": str(error)})
