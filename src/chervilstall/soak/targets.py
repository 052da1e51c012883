"""Targets of the soak test, whose long drafts and answers take a settable time."""

import random
import time
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import gevent

from chervilstall.http_response import StartResponse
from chervilstall.settings.option import Address
from chervilstall.soak.links import LinkProxy
from chervilstall.standin.platform_target import PlatformTarget
from chervilstall.wsgi import Environ

LONG_DRAFT_PREFIX = "/long/"
PLAIN_PREFIXES = ("/lookup/", "/hold/")


@dataclass(frozen=True)
class TargetAnswer:
    """An answer to a lookup or hold, and its time as drawn and as taken.

    `started_at_s` is a monotonic time.
    """

    request: str
    target: str
    started_at_s: float
    drawn_s: float
    taken_s: float


class PacedTarget(PlatformTarget):
    """A stand-in that takes its time for long drafts, lookups and holds.

    `event_interval_s` is the time between two events of a long draft. Answers to
    lookups and holds take a random time of up to `answer_max_s`, which begins once
    the request has been recorded as executed. `answers` holds what each one took.
    """

    def __init__(self, name: str, address: Address) -> None:
        super().__init__(name, address)
        self.event_interval_s = 0.0
        self.answer_max_s = 0.0
        self.answers: list[TargetAnswer] = []
        self._rng = random.Random(name)

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request."""
        chunks = super().__call__(environ, start_response)
        path = environ["PATH_INFO"]
        if path.startswith(LONG_DRAFT_PREFIX):
            return _delay_chunks(chunks, self.event_interval_s)
        if path.startswith(PLAIN_PREFIXES) and self.answer_max_s:
            return self._answer_late(chunks, environ.get("HTTP_ATTEMPT_ID", ""))
        return chunks

    def _answer_late(self, chunks: Iterable[bytes], request: str) -> Iterator[bytes]:
        drawn_s = self._rng.uniform(0.0, self.answer_max_s)
        started_at_s = time.monotonic()
        for chunk in _delay_chunks(chunks, drawn_s):
            taken_s = time.monotonic() - started_at_s
            self.answers.append(
                TargetAnswer(request, self.name, started_at_s, drawn_s, taken_s)
            )
            yield chunk


def _delay_chunks(chunks: Iterable[bytes], delay_s: float) -> Iterator[bytes]:
    for chunk in chunks:
        gevent.sleep(delay_s)
        yield chunk


@dataclass
class SoakTarget:
    """A simulated target behind a link proxy.

    `starts` counts how often it has started again, and is the start that its entry
    names.
    """

    name: str
    service: str
    zone: str
    server: PacedTarget
    link: LinkProxy
    starts: int = 0
