"""Relaying of token streams to callers, with retries and resumption."""
