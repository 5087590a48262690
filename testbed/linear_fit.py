"""Fits of a line to measured points by least squares."""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from dataclasses import dataclass

MIN_POINTS = 3


@dataclass(frozen=True, slots=True)
class LinearFit:
    """The line y = intercept + slope * x.

    Attributes:
        intercept: Value of the line at x = 0, in the unit of y.
        slope: Increase of y for each unit of x.
        residual_deviation: Standard deviation of the residuals, in the unit of y. Its degrees of freedom are
            the number of points minus two, since intercept and slope are fitted.
    """

    intercept: float
    slope: float
    residual_deviation: float


def fit_line(xs: Sequence[float], ys: Sequence[float]) -> LinearFit:
    """Fit a line by least squares.

    Args:
        xs: The x values of the points; at least three.
        ys: The y values of the points; as many as `xs`.

    Returns:
        The fitted line.

    Raises:
        ValueError: There are fewer than three points, or the lengths differ.
    """
    if len(xs) < MIN_POINTS or len(xs) != len(ys):
        raise ValueError(
            f"a line fit needs at least three points: got {len(xs)} x values and {len(ys)} y values"
        )
    slope, intercept = statistics.linear_regression(xs, ys)
    residuals = [y - intercept - slope * x for x, y in zip(xs, ys, strict=True)]
    variance = sum(residual * residual for residual in residuals) / (len(xs) - 2)
    return LinearFit(intercept, slope, variance**0.5)
