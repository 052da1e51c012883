"""The settings tree: accepted changes, replicas, and per-zone watermarks."""
