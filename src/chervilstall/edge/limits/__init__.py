"""Limits on what targets get: rates, attempts and the budget for retries."""
