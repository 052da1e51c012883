"""The router's view of configuration and targets, and its records."""
