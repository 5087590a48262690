"""Lines through a few measured points, with what they leave over."""

from __future__ import annotations

import statistics
from collections.abc import Sequence


def line(xs: Sequence[float], ys: Sequence[float]) -> tuple[float, float, float]:
    """Least squares through three points or more: intercept, slope, standard deviation of the rest.

    The rest has two degrees of freedom less than there are points.
    """
    if len(xs) < 3 or len(xs) != len(ys):
        raise ValueError("a slope needs three sizes or more")
    slope, intercept = statistics.linear_regression(xs, ys)
    rest = [y - intercept - slope * x for x, y in zip(xs, ys, strict=True)]
    return intercept, slope, (sum(r * r for r in rest) / (len(xs) - 2)) ** 0.5
