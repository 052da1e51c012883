"""Requests that go to their targets through another router."""
