"""Streaming requests: their relay, monitoring and rerouting."""
