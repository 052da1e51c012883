"""Choosing the service of a request on a route that is split over several."""

from chervilstall.fleet.records import Route
from chervilstall.ids import RequestId, ServiceName
from chervilstall.rendezvous import rendezvous_score

SCORE_SPAN = 2.0**64


def choose_service(route: Route, request: RequestId) -> ServiceName:
    """Return the service that a request's identity falls to, by the weights."""
    if len(route.weighted_services) == 1:
        return route.weighted_services[0].service
    total = sum(part.weight for part in route.weighted_services)
    point = rendezvous_score(route.name, request) / SCORE_SPAN * total
    for part in route.weighted_services:
        point -= part.weight
        if point < 0.0:
            return part.service
    return max(route.weighted_services, key=lambda part: part.weight).service
