"""Reading of request bodies out of the memory for what clients send."""

from dataclasses import dataclass, field

import gevent

from chervilstall.edge.draining import shutting_down_error
from chervilstall.errors import ChervilstallError, ErrorKind
from chervilstall.fleet.records import CallerLimits
from chervilstall.process_limits.bodies import ArrivingBody, BodyEvicted
from chervilstall.process_limits.memory import Holding, MemoryShort
from chervilstall.wsgi import Environ

RETRY_AFTER_S = 1.0
HEAD_FREE_BYTES = 2_048
"""Size up to which headers count as part of their connection."""

HEAD_COPIES = 3
"""Headers are held as fields, as those for targets, and while they are sent."""


class _Interrupted(Exception):
    """The router stops while a body is still arriving."""


def _out_of_memory_error() -> ChervilstallError:
    return ChervilstallError(
        ErrorKind.OVERLOADED, "not enough memory for the request body", RETRY_AFTER_S
    )


def account_head(holding: Holding, size_bytes: int) -> None:
    """Account for a request's headers. Raises OVERLOADED without room."""
    try:
        holding.grow(HEAD_COPIES * max(0, size_bytes - HEAD_FREE_BYTES))
    except MemoryShort as error:
        raise _out_of_memory_error() from error


@dataclass
class BodyReader:
    """Reads the bodies of requests, and interrupts this when the router stops."""

    _arriving: set[ArrivingBody] = field(default_factory=set)

    def read(self, environ: Environ, limits: CallerLimits, holding: Holding) -> bytes:
        """Return a request's body, accounted for by `holding`.

        Raises ChervilstallError for one that is late, too large, evicted or
        interrupted.
        """
        length = environ.get("CONTENT_LENGTH")
        if length and int(length) > limits.body_bytes:
            raise ChervilstallError(ErrorKind.BODY_TOO_LARGE, f"{length} bytes")
        arriving = ArrivingBody(environ, holding, limits.body_bytes)
        self._arriving.add(arriving)
        try:
            with gevent.Timeout(limits.idle_timeout_s, TimeoutError):
                body = arriving.read()
        except TimeoutError as error:
            raise ChervilstallError(
                ErrorKind.REQUEST_TIMEOUT, "the body did not arrive in time"
            ) from error
        except _Interrupted as error:
            raise shutting_down_error() from error
        except (BodyEvicted, MemoryShort) as error:
            raise _out_of_memory_error() from error
        finally:
            arriving.end()
            self._arriving.discard(arriving)
        if len(body) > limits.body_bytes:
            raise ChervilstallError(ErrorKind.BODY_TOO_LARGE, f"{len(body)} bytes")
        return body

    def interrupt_all(self) -> None:
        """End every read, so that its request can still be refused."""
        for arriving in list(self._arriving):
            arriving.interrupt(_Interrupted)
