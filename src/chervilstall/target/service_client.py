"""HTTP client of plain services."""

from collections import OrderedDict

import gevent
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from chervilstall.ids import AttemptNumber, RequestId, TargetId
from chervilstall.settings.connections import TargetSettings
from chervilstall.settings.option import Address
from chervilstall.target.connection import (
    ConnectFailed,
    pooled_client,
    single_use_client,
)
from chervilstall.target.contract import (
    ATTEMPT_HEADER,
    REQUEST_HEADER,
    AttemptFailed,
    AttemptProgress,
    FailureCause,
    ServiceCall,
    ServiceResponse,
)
from chervilstall.target.response import BodyTooLarge

RESPONSE_MAX_BYTES = 16_000_000
CLIENTS_MAX = 1_000
REFUSED_HEADER = "chervilstall-refused"
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "transfer-encoding",
        "content-length",
        "host",
        "authorization",
        "expect",
        "upgrade",
        "te",
        "trailer",
        "proxy-authorization",
        "chervilstall-request",
        "chervilstall-attempt",
    }
)


def end_to_end_headers(
    headers: tuple[tuple[str, str], ...],
) -> tuple[tuple[str, str], ...]:
    """Return the headers that may be forwarded from one connection to another."""
    return tuple(
        [pair for pair in headers if pair[0].lower() not in HOP_BY_HOP_HEADERS]
    )


class HttpServiceClient:
    """Client of plain services over HTTP.

    Repeatable calls use pooled connections. A call that may not be repeated gets a
    connection of its own, so that a failure to connect proves that it was not sent.
    """

    def __init__(self, settings: TargetSettings) -> None:
        self.settings = settings
        self._clients: OrderedDict[Address, HTTPClient] = OrderedDict()

    def call(
        self,
        target: TargetId,
        address: Address,
        call: ServiceCall,
        request: RequestId,
        attempt: AttemptNumber,
        repeatable: bool,
        timeout_s: float,
    ) -> ServiceResponse:
        """Send a call and return its complete response. Raises AttemptFailed."""
        client = self._get_client(address, repeatable, timeout_s)
        headers = dict(end_to_end_headers(call.headers))
        headers[REQUEST_HEADER] = request
        headers[ATTEMPT_HEADER] = str(attempt)
        timeout = gevent.Timeout(timeout_s)
        progress = AttemptProgress.SENT
        try:
            with timeout:
                response = client.request(
                    call.method, call.path, body=call.body, headers=headers
                )
                body = response.read()
        except ConnectFailed as error:
            progress = AttemptProgress.NOT_SENT
            event = FailureCause.CONNECT_FAILED
            raise AttemptFailed(event, progress, target) from error
        except TimeoutError as error:
            self._discard_client(address)
            raise AttemptFailed(FailureCause.SILENT, progress, target) from error
        except BodyTooLarge as error:
            raise AttemptFailed(FailureCause.BAD_ANSWER, progress, target) from error
        except (OSError, HTTPParseError) as error:
            raise AttemptFailed(FailureCause.CLOSED, progress, target) from error
        except gevent.Timeout as expired:
            if expired is not timeout:
                raise
            self._discard_client(address)
            raise AttemptFailed(FailureCause.SILENT, progress, target) from expired
        finally:
            if not repeatable:
                client.close()
        return self._validate_response(target, response, body, request, attempt)

    def _discard_client(self, address: Address) -> None:
        # After one timeout, the other pooled connections to it are suspect too.
        client = self._clients.pop(address, None)
        if client is not None:
            client.close()

    def _validate_response(
        self,
        target: TargetId,
        response: object,
        body: bytes,
        request: RequestId,
        attempt: AttemptNumber,
    ) -> ServiceResponse:
        received_headers = {name.lower(): value for name, value in response.items()}  # type: ignore[attr-defined]
        progress = AttemptProgress.SENT
        status: int = response.status_code  # type: ignore[attr-defined]
        echoed = (
            received_headers.get(REQUEST_HEADER.lower()),
            received_headers.get(ATTEMPT_HEADER.lower()),
        )
        if echoed != (request, str(attempt)):
            raise AttemptFailed(FailureCause.BAD_ANSWER, progress, target)
        if REFUSED_HEADER in received_headers:
            raise AttemptFailed(FailureCause.REFUSED, progress, target)
        declared = received_headers.get("content-length")
        if declared is not None and declared != str(len(body)):
            raise AttemptFailed(FailureCause.CLOSED, progress, target)
        if len(body) > RESPONSE_MAX_BYTES:
            raise AttemptFailed(FailureCause.BAD_ANSWER, progress, target)
        return ServiceResponse(
            status, end_to_end_headers(tuple(received_headers.items())), body
        )

    def _get_client(
        self, address: Address, repeatable: bool, timeout_s: float
    ) -> HTTPClient:
        if not repeatable:
            return single_use_client(
                address, self.settings, timeout_s, RESPONSE_MAX_BYTES
            )
        client = self._clients.get(address)
        if client is None:
            timeout_s = self.settings.service_timeout_s
            client = pooled_client(
                address, self.settings, timeout_s, RESPONSE_MAX_BYTES
            )
            self._clients[address] = client
        self._clients.move_to_end(address)
        if len(self._clients) > CLIENTS_MAX:
            _, oldest = self._clients.popitem(last=False)
            oldest.close()
        return client
