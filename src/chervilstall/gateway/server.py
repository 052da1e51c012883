"""The listeners of a router, its start, drain and stop."""

import ssl
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import gevent
from gevent.event import Event

from chervilstall.gateway.admin import AdminApplication
from chervilstall.gateway.app import GatewayApplication
from chervilstall.gateway.responses import bad_request_response
from chervilstall.gateway.runtime import RouterRuntime, RouterState
from chervilstall.process_limits.derived import (
    OPERATOR_CONNECTIONS_MAX,
    bound_connections,
)
from chervilstall.settings.option import Address
from chervilstall.settings.processes import ListenSettings
from chervilstall.telemetry.gc_tuning import tune_garbage_collector
from chervilstall.telemetry.logs import ComponentLog
from chervilstall.wsgi import Server

log = ComponentLog("router")

CERTIFICATE_POLL_INTERVAL_S = 1.0


@dataclass
class TlsContext:
    """A TLS server context that reloads its certificate when the files change."""

    settings: ListenSettings

    def __post_init__(self) -> None:
        self.context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.context.minimum_version = ssl.TLSVersion.TLSv1_2
        self._loaded_mtimes_s: tuple[float, float] = (0.0, 0.0)
        self.reload_if_changed()

    def reload_if_changed(self) -> bool:
        """Load the certificate and key if their modification times changed.

        Returns whether they were loaded. Raises OSError where a file is missing or
        the pair does not load; the previous certificate then stays in use.
        """
        mtimes_s = (
            Path(self.settings.tls_certificate).stat().st_mtime,
            Path(self.settings.tls_key).stat().st_mtime,
        )
        if mtimes_s == self._loaded_mtimes_s:
            return False
        self.context.load_cert_chain(
            self.settings.tls_certificate, self.settings.tls_key
        )
        self._loaded_mtimes_s = mtimes_s
        return True


class RouterServer:
    """The caller listener and the admin listener of one router."""

    def __init__(self, runtime: RouterRuntime) -> None:
        self.runtime = runtime
        listen = runtime.settings.listen
        self._stopped = Event()
        self._is_draining = False
        self._tls: TlsContext | None = None
        self.caller_listener = Server(
            listen.callers,
            GatewayApplication(runtime),
            connections_max=bound_connections(listen.connections_max),
            header_timeout_s=listen.header_timeout_s,
            idle_timeout_s=listen.caller_silence_s,
            bad_request_response=bad_request_response,
            **self._tls_arguments(listen),
        )
        self.admin_listener = Server(
            listen.admin, AdminApplication(runtime), OPERATOR_CONNECTIONS_MAX
        )
        self._tasks: list[gevent.Greenlet] = []

    def _tls_arguments(self, listen: ListenSettings) -> dict[str, Any]:
        if not listen.tls_certificate:
            return {}
        self._tls = TlsContext(listen)
        return {"ssl_context": self._tls.context}

    @property
    def caller_address(self) -> Address:
        """Return the bound address of the caller listener."""
        return self.caller_listener.bound_address

    @property
    def admin_address(self) -> Address:
        """Return the bound address of the admin listener."""
        return self.admin_listener.bound_address

    def start(self) -> None:
        """Bind the listeners and start serving."""
        self.caller_listener.start()
        self.admin_listener.start()
        self.runtime.start()
        tune_garbage_collector()
        if self._tls is not None:
            self._tasks.append(gevent.spawn(self._poll_certificate, self._tls))
        log.info("Serving callers on %s.", self.caller_address)

    def _poll_certificate(self, tls: TlsContext) -> None:
        while True:
            gevent.sleep(CERTIFICATE_POLL_INTERVAL_S)
            try:
                if tls.reload_if_changed():
                    log.info("Reloaded the TLS certificate.")
            except OSError as error:
                log.warning("Could not reload the TLS certificate: %s.", error)

    def drain_and_stop(self) -> bool:
        """Drain and stop; return whether every running request finished.

        A second call while the first is draining aborts.
        """
        if self._is_draining:
            return self.abort()
        self._is_draining = True
        self.runtime.await_load_balancer()
        self.runtime.refuse_requests()
        self.caller_listener.close_idle()
        self.caller_listener.stop_listening()
        is_quiet = self._wait_for_requests()
        self.stop()
        return is_quiet

    def _wait_for_requests(self) -> bool:
        """Return whether every request ended within the drain timeout."""
        tracker = self.runtime.request_tracker
        timeout_s = self.runtime.settings.listen.drain_timeout_s
        is_quiet = self.caller_listener.wait_until_quiet(
            lambda: tracker.running, time.monotonic() + timeout_s
        )
        if not is_quiet:
            log.warning(
                "Drain timed out with %d requests still running.", tracker.running
            )
        return is_quiet

    def abort(self) -> bool:
        """Stop at once; return whether no request was running."""
        running_requests = self.runtime.request_tracker.running
        if running_requests:
            log.warning("Stopping with %d requests still running.", running_requests)
        self.stop()
        return running_requests == 0

    def stop(self) -> None:
        """Close the listeners and all connections; later calls do nothing."""
        if self._stopped.is_set():
            return
        self.runtime.state = RouterState.STOPPED
        self.caller_listener.kill_connections()
        self.admin_listener.kill_connections()
        self.runtime.stop()
        gevent.killall(self._tasks, block=False)
        self._stopped.set()

    def wait(self) -> None:
        """Wait until the router has stopped."""
        self._stopped.wait()
