"""What is done with the entries of the store that the platform writes."""

from collections.abc import Callable
from dataclasses import dataclass

from chervilstall.fleet.view import FleetView
from chervilstall.ids import TargetId
from chervilstall.platform import protocol
from chervilstall.platform.config import decode_configuration
from chervilstall.platform.kv import Entry
from chervilstall.platform.targets import decode_target
from chervilstall.telemetry.events import EventLog

log = EventLog("store")


@dataclass(frozen=True)
class FullRead:
    """All keys below a prefix, as they were at a revision of the store."""

    keys: tuple[str, ...]
    revision: int


@dataclass(frozen=True)
class EntryHandler:
    """Callbacks for the entries below a prefix.

    `on_entry` is called with each new entry, `on_full_read` after each full read, so
    that keys whose deletion was missed can be dropped.
    """

    prefix: str
    on_entry: Callable[[Entry], None]
    on_full_read: Callable[[FullRead], None]


def configuration_handler(fleet_view: FleetView) -> EntryHandler:
    """Return the handler that puts the operator's configuration in force."""

    def on_entry(entry: Entry) -> None:
        if entry.value is None or entry.key != protocol.CONFIG_KEY:
            return
        try:
            configuration = decode_configuration(entry.value)
        except ValueError as error:
            log.error("configuration unreadable", at=entry.revision, why=str(error))
            return
        fleet_view.apply_configuration(configuration, entry.revision)

    return EntryHandler(protocol.CONFIG_KEY, on_entry, lambda full_read: None)


def target_handler(fleet_view: FleetView) -> EntryHandler:
    """Return the handler that adds, updates and removes targets."""
    prefix_length = len(protocol.TARGETS_PREFIX)

    def on_entry(entry: Entry) -> None:
        target_id = TargetId(entry.key[prefix_length:])
        if entry.value is None:
            fleet_view.remove_target(target_id)
            return
        target = decode_target(target_id, entry.value, entry.revision)
        if target is None:
            log.warning("target entry invalid", key=entry.key, at=entry.revision)
            fleet_view.remove_target(target_id)
            return
        fleet_view.update_target(target)

    def on_full_read(full_read: FullRead) -> None:
        names = (key[prefix_length:] for key in full_read.keys)
        fleet_view.retain_targets(TargetId(name) for name in names)

    return EntryHandler(protocol.TARGETS_PREFIX, on_entry, on_full_read)
