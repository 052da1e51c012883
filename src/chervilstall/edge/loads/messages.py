"""Messages in which a router tells others the load that it puts on targets.

A message is MessagePack, compressed from `COMPRESSED_MIN_BYTES` on. Targets are named
by keys of a few bytes and sorted by them, so that only the differences are sent.
"""

import zlib
from typing import Annotated

import msgspec

from chervilstall.decoding import Count, decode_untrusted

FORMAT = 1
MESSAGE_MAX_BYTES = 32_768
"""Largest message that is read: four times the full copy of a router with 1,043 targets
at 67 requests a second, see `docs/CAPACITY.md`."""

CONTENT_MAX_BYTES = 131_072
ENTRIES_MAX = 10_000
DEMAND_MAX = 600
COMPRESSED_MIN_BYTES = 200
TOKENS_UNIT = 32
PREFILL_UNIT_MS = 10
FIGURE_MAX = 2**31

Figure = Annotated[int, msgspec.Meta(ge=0, le=FIGURE_MAX)]
Figures = Annotated[list[Figure], msgspec.Meta(max_length=ENTRIES_MAX)]


class ClassDemand(msgspec.Struct, frozen=True, array_like=True):
    """Requests of a priority and workspace in the last second."""

    priority: Annotated[int, msgspec.Meta(ge=-FIGURE_MAX, le=FIGURE_MAX)]
    workspace: Annotated[str, msgspec.Meta(max_length=256)] | None
    requests: Figure


Demand = Annotated[list[ClassDemand], msgspec.Meta(max_length=DEMAND_MAX)]


class LoadMessage(msgspec.Struct, frozen=True, array_like=True):
    """What one router tells the others.

    `run` tells the starts of a router apart. Within a run, `sequence` grows by 1 with
    each message and `sent_at_ms` is a time of the sender's monotonic clock. If
    `is_full`, targets that are not named have no load; else they have the load of the
    message before. The lists have one item for each target: the difference of its key
    to the one before, requests, tokens in units of `TOKENS_UNIT`, prefill in units of
    `PREFILL_UNIT_MS`, and refusals. `demand` is None if the last one still holds.
    The sums of a zone are full copies; they stand for `routers` routers, and the oldest
    figure in them is `age_ms` old.
    """

    format: int
    vm: Annotated[str, msgspec.Meta(max_length=256)]
    run: Count
    sequence: Count
    sent_at_ms: Count
    is_full: bool
    key_steps: Figures
    requests: Figures
    tokens: Figures
    prefill: Figures
    refusals: Figures
    demand: Demand | None
    routers: Figure = 1
    age_ms: Figure = 0


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(LoadMessage)


def encode_message(message: LoadMessage) -> bytes:
    """Encode a message. Raises ValueError if it is larger than receivers accept."""
    content = _encoder.encode(message)
    if len(content) > CONTENT_MAX_BYTES:
        raise ValueError(f"content of {len(content)} bytes")
    if len(content) >= COMPRESSED_MIN_BYTES:
        content = b"z" + zlib.compress(content, 6)
    else:
        content = b"m" + content
    if len(content) > MESSAGE_MAX_BYTES:
        raise ValueError(f"message of {len(content)} bytes")
    return content


def decode_message(data: bytes) -> LoadMessage:
    """Decode a message of any origin. Raises ValueError if it can't be used."""
    if len(data) > MESSAGE_MAX_BYTES:
        raise ValueError(f"message of {len(data)} bytes")
    message = decode_untrusted(_decoder, _content(data))
    if message.format != FORMAT:
        raise ValueError(f"message of format {message.format}")
    entries = len(message.key_steps)
    lists = (message.requests, message.tokens, message.prefill, message.refusals)
    if any(len(each) != entries for each in lists):
        raise ValueError("lists of different lengths")
    return message


def _content(data: bytes) -> bytes:
    if data[:1] == b"m":
        return data[1:]
    if data[:1] != b"z":
        raise ValueError("neither plain nor compressed")
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(data[1:], CONTENT_MAX_BYTES)
    except zlib.error as error:
        raise ValueError(f"not decompressed: {error}") from error
    if not decompressor.eof:
        raise ValueError("cut off, or too large once decompressed")
    return content
