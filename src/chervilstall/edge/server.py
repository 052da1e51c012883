"""The router process of one VM: listeners, background tasks and graceful shutdown."""

import gc
import os
import time
from pathlib import Path
from socket import socket

import gevent
from gevent.event import Event

from chervilstall.edge.assembly import build_application
from chervilstall.edge.changes.relays import RelayChoice
from chervilstall.edge.changes.service import ChangeService
from chervilstall.edge.connections import TargetConnections
from chervilstall.edge.crashes.observer import CrashObserver
from chervilstall.edge.crashes.sharing import QuarantineSharing
from chervilstall.edge.draining import DrainSchedule
from chervilstall.edge.endpoints import OperatorEndpoints
from chervilstall.edge.features import Features
from chervilstall.edge.graceful_stop import GracefulStop
from chervilstall.edge.limits.budget import FleetRetryBudget
from chervilstall.edge.limits.rate_limits import TargetRateLimiter
from chervilstall.edge.limits.sharing import LimitSharing
from chervilstall.edge.listeners import build_listeners
from chervilstall.edge.loads.exchange import LoadExchange
from chervilstall.edge.loop_pulse import LoopPulse
from chervilstall.edge.peers.directory import PeerDirectory, describe_own
from chervilstall.edge.peers.listener import PeerEndpoint
from chervilstall.edge.peers.loans import RetryLoans
from chervilstall.edge.peers.reach_report import ReachEndpoint
from chervilstall.edge.peers.search import ReachSearch
from chervilstall.edge.reach.outage import OutagePoller
from chervilstall.edge.reach.suspicions import SuspicionSharing
from chervilstall.edge.reach.targets import TargetReach
from chervilstall.edge.reach.zones import ZoneProber
from chervilstall.edge.registry import ROUTERS_ASSUMED, RouterRegistry
from chervilstall.edge.settings_file import SettingsFile
from chervilstall.edge.standby import CHECK_INTERVAL_S
from chervilstall.edge.store_handlers import build_handlers
from chervilstall.edge.store_probe import StoreProbe
from chervilstall.edge.streams.monitor import StreamMonitor
from chervilstall.edge.streams.slow_targets import SlowTargetDetector
from chervilstall.edge.where.endpoint import WhereEndpoint
from chervilstall.fleet.view import FleetView
from chervilstall.lease.holder import LeaseHolder
from chervilstall.paths.choice import PathChooser
from chervilstall.placement.planner import PlacementPlanner
from chervilstall.platform.kv import PlatformStore
from chervilstall.platform.leases import PlatformLeases
from chervilstall.platform.targets import kept_calls
from chervilstall.platform.watcher import StoreWatcher
from chervilstall.process_limits.derived import derive_limits
from chervilstall.quarantine.prompts import PromptQuarantine
from chervilstall.settings.edge import EdgeSettings
from chervilstall.settings.leases import LeaseSettings
from chervilstall.settings.node import NodeSettings
from chervilstall.telemetry.edge_metrics import EdgeMetrics
from chervilstall.telemetry.events import EventLog
from chervilstall.telemetry.gc_tuning import tune_garbage_collector

log = EventLog("router")

PLANNER_LEASE = "planner"
PLANNER_LEASE_TTL_S = 2.0
PLANNER_LEASE_MARGIN_S = 0.4
METRICS_PORT = 9464
HOUSEKEEPING_INTERVAL_S = 0.5
PRUNE_INTERVAL_TURNS = 60


