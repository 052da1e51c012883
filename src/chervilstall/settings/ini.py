"""INI text to typed settings, reporting every mistake at once.

A settings class is a frozen dataclass whose fields are declared by `option`. Its
INI section is named by `section_name`; a section may carry an instance name after a
space, as in `[target za-03]`.
"""

import configparser
import dataclasses
import difflib
import typing
from typing import Any, Mapping, TypeVar

from chervilstall.settings.option import (
    METADATA_KEY,
    OptionSpec,
    check_value,
    describe_type,
    parse_value,
)
from chervilstall.settings.problems import SettingsErrorCollector

T = TypeVar("T")


def nearest_name_hint(name: str, known: typing.Iterable[str]) -> str:
    """Return a hint naming the closest known name, or an empty string."""
    matches = difflib.get_close_matches(name, list(known), n=1)
    return f"; nearest known name: {matches[0]}" if matches else ""


def parse_ini(
    text: str, collector: SettingsErrorCollector
) -> dict[str, dict[str, str]]:
    """Parse INI text to sections of option texts, recording syntax mistakes."""
    parser = configparser.ConfigParser(interpolation=None, delimiters=("=",))
    try:
        parser.read_string(text, source=collector.source)
    except configparser.Error as error:
        collector.add("", "", "", f"INI syntax: {error.message.splitlines()[0]}")
        return {}
    return {name: dict(parser.items(name)) for name in parser.sections()}


def option_specs(cls: type) -> dict[str, tuple[Any, OptionSpec, Any]]:
    """Return the options of a settings class: name → (type, spec, default)."""
    hints = typing.get_type_hints(cls)
    options = {}
    for field in dataclasses.fields(cls):
        spec = field.metadata.get(METADATA_KEY)
        if spec is None:
            continue
        options[field.name] = (hints[field.name], spec, field.default)
    return options


def read_section(
    cls: type[T],
    section: str,
    texts: Mapping[str, str],
    collector: SettingsErrorCollector,
) -> T | None:
    """Build one settings object from option texts.

    Returns None after recording at least one mistake. Unknown options, missing
    required ones, unparsable values and broken bounds are each recorded.
    """
    specs = option_specs(cls)
    before = len(collector.errors)
    for name, text in texts.items():
        if name in specs:
            continue
        collector.add(
            section, name, text, "unknown option" + nearest_name_hint(name, specs)
        )
    values: dict[str, Any] = {}
    for name, (kind, spec, default) in specs.items():
        if name not in texts:
            if default is dataclasses.MISSING:
                collector.add(section, name, "", f"required: {describe_type(kind)}")
            continue
        try:
            value = parse_value(kind, texts[name])
        except ValueError:
            collector.add(section, name, texts[name], f"allowed: {describe_type(kind)}")
            continue
        allowed = check_value(spec, value)
        if allowed is not None:
            collector.add(section, name, texts[name], f"allowed: {allowed}")
            continue
        values[name] = value
    if len(collector.errors) > before:
        return None
    return cls(**values)


def read_sections(
    text: str, source: str, classes: Mapping[str, type]
) -> dict[str, Any]:
    """Read a whole INI file of singleton sections.

    `classes` maps a section name to its settings class. A section left out of the
    file takes its defaults. Raises `InvalidSettings` with every mistake.

    >>> from chervilstall.settings.processes import LogSettings
    >>> sections = read_sections("[log]\\nlevel = info", "a", {"log": LogSettings})
    >>> sections["log"].level
    <LogLevel.INFO: 'info'>
    """
    collector = SettingsErrorCollector(source)
    sections = parse_ini(text, collector)
    result: dict[str, Any] = {}
    for name in sections:
        if name in classes:
            continue
        collector.add(
            name, "", "", "unknown section" + nearest_name_hint(name, classes)
        )
    for name, cls in classes.items():
        result[name] = read_section(cls, name, sections.get(name, {}), collector)
    collector.raise_collected()
    return result
