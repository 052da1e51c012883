"""A router on one VM: its listeners, its tasks and its orderly end."""

import gc
import os
import time
from dataclasses import dataclass
from pathlib import Path
from socket import socket

import gevent
from gevent.event import Event

from chervilstall.edge.app import EdgeApplication, error_reply
from chervilstall.edge.budget import FleetRetryBudget
from chervilstall.edge.members import ROUTERS_UNKNOWN, Members
from chervilstall.edge.pace import PaceWatch
from chervilstall.edge.plain import PlainChooser, PlainRelay
from chervilstall.edge.pulse import StorePulse
from chervilstall.edge.reach import ZoneReach
from chervilstall.edge.streams import StreamContext
from chervilstall.edge.survey import Survey
from chervilstall.edge.watch import StreamWatch
from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.fleet.records import Target
from chervilstall.fleet.view import FleetView, SuspicionKind
from chervilstall.lease.holder import LeaseHolder
from chervilstall.paths.choice import PathChooser
from chervilstall.placement.planner import PlacementPlanner
from chervilstall.platform import protocol
from chervilstall.platform.kv import PlatformStore
from chervilstall.platform.leases import PlatformLeases
from chervilstall.platform.node import read_node
from chervilstall.platform.suspicions import SharedSuspicion
from chervilstall.platform.watcher import (
    EntryHandler,
    StoreWatcher,
    configuration_handler,
    target_handler,
)
from chervilstall.settings.leases import LeaseSettings
from chervilstall.settings.node import NodeSettings
from chervilstall.settings.option import Address
from chervilstall.settings.problems import InvalidSettings
from chervilstall.telemetry.edge_metrics import EdgeMetrics
from chervilstall.telemetry.events import EventLog
from chervilstall.telemetry.gc_tuning import tune_garbage_collector
from chervilstall.wsgi import (
    Environ,
    HttpResponse,
    Server,
    StartResponse,
    json_response,
)

log = EventLog("router")

PLANNER_LEASE = "planner"
PLANNER_TTL_S = 2.0
PLANNER_MARGIN_S = 0.4
PLANNER_STANDBY_S = 10.0
METRICS_PORT = 9464
HOUSEKEEPING_S = 0.5
FORGET_TURNS = 60
BALANCER_S = 3.0
"""Time in which the balancer sees that a router is no longer ready."""

GRACE_SHARE = 0.92
LAST_CALL_S = 0.6
"""Time before the end after which no new connection is taken."""

DRAIN_TICK_S = 0.05
MALFORMED_KINDS = {
    408: ErrorKind.REQUEST_TIMEOUT,
    413: ErrorKind.BODY_TOO_LARGE,
    414: ErrorKind.HEADERS_TOO_LARGE,
    431: ErrorKind.HEADERS_TOO_LARGE,
    500: ErrorKind.INTERNAL,
}


def bad_request_response(status: int) -> HttpResponse:
    """Return the answer to a request that HTTP parsing refused."""
    kind = MALFORMED_KINDS.get(status, ErrorKind.BAD_REQUEST)
    return error_reply(ChervilstallError(kind, "the request is malformed"))


@dataclass
class Operations:
    """Readiness for the balancer, and metrics for operators."""

    server: "EdgeServer"

    def __call__(self, environ: Environ, start_response: StartResponse) -> list[bytes]:
        """Answer one question."""
        return self._reply(environ["PATH_INFO"]).start(start_response)

    def _reply(self, path: str) -> HttpResponse:
        match path:
            case protocol.READY_PATH:
                is_ready = self.server.is_ready
                return json_response(200 if is_ready else 503, {"ready": is_ready})
            case "/metrics":
                text = self.server.exposition().encode()
                return HttpResponse(200, text, (("Content-Type", "text/plain"),))
        return json_response(404, {"error": "no such path"})