class EdgeServer:
    """One router with all its parts, built from its settings.

    `listener` is a bound listening socket; without it, the address in the settings is
    bound at the start.
    """

    def __init__(
        self,
        settings: NodeSettings,
        settings_path: Path,
        metrics_port: int = METRICS_PORT,
        listener: socket | None = None,
        edge_settings: EdgeSettings = EdgeSettings(),
    ) -> None:
        self.settings = settings
        self.settings_file = SettingsFile(settings_path)
        self.fleet_view = FleetView(settings.bounds.drain_s)
        self.features = Features(edge_settings, self.fleet_view)
        self.store = PlatformStore(settings.store)
        self.store.on_new_era = self._handle_new_era
        self.leases = PlatformLeases(self.store)
        self.budget = FleetRetryBudget(
            settings.bounds, ROUTERS_ASSUMED, started_at_s=time.monotonic()
        )
        self.chooser = PathChooser(
            self.fleet_view, settings.zone, max(1, len(settings.zones))
        )
        self.rate_limiter = TargetRateLimiter(
            settings.vm, settings.zone, statements=self.fleet_view.statements
        )
        self.stream_monitor = StreamMonitor(
            self.fleet_view,
            self.chooser,
            self.budget,
            self.rate_limiter,
            SlowTargetDetector(self.fleet_view, self.chooser, self.rate_limiter),
        )
        self.target_reach = TargetReach(self.fleet_view, self.rate_limiter)
        self.peer_directory = PeerDirectory(settings.vm, settings.zone)
        self.reach_search = ReachSearch(self.peer_directory, self.fleet_view)
        self.metrics = EdgeMetrics()
        self.quarantine = PromptQuarantine(
            lambda action: self.quarantine_sharing.carry_out(action)
        )
        self.crash_observer = CrashObserver(
            self.fleet_view,
            lambda report: self.quarantine_sharing.share_crash(report),
        )
        limits = derive_limits(settings, edge_settings.process)
        self.client_memory = limits.new_memory()
        self.connections = TargetConnections(
            self.fleet_view,
            lambda: self.chooser.router_count,
            requests_max=limits.requests_max,
        )
        self.app = build_application(self, limits)
        self.planner_lease = LeaseHolder(
            self.leases,
            PLANNER_LEASE,
            f"{settings.vm}/{os.getpid()}",
            LeaseSettings(ttl_s=PLANNER_LEASE_TTL_S, margin_s=PLANNER_LEASE_MARGIN_S),
            standby_interval_s=CHECK_INTERVAL_S,
        )
        self.planner = PlacementPlanner(self.fleet_view, self.planner_lease)
        self.zone_prober = ZoneProber(self.fleet_view, settings.zone)
        self.outage_poller = OutagePoller(
            self.fleet_view, settings.zone, self.planner, self.rate_limiter
        )
        self.registry = RouterRegistry(
            settings.vm,
            settings.zone,
            self.store,
            self.fleet_view,
            self.budget,
            self.chooser,
            self.planner,
            self.rate_limiter,
        )
        self.limit_sharing = LimitSharing(
            self.fleet_view, self.rate_limiter, self.registry
        )
        self.quarantine_sharing = QuarantineSharing(
            self.quarantine, self.registry, self.store
        )
        self.rate_limiter.on_change = self.limit_sharing.share
        handlers = build_handlers(
            self.fleet_view,
            self.registry,
            self.limit_sharing,
            self.quarantine_sharing,
            self.peer_directory,
        )
        self.store_watcher = StoreWatcher(self.store, self.fleet_view, handlers)
        relay_choice = RelayChoice(self.peer_directory)
        self.changes = ChangeService(
            self.store_watcher, relay_choice, lambda: self.is_draining
        )
        self.load_exchange = LoadExchange(
            self.peer_directory,
            self.fleet_view,
            self.chooser,
            self.features.exchanges_load,
        )
        self.store_probe = StoreProbe(self.store, self.store_watcher, self.registry.key)
        reach = ReachEndpoint(
            self.target_reach.check_lately,
            self.reach_search.reaching,
            self._serving_version,
            self.budget.lend,
        )
        where = WhereEndpoint(self.app, settings.vm, settings.zone)
        endpoints = OperatorEndpoints(
            lambda: self.is_ready, self.metrics_text, where.respond
        )
        self.listeners = build_listeners(
            settings,
            metrics_port,
            limits,
            self.client_memory,
            listener or settings.frontend_address,
            (self.app, PeerEndpoint(self.app, reach), endpoints),
        )
        self.caller_listener = self.listeners.callers
        self.peer_listener = self.listeners.peers
        self.suspicion_sharing = self._build_suspicion_sharing()
        self.is_draining = False
        self.loop_pulse = LoopPulse()
        self._stopped = Event()
        self._tasks: list[gevent.Greenlet] = []

    def _build_suspicion_sharing(self) -> SuspicionSharing:
        sharing = SuspicionSharing(
            self.settings.zone,
            self.registry,
            self.planner,
            self.planner_lease,
            self.zone_prober,
            self.target_reach,
        )
        self.fleet_view.on_suspicion = sharing.handle_suspicion
        self.stream_monitor.on_silence = sharing.check_links_to
        loans = RetryLoans(self.reach_search, self.target_reach, self.budget)
        self.stream_monitor.on_no_retry = loans.request
        return sharing

    def _handle_new_era(self) -> None:
        """Take up the work again with a store that came back from an earlier copy."""
        self.fleet_view.forget_revisions()
        self.leases.forget_leases()
        self.planner_lease.forfeit()
        self.registry.handle_new_era()
        self.limit_sharing.handle_new_era()
        self.store_watcher.restart()

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers to this router."""
        return (
            not self.is_draining
            and self.fleet_view.configuration is not None
            and self.fleet_view.are_targets_loaded
        )

    def _serving_version(self) -> int | None:
        """Return the version of the configuration; None if no new work is taken."""
        configuration = self.fleet_view.configuration
        if configuration is None or not self.is_ready:
            return None
        return configuration.version

    def start(self) -> None:
        """Start the listeners and all background tasks."""
        log.info("started", zone=self.settings.zone, pid=os.getpid())
        self.listeners.apply_limits(self.fleet_view.configuration)
        self.listeners.start()
        self.registry.peer = describe_own(
            self.settings, self.peer_listener.bound_address
        )
        self.changes.choice.own = self.registry.peer
        self.load_exchange.own = self.registry.peer
        runners = [self.store_watcher.run, self.store_probe.run]
        runners += [self.registry.run, self.planner_lease.run, self.planner.run]
        runners += [
            self.loop_pulse.run,
            self.stream_monitor.run,
            self.outage_poller.run,
            self.zone_prober.run,
            self.target_reach.run,
            self.load_exchange.run,
            lambda: self.reach_search.run(self.target_reach.out_of_reach.keys()),
            self._run_housekeeping,
        ]
        self._tasks = [gevent.spawn(runner) for runner in runners]
        tune_garbage_collector()

    def _run_housekeeping(self) -> None:
        turn = 0
        self.fleet_view.loaded.wait(HOUSEKEEPING_INTERVAL_S)
        self.listeners.apply_limits(self.fleet_view.configuration)
        while True:
            gevent.sleep(HOUSEKEEPING_INTERVAL_S)
            turn += 1
            if turn % PRUNE_INTERVAL_TURNS == 0:
                self.prune_departed_targets()
            self.fleet_view.expire()
            self.quarantine.expire()
            kept_calls.expire()
            self.connections.expire()
            self.listeners.apply_limits(self.fleet_view.configuration)
            self._reload_settings()

    def prune_departed_targets(self) -> None:
        """Drop the state of targets that are gone, so that memory use stays bounded."""
        targets = self.fleet_view.targets
        incarnations = {target.incarnation for target in targets.values()}
        self.stream_monitor.prune(targets)
        self.planner.prune(incarnations)
        self.chooser.load.prune(incarnations)
        self.app.plain_relay.chooser.prune(incarnations)
        self.target_reach.prune(incarnations)
        self.rate_limiter.prune(incarnations)
        self.crash_observer.prune(incarnations)

    def reload(self) -> None:
        """Read the settings file again at once."""
        log.info("reload asked for")
        self._reload_settings()

    def _reload_settings(self) -> None:
        """Apply changed settings; listening addresses change only with a restart."""
        settings = self.settings_file.read_changed()
        if settings is None:
            return
        self.settings = settings
        self.budget.bounds = settings.bounds
        self.fleet_view.drain_s = settings.bounds.drain_s
        self.store.settings = settings.store

    def metrics_text(self) -> str:
        """Return the metrics in the Prometheus text format."""
        gauges = self.metrics.gauges
        configuration = self.fleet_view.configuration
        gauges["configuration_version"] = configuration.version if configuration else 0
        gauges["targets"] = len(self.fleet_view.targets)
        gauges["target_statements"] = len(self.fleet_view.statements)
        gauges["streams"] = len(self.stream_monitor.streams)
        gauges["parts_under_quarantine"] = len(self.quarantine.entries)
        gauges["services_out_of_reach"] = len(self.target_reach.out_of_reach)
        gauges["requests_running"] = self.app.running_requests
        gauges["store_calls_total"] = self.store.calls
        gauges["report_connections_total"] = kept_calls.opened
        gauges["report_connections_reused_total"] = kept_calls.reused
        gauges["request_connections_total"] = self.connections.opened
        gauges["request_connections_reused_total"] = self.connections.reused
        gauges["request_connections_idle"] = len(self.connections.idle)
        gauges["orders_total"] = self.planner.orders_sent
        gauges["collections"] = sum(stats["collections"] for stats in gc.get_stats())
        gauges.update(self.listeners.gauges(self.client_memory))
        self.load_exchange.set_gauges(gauges)
        return self.metrics.exposition()

    def drain_and_stop(self, told_at_s: float) -> None:
        """Become unready, finish running requests and stop, within the grace period.

        `told_at_s` is the monotonic time at which the process got the stop signal.
        """
        if self.is_draining:
            return
        self.loop_pulse.pulse()
        came_at_s = self.loop_pulse.came_at_earliest_s(told_at_s)
        grace_s = self.settings.bounds.grace_s
        schedule = DrainSchedule.begin_late(came_at_s, told_at_s, grace_s)
        self.is_draining = True
        self.app.begin_drain(schedule)
        self.connections.stop_keeping()
        log.info(
            "draining",
            running=self.app.running_requests,
            after_s=schedule.elapsed_s,
        )
        self.planner_lease.stop()
        GracefulStop(self.app, self.caller_listener).run(schedule)
        self.stop()

    def stop(self) -> None:
        """Kill all tasks and connections at once."""
        gevent.killall(self._tasks, block=False)
        self.connections.stop_keeping()
        self.changes.stop()
        self.load_exchange.stop()
        self.listeners.kill_connections()
        self._stopped.set()

    def wait(self) -> None:
        """Wait until the router has stopped."""
        self._stopped.wait()
