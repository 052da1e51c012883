"""Interfaces and HTTP client of the key-value store and the VM list."""
