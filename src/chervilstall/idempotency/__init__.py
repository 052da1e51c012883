"""Idempotency keys: at most one execution per key, and replay of its outcome."""
