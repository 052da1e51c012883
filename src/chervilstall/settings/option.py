"""Declaration of options and conversion of their text to typed values.

An option is a dataclass field whose metadata holds an `OptionSpec`. Parsing, bounds
checks and the reference page are all derived from that declaration.
"""

import dataclasses
import enum
import re
from dataclasses import dataclass
from typing import Any, get_args, get_origin

METADATA_KEY = "option"
TRUE_WORDS = frozenset({"yes", "true", "on", "1"})
FALSE_WORDS = frozenset({"no", "false", "off", "0"})
MAX_PORT = 65535


@dataclass(frozen=True)
class Address:
    """A TCP address: an IP address and a port in 0..65535 (0 = any free port)."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True)
class OptionSpec:
    """Declaration of an option, apart from its name, type and default.

    `minimum` and `maximum` are inclusive bounds of a number. `pattern` is a regular
    expression that the whole value of a string option has to match.
    """

    description: str
    unit: str = ""
    minimum: float | None = None
    maximum: float | None = None
    pattern: str = ""


def option(
    description: str,
    default: Any = dataclasses.MISSING,
    unit: str = "",
    minimum: float | None = None,
    maximum: float | None = None,
    pattern: str = "",
) -> Any:
    """Declare an option as a dataclass field.

    An option without a default is required.

    >>> @dataclass(frozen=True)
    ... class QueueSettings:
    ...     length: int = option("Waiting requests.", 100, minimum=1)
    >>> QueueSettings().length
    100
    """
    spec = OptionSpec(description, unit, minimum, maximum, pattern)
    return dataclasses.field(
        default=default, kw_only=True, metadata={METADATA_KEY: spec}
    )


def parse_address(text: str) -> Address:
    """Parse `host:port`. Raises ValueError where the text is not of that form."""
    host, separator, port_text = text.rpartition(":")
    if not separator or not host:
        raise ValueError("expected host:port")
    port = int(port_text)
    if not 0 <= port <= MAX_PORT:
        raise ValueError(f"expected a port in 0..{MAX_PORT}")
    return Address(host, port)


def parse_bool(text: str) -> bool:
    """Parse a boolean, in any case. Raises ValueError for any other word.

    >>> parse_bool("Yes"), parse_bool("off")
    (True, False)
    """
    word = text.strip().lower()
    if word in TRUE_WORDS:
        return True
    if word in FALSE_WORDS:
        return False
    raise ValueError("expected yes or no")


def describe_type(value_type: Any) -> str:
    """Return a description of a type's values, for messages and the reference page."""
    if get_origin(value_type) is tuple:
        return f"comma-separated list of {describe_type(get_args(value_type)[0])}"
    value_type = getattr(value_type, "__supertype__", value_type)
    if isinstance(value_type, type) and issubclass(value_type, enum.Enum):
        return "one of " + ", ".join(str(member.value) for member in value_type)
    names = {
        str: "text",
        int: "integer",
        float: "number",
        bool: "yes or no",
        Address: "host:port",
    }
    return names[value_type]


def parse_value(value_type: Any, text: str) -> Any:
    """Convert option text to the declared type. Raises ValueError on invalid text."""
    if get_origin(value_type) is tuple:
        items = [item.strip() for item in text.split(",")]
        return tuple(
            parse_value(get_args(value_type)[0], item) for item in items if item
        )
    value_type = getattr(value_type, "__supertype__", value_type)
    if value_type is bool:
        return parse_bool(text)
    if value_type is Address:
        return parse_address(text)
    return value_type(text.strip())


def check_value(spec: OptionSpec, value: Any) -> str | None:
    """Return a description of the allowed values if `value` is not one, else None."""
    if isinstance(value, str) and spec.pattern:
        if not re.fullmatch(spec.pattern, value):
            return f"text matching {spec.pattern}"
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return None
    if value != value:  # NaN
        return "a number"
    if spec.minimum is not None and value < spec.minimum:
        return f"at least {spec.minimum:g}"
    if spec.maximum is not None and value > spec.maximum:
        return f"at most {spec.maximum:g}"
    return None
