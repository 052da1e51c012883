"""Reading the load and the cache events of the engines that a router uses."""

import gevent
from gevent.pool import Group

from chervilstall.ids import TargetId
from chervilstall.routing.selector import ChainSelector
from chervilstall.settings.connections import TargetSettings
from chervilstall.settings.processes import RoutingSettings
from chervilstall.target.engine_client import HttpEngineClient


class TargetPolling:
    """One task per engine in use, and one that starts and ends them.

    `stop` ends every task at once, also those that wait for an answer: the address
    of a target that is gone may be another's by the time of the next call.
    """

    def __init__(
        self,
        target: TargetSettings,
        routing: RoutingSettings,
        selector: ChainSelector,
        engines: HttpEngineClient,
    ) -> None:
        self._interval_s = target.poll_interval_s
        self._is_cache_read = bool(routing.affinity_entries)
        self._selector = selector
        self._engines = engines
        self._pollers: dict[TargetId, gevent.Greenlet] = {}
        self._running = Group()

    def run(self) -> None:
        """Keep one poller per engine of the selector, until killed."""
        while True:
            known = {engine.target for engine in self._selector.engines()}
            for target in known - set(self._pollers):
                self._pollers[target] = self._running.spawn(self._poll, target)
            for target in set(self._pollers) - known:
                self._pollers.pop(target).kill(block=False)
            gevent.sleep(self._interval_s)

    def stop(self) -> None:
        """End every poller."""
        self._running.kill(block=False)

    def _poll(self, target: TargetId) -> None:
        """Read one engine's load and cache events for as long as it is in use."""
        while True:
            engine = self._selector.engine(target)
            if engine is None:
                return
            report = self._engines.fetch_load(engine.address)
            if report is not None:
                self._selector.load_table.apply_report(target, report)
                self._read_cache(target, report.cache_sequence)
            gevent.sleep(self._interval_s)

    def _read_cache(self, target: TargetId, sequence: int) -> None:
        affinity = self._selector.affinity
        engine = self._selector.engine(target)
        if engine is None or not self._is_cache_read:
            return
        affinity.observe_sequence(target, sequence)
        if affinity.is_stale(target):
            whole = self._engines.fetch_cache_index(engine.address)
            if whole is not None:
                affinity.replace(target, whole)
            return
        after = affinity.sequence(target)
        if sequence <= after:
            return
        events = self._engines.fetch_cache_events(engine.address, after)
        if events is not None:
            affinity.apply(target, events)
