"""Choosing the targets that a request of a model pipeline passes through."""
