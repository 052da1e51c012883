"""Deciding which layers each target holds, and seeing that it does."""
