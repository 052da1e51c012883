"""Everything one router holds, wired together from its settings."""

import time
from dataclasses import dataclass, field
from enum import Enum

import gevent
from gevent.event import Event

from chervilstall.admission.queue import AdmissionQueue
from chervilstall.admission.retry import RetryBudget
from chervilstall.admission.router_limits import RouterLimits, ShareService
from chervilstall.configuration.tree import Tree
from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.gateway.auth import Authenticator
from chervilstall.gateway.polling import TargetPolling
from chervilstall.idempotency.contract import ClaimService
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
from chervilstall.stream.relay import RelayContext
from chervilstall.target.engine_client import HttpEngineClient
from chervilstall.target.service_client import HttpServiceClient
from chervilstall.telemetry.logs import ComponentLog
from chervilstall.telemetry.metrics import Metrics

log = ComponentLog("router")

STALL_TICK_S = 0.02
SHARE_RENEWALS = 4


def let_others_run() -> None:
    """Let the tasks that are ready run before going on."""
    gevent.sleep(0)


@dataclass(frozen=True)
class RouterSettings:
    """The router's sections, passed whole."""

    vm: VmSettings
    listen: ListenSettings = ListenSettings()
    admission: AdmissionSettings = AdmissionSettings()
    retry: RetrySettings = RetrySettings()
    target: TargetSettings = TargetSettings()
    routing: RoutingSettings = RoutingSettings()
    limits: LimitSettings = LimitSettings()
    metrics: MetricsSettings = MetricsSettings()


class RouterState(Enum):
    """Life of a router, as readiness shows it."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    STOPPED = "stopped"


@dataclass
class Activity:
    """Requests that are running now."""

    running: int = 0
    idle: Event = field(default_factory=Event)

    def __post_init__(self) -> None:
        self.idle.set()

    def start(self) -> None:
        """Count a request that begins."""
        self.running += 1
        self.idle.clear()

    def finish(self) -> None:
        """Count a request that ended."""
        self.running -= 1
        if self.running == 0:
            self.idle.set()


class RouterRuntime:
    """One router's parts.

    `claims` is where keys are claimed and `shares` where limits are leased. The
    router is ready once it has a settings tree, and only ever moves to a newer one.
    """

    def __init__(
        self, settings: RouterSettings, claims: ClaimService, shares: ShareService
    ) -> None:
        self.settings = settings
        self.claims = claims
        self.tree = Tree()
        self.state = RouterState.STARTING
        self.metrics = Metrics(settings.metrics)
        self.request_tracker = Activity()
        self.explanations = ExplanationLog()
        self.authenticator = Authenticator()
        self.queue = AdmissionQueue(settings.admission)
        self.retry_budget = RetryBudget(settings.retry)
        name = settings.vm.vm
        self.selector = ChainSelector(settings.routing, settings.vm.zone, name)
        self.engines = HttpEngineClient(settings.target)
        self.services = HttpServiceClient(settings.target)
        self.polling = TargetPolling(
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
        )
        self.longest_stall_s = 0.0
        self._tasks: list[gevent.Greenlet] = []

    # Settings

    def apply_tree(self, tree: Tree) -> bool:
        """Move to a newer tree; an older or equal one changes nothing."""
        if tree.revision <= self.tree.revision:
            return False
        if not is_fleet_same(self.tree, tree):
            self.selector.update(build_fleet(tree, let_others_run), let_others_run)
        self.authenticator.update(tree)
        self.limits.update(tree)
        self.tree = tree
        if self.state is RouterState.STARTING:
            self.state = RouterState.READY
        log.info("Settings revision %d is in force.", tree.revision)
        self.queue.dispatch()
        return True

    def require_serving(self) -> None:
        """Raise SHUTTING_DOWN where no new request may start."""
        if self.state is RouterState.STARTING:
            raise ChervilstallError(
                ErrorKind.SHUTTING_DOWN, "the router has no settings yet"
            )
        if self.state is RouterState.STOPPED:
            raise ChervilstallError(ErrorKind.SHUTTING_DOWN, "the router has stopped")

    # Background tasks

    def start(self) -> None:
        """Start the background tasks."""
        self._tasks = [
            gevent.spawn(self.polling.run),
            gevent.spawn(self._renew_shares),
            gevent.spawn(self._watch_stalls),
            gevent.spawn(self._pump),
        ]

    def stop(self) -> None:
        """Stop the background tasks."""
        self.state = RouterState.STOPPED
        gevent.killall(self._tasks, block=False)
        self.polling.stop()

    def _pump(self) -> None:
        # Room also appears without an event of ours: an ejection ends, a limit grows.
        while True:
            gevent.sleep(self.settings.target.poll_interval_s)
            self.queue.dispatch()

    def _renew_shares(self) -> None:
        while True:
            gevent.sleep(self.settings.limits.share_ttl_s / SHARE_RENEWALS)
            try:
                self.limits.renew()
            except ChervilstallError as error:
                log.warning("Shares were not renewed: %s.", error)

    def _watch_stalls(self) -> None:
        while True:
            slept_at_s = time.monotonic()
            gevent.sleep(STALL_TICK_S)
            stall_s = time.monotonic() - slept_at_s - STALL_TICK_S
            self.longest_stall_s = max(self.longest_stall_s, stall_s)

    # Shutdown

    def drain(self) -> bool:
        """Finish what runs; True where everything did within the timeout.

        The router turns not-ready first and goes on taking requests until the
        balancer has noticed.
        """
        self.state = RouterState.DRAINING
        gevent.sleep(self.settings.listen.drain_wait_s)
        is_idle = self.request_tracker.idle.wait(self.settings.listen.drain_timeout_s)
        if not is_idle:
            log.warning("%d requests did not finish.", self.request_tracker.running)
        return bool(is_idle)
