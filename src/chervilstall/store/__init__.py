"""Contracts and clients of the key-value store and the VM list."""