class EdgeServer:
    """Everything that one router holds, wired together from its settings.

    `listener` is a listener that is bound already.
    """

    def __init__(
        self,
        settings: NodeSettings,
        settings_path: Path,
        metrics_port: int = METRICS_PORT,
        listener: socket | None = None,
    ) -> None:
        self.settings = settings
        self.settings_path = settings_path
        self.fleet_view = FleetView(settings.bounds.drain_s)
        self.store = PlatformStore(settings.store)
        self.budget = FleetRetryBudget(settings.bounds, ROUTERS_UNKNOWN)
        self.chooser = PathChooser(
            self.fleet_view, settings.zone, max(1, len(settings.zones))
        )
        self.watch = StreamWatch(
            self.fleet_view,
            self.chooser,
            self.budget,
            PaceWatch(self.fleet_view, self.chooser),
        )
        self.metrics = EdgeMetrics()
        self.app = self._application()
        self.planner_lease = LeaseHolder(
            PlatformLeases(self.store),
            PLANNER_LEASE,
            f"{settings.vm}/{os.getpid()}",
            LeaseSettings(ttl_s=PLANNER_TTL_S, margin_s=PLANNER_MARGIN_S),
            standby_interval_s=PLANNER_STANDBY_S,
        )
        self.planner = PlacementPlanner(self.fleet_view, self.planner_lease)
        self.reach = ZoneReach(self.fleet_view, settings.zone)
        self.watch.on_silence = self.reach.doubt
        self.survey = Survey(self.fleet_view, settings.zone, self.planner)
        self.members = Members(
            settings.vm,
            settings.zone,
            self.store,
            self.fleet_view,
            self.budget,
            self.chooser,
            self.planner,
        )
        self.store_watcher = self.members.store_watcher = self._new_store_watcher()
        self.pulse = StorePulse(self.store, self.store_watcher, self.members.key)
        self.caller_listener = Server(
            listener or settings.frontend_address,
            self.app,
            bad_request_response=bad_request_response,
        )
        operations = Operations(self)
        self.ready = Server(settings.ready_address, operations)
        self.metrics_listener = Server(
            Address(settings.ready_address.host, metrics_port), operations
        )
        self.fleet_view.on_suspicion = self._share_suspicion
        self.is_draining = False
        self._stopped = Event()
        self._tasks: list[gevent.Greenlet] = []
        self._settings_text = b""

    def _application(self) -> EdgeApplication:
        plain = PlainRelay(
            PlainChooser(self.fleet_view, self.settings.zone),
            self.fleet_view,
            self.budget,
        )
        streams = StreamContext(self.fleet_view, self.chooser, self.budget, self.watch)
        return EdgeApplication(
            self.fleet_view, plain, streams, self.budget, self.metrics
        )

    def _new_store_watcher(self) -> StoreWatcher:
        own = EntryHandler(
            protocol.ROUTER_KEYS_PREFIX, self.members.take, self.members.take_all
        )
        readers = (
            configuration_handler(self.fleet_view),
            target_handler(self.fleet_view),
            own,
        )
        return StoreWatcher(self.store, self.fleet_view, readers)

    def _share_suspicion(self, target: Target, doubt: SuspicionKind) -> None:
        suspect = SharedSuspicion(
            target.id,
            target.started_at_ms,
            self.settings.vm,
            self.settings.zone,
            doubt,
        )
        self.planner.handle_suspicion(target, doubt)
        if doubt is not SuspicionKind.REFUSING:
            self.reach.doubt(target)
        gevent.spawn(self.members.share, suspect)

    @property
    def is_ready(self) -> bool:
        """Return whether new callers should come here."""
        return (
            not self.is_draining
            and self.fleet_view.configuration is not None
            and self.fleet_view.are_targets_loaded
        )

    def start(self) -> None:
        """Start every task, and serve."""
        log.info("started", zone=self.settings.zone, pid=os.getpid())
        self.caller_listener.start()
        self.ready.start()
        self.metrics_listener.start()
        runners = [self.store_watcher.run, self.pulse.run]
        runners += [self.members.run, self.planner_lease.run, self.planner.run]
        runners += [
            self.watch.run,
            self.survey.run,
            self.reach.run,
            self._run_housekeeping,
        ]
        self._tasks = [gevent.spawn(runner) for runner in runners]
        tune_garbage_collector()

    def _run_housekeeping(self) -> None:
        turn = 0
        while True:
            gevent.sleep(HOUSEKEEPING_S)
            turn += 1
            if turn % FORGET_TURNS == 0:
                self.forget_departed()
            self.fleet_view.expire()
            self._apply_limits()
            self._reread_settings()

    def forget_departed(self) -> None:
        """Drop what is kept of targets that are gone, so that nothing grows."""
        targets = self.fleet_view.targets
        incarnations = {target.incarnation for target in targets.values()}
        self.watch.prune(targets)
        self.planner.prune(incarnations)
        self.chooser.load.prune(incarnations)
        self.app.plain.chooser.prune(incarnations)

    def _apply_limits(self) -> None:
        configuration = self.fleet_view.configuration
        if configuration is not None:
            self.caller_listener.header_timeout_s = (
                configuration.limits.header_timeout_s
            )
            self.caller_listener.idle_timeout_s = configuration.limits.idle_timeout_s

    def reload(self) -> None:
        """Read the settings again at once."""
        log.info("reload asked for")
        self._reread_settings()

    def _reread_settings(self) -> None:
        """Take in bounds that changed; addresses hold until the next start."""
        try:
            text = self.settings_path.read_bytes()
            if text == self._settings_text:
                return
            is_first = not self._settings_text
            self._settings_text = text
            settings = read_node(self.settings_path)
        except (OSError, InvalidSettings) as error:
            log.error("settings not read", why=str(error))
            return
        self.settings = settings
        self.budget.bounds = settings.bounds
        self.fleet_view.drain_s = settings.bounds.drain_s
        self.store.settings = settings.store
        if not is_first:
            log.info("settings read again")

    def exposition(self) -> str:
        """Return the metrics as text."""
        gauges = self.metrics.gauges
        configuration = self.fleet_view.configuration
        gauges["configuration_version"] = configuration.version if configuration else 0
        gauges["targets"] = len(self.fleet_view.targets)
        gauges["streams"] = len(self.watch.streams)
        gauges["requests_running"] = self.app.running
        gauges["store_calls_total"] = self.store.calls
        gauges["orders_total"] = self.planner.orders_sent
        gauges["collections"] = sum(each["collections"] for each in gc.get_stats())
        return self.metrics.exposition()

    def drain_and_stop(self) -> None:
        """Stop taking callers, finish what was read, and end."""
        if self.is_draining:
            return
        started_s = time.monotonic()
        end_s = started_s + self.settings.bounds.grace_s * GRACE_SHARE
        self.is_draining = True
        self.app.is_draining = True
        log.info("draining", running=self.app.running)
        self.planner_lease.stop()
        balancer_end_s = min(started_s + BALANCER_S, end_s)
        while time.monotonic() < balancer_end_s:
            gevent.sleep(DRAIN_TICK_S)
        # The balancer may still send callers here where too few others are ready.
        self.app.takes_streams = False
        self.caller_listener.close_idle()
        while time.monotonic() < end_s - LAST_CALL_S and self.app.running:
            gevent.sleep(DRAIN_TICK_S)
        self.caller_listener.close()
        while self.app.running and time.monotonic() < end_s:
            gevent.sleep(DRAIN_TICK_S)
        log.info(
            "stopped",
            unfinished=self.app.running,
            after_s=round(time.monotonic() - started_s, 2),
        )
        self.stop()

    def stop(self) -> None:
        """End every task and connection at once."""
        gevent.killall(self._tasks, block=False)
        self.caller_listener.kill_connections()
        self.ready.kill_connections()
        self.metrics_listener.kill_connections()
        self._stopped.set()

    def wait(self) -> None:
        """Wait until the router has stopped."""
        self._stopped.wait()
