"""A router and stand-ins for everything it depends on, in one process.

A real router runs against stand-in targets, an in-memory store with one idempotency
home and a local allocator of limit shares, so that one command serves real requests.
"""

from dataclasses import dataclass
from pathlib import Path

import gevent

from chervilstall.admission.leased_shares import ShareAllocator
from chervilstall.admission.router_limits import LocalShareService, limits_of
from chervilstall.configuration.check import check_tree
from chervilstall.configuration.tree import Tree
from chervilstall.configuration.treefile import read_tree_file
from chervilstall.gateway.runtime import RouterRuntime, RouterSettings
from chervilstall.gateway.server import RouterServer
from chervilstall.idempotency.home import SlotHome
from chervilstall.idempotency.local_claims import LocalClaimService
from chervilstall.ids import Epoch, Revision, SlotName
from chervilstall.settings.agents import IdempotencySettings
from chervilstall.settings.ini import read_sections
from chervilstall.settings.option import option
from chervilstall.settings.processes import ROUTER_SECTIONS
from chervilstall.standin.engine import EngineOptions
from chervilstall.standin.store import MemoryStore
from chervilstall.standin.target_cluster import TargetCluster


@dataclass(frozen=True)
class EmbeddedSettings:
    """Section `embedded`: the stand-ins that run in the router's process."""

    tree: str = option("Tree file, relative to this file.")
    load_lag_s: float = option(
        "Age of the engines' load reports.", 0.2, unit="s", minimum=0.0
    )


EMBEDDED_SECTIONS: dict[str, type] = {"embedded": EmbeddedSettings, **ROUTER_SECTIONS}


@dataclass
class EmbeddedRouter:
    """A running router with its stand-in targets, store and idempotency home."""

    server: RouterServer
    target_cluster: TargetCluster
    store: MemoryStore
    home: SlotHome

    @property
    def runtime(self) -> RouterRuntime:
        """Return the runtime of the router."""
        return self.server.runtime

    def stop(self) -> None:
        """Stop the router, the home and the stand-in targets."""
        self.server.stop()
        self.home.abandon()
        self.target_cluster.stop()


def read_embedded_settings(
    path: Path,
) -> tuple[RouterSettings, dict[str, str], EngineOptions]:
    """Read the settings file of an embedded router, and the tree that it names.

    Returns the router's settings, the documents of the tree by path, and the options
    of the stand-in engines. Raises InvalidSettings.
    """
    sections = read_sections(path.read_text(), path.name, EMBEDDED_SECTIONS)
    sections.pop("log")
    sections.pop("agent")
    embedded = sections.pop("embedded")
    tree_path = path.parent / embedded.tree
    texts = read_tree_file(tree_path.read_text(), tree_path.name)
    check_tree(Tree.build(Revision(1), texts))
    options = EngineOptions(load_lag_s=embedded.load_lag_s)
    return RouterSettings(**sections), texts, options


def start_router(
    settings: RouterSettings, tree: Tree, claims: LocalClaimService
) -> RouterServer:
    """Start a router that serves a tree and allocates the shares of its limits."""
    allocator = ShareAllocator(settings.limits, is_first=True)
    shares = LocalShareService(allocator, limits_of(tree))
    runtime = RouterRuntime(settings, claims, shares)
    runtime.apply_tree(tree)
    server = RouterServer(runtime)
    server.start()
    return server


def start_embedded(
    settings: RouterSettings,
    texts: dict[str, str],
    options: EngineOptions,
    idempotency: IdempotencySettings = IdempotencySettings(),
) -> EmbeddedRouter:
    """Start stand-ins for the targets of a tree and a router in front of them.

    Raises InvalidSettings if the tree doesn't pass its check.
    """
    target_cluster = TargetCluster(texts, options)
    tree = Tree.build(Revision(1), target_cluster.texts)
    check_tree(tree)
    store = MemoryStore()
    home = SlotHome(store, SlotName("local-0"), Epoch(1), idempotency)
    home.open()
    gevent.spawn(home.serve)
    server = start_router(settings, tree, LocalClaimService({home.slot: home}))
    return EmbeddedRouter(server, target_cluster, store, home)
