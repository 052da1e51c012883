"""The router's client of the agent on its VM: settings, claims and limit shares.

While the agent is unavailable the router keeps its last settings, fails requests with
an idempotency key as "not run", and falls back to the safe share of each limit.
"""

import os
import random
from collections.abc import Callable

import gevent

from chervilstall.configuration.replica import Replica
from chervilstall.configuration.tree import Tree
from chervilstall.errors import ChervilstallError
from chervilstall.ids import VmId, new_instance_id
from chervilstall.peer.claims import (
    CLAIM_ANSWER_TYPES,
    ClaimAnswer,
    ClaimRequest,
    OutcomeReport,
    Unavailable,
)
from chervilstall.peer.keys import read_keys
from chervilstall.peer.messages import (
    NodeReport,
    PullTree,
    ReportAnswer,
    ShareGrants,
    ShareRequests,
    TreeDelta,
    TreeWhole,
)
from chervilstall.peer.shares import ShareGrant, ShareRequest
from chervilstall.peer.transport import PeerClient
from chervilstall.settings.processes import AgentLinkSettings, VmSettings
from chervilstall.tasks import run_forever
from chervilstall.telemetry.logs import ComponentLog

log = ComponentLog("agent link")

TreeListener = Callable[[Tree], object]

PULL_WAIT_S = 2.0
PULL_RETRY_S = 0.2


class AgentLink:
    """Client of the agent; implements ClaimService and ShareService for a router."""

    def __init__(self, settings: AgentLinkSettings, vm: VmSettings) -> None:
        self.settings = settings
        self.replica = Replica(self._on_tree)
        self._reporter_name = VmId(f"{vm.vm}/router-{os.getpid()}")
        self._instance = new_instance_id()
        keys = read_keys(settings.curve_directory)
        # Pulls are long polls, so they have a connection of their own.
        self._pull_client = PeerClient(settings.address, keys)
        self._call_client = PeerClient(settings.address, keys)
        self._tree_listeners: list[TreeListener] = []
        self._rng = random.Random()

    def on_tree(self, listener: TreeListener) -> None:
        """Register `listener` to be called with each new tree."""
        self._tree_listeners.append(listener)

    def _on_tree(self, tree: Tree) -> None:
        for listener in self._tree_listeners:
            listener(tree)

    def poll_settings(self) -> None:
        """Long-poll the agent for settings until killed; run in one greenlet."""
        run_forever(log, self._poll_settings_once)

    def _poll_settings_once(self) -> None:
        try:
            self._pull()
        except ChervilstallError as error:
            log.debug("Could not pull settings from the agent: %s.", error)
            gevent.sleep(PULL_RETRY_S * self._rng.uniform(0.5, 1.5))

    def _pull(self) -> None:
        revision = self.replica.revision
        report = NodeReport(self._reporter_name, self._instance, revision)
        timeout_s = PULL_WAIT_S + self.settings.timeout_s
        answer = self._pull_client.call(
            PullTree(revision, PULL_WAIT_S, (report,)), timeout_s
        )
        if isinstance(answer, (TreeDelta, TreeWhole)):
            self.replica.apply(answer)

    def claim(self, request: ClaimRequest) -> ClaimAnswer:
        """Claim a key through the agent; Unavailable if the agent does not respond."""
        timeout_s = request.wait_s + self.settings.timeout_s
        try:
            reply = self._call_client.call(request, timeout_s)
        except ChervilstallError as error:
            return Unavailable(str(error))
        if isinstance(reply, CLAIM_ANSWER_TYPES):
            return reply
        return Unavailable("the agent can't serve claims")

    def report(self, report: OutcomeReport) -> bool:
        """Report an outcome through the agent; return whether a home accepted it."""
        try:
            reply = self._call_client.ask(report, ReportAnswer, self.settings.timeout_s)
        except ChervilstallError:
            return False
        return reply.is_taken

    def request_shares(self, requests: list[ShareRequest]) -> list[ShareGrant]:
        """Lease limit shares through the agent; empty if it does not respond."""
        message = ShareRequests(tuple(requests))
        try:
            reply = self._call_client.ask(message, ShareGrants, self.settings.timeout_s)
        except ChervilstallError:
            return []
        return list(reply.grants)

    def stop(self) -> None:
        """Close both connections."""
        self._pull_client.stop()
        self._call_client.stop()
