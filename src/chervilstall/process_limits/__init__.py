"""Limits on the memory and descriptors that clients make one process hold."""
