"""Mistakes in settings, collected so that all are reported at once."""

from dataclasses import dataclass, field


class SettingsError(ValueError):
    """One mistake in settings: where it is, what stands there, what is allowed."""

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
    """Every mistake found in one file or tree."""


@dataclass
class SettingsErrorCollector:
    """Collects mistakes of one source so that they can be raised together."""

    source: str
    errors: list[SettingsError] = field(default_factory=list)

    def add(self, section: str, name: str, value: str, allowed: str) -> None:
        """Record one mistake."""
        mistake = SettingsError(self.source, section, name, value, allowed)
        self.errors.append(mistake)

    def raise_collected(self) -> None:
        """Raise `InvalidSettings` with everything recorded, or return."""
        if self.errors:
            raise InvalidSettings(f"{self.source}: invalid settings", self.errors)
