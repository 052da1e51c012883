"""Polls the engines that a router uses for their load and cache events."""

import gevent
from gevent.pool import Group

from chervilstall.ids import TargetId
from chervilstall.routing.selector import ChainSelector
from chervilstall.settings.connections import TargetSettings
from chervilstall.settings.option import Address
from chervilstall.settings.processes import RoutingSettings
from chervilstall.target.engine_client import HttpEngineClient
from chervilstall.telemetry.logs import ComponentLog

log = ComponentLog("targets")


class TargetPoller:
    """Runs one polling greenlet per engine in use; `run` starts and ends them.

    `stop` kills every poller at once, also while it waits for a response, because the
    address of a removed target may belong to another one by the next call.
    """

    def __init__(
        self,
        target: TargetSettings,
        routing: RoutingSettings,
        selector: ChainSelector,
        engines: HttpEngineClient,
    ) -> None:
        self._interval_s = target.poll_interval_s
        self._is_affinity_enabled = bool(routing.affinity_entries)
        self._selector = selector
        self._engines = engines
        self._pollers: dict[TargetId, gevent.Greenlet] = {}
        self._poller_group = Group()

    def run(self) -> None:
        """Keep one poller running per engine of the selector, until killed."""
        while True:
            in_use = {engine.target for engine in self._selector.engines()}
            for target in in_use - set(self._pollers):
                self._pollers[target] = self._poller_group.spawn(self._poll, target)
            for target in set(self._pollers) - in_use:
                self._pollers.pop(target).kill(block=False)
            gevent.sleep(self._interval_s)

    def stop(self) -> None:
        """Kill every poller."""
        self._poller_group.kill(block=False)

    def _poll(self, target: TargetId) -> None:
        """Poll one engine for load and cache events until it is no longer in use."""
        while True:
            engine = self._selector.engine(target)
            if engine is None:
                return
            try:
                self._poll_once(target, engine.address)
            except Exception as error:
                # Whatever one report holds, the next one is to be read.
                log.error("Could not use what %s reports: %r.", target, error)
            gevent.sleep(self._interval_s)

    def _poll_once(self, target: TargetId, address: Address) -> None:
        report = self._engines.fetch_load(address)
        if report is not None:
            self._selector.load_table.apply_report(target, report)
            self._update_affinity(target, report.cache_sequence)

    def _update_affinity(self, target: TargetId, sequence: int) -> None:
        affinity = self._selector.affinity
        engine = self._selector.engine(target)
        if engine is None or not self._is_affinity_enabled:
            return
        affinity.observe_sequence(target, sequence)
        if affinity.is_stale(target):
            index = self._engines.fetch_cache_index(engine.address)
            if index is not None:
                affinity.replace(target, index)
            return
        last_sequence = affinity.sequence(target)
        if sequence <= last_sequence:
            return
        events = self._engines.fetch_cache_events(engine.address, last_sequence)
        if events is not None:
            affinity.apply(target, events)
