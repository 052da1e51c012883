"""The settings file of a router, which may change while the router runs."""

from dataclasses import dataclass
from pathlib import Path

from chervilstall.platform.node import read_node
from chervilstall.settings.node import NodeSettings
from chervilstall.settings.problems import InvalidSettings
from chervilstall.telemetry.events import EventLog

log = EventLog("router")


@dataclass
class SettingsFile:
    """Reads the settings anew whenever the content of the file has changed."""

    path: Path
    _content: bytes = b""

    def read_changed(self) -> NodeSettings | None:
        """Return the settings, or None if they haven't changed or can't be read."""
        try:
            content = self.path.read_bytes()
            if content == self._content:
                return None
            is_first = not self._content
            self._content = content
            settings = read_node(self.path)
        except (OSError, InvalidSettings) as error:
            log.error("settings not read", why=str(error))
            return None
        if not is_first:
            log.info("settings read again")
        return settings
