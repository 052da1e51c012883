"""Silence of a stream after which it is checked."""

EVENT_SILENCE_LIMIT_S = 0.12
"""Time without an event after which the stream monitor checks a stream."""

FIRST_EVENT_SILENCE_LIMIT_S = 0.35
"""The same before the first event, while prompts are prefilled.

A connection whose caller leaves after this time without an answer may hang.
"""
