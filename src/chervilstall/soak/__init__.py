"""Randomized soak test: injects faults into router processes and checks invariants."""
