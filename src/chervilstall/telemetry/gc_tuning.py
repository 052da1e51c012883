"""Settings of the garbage collector for a long-lived loop.

A full collection walks every object and stops the loop for as long. What exists after
start-up lives for good, so it is taken out of collections, and collections of young
objects run less often.
"""

import gc

YOUNG_OBJECTS = 50_000
MIDDLE_COLLECTIONS = 20
OLD_COLLECTIONS = 50


def tune_garbage_collector() -> None:
    """Freeze what start-up made, and collect less often from here on."""
    gc.freeze()
    gc.enable()
    gc.set_threshold(YOUNG_OBJECTS, MIDDLE_COLLECTIONS, OLD_COLLECTIONS)
