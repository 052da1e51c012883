"""Experiments of `chervilstall-measure`.

Each returns the figures of one run, with its seed, for printing as one JSON object.
"""
