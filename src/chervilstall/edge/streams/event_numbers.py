"""Numbers of the events of a stream, after which it can be resumed."""

import re

EVENT_ID = re.compile(rb"^id:\s*(\d+)\s*$", re.MULTILINE)


def event_number(event: bytes) -> int | None:
    """Return the number in an event's `id` field, or None where it has none.

    >>> event_number(b"id: 7\\ndata: x\\n\\n")
    7
    """
    found = EVENT_ID.search(event)
    return int(found.group(1)) if found else None


def parse_event_number(text: str) -> int | None:
    """Return the number that a caller names to resume after, or None."""
    try:
        return int(text)
    except ValueError:
        return None
