"""Admission of streams by the free memory of a model's targets, priority, workspace."""
