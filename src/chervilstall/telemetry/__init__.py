"""Logs, metrics and tuning of the garbage collector."""
