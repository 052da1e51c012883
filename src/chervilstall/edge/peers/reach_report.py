"""What routers tell each other about the targets that they reach.

A router without links to the targets of a service asks others on their internal
listeners whether they have some, before it sends them requests. Who has none either
names those that it has found, so that few routers have to ask many.
"""

import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import islice
from urllib.parse import parse_qsl, urlencode

import gevent
import msgspec
from geventhttpclient.response import HTTPParseError

from chervilstall.decoding import INTEGER_MAX, Count, decode_untrusted
from chervilstall.http_response import HttpResponse, json_response
from chervilstall.ids import ServiceName, VmId
from chervilstall.platform import protocol
from chervilstall.platform.peers import Peer
from chervilstall.settings.connections import TargetSettings
from chervilstall.target.calls import Call, call_once
from chervilstall.telemetry.events import EventLog

log = EventLog("edge")

REACH_PATH = "/reach"
SERVICE_FIELD = "service"
RETRIES_FIELD = "retries"
RETRIES_PATTERN = re.compile("[0-9]{1,4}")
REPORT_MAX_BYTES = 65_536
NAMED_MAX = 4
"""Routers that a report names besides its own."""

ASK_TIMEOUT_S = 0.6
"""A router that has just lost its own links finds that out within 0.4 s."""

UNKNOWN_QUESTION = 400
"""Status with which routers of earlier versions answer, which may be able."""


class ReachReport(msgspec.Struct, frozen=True):
    """Whether a router reaches targets of a service, and which others do.

    `version` is that of the configuration by which it serves requests. `reaching`
    names routers that served requests for this one or said that they reach targets.
    `lent` is the number of retries that the router that asks may use at once.
    """

    version: Count = 0
    is_able: bool = False
    reaching: tuple[str, ...] = ()
    lent: Count = 0


_decoder = msgspec.json.Decoder(ReachReport)
_MAY_BE_ABLE = ReachReport(INTEGER_MAX, is_able=True)

OnReport = Callable[[Peer, ReachReport | None], None]
"""Called with a router that was asked, and its report or None if it returned none."""

AskPeers = Callable[[list[Peer], ServiceName, OnReport], None]


def start_asking(peers: list[Peer], service: ServiceName, on_report: OnReport) -> None:
    """Ask routers at the same time, each in a task of its own, and don't wait."""
    for peer in peers:
        gevent.spawn(_ask, peer, service, on_report)


def _ask(peer: Peer, service: ServiceName, on_report: OnReport) -> None:
    on_report(peer, fetch_report(peer, service))


def fetch_report(
    peer: Peer, service: ServiceName, retries: int = 0
) -> ReachReport | None:
    """Ask one router, also for a number of retries; None without a report in time."""
    fields = {SERVICE_FIELD: service, RETRIES_FIELD: str(retries)}
    path = f"{REACH_PATH}?{urlencode(fields)}"
    settings = TargetSettings(connect_timeout_s=ASK_TIMEOUT_S)
    headers: dict[str, str] = {protocol.EXPECTED_TARGET: peer.vm}
    call = Call(
        "GET", path, ASK_TIMEOUT_S, headers=headers, body_max_bytes=REPORT_MAX_BYTES
    )
    try:
        response = call_once(peer.address, settings, call)
        if response.status == UNKNOWN_QUESTION:
            return _MAY_BE_ABLE
        return decode_untrusted(_decoder, response.body)
    except (OSError, HTTPParseError, ValueError) as error:
        log.info("router does not report", peer=peer.vm, why=str(error))
        return None


@dataclass
class ReachEndpoint:
    """Answers the question of other routers which services this one can serve.

    `check` says whether targets of a service are within reach now, `named` returns the
    routers known to reach some, `version` the version of the configuration in force,
    None if this router serves nobody, and `lend` how many retries it lends of a number.
    """

    check: Callable[[ServiceName], bool]
    named: Callable[[ServiceName], Iterable[VmId]]
    version: Callable[[], int | None]
    lend: Callable[[ServiceName, int], int]

    def respond(self, query: str) -> HttpResponse:
        """Return the report on the service that a query names."""
        fields = dict(parse_qsl(query))
        retries = fields.get(RETRIES_FIELD, "0")
        if SERVICE_FIELD not in fields or not RETRIES_PATTERN.fullmatch(retries):
            return json_response(404, {"error": "the question is malformed"})
        service = ServiceName(fields[SERVICE_FIELD])
        version = self.version()
        is_able = version is not None and self.check(service)
        lent = self.lend(service, int(retries)) if is_able else 0
        reaching = () if is_able else tuple(islice(self.named(service), NAMED_MAX))
        return json_response(200, ReachReport(version or 0, is_able, reaching, lent))
