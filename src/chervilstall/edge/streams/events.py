"""Events of a stream, and their numbers, after which it can be resumed."""

import re
from dataclasses import dataclass

EVENT_ID = re.compile(rb"^id:\s*(\d+)\s*$", re.MULTILINE)
EVENT = re.compile(rb"(?:[A-Za-z][A-Za-z0-9-]*:[^\n]*\n)+\n")
"""Fields, each on a line of its own, and the empty line that ends an event."""


def is_event(content: bytes) -> bool:
    """Return whether content that ends with an empty line is an event with a number.

    A faulty target may write an error's text or its head into a stream.

    >>> is_event(b"id: 7\\ndata: x\\n\\n"), is_event(b"no target left\\n\\n")
    (True, False)
    """
    return EVENT.fullmatch(content) is not None and EVENT_ID.search(content) is not None


def event_number(event: bytes) -> int:
    """Return the number in an event's `id` field.

    >>> event_number(b"id: 7\\ndata: x\\n\\n")
    7
    """
    found = EVENT_ID.search(event)
    assert found is not None
    return int(found.group(1))


@dataclass
class EventCursor:
    """How far a stream has been passed on; `number` is that of its last event."""

    number: int | None

    @staticmethod
    def resume_after(text: str) -> "EventCursor":
        """Return the cursor of a caller who names the event to resume after."""
        return EventCursor(int(text) if text.isascii() and text.isdecimal() else None)

    def is_later(self, event: bytes) -> bool:
        """Return whether an event comes after all that were passed on."""
        return self.number is None or event_number(event) > self.number

    def advance(self, event: bytes) -> bool:
        """Record an event; return whether it is a later one than all before."""
        if not self.is_later(event):
            return False
        self.number = event_number(event)
        return True

    @property
    def text(self) -> str:
        """Return the number of the last event, as targets are told it."""
        return "" if self.number is None else str(self.number)
