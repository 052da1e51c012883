"""Errors in settings, collected so that all are reported at once."""

from dataclasses import dataclass, field


class SettingsError(ValueError):
    """One error in settings: its place, the value there and the allowed values."""

    def __init__(
        self, source: str, section: str, name: str, value: str, allowed: str
    ) -> None:
        super().__init__(f"{source}: [{section}] {name} = {value!r}: {allowed}")
        self.source = source
        self.section = section
        self.name = name
        self.value = value
        self.allowed = allowed


class InvalidSettings(ExceptionGroup[SettingsError]):
    """All errors found in one file or tree."""


@dataclass
class SettingsErrorCollector:
    """Collects the errors of one source, such as a file, and raises them together."""

    source: str
    errors: list[SettingsError] = field(default_factory=list)

    def add(self, section: str, name: str, value: str, allowed: str) -> None:
        """Record one error; `allowed` says what is expected in place of `value`."""
        error = SettingsError(self.source, section, name, value, allowed)
        self.errors.append(error)

    def raise_collected(self) -> None:
        """Raise `InvalidSettings` with the recorded errors, if there are any."""
        if self.errors:
            raise InvalidSettings(f"{self.source}: invalid settings", self.errors)
