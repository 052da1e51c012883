"""Messages between routers and the agents that grant shares of limits."""

import msgspec

from chervilstall.ids import LimitName


class ShareRequest(msgspec.Struct, frozen=True, tag=True):
    """A router's demand for a share of a limit, in the limit's unit."""

    limit: LimitName
    router: str
    demand: float


class ShareGrant(msgspec.Struct, frozen=True, tag=True):
    """A share granted to a router, in the limit's unit.

    It is valid for `ttl_s` seconds from the time at which the router sent its request.
    """

    limit: LimitName
    amount: float
    ttl_s: float
