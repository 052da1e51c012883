"""Command-line entry points of the programs."""
