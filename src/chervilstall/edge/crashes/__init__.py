"""Crashes of targets: who was there, and who is kept away."""
