"""What a router serves to other routers: requests that they forward."""

from collections.abc import Iterable
from dataclasses import dataclass

from chervilstall.edge.app import EdgeApplication
from chervilstall.edge.peers.forwarding import (
    FORWARDING_KEY,
    read_forwarding,
    without_forwarding,
)
from chervilstall.http_response import StartResponse, json_response
from chervilstall.wsgi import HEADERS_KEY, Environ


@dataclass
class PeerEndpoint:
    """WSGI application that serves forwarded requests like those of callers."""

    app: EdgeApplication

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request."""
        headers = environ[HEADERS_KEY]
        try:
            environ[FORWARDING_KEY] = read_forwarding(headers)
        except ValueError as error:
            return json_response(400, {"error": str(error)}).start(start_response)
        environ[HEADERS_KEY] = without_forwarding(headers)
        return self.app(environ, start_response)
