"""The runtime of one router: its components, built from the settings."""

import time
from dataclasses import dataclass
from enum import Enum

import gevent

from chervilstall.admission.queue import AdmissionQueue
from chervilstall.admission.retry import RetryBudget
from chervilstall.admission.router_limits import RouterLimits, ShareService
from chervilstall.configuration.tree import Tree
from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.gateway.auth import Authenticator
from chervilstall.gateway.service_guard import ServiceGuard
from chervilstall.gateway.target_poller import TargetPoller
from chervilstall.idempotency.contract import ClaimService
from chervilstall.process_limits.memory import ClientMemory
from chervilstall.routing.explanation import ExplanationLog
from chervilstall.routing.fleet import build_fleet, is_fleet_same
from chervilstall.routing.selector import ChainSelector
from chervilstall.settings.connections import TargetSettings
from chervilstall.settings.processes import (
    AdmissionSettings,
    LimitSettings,
    ListenSettings,
    MetricsSettings,
    RetrySettings,
    RoutingSettings,
    VmSettings,
)
from chervilstall.stream.prompt_guard import PromptGuard
from chervilstall.stream.relay import RelayContext
from chervilstall.target.engine_client import HttpEngineClient
from chervilstall.target.service_client import HttpServiceClient
from chervilstall.telemetry.logs import ComponentLog
from chervilstall.telemetry.metrics import Metrics

log = ComponentLog("router")

STALL_CHECK_INTERVAL_S = 0.02
RENEWALS_PER_SHARE_TTL = 4


def yield_to_other_tasks() -> None:
    """Yield once, so that other greenlets that are ready to run get their turn."""
    gevent.sleep(0)


@dataclass(frozen=True)
class RouterSettings:
    """All settings sections of a router."""

    vm: VmSettings
    listen: ListenSettings = ListenSettings()
    admission: AdmissionSettings = AdmissionSettings()
    retry: RetrySettings = RetrySettings()
    target: TargetSettings = TargetSettings()
    routing: RoutingSettings = RoutingSettings()
    limits: LimitSettings = LimitSettings()
    metrics: MetricsSettings = MetricsSettings()


class RouterState(Enum):
    """Lifecycle state of a router, as `/readyz` reports it.

    A draining router still takes requests, a finishing one only ends those that run.
    """

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    FINISHING = "finishing"
    STOPPED = "stopped"


@dataclass
class RequestTracker:
    """Counts the running requests."""

    running: int = 0

    def start(self) -> None:
        """Count a request that starts."""
        self.running += 1

    def finish(self) -> None:
        """Count a request that ended."""
        self.running -= 1


RESERVE_PART = 8
"""One in so many bytes for bodies is kept for small ones."""

SMALL_BODY_BYTES = 65_536


class RouterRuntime:
    """The components of one router.

    `claims` claims idempotency keys and `shares` leases shares of limits. The router
    is ready once it has a settings tree. It never goes back to an older revision.
    """

    def __init__(
        self, settings: RouterSettings, claims: ClaimService, shares: ShareService
    ) -> None:
        self.settings = settings
        self.claims = claims
        self.tree = Tree()
        self.state = RouterState.STARTING
        self.metrics = Metrics(settings.metrics)
        self.request_tracker = RequestTracker()
        bodies_max_bytes = settings.listen.bodies_max_bytes
        self.client_memory = ClientMemory(
            bodies_max_bytes, bodies_max_bytes // RESERVE_PART, SMALL_BODY_BYTES
        )
        self.explanations = ExplanationLog()
        self.authenticator = Authenticator()
        self.queue = AdmissionQueue(settings.admission)
        self.retry_budget = RetryBudget(settings.retry)
        name = settings.vm.vm
        self.selector = ChainSelector(settings.routing, settings.vm.zone, name)
        self.engines = HttpEngineClient(settings.target)
        self.services = HttpServiceClient(settings.target)
        self.target_poller = TargetPoller(
            settings.target, settings.routing, self.selector, self.engines
        )
        self.limits = RouterLimits(settings.limits, name, shares)
        self.relay = RelayContext(
            self.selector,
            self.queue,
            self.retry_budget,
            self.engines,
            settings.retry,
            settings.target,
            PromptGuard(self.selector, self.engines),
        )
        self.service_guard = ServiceGuard(self.relay.prompt_guard.quarantine)
        self.longest_stall_s = 0.0
        self._tasks: list[gevent.Greenlet] = []

    # Settings

    def apply_tree(self, tree: Tree) -> bool:
        """Apply a newer tree and return True; ignore an older or equal one.

        The selector is rebuilt only where the fleet differs.
        """
        if tree.revision <= self.tree.revision:
            return False
        if not is_fleet_same(self.tree, tree):
            self.selector.update(
                build_fleet(tree, yield_to_other_tasks), yield_to_other_tasks
            )
        self.authenticator.update(tree)
        self.limits.update(tree)
        self.tree = tree
        if self.state is RouterState.STARTING:
            self.state = RouterState.READY
        log.info("Settings revision %d is in force.", tree.revision)
        self.queue.dispatch()
        return True

    def require_serving(self) -> None:
        """Raise SHUTTING_DOWN before the first settings and once requests only end.

        A draining router still accepts requests.
        """
        if self.state is RouterState.STARTING:
            raise ChervilstallError(
                ErrorKind.SHUTTING_DOWN, "the router has no settings yet"
            )
        if self.state in (RouterState.FINISHING, RouterState.STOPPED):
            raise ChervilstallError(ErrorKind.SHUTTING_DOWN, "the router is stopping")

    # Background tasks

    def start(self) -> None:
        """Start the background tasks."""
        self._tasks = [
            gevent.spawn(self.target_poller.run),
            gevent.spawn(self._renew_shares),
            gevent.spawn(self._measure_stalls),
            gevent.spawn(self._dispatch_periodically),
        ]

    def stop(self) -> None:
        """Stop the background tasks."""
        self.state = RouterState.STOPPED
        gevent.killall(self._tasks, block=False)
        self.target_poller.stop()

    def _dispatch_periodically(self) -> None:
        # Capacity also frees up without a request finishing: an ejection ends or a
        # concurrency limit grows.
        while True:
            gevent.sleep(self.settings.target.poll_interval_s)
            self.queue.dispatch()
            self.relay.prompt_guard.expire()

    def _renew_shares(self) -> None:
        while True:
            gevent.sleep(self.settings.limits.share_ttl_s / RENEWALS_PER_SHARE_TTL)
            try:
                self.limits.renew()
            except ChervilstallError as error:
                log.warning("Could not renew the limit shares: %s.", error)

    def _measure_stalls(self) -> None:
        """Record how late a timer fires while a greenlet blocks the event loop."""
        while True:
            slept_at_s = time.monotonic()
            gevent.sleep(STALL_CHECK_INTERVAL_S)
            stall_s = time.monotonic() - slept_at_s - STALL_CHECK_INTERVAL_S
            self.longest_stall_s = max(self.longest_stall_s, stall_s)

    # Shutdown

    def await_load_balancer(self) -> None:
        """Report not-ready, and take requests until the load balancer has noticed."""
        self.state = RouterState.DRAINING
        gevent.sleep(self.settings.listen.drain_wait_s)

    def refuse_requests(self) -> None:
        """Take no more requests; those that run go on."""
        self.state = RouterState.FINISHING
