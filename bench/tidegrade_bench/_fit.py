"""Straight lines through measured costs."""

from collections.abc import Sequence
import statistics

import attrs


@attrs.frozen
class Point:
    """A cost measured at a count."""

    count: float
    cost: float


@attrs.frozen
class Slope:
    """A fitted line and how well it holds.

    ``worst`` is the largest residual as a part of the largest cost.
    """

    name: str
    unit: str
    per: str
    points: tuple[Point, ...]
    each: float
    base: float
    worst: float

    def at(self, count: float) -> float:
        """Give the cost that the line predicts at a count."""
        return self.base + self.each * count


def fit(name: str, unit: str, per: str, points: Sequence[Point]) -> Slope:
    """Fit a line by least squares."""
    counts = [point.count for point in points]
    costs = [point.cost for point in points]
    line = statistics.linear_regression(counts, costs)
    residuals = [
        abs(point.cost - line.intercept - line.slope * point.count)
        for point in points
    ]
    return Slope(
        name,
        unit,
        per,
        tuple(points),
        line.slope,
        line.intercept,
        max(residuals) / max(costs),
    )
