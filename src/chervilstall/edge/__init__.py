"""Passing callers' requests on to targets, and answers back."""
