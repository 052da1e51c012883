"""Admission of streams by the free memory of a model's targets, priority, workspace.

The terms of this package: *room* is what the targets' memory holds, in tokens of
requests in flight; a router's *share* is the room divided by the routers; the *scale*
is a learnt factor of the share, and the *base* the share times the scale. Tokens
*beyond* the base come from room that others leave free, and the *excess* is a further
part for the most urgent class. The *level* is the max-min fair limit of a workspace,
and the *floor* a guaranteed rate of the classes below the most urgent one.
"""
