"""Steps for the division of the memory for what clients send and read."""

import json
from dataclasses import dataclass, field

from behave import given, then, when
from behave.runner import Context

from chervilstall.platform.node import decode_node
from chervilstall.process_limits.derived import derive_limits
from chervilstall.process_limits.memory import (
    ClientMemory,
    Holding,
    HoldingKind,
    MemoryShort,
)
from chervilstall.settings.edge import ProcessLimitSettings
from tests.steps.node_settings_steps import NODE


@dataclass
class MemoryCase:
    """A memory with a clock of its own, and its holdings by name."""

    bytes_max: int
    reserve_bytes: int
    small_bytes: int
    now_s: float = 100.0
    holdings: dict[str, Holding] = field(default_factory=dict)
    evicted: list[str] = field(default_factory=list)
    is_refused: bool = False

    def __post_init__(self) -> None:
        self.memory = ClientMemory(
            self.bytes_max, self.reserve_bytes, self.small_bytes, lambda: self.now_s
        )

    def add(self, name: str, size_bytes: int) -> Holding:
        """Add a holding that may be evicted."""
        holding = self.memory.hold(HoldingKind.BODY)
        holding.allow_eviction(lambda: self.evicted.append(name))
        holding.grow(size_bytes)
        self.holdings[name] = holding
        return holding

    def grow(self, name: str, size_bytes: int) -> None:
        """Let a holding ask for more bytes."""
        self.is_refused = False
        try:
            self.holdings[name].grow(size_bytes)
        except MemoryShort:
            self.is_refused = True


@given(
    "memory for {total:d} bytes, {reserve:d} of them reserved for holdings"
    " of up to {small:d}"
)
def create_memory(context: Context, total: int, reserve: int, small: int) -> None:
    context.case = MemoryCase(total, reserve, small)


@given(
    "a {kind} holding of {size:d} bytes and a steady one of {other:d}, {age:d} s old"
)
def add_holdings(context: Context, kind: str, size: int, other: int, age: int) -> None:
    case = context.case
    steady = case.add("steady", other)
    if kind == "stopped":
        case.add(kind, size).record_progress(size)
    for _ in range(age):
        case.now_s += 1.0
        steady.record_progress(1)
    if kind == "new":
        case.add(kind, size)


@given("holdings at targets that take {size:d} bytes")
def add_busy_holding(context: Context, size: int) -> None:
    context.case.add("busy", size).forbid_eviction()


@when("a new holding asks for {size:d} bytes")
def grow_new(context: Context, size: int) -> None:
    context.case.add("asking", 0)
    context.case.grow("asking", size)


@when("the stopped holding asks for {size:d} bytes")
def grow_stopped(context: Context, size: int) -> None:
    context.case.grow("stopped", size)


@then("it gets them, and only the {name} holding was evicted")
def check_evicted(context: Context, name: str) -> None:
    case = context.case
    assert not case.is_refused
    assert case.evicted == [name], case.evicted
    held = sum(holding.size_bytes for holding in case.holdings.values())
    assert held == case.memory.used_bytes, held


@then("it is refused, and no holding was evicted")
def check_refused(context: Context) -> None:
    assert context.case.is_refused
    assert not context.case.evicted, context.case.evicted


@then("a new holding of {large:d} bytes is refused, and one of {small:d} is not")
def check_reserve(context: Context, large: int, small: int) -> None:
    for size, is_refused in ((large, True), (small, False)):
        grow_new(context, size)
        assert context.case.is_refused is is_refused, size


@given("an answer of {size:d} bytes that its caller has not read for {age:d} s")
def add_unread(context: Context, size: int, age: int) -> None:
    case = context.case
    case.unread = case.memory.hold(HoldingKind.ANSWER)
    case.unread.grow(size)
    case.unread.allow_eviction(lambda: case.evicted.append("first"), frees_late=True)
    case.now_s += age


@when("an answer of {size:d} bytes waits for room")
def wait_for_room(context: Context, size: int) -> None:
    case = context.case
    waiting = case.memory.hold(HoldingKind.ANSWER)
    case.granted = [waiting.try_grow(size), waiting.try_grow(size)]
    case.unread.free()
    case.granted.append(waiting.try_grow(size))


@then("the first answer is cut, and the other waits until it is gone")
def check_wait(context: Context) -> None:
    case = context.case
    assert case.evicted == ["first"], case.evicted
    assert case.granted == [False, False, True], case.granted
    assert case.memory.leaving_bytes == 0, case.memory.leaving_bytes


@given("a node file with {memory_mb:d} MB of memory")
def read_node_file(context: Context, memory_mb: int) -> None:
    content = json.dumps({**NODE, "limits": {"memory-mb": memory_mb}}).encode()
    context.node = decode_node(content, "node.json")


@then("{size:d} bytes are for clients, by default")
def check_client_bytes(context: Context, size: int) -> None:
    limits = derive_limits(context.node, ProcessLimitSettings())
    assert limits.client_bytes == size, limits
