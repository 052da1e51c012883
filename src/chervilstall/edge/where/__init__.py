"""Where a request would go now: the answer of the edge router to `chervilstallctl`.

Everything is decided by the functions that decide for callers' requests, on copies of
what these functions change.
"""
