"""Maximum token rate of a capability, and the chains that reach it.

The rate is the maximum flow through a graph whose nodes are availability zone and
layer position, once before and once after a stage, so that a token that changes zones
runs a layer before it changes again. Interchangeable engines form one class, so the
size of the problem depends on the number of zones, accelerator types and distinct
layer ranges, never on the number of targets. A class that runs the layers [a, b) for
one token spends b − a layer tokens of its capacity; a token that moves between zones
spends one token of the link's capacity. The linear program is solved by SciPy's HiGHS
solver, and its flow is then decomposed into chains.
"""

from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

import numpy as np
from scipy.optimize import linprog
from scipy.sparse import coo_matrix

from chervilstall.routing.fleet import CapabilityFleet, StageClass

LINK_COST = 1e-3
"""Cost per token and zone change, against a gain of 1 per token served; of equal
plans the one with fewer zone changes wins."""

STAGE_COST = 1e-4
"""Cost per token and stage; of equal plans the one with fewer stages wins."""

INFINITY = float("inf")
FLOW_SHARE_MIN = 1e-4
"""Part of the total flow up to which a remainder is dropped as rounding error."""

BINDING_MARGINAL_MIN = 1e-6
"""Dual value above which a constraint counts as limiting."""


class Side(Enum):
    """Whether a token enters a stage next, or has just left one."""

    ENTRY = "entry"
    EXIT = "exit"


class Node(NamedTuple):
    """A zone, the number of layers that a token has passed, and the side of a stage."""

    zone: str
    position: int
    side: Side


@dataclass(frozen=True)
class StageSlice:
    """The layers [first_layer, end_layer), run by any one engine of a class."""

    stage_class: StageClass
    first_layer: int
    end_layer: int


@dataclass(frozen=True)
class ChainTemplate:
    """Slices that tile the model's layers exactly, and their planned token rate."""

    slices: tuple[StageSlice, ...]
    tokens_per_s: float

    @property
    def zones(self) -> frozenset[str]:
        """Return every zone that the chain passes through."""
        return frozenset(item.stage_class.zone for item in self.slices)


@dataclass(frozen=True)
class FlowPlan:
    """The maximum token rate, the chains that reach it, and what limits it.

    `limited_by` names the classes and links whose capacity is a binding constraint,
    for example "class zone-a small 0..6" or "link zone-a to zone-b".
    """

    bound_tokens_per_s: float
    templates: tuple[ChainTemplate, ...]
    limited_by: tuple[str, ...]


EMPTY_PLAN = FlowPlan(0.0, (), ())


@dataclass
class _Edge:
    source: Node
    sink: Node
    cost: float
    stage: StageSlice | None = None


