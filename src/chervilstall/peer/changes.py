"""Messages between routers that relay changes of the store and those that ask them.

Times are whole milliseconds, measured by the clock of the router that names them.
"""

import msgspec

from chervilstall.decoding import Count


class StoreChange(msgspec.Struct, frozen=True, array_like=True):
    """A key as it was written at a revision; `value` is None if it was deleted."""

    key: str
    revision: Count
    value: bytes | None


class ChangesRequest(msgspec.Struct, frozen=True, tag=True):
    """Asks for all changes after a revision, waiting `wait_ms` for the first one.

    `era` counts how often the store came back from an earlier copy of its content;
    revisions of different eras can't be compared.
    """

    era: Count
    after: Count
    wait_ms: Count


class Changes(msgspec.Struct, frozen=True, tag=True):
    """All changes up to a revision, the oldest first, but for the configuration.

    The latest change of that is named by its revision only.

    `waited_ms` is the time from the arrival of the request to this reply. Before the
    first of these changes, the relay knew every change that is older than
    `complete_age_ms`. `answered_age_ms` is the time since the store answered the relay.
    """

    revision: Count
    configuration_revision: Count
    changes: tuple[StoreChange, ...]
    waited_ms: Count
    complete_age_ms: Count
    answered_age_ms: Count


class ChangesNotHeld(msgspec.Struct, frozen=True, tag=True):
    """The relay doesn't hold all changes after that revision; the store does."""
