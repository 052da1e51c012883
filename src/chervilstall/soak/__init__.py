"""A randomized soak: routers as processes, faults from outside, promises checked."""