@dataclass
class _LinearProgram:
    """Edges and capacity constraints of the linear program.

    `rows` maps each constraint to its (edge index, capacity used per token) entries,
    and `bounds` to its capacity.
    """

    edges: list[_Edge] = field(default_factory=list)
    rows: dict[str, list[tuple[int, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    bounds: dict[str, float] = field(default_factory=dict)

    def add(self, edge: _Edge, row: str, usage: float, bound: float) -> None:
        self.rows[row].append((len(self.edges), usage))
        self.bounds[row] = bound
        self.edges.append(edge)


def solve_flow(
    fleet: CapabilityFleet,
    links_tokens_per_s: dict[tuple[str, str], float],
    default_link_tokens_per_s: float = INFINITY,
) -> FlowPlan:
    """Return the plan with the maximum token rate, empty if no chain exists.

    A link without an entry has the default capacity. Solving takes milliseconds and
    blocks the interpreter, so call it when the fleet changes, never per request.
    """
    program = _build_program(fleet, links_tokens_per_s, default_link_tokens_per_s)
    if not program.edges:
        return EMPTY_PLAN
    solution = _solve(program, fleet.layers)
    if solution is None:
        return EMPTY_PLAN
    flows, marginals = solution
    templates = _decompose(program, flows, fleet.layers)
    bound = _total_flow(program, flows)
    limited_by = [
        row for row, marginal in marginals.items() if -marginal > BINDING_MARGINAL_MIN
    ]
    return FlowPlan(bound, tuple(templates), tuple(sorted(limited_by)))


def _total_flow(program: _LinearProgram, flows: np.ndarray) -> float:
    total = 0.0
    for edge, flow in zip(program.edges, flows):
        if edge.source.position == 0:
            total += float(flow)
    return total


def _build_program(
    fleet: CapabilityFleet,
    links: dict[tuple[str, str], float],
    default_link: float,
) -> _LinearProgram:
    program = _LinearProgram()
    boundaries = {0, fleet.layers}
    for stage_class in fleet.classes:
        boundaries |= {stage_class.first_layer, stage_class.end_layer}
    positions = sorted(boundaries)
    for stage_class, capacity in fleet.capacities().items():
        _add_stage_edges(program, stage_class, capacity, positions)
    zones = sorted({stage_class.zone for stage_class in fleet.classes})
    for zone in zones:
        for other in zones:
            is_link = zone != other
            capacity = links.get((zone, other), default_link) if is_link else INFINITY
            if capacity <= 0.0:
                continue
            row = f"link {zone} to {other}" if is_link else f"within {zone}"
            for position in positions[1:-1]:
                source = Node(zone, position, Side.EXIT)
                sink = Node(other, position, Side.ENTRY)
                edge = _Edge(source, sink, LINK_COST if is_link else 0.0)
                program.add(edge, row, 1.0, capacity)
    return program


def _add_stage_edges(
    program: _LinearProgram,
    stage_class: StageClass,
    capacity: float,
    positions: list[int],
) -> None:
    own_positions = [
        position
        for position in positions
        if stage_class.first_layer <= position <= stage_class.end_layer
    ]
    zone = stage_class.zone
    row = (
        f"class {zone} {stage_class.accelerator} "
        f"{stage_class.first_layer}..{stage_class.end_layer}"
    )
    for index, first in enumerate(own_positions):
        for end in own_positions[index + 1 :]:
            stage = StageSlice(stage_class, first, end)
            source = Node(zone, first, Side.ENTRY)
            sink = Node(zone, end, Side.EXIT)
            edge = _Edge(source, sink, STAGE_COST, stage)
            program.add(edge, row, float(end - first), capacity)


def _solve(
    program: _LinearProgram, layers: int
) -> tuple[np.ndarray, dict[str, float]] | None:
    edges = program.edges
    nodes: dict[Node, int] = {}
    for edge in edges:
        nodes.setdefault(edge.source, len(nodes))
        nodes.setdefault(edge.sink, len(nodes))
    inner = [node for node in nodes if node.position not in (0, layers)]
    inner_rows = {node: row for row, node in enumerate(inner)}
    balance: list[tuple[int, int, float]] = []
    costs = np.empty(len(edges))
    for column, edge in enumerate(edges):
        costs[column] = edge.cost - (1.0 if edge.source.position == 0 else 0.0)
        if edge.source in inner_rows:
            balance.append((inner_rows[edge.source], column, -1.0))
        if edge.sink in inner_rows:
            balance.append((inner_rows[edge.sink], column, 1.0))
    names = [name for name, bound in program.bounds.items() if np.isfinite(bound)]
    usage: list[tuple[int, int, float]] = []
    for row, name in enumerate(names):
        usage += [(row, column, amount) for column, amount in program.rows[name]]
    result = linprog(
        costs,
        A_ub=_matrix(usage, len(names), len(edges)),
        b_ub=np.array([program.bounds[name] for name in names]),
        A_eq=_matrix(balance, len(inner), len(edges)) if inner else None,
        b_eq=np.zeros(len(inner)) if inner else None,
        method="highs",
    )
    if result.status != 0:
        return None
    marginals = dict(zip(names, result.ineqlin.marginals))
    return result.x, marginals


def _matrix(
    entries: list[tuple[int, int, float]], rows: int, columns: int
) -> coo_matrix:
    if not entries:
        return coo_matrix((rows, columns))
    row_indices, column_indices, values = zip(*entries)
    return coo_matrix((values, (row_indices, column_indices)), shape=(rows, columns))


def _decompose(
    program: _LinearProgram, flows: np.ndarray, layers: int
) -> list[ChainTemplate]:
    remaining = {index: float(flow) for index, flow in enumerate(flows) if flow > 0.0}
    flow_min = _total_flow(program, flows) * FLOW_SHARE_MIN
    outgoing: dict[Node, list[int]] = defaultdict(list)
    for index in remaining:
        outgoing[program.edges[index].source].append(index)
    rates: dict[tuple[StageSlice, ...], float] = defaultdict(float)
    starts = [node for node in outgoing if node.position == 0]
    for start in starts:
        while True:
            path = _widest_path(program, remaining, outgoing, start, layers, flow_min)
            if path is None:
                break
            amount = min(remaining[index] for index in path)
            for index in path:
                remaining[index] -= amount
            rates[_slices(program, path)] += amount
    return [ChainTemplate(slices, rate) for slices, rate in rates.items()]


def _widest_path(
    program: _LinearProgram,
    remaining: dict[int, float],
    outgoing: dict[Node, list[int]],
    start: Node,
    layers: int,
    flow_min: float,
) -> list[int] | None:
    node = start
    path: list[int] = []
    visited = {start}
    while node.position != layers:
        widest = max(outgoing[node], key=lambda index: remaining[index], default=None)
        if widest is None or remaining[widest] <= flow_min:
            return None
        path.append(widest)
        node = program.edges[widest].sink
        if node in visited:
            return None
        visited.add(node)
    return path


def _slices(program: _LinearProgram, path: list[int]) -> tuple[StageSlice, ...]:
    slices: list[StageSlice] = []
    for index in path:
        stage = program.edges[index].stage
        if stage is None:
            continue
        previous = slices[-1] if slices else None
        if previous is not None and previous.stage_class == stage.stage_class:
            # One engine runs adjacent slices of the same class.
            slices[-1] = StageSlice(
                stage.stage_class, previous.first_layer, stage.end_layer
            )
            continue
        slices.append(stage)
    return tuple(slices)
