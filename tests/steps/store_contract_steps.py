"""Steps for the contract that every store keeps."""

import gevent
from behave import then
from behave.runner import Context

from chervilstall.settings.agents import StoreSettings
from chervilstall.standin.faults import FaultKind
from chervilstall.standin.store import MemoryStore
from chervilstall.standin.store_server import StoreServer
from chervilstall.store.client import HttpStore
from chervilstall.store.contract import StoreFailed, StoreRefused
from tests.support.router_harness import ANY_PORT


@then("the store contract holds for each implementation")
def check_store_contract(context: Context) -> None:
    memory = MemoryStore()
    server = StoreServer(MemoryStore(), ANY_PORT)
    client = HttpStore(StoreSettings(address=server.address, calls_per_s=10_000.0))
    for store, faults in ((memory, memory.faults), (client, server.store.faults)):
        check_store(store, faults)
    server.stop()
    try:
        client.get("a")
        raise AssertionError("a stopped store answered a call")
    except StoreRefused:
        pass


def check_store(store, faults) -> None:
    """Check that one store implementation keeps the store contract."""
    assert store.get("a") is None
    first = store.put("a/1", b"\x00one")
    assert store.get("a/1").value == b"\x00one"
    assert not store.compare_and_swap("a/1", b"two", 0).is_swapped
    assert store.compare_and_swap("a/1", b"two", first).is_swapped
    assert store.compare_and_swap("a/2", b"new", 0).is_swapped
    assert [entry.key for entry in store.list_entries("a/")] == ["a/1", "a/2"]
    version = store.get("a/2").version
    assert store.watch("a/", version, 0.05).entries == ()
    gevent.spawn_later(0.05, store.put, "a/3", b"late")
    assert [e.key for e in store.watch("a/", version, 2.0).entries] == ["a/3"]
    store.delete("a/1")
    assert store.get("a/1") is None
    mine = store.acquire_lease("role", "me", 0.3, "note")
    assert store.acquire_lease("role", "you", 5.0).holder == "me"
    assert [lease.note for lease in store.list_leases("ro")] == ["note"]
    gevent.sleep(0.35)
    yours = store.acquire_lease("role", "you", 5.0)
    assert yours.holder == "you" and yours.epoch > mine.epoch
    store.release_lease("role", "you")
    assert store.list_leases("role") == ()
    faults.arm(FaultKind.LOSE_ANSWER)
    try:
        store.put("lost", b"x")
        raise AssertionError("the store answered despite the injected fault")
    except StoreRefused as error:
        raise AssertionError("a lost answer was reported as a refusal") from error
    except StoreFailed:
        assert store.get("lost").value == b"x"
