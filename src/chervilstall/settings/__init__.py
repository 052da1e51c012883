"""Declarations of options, and their parsing, validation and reference page."""
