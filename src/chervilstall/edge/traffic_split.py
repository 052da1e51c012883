"""Traffic splitting: the service of a request on a route with several services."""

from chervilstall.fleet.records import Route
from chervilstall.ids import RequestId, ServiceName
from chervilstall.rendezvous import rendezvous_score

SCORE_RANGE = 2.0**64
"""Rendezvous scores are uniform below this."""


def choose_service(route: Route, request: RequestId) -> ServiceName:
    """Return the service of a request, by weight and always the same for its ID."""
    if len(route.weighted_services) == 1:
        return route.weighted_services[0].service
    total = sum(each.weight for each in route.weighted_services)
    point = rendezvous_score(route.name, request) / SCORE_RANGE * total
    for each in route.weighted_services:
        point -= each.weight
        if point < 0.0:
            return each.service
    return max(route.weighted_services, key=lambda each: each.weight).service
