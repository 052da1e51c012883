"""A router's listeners, and its life from start to drained."""

import ssl
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import gevent
from gevent.event import Event

from chervilstall.gateway.admin import AdminApplication
from chervilstall.gateway.answers import bad_request_response
from chervilstall.gateway.app import GatewayApplication
from chervilstall.gateway.runtime import RouterRuntime, RouterState
from chervilstall.settings.option import Address
from chervilstall.settings.processes import ListenSettings
from chervilstall.telemetry.gc_tuning import tune_garbage_collector
from chervilstall.telemetry.logs import ComponentLog
from chervilstall.wsgi import Server

log = ComponentLog("router")

CERTIFICATE_POLL_S = 1.0


@dataclass
class TlsContext:
    """A server context whose certificate follows its files."""

    settings: ListenSettings

    def __post_init__(self) -> None:
        self.context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.context.minimum_version = ssl.TLSVersion.TLSv1_2
        self._read_at: tuple[float, float] = (0.0, 0.0)
        self.reload_if_changed()

    def reload_if_changed(self) -> bool:
        """Read the files again where they changed; True where they did.

        A pair that does not load leaves the earlier certificate in use.
        """
        stamp = (
            Path(self.settings.tls_certificate).stat().st_mtime,
            Path(self.settings.tls_key).stat().st_mtime,
        )
        if stamp == self._read_at:
            return False
        self.context.load_cert_chain(
            self.settings.tls_certificate, self.settings.tls_key
        )
        self._read_at = stamp
        return True


class RouterServer:
    """The callers' and the admin listener of one router."""

    def __init__(self, runtime: RouterRuntime) -> None:
        self.runtime = runtime
        listen = runtime.settings.listen
        self._stopped = Event()
        self._is_draining = False
        self._tls: TlsContext | None = None
        self.caller_listener = Server(
            listen.callers,
            GatewayApplication(runtime),
            connections_max=listen.connections_max,
            header_timeout_s=listen.header_timeout_s,
            idle_timeout_s=listen.caller_silence_s,
            bad_request_response=bad_request_response,
            **self._tls_arguments(listen),
        )
        self.admin_listener = Server(listen.admin, AdminApplication(runtime))
        self._tasks: list[gevent.Greenlet] = []

    def _tls_arguments(self, listen: ListenSettings) -> dict[str, Any]:
        if not listen.tls_certificate:
            return {}
        self._tls = TlsContext(listen)
        return {"ssl_context": self._tls.context}

    @property
    def caller_address(self) -> Address:
        """Return the callers' bound address."""
        return self.caller_listener.bound_address

    @property
    def admin_address(self) -> Address:
        """Return the admin listener's bound address."""
        return self.admin_listener.bound_address

    def start(self) -> None:
        """Bind the listeners and start serving."""
        self.caller_listener.start()
        self.admin_listener.start()
        self.runtime.start()
        tune_garbage_collector()
        if self._tls is not None:
            self._tasks.append(gevent.spawn(self._follow_certificate, self._tls))
        log.info("Serving callers on %s.", self.caller_address)

    def _follow_certificate(self, tls: TlsContext) -> None:
        while True:
            gevent.sleep(CERTIFICATE_POLL_S)
            try:
                if tls.reload_if_changed():
                    log.info("The certificate was read again.")
            except OSError as error:
                log.warning("The certificate was not read: %s.", error)

    def drain_and_stop(self) -> bool:
        """Finish what runs and stop; True where nothing was cut off."""
        if self._is_draining:
            return self.abort()
        self._is_draining = True
        is_idle = self.runtime.drain()
        self.stop()
        return is_idle

    def abort(self) -> bool:
        """Stop now, reporting how many requests did not finish."""
        running = self.runtime.request_tracker.running
        if running:
            log.warning("Stopping with %d requests unfinished.", running)
        self.stop()
        return running == 0

    def stop(self) -> None:
        """Close the listeners and every connection."""
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
