"""Links of their own between each router and each target, which can be cut."""

import base64
import json
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from chervilstall.settings.option import Address, parse_address
from chervilstall.soak.links import Direction, LinkProxy
from chervilstall.standin.platform_store import PlatformStoreServer, PlatformStoreState

TARGETS_PREFIX = "servers/"


class Cut(Enum):
    """What becomes of a router's connections to all targets."""

    HANG = "hang"
    RESET = "are reset and hang"
    REFUSE = "live on while new ones are refused"
    DROP = "hang, also before they are established"


CUTS = (Cut.HANG, Cut.RESET, Cut.REFUSE)
"""Cuts that the soak draws from; another one would change what its seeds mean."""


@dataclass
class RouterLinks:
    """The proxies through which one router reaches the targets.

    They listen on `host`.
    """

    host: str
    proxies: dict[str, LinkProxy] = field(default_factory=dict)
    cut: Cut | None = None

    def address(self, target: str) -> str:
        """Return the address under which the router knows a target."""
        proxy = self.proxies.get(target)
        if proxy is None:
            proxy = LinkProxy(parse_address(target), Address(self.host, 0))
            proxy.start()
            self.proxies[target] = proxy
            if self.cut is not None:
                self._apply(proxy, self.cut)
        return str(proxy.address)

    def begin(self, cut: Cut) -> None:
        """Cut the router off from all targets."""
        self.cut = cut
        for proxy in self.proxies.values():
            self._apply(proxy, cut)

    @staticmethod
    def _apply(proxy: LinkProxy, cut: Cut) -> None:
        match cut:
            case Cut.HANG:
                proxy.held_directions = set(Direction)
            case Cut.RESET:
                proxy.held_directions = set(Direction)
                proxy.reset_connections()
            case Cut.REFUSE:
                proxy.refuse_connections()
            case Cut.DROP:
                proxy.held_directions = set(Direction)
                proxy.drop_connections()

    def heal(self) -> None:
        """End the cut."""
        self.cut = None
        for proxy in self.proxies.values():
            proxy.held_directions = set()
            proxy.accept_connections()

    def stop(self) -> None:
        """Close all proxies."""
        for proxy in self.proxies.values():
            proxy.stop()


class RouterStoreView(PlatformStoreServer):
    """The store as one router sees it: targets have the addresses of its own links."""

    def __init__(self, state: PlatformStoreState, links: RouterLinks) -> None:
        super().__init__(Address(links.host, 0))
        self.state = state
        self.links = links

    def _handle_call(self, *arguments: Any) -> tuple[int, object]:
        status, body = super()._handle_call(*arguments)
        if isinstance(body, dict):
            for name in ("items", "events"):
                if name in body:
                    body[name] = [self._translate(item) for item in body[name]]
        return status, body

    def _translate(self, item: dict[str, Any]) -> dict[str, Any]:
        if not item["key"].startswith(TARGETS_PREFIX) or "value" not in item:
            return item
        entry = json.loads(base64.b64decode(item["value"]))
        entry["address"] = self.links.address(entry["address"])
        return {**item, "value": base64.b64encode(json.dumps(entry).encode()).decode()}
