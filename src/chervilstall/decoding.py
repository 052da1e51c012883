"""Decoding of content that others wrote, which may be anything."""

from typing import Annotated, Protocol, TypeVar

import msgspec

INTEGER_MAX = 2**53
"""Largest integer that every reader of JSON takes as it is."""

Count = Annotated[int, msgspec.Meta(ge=0, le=INTEGER_MAX)]
"""An integer that others write, small enough to be calculated with."""

T_co = TypeVar("T_co", covariant=True)


class Decoder(Protocol[T_co]):
    """A decoder of one type, such as those of msgspec."""

    def decode(self, content: bytes, /) -> T_co:
        """Decode content. Raises ValueError or RecursionError if it is malformed."""


def decode_untrusted(decoder: Decoder[T_co], content: bytes) -> T_co:
    """Decode content of any origin. Raises ValueError for all that is malformed.

    Content that is nested too deep raises RecursionError in msgspec, also in a field
    that is not read.
    """
    try:
        return decoder.decode(content)
    except RecursionError as error:
        raise ValueError("the content is nested too deep") from error
