"""A router's link to the agent of its VM: settings, claims and shares.

The router goes on with what it has while the agent is away: settings stay, requests
under keys are answered "not run", and limits fall back to the safe share.
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

TreeReceiver = Callable[[Tree], object]

PULL_WAIT_S = 2.0
RETRY_S = 0.2
CLAIM_ANSWERS = ClaimAnswer.__args__  # type: ignore[attr-defined]


class AgentLink:
    """Talks to the agent; serves a router as claim and share service."""

    def __init__(self, settings: AgentLinkSettings, vm: VmSettings) -> None:
        self.settings = settings
        self.replica = Replica(self._on_tree)
        self._name = VmId(f"{vm.vm}/router-{os.getpid()}")
        self._instance = new_instance_id()
        keys = read_keys(settings.curve_directory)
        # Pulls wait at the agent, so they have a connection of their own.
        self._pulls = PeerClient(settings.address, keys)
        self._calls = PeerClient(settings.address, keys)
        self._receivers: list[TreeReceiver] = []
        self._rng = random.Random()

    def on_tree(self, receiver: TreeReceiver) -> None:
        """Call `receiver` with each new tree."""
        self._receivers.append(receiver)

    def _on_tree(self, tree: Tree) -> None:
        for receiver in self._receivers:
            receiver(tree)

    def poll_settings(self) -> None:
        """Pull settings until killed; one task runs this."""
        run_forever(log, self._follow_once)

    def _follow_once(self) -> None:
        try:
            self._pull()
        except ChervilstallError as error:
            log.debug("The agent does not answer: %s.", error)
            gevent.sleep(RETRY_S * self._rng.uniform(0.5, 1.5))

    def _pull(self) -> None:
        revision = self.replica.revision
        report = NodeReport(self._name, self._instance, revision)
        timeout_s = PULL_WAIT_S + self.settings.timeout_s
        answer = self._pulls.call(PullTree(revision, PULL_WAIT_S, (report,)), timeout_s)
        if isinstance(answer, (TreeDelta, TreeWhole)):
            self.replica.apply(answer)

    def claim(self, request: ClaimRequest) -> ClaimAnswer:
        """Claim a key through the agent; without an answer nothing was judged."""
        timeout_s = request.wait_s + self.settings.timeout_s
        try:
            reply = self._calls.call(request, timeout_s)
        except ChervilstallError as error:
            return Unavailable(str(error))
        if isinstance(reply, CLAIM_ANSWERS):
            return reply
        return Unavailable("the agent can't serve claims")

    def report(self, report: OutcomeReport) -> bool:
        """Report an outcome through the agent."""
        try:
            reply = self._calls.ask(report, ReportAnswer, self.settings.timeout_s)
        except ChervilstallError:
            return False
        return reply.is_taken

    def request_shares(self, requests: list[ShareRequest]) -> list[ShareGrant]:
        """Lease shares through the agent."""
        message = ShareRequests(tuple(requests))
        try:
            reply = self._calls.ask(message, ShareGrants, self.settings.timeout_s)
        except ChervilstallError:
            return []
        return list(reply.grants)

    def stop(self) -> None:
        """Close the connections."""
        self._pulls.stop()
        self._calls.stop()
