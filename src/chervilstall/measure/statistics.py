"""Statistics of the experiments."""

from collections.abc import Sequence


def percentile(values: Sequence[float], fraction: float) -> float:
    """Return the value below which `fraction` (0..1) of the values lie.

    Returns NaN if there are none.

    >>> percentile([3.0, 1.0, 2.0], 0.5)
    2.0
    """
    if not values:
        return float("nan")
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(fraction * len(ordered)))
    return ordered[index]


def median(values: Sequence[float]) -> float:
    """Return the median; for an even count, the upper of the two middle values."""
    return percentile(values, 0.5)


def jain_index(values: Sequence[float]) -> float:
    """Return Jain's fairness index: 1 for equal values, 1/n if one has everything.

    >>> jain_index([2.0, 2.0])
    1.0
    """
    total = sum(values)
    squares = sum(value * value for value in values)
    return total * total / (len(values) * squares) if squares else 1.0


def slope(points: Sequence[tuple[float, float]]) -> float:
    """Return the least-squares slope of y over x, 0 if all x are equal."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    squared_deviations = sum((x - mean_x) ** 2 for x, _ in points)
    if not squared_deviations:
        return 0.0
    return sum((x - mean_x) * (y - mean_y) for x, y in points) / squared_deviations


def round_floats(figures: dict[str, object], digits: int = 4) -> dict[str, object]:
    """Return figures with floats rounded, in nested dictionaries too."""
    rounded_figures: dict[str, object] = {}
    for name, value in figures.items():
        if isinstance(value, float):
            rounded_figures[name] = round(value, digits)
        elif isinstance(value, dict):
            rounded_figures[name] = round_floats(value, digits)
        else:
            rounded_figures[name] = value
    return rounded_figures
