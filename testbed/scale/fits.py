"""Lines over the sizes of the endpoint list, for the figures that may grow with it."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from testbed.linear_fit import MIN_POINTS, fit_line
from testbed.scale.report import Fit, Role, SizeFigures

TARGET_ENDPOINTS = 11_000


class _Figure(NamedTuple):
    role: Role
    attribute: str  # of RoleFigures
    key: str  # in the report
    unit: str


class _Point(NamedTuple):
    endpoints: int
    value: float


_FIGURES = (
    _Figure(Role.SIMULATED_GATEWAY, "cpu_us_per_request", "cpu_us_per_request", "us"),
    _Figure(Role.SIMULATED_GATEWAY, "cpu_us_per_idle_s", "cpu_us_per_idle_s", "us"),
    _Figure(Role.SIMULATED_GATEWAY, "memory_mb", "memory_mb", "MB"),
    _Figure(Role.REAL_GATEWAY, "cpu_us_per_request", "cpu_us_per_request", "us"),
    _Figure(Role.REAL_GATEWAY, "cpu_us_per_idle_s", "cpu_us_per_idle_s", "us"),
    _Figure(Role.REAL_GATEWAY, "memory_mb", "memory_mb", "MB"),
    _Figure(Role.DISCOVERY, "bytes_per_s", "bytes_per_s", "bytes/s"),
    _Figure(Role.COUNTER, "requests_per_s", "messages_per_s", "1/s"),
)
FULL_LIST_FIGURE = "whole list"  # name in the report


def fit_sizes(sizes: Sequence[SizeFigures]) -> list[Fit]:
    """Fit a line to each figure that has enough sizes.

    Args:
        sizes: Figures by size of the endpoint list.

    Returns:
        The fits; none with fewer than three sizes.
    """
    largest = max(size.endpoints for size in sizes)
    fits = []
    for figure in _FIGURES:
        points = _points(sizes, figure)
        if len(points) >= MIN_POINTS:
            fits.append(_fit(f"{figure.role.value}: {figure.key}", figure.unit, points, largest))
    full_list_points = [_Point(size.endpoints, float(size.full_list_bytes)) for size in sizes]
    if len(full_list_points) >= MIN_POINTS:
        fits.append(_fit(FULL_LIST_FIGURE, "bytes", full_list_points, largest))
    return fits


def _points(sizes: Sequence[SizeFigures], figure: _Figure) -> list[_Point]:
    points = []
    for size in sizes:
        for role_figures in size.roles:
            value = getattr(role_figures, figure.attribute)
            if role_figures.role is figure.role and value is not None:
                points.append(_Point(size.endpoints, value))
    return points


def _fit(name: str, unit: str, points: Sequence[_Point], largest: int) -> Fit:
    line = fit_line([point.endpoints for point in points], [point.value for point in points])
    return Fit(
        figure=name,
        unit=unit,
        intercept=line.intercept,
        slope_per_1000_endpoints=1000 * line.slope,
        residual_deviation=line.residual_deviation,
        at_target=line.intercept + line.slope * TARGET_ENDPOINTS,
        extrapolated=largest < TARGET_ENDPOINTS,
    )
