"""Steps for odd records of the product's store, and for large ones."""

import json
import zlib

from behave import given, then, when
from behave.runner import Context

from chervilstall.agent.distribution import SettingsDistributor
from chervilstall.configuration.records import (
    IN_FORCE_PREFIX,
    ZoneWatermark,
    decode_head,
    unpack_texts,
)
from chervilstall.configuration.watermark import Watermark
from chervilstall.configuration.writer import ConfigurationStore
from chervilstall.idempotency.log import SegmentLog
from chervilstall.idempotency.records import (
    OpenRecord,
    segment_key,
    segment_prefix,
)
from chervilstall.ids import Epoch, Revision, SlotName
from chervilstall.settings.agents import StoreSettings
from chervilstall.standin.shared_link import SharedLink
from chervilstall.standin.store import MemoryStore
from chervilstall.standin.store_server import StoreServer
from chervilstall.store.client import HttpStore
from chervilstall.store.contract import StoreFailed
from tests.support.router_harness import ANY_PORT

SLOT = SlotName("slot-1")
VM = {"vm": "vm-1", "zone": "a", "host": "10.0.0.1", "port": 7000}
ODD_VMS = {
    "port 0": {**VM, "port": 0},
    "port 65536": {**VM, "port": 65536},
    "a port of 400 digits": {**VM, "port": 10**400},
    "no zone": {"vm": "vm-1", "host": "10.0.0.1", "port": 7000},
    "another type": ["vm-1"],
    "an unknown state": {**VM, "state": "odd"},
}
CONTENTS = {
    "nothing": b"",
    "no UTF-8": b'{"revision":"\xff"}',
    "another type": b"[1, 2]",
    "a field nested 100,000 deep": (
        b'{"zone":"b","revision":9,"nodes":1,"unconfirmed":[],"at_s":0,"x":'
        + b"[" * 100_000
        + b"]" * 100_000
        + b"}"
    ),
}
LINK_BYTES_PER_S = 125_000.0
LARGE_VALUE = bytes(150_000)


@given("a list of VMs in which one record has {fault}")
def build_vm_list(context: Context, fault: str) -> None:
    others = [{**VM, "vm": "vm-0"}, {**VM, "vm": "vm-2"}]
    records = [others[0], ODD_VMS[fault], others[1]]
    context.store = HttpStore(StoreSettings(address=ANY_PORT))
    context.store._call = lambda method, path: json.dumps(records).encode()


@when("an agent reads the list")
def read_vm_list(context: Context) -> None:
    context.vms = context.store.list_vms()


@then("it knows the two other VMs")
def check_vms(context: Context) -> None:
    assert [record.vm for record in context.vms] == ["vm-0", "vm-2"], context.vms


@given("a store in which one zone's watermark holds {content}")
def write_watermarks(context: Context, content: str) -> None:
    context.store = MemoryStore()
    for zone in ("a", "c"):
        record = {"zone": zone, "revision": 7, "nodes": 2, "unconfirmed": [], "at_s": 0}
        context.store.put(IN_FORCE_PREFIX + zone, json.dumps(record).encode())
    context.store.put(IN_FORCE_PREFIX + "b", CONTENTS[content])


@when("the watermarks are read")
def read_watermarks(context: Context) -> None:
    context.watermarks = ConfigurationStore(context.store).read_watermarks()


@then("those of the other zones are known")
def check_watermarks(context: Context) -> None:
    zones = [watermark.zone for watermark in context.watermarks]
    assert zones == ["a", "c"], zones


@then("the zone's relay writes its own in its place")
def check_written_anew(context: Context) -> None:
    distributor = SettingsDistributor.__new__(SettingsDistributor)
    distributor._store = context.store
    distributor.watermark = Watermark()
    distributor._write_watermark(ZoneWatermark("b", Revision(5), 2, (), 0.0))
    read_watermarks(context)
    revisions = {each.zone: each.revision for each in context.watermarks}
    assert revisions == {"a": 7, "b": 5, "c": 7}, revisions


@then("a head and a snapshot that hold {content} fail as a call of the store does")
def check_settings_unreadable(context: Context, content: str) -> None:
    for decode in (decode_head, unpack_texts):
        for data in (CONTENTS[content], zlib.compress(CONTENTS[content])):
            try:
                decoded = decode(data)
            except StoreFailed:
                continue
            raise AssertionError(f"{decode.__name__} returned {decoded}")


@given("the log of a slot with two segments")
def write_log(context: Context) -> None:
    context.store = MemoryStore()
    log = SegmentLog(context.store, SLOT)
    for epoch in (1, 2):
        log.append((OpenRecord(Epoch(epoch)),), lambda: True)


@when("a key that is no segment is written beside them")
def write_odd_key(context: Context) -> None:
    for name in ("odd", "12", "٠" * 12):
        context.store.put(segment_prefix(SLOT) + name, b"odd")


@then("the log is read with both")
def check_log_read(context: Context) -> None:
    log = SegmentLog(context.store, SLOT)
    assert [item.number for item in log.read()] == [1, 2]
    assert log.next_number == 3


@when("the second segment is overwritten with something else")
def overwrite_segment(context: Context) -> None:
    context.store.put(segment_key(SLOT, 2), b"\x91" * 100_000 + b"\xc0")


@then("reading the log fails as a call of the store does")
def check_log_fails(context: Context) -> None:
    try:
        SegmentLog(context.store, SLOT).read()
    except StoreFailed:
        return
    raise AssertionError("a malformed segment was left out")


@given("a store over a link on which 200 kB take 1.6 s")
def start_slow_store(context: Context) -> None:
    server = StoreServer(MemoryStore(), ANY_PORT)
    context.stoppables.append(server)
    server.link = SharedLink(LINK_BYTES_PER_S)
    server.store.put("large", LARGE_VALUE)
    settings = StoreSettings(address=server.address, timeout_s=0.5)
    context.store = HttpStore(settings)


@when(
    "a value of 150 kB is read by its key, listed and watched, with a time limit of "
    "0.5 s"
)
def read_large(context: Context) -> None:
    context.entries = [
        context.store.get("large"),
        *context.store.list_entries("large"),
        *context.store.watch("large", 0, 0.1).entries,
    ]


@then("it arrives each time")
def check_large(context: Context) -> None:
    assert [entry.value for entry in context.entries] == [LARGE_VALUE] * 3
