"""Fits a line to each figure that may grow with the size of the endpoint list."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from testbed.linear_fit import MIN_POINTS, fit_line
from testbed.scale.report import Fit, Role, SizeFigures

TARGET_ENDPOINTS = 11_000


class _FittedFigure(NamedTuple):
    role: Role
    attribute_name: str  # attribute of RoleFigures that holds the figure
    report_key: str  # name of the figure in the report
    unit: str


class _Point(NamedTuple):
    endpoints: int
    value: float


_FITTED_FIGURES = (
    _FittedFigure(Role.SIMULATED_GATEWAY, "cpu_us_per_request", "cpu_us_per_request", "us"),
    _FittedFigure(Role.SIMULATED_GATEWAY, "cpu_us_per_idle_s", "cpu_us_per_idle_s", "us"),
    _FittedFigure(Role.SIMULATED_GATEWAY, "memory_mb", "memory_mb", "MB"),
    _FittedFigure(Role.REAL_GATEWAY, "cpu_us_per_request", "cpu_us_per_request", "us"),
    _FittedFigure(Role.REAL_GATEWAY, "cpu_us_per_idle_s", "cpu_us_per_idle_s", "us"),
    _FittedFigure(Role.REAL_GATEWAY, "memory_mb", "memory_mb", "MB"),
    _FittedFigure(Role.DISCOVERY, "bytes_per_s", "bytes_per_s", "bytes/s"),
    _FittedFigure(Role.COUNTER, "requests_per_s", "messages_per_s", "1/s"),
)
FULL_LIST_FIGURE_NAME = "whole list"


def fit_sizes(sizes: Sequence[SizeFigures]) -> list[Fit]:
    """Fit a line to each figure that was measured with at least three sizes of the endpoint list.

    Args:
        sizes: Figures for each size of the endpoint list; not empty.

    Returns:
        The fits; empty if there are fewer than three sizes.
    """
    max_endpoints = max(size.endpoints for size in sizes)
    fits = []
    for figure in _FITTED_FIGURES:
        points = _figure_points(sizes, figure)
        if len(points) >= MIN_POINTS:
            fits.append(
                _fit_points(f"{figure.role.value}: {figure.report_key}", figure.unit, points, max_endpoints)
            )
    full_list_points = [_Point(size.endpoints, float(size.full_list_bytes)) for size in sizes]
    if len(full_list_points) >= MIN_POINTS:
        fits.append(_fit_points(FULL_LIST_FIGURE_NAME, "bytes", full_list_points, max_endpoints))
    return fits


def _figure_points(sizes: Sequence[SizeFigures], figure: _FittedFigure) -> list[_Point]:
    points = []
    for size in sizes:
        for role_figures in size.roles:
            value = getattr(role_figures, figure.attribute_name)
            if role_figures.role is figure.role and value is not None:
                points.append(_Point(size.endpoints, value))
    return points


def _fit_points(name: str, unit: str, points: Sequence[_Point], max_endpoints: int) -> Fit:
    line = fit_line([point.endpoints for point in points], [point.value for point in points])
    return Fit(
        figure=name,
        unit=unit,
        intercept=line.intercept,
        slope_per_1000_endpoints=1000 * line.slope,
        residual_deviation=line.residual_deviation,
        at_target=line.intercept + line.slope * TARGET_ENDPOINTS,
        extrapolated=max_endpoints < TARGET_ENDPOINTS,
    )
