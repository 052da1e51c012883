"""Steps for routers that stand by for a lease."""

import gevent
from behave import given, then, when
from behave.runner import Context

from chervilstall.edge.standby import CHECK_INTERVAL_S, PlannerStandby
from chervilstall.ids import Epoch, VmId
from chervilstall.lease.holder import LeaseHolder
from chervilstall.platform.kv import Entry
from chervilstall.settings.leases import LeaseSettings
from chervilstall.store.contract import LeaseRecord
from tests.support.agent_fleet import eventually
from tests.support.tasks import TaskStopper

LEASE_NAME = "planner"


class CountingLeaseStore:
    """A lease store that grants a lease to the first caller and counts all calls."""

    def __init__(self) -> None:
        self.calls = 0
        self.holder = ""

    def acquire_lease(
        self, name: str, holder: str, ttl_s: float, note: str = ""
    ) -> LeaseRecord:
        """Acquire the lease, or return the record of its holder."""
        self.calls += 1
        self.holder = self.holder or holder
        return LeaseRecord(name, self.holder, Epoch(1), ttl_s)

    def release_lease(self, name: str, holder: str) -> None:
        """Release the lease."""
        self.holder = ""


@given("{count:d} routers that stand by for a lease")
def start_standbys(context: Context, count: int) -> None:
    context.lease_store = CountingLeaseStore()
    vms = [VmId(f"vm-{number}") for number in range(count)]
    context.standbys = []
    for vm in vms:
        holder = LeaseHolder(
            context.lease_store,
            LEASE_NAME,
            vm,
            LeaseSettings(ttl_s=30.0),
            standby_interval_s=CHECK_INTERVAL_S,
        )
        standby = PlannerStandby(holder, vm, lambda: vms)
        standby.update_interval()
        context.stoppables.append(TaskStopper(gevent.spawn(holder.run)))
        context.standbys.append(standby)


@when("the lease becomes free, and is held again 0.3 s after the first attempt")
def free_lease(context: Context) -> None:
    key = context.standbys[0].key
    for standby in context.standbys:
        standby.handle_entry(Entry(key, None, 1))
    eventually(lambda: context.lease_store.holder)
    gevent.sleep(0.3)
    for standby in context.standbys:
        standby.handle_entry(Entry(key, b"vm", 2))
    gevent.sleep(1.0)


@then("at most {count:d} of them called the store")
def check_lease_calls(context: Context, count: int) -> None:
    assert 0 < context.lease_store.calls <= count, context.lease_store.calls


@when("the store loses its leases")
def lose_leases(context: Context) -> None:
    context.lease_store.calls = 0
    for standby in context.standbys:
        standby.lease.forfeit()
    gevent.sleep(1.0)


@then("at most {count:d} of them called the store since")
def check_calls_since(context: Context, count: int) -> None:
    assert context.lease_store.calls <= count, context.lease_store.calls
