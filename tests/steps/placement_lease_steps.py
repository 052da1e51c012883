"""Steps for the lease that a planner needs to send orders."""

import gevent
from behave import given, then
from behave.runner import Context

from chervilstall.fleet.view import FleetView
from chervilstall.ids import Epoch
from chervilstall.lease.holder import LeaseHolder
from chervilstall.placement.planner import PlacementPlanner
from chervilstall.settings.leases import LeaseSettings
from chervilstall.store.contract import LeaseRecord


def start_planner(context: Context, store: object, clock: list[float]) -> LeaseHolder:
    """Create a planner that holds a lease of 2 s, and return the lease holder."""
    settings = LeaseSettings(ttl_s=2.0, margin_s=0.4)
    lease = LeaseHolder(store, "planner", "me", settings, clock=lambda: clock[0])
    lease.step()
    context.planner = PlacementPlanner(FleetView(2.0), lease)
    context.planner._term = context.planner._current_term()
    assert context.planner._term is not None
    return lease


@given("a planner that was paused while another router took its lease")
def pause_planner(context: Context) -> None:
    clock = [0.0]

    class Store:
        holder = "me"

        def acquire_lease(self, name, holder, ttl_s, note=""):
            return LeaseRecord(name, self.holder, Epoch(1), ttl_s)

        def release_lease(self, name, holder):
            return None

    store = Store()
    start_planner(context, store, clock)
    clock[0] = 10.0
    store.holder = "another"


@given("a planner whose lease expires while its renewal is pending")
def delay_renewal(context: Context) -> None:
    clock = [0.0]

    class Store:
        is_silent = False

        def acquire_lease(self, name, holder, ttl_s, note=""):
            if self.is_silent:
                gevent.sleep(60.0)
            return LeaseRecord(name, holder, Epoch(1), ttl_s)

        def release_lease(self, name, holder):
            return None

    store = Store()
    lease = start_planner(context, store, clock)
    store.is_silent = True
    context.renewal = gevent.spawn(lease.step)
    gevent.sleep(0)
    clock[0] = 3.0


@then("it may send orders")
def check_may_order(context: Context) -> None:
    assert context.planner._current_term() is not None
    context.renewal.kill()


@then("it sends no order")
def check_no_order(context: Context) -> None:
    # The planner may run before or after the lease is requested again.
    assert context.planner._current_term() is None
    context.planner.lease.step()
    assert context.planner._current_term() is None
