"""Probes of the listener at an address by a connection attempt."""

from enum import Enum

import gevent
import gevent.socket

from chervilstall.settings.option import Address


class ListenerState(Enum):
    """What a connection attempt shows about the listener at an address."""

    ACCEPTS = "accepts"
    REFUSES = "refuses"
    SILENT = "silent"
    UNKNOWN = "unknown"


def probe_listener(address: Address, timeout_s: float) -> ListenerState:
    """Connect and close; an address that does not answer in time is SILENT.

    Any other error, such as a lack of descriptors, makes it UNKNOWN.
    """
    try:
        with gevent.Timeout(timeout_s, TimeoutError):
            gevent.socket.create_connection((address.host, address.port)).close()
    except ConnectionRefusedError:
        return ListenerState.REFUSES
    except TimeoutError:
        return ListenerState.SILENT
    except OSError:
        return ListenerState.UNKNOWN
    return ListenerState.ACCEPTS


def refuses_connections(address: Address, timeout_s: float) -> bool:
    """Return whether nothing listens at an address; False where that isn't known."""
    return probe_listener(address, timeout_s) is ListenerState.REFUSES
