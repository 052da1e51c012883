"""Requests that go to their targets through another router.

Each is sent to one router, which takes all decisions on it: attempts, the retry budget,
limits, what leaves. Another one is tried only if the first certainly did not run it.
"""

import random
import time
from dataclasses import dataclass

from chervilstall.edge.error_responses import is_router_refusal
from chervilstall.edge.exchange import CompleteResponse, Exchange
from chervilstall.edge.exchange_failures import ExchangeFailed, ExchangeFailure
from chervilstall.edge.limits.notices import TargetNotices
from chervilstall.edge.peers.forwarding import (
    Forwarding,
    is_unable,
    read_responder,
    without_responder,
)
from chervilstall.edge.peers.search import ReachSearch
from chervilstall.edge.request import EdgeRequest
from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.fleet.view import FleetView
from chervilstall.platform.headers import (
    NOT_RUN_STATUSES,
    ResponseHead,
    router_headers,
)
from chervilstall.platform.peers import Peer
from chervilstall.platform.targets import HTTP_MISDIRECTED
from chervilstall.telemetry.events import EventLog

log = EventLog("edge")

OUT_OF_REACH = "no target of the service is within reach"
PEERS_MAX = 4
"""Routers tried for one request, each of which has said that it reaches targets."""

LOST_S = 5.0
RETRY_S = (0.5, 2.0)
"""Bounds of Retry-After where no router could bring a request to a target."""


@dataclass
class PeerRelay:
    """Forwards requests to other routers.

    `notices` puts in force what targets announce in responses that come that way.
    """

    search: ReachSearch
    fleet_view: FleetView
    notices: TargetNotices | None = None

    def run(self, request: EdgeRequest, attempts_max: int) -> CompleteResponse:
        """Forward a request and return the whole response.

        Raises ChervilstallError if no router took it, and ExchangeFailed if one did and
        its response did not come.
        """
        exchange, head = self.open(request, attempts_max)
        try:
            return self.read(exchange, head)
        finally:
            exchange.close()

    def open(
        self, request: EdgeRequest, attempts_max: int, last_event_id: str = ""
    ) -> tuple[Exchange, ResponseHead]:
        """Forward a request; return the open exchange and the head of its response.

        `attempts_max` is the number of targets that may still be sent the request.
        Raises as `run` does.
        """
        if request.forwarding is not None:
            raise out_of_reach_error()
        service = request.service.name
        for _ in range(PEERS_MAX):
            peer = self.search.choose(service)
            if peer is None or request.has_caller_disconnected:
                break
            if request.remaining_s <= 0.0:
                break
            exchange = self._exchange(request, peer, attempts_max, last_event_id)
            sent_at_s = time.monotonic()
            try:
                head = exchange.send_request(request.remaining_s)
            except ExchangeFailed as error:
                exchange.close()
                if error.was_sent or request.has_caller_disconnected:
                    raise
                self.search.directory.avoid(peer, LOST_S)
                self.search.mark_unable(service, peer)
                log.warning("router not reached", peer=peer.vm, why=str(error))
                continue
            # A target that has the router's address by now refuses with 421.
            if head.status != HTTP_MISDIRECTED and not is_unable(head.headers):
                log.routine("forwarded", request=request.request_id, peer=peer.vm)
                self.search.mark_able(service, peer)
                exchange.abort_at_deadline()
                return exchange, self._record(head, sent_at_s)
            exchange.close()
            self.search.mark_unable(service, peer)
            log.info("router unable", peer=peer.vm, request=request.request_id)
        raise out_of_reach_error()

    @staticmethod
    def read(exchange: Exchange, head: ResponseHead) -> CompleteResponse:
        """Read the whole response that another router passed on.

        Raises ExchangeFailed also for a refusal of which neither its target nor a
        router says that nothing ran: routers of older versions pass on those of targets
        that have run the request.
        """
        response = exchange.read_response(head, exchange.request.remaining_s)
        if head.status not in NOT_RUN_STATUSES or head.is_not_executed:
            return response
        if not head.is_signed and is_router_refusal(response.body):
            return response
        log.warning(
            "unmarked refusal",
            request=exchange.request.request_id,
            status=head.status,
            by="router",
        )
        raise ExchangeFailed(ExchangeFailure.UNMARKED_REFUSAL, was_sent=True)

    def _record(self, head: ResponseHead, sent_at_s: float) -> ResponseHead:
        """Record what a target says of itself; return the response as it sent it."""
        if self.notices is not None:
            responder = read_responder(head.headers)
            self.notices.record_passed_on(responder, head, sent_at_s)
        return without_responder(head)

    def _exchange(
        self, request: EdgeRequest, peer: Peer, attempts_max: int, last_event_id: str
    ) -> Exchange:
        configuration = self.fleet_view.configuration
        assert configuration is not None
        forwarding = Forwarding(configuration.version, attempts_max)
        headers = router_headers(
            request.fields, request.caller_remaining_s, last_event_id, peer.vm
        )
        for name, value in forwarding.headers:
            headers.add(name, value)
        return Exchange(request, peer.address, headers)


def out_of_reach_error() -> ChervilstallError:
    """Return the error of a request that no router can bring to a target."""
    return ChervilstallError(
        ErrorKind.TARGETS_OUT_OF_REACH,
        OUT_OF_REACH,
        random.uniform(*RETRY_S),
    )
