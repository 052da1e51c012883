"""Small statistics shared by the experiments."""

from collections.abc import Sequence


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value below which `share` (0..1) of the values lie.

    >>> percentile([3.0, 1.0, 2.0], 0.5)
    2.0
    """
    if not values:
        return float("nan")
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(share * len(ordered)))
    return ordered[index]


def median(values: Sequence[float]) -> float:
    """Return the median."""
    return percentile(values, 0.5)


def jain_index(values: Sequence[float]) -> float:
    """Return Jain's fairness index, 1 for equal values.

    >>> jain_index([2.0, 2.0])
    1.0
    """
    total = sum(values)
    squares = sum(value * value for value in values)
    return total * total / (len(values) * squares) if squares else 1.0


def slope(points: Sequence[tuple[float, float]]) -> float:
    """Return the least-squares slope of y over x."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    if not spread:
        return 0.0
    return sum((x - mean_x) * (y - mean_y) for x, y in points) / spread


def round_floats(figures: dict[str, object], digits: int = 4) -> dict[str, object]:
    """Return figures with floats rounded, for printing."""
    result: dict[str, object] = {}
    for name, value in figures.items():
        if isinstance(value, float):
            result[name] = round(value, digits)
        elif isinstance(value, dict):
            result[name] = round_floats(value, digits)
        else:
            result[name] = value
    return result
