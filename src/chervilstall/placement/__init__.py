"""Placement of model layers on targets."""
