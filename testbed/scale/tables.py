"""Prints the report of a scale experiment as tables."""

from __future__ import annotations

from collections.abc import Sequence

from rich.console import Console
from rich.table import Table

from testbed.scale.report import Fit, Report, RoleFigures, SizeFigures

BYTES_PER_KIB = 1024
ROLE_COLUMNS = (
    "endpoints",
    "role",
    "CPU us/request",
    "CPU us/idle s",
    "added p50 ms",
    "p99",
    "p99.9",
    "MB",
    "connects/req.",
    "connections",
    "messages/s",
    "bytes/s",
)
ENDPOINT_LIST_COLUMNS = (
    "endpoints",
    "busiest / mean",
    "full list KB",
    "ready after s",
    "KB at start",
    "replaced",
    "known after s",
    "KB for replacement",
)
FIT_COLUMNS = ("figure", "at 0", "per 1,000 endpoints", "residual", "at 11,000", "")
LEFT_ALIGNED_COLUMNS = {"role", "figure", ""}


def print_report(report: Report, console: Console) -> None:
    """Print all tables of a report."""
    plan = report.plan
    title = f'{plan.simulated_gateways} simulated ("hollow") and {plan.real_gateways} real gateways'
    console.print(_role_table(title, report.sizes))
    console.print(_endpoint_list_table(report.sizes))
    if report.fits:
        console.print(_fit_table(report.fits))
    quotas = report.quotas
    console.print(
        f"Quotas with {quotas.rejected_fraction:.0%} of the calls to the counter rejected: "
        f"{quotas.units_over_quota:,.0f} units over quota, {quotas.units_within_quota:,.0f} within, "
        f"over quota / allowed {quotas.over_quota_ratio:.3f}"
    )
    console.print(f"{report.duration_s:.0f} s. " + " ".join(report.notes))


def _format_number(value: float | None, digits: int = 1) -> str:
    return "-" if value is None else f"{value:,.{digits}f}"


def _new_table(title: str, columns: Sequence[str]) -> Table:
    table = Table(title=title)
    for column in columns:
        table.add_column(column, justify="left" if column in LEFT_ALIGNED_COLUMNS else "right")
    return table


def _role_table(title: str, sizes: Sequence[SizeFigures]) -> Table:
    table = _new_table(f"{title}, by number of endpoints", ROLE_COLUMNS)
    for size in sizes:
        for role_figures in size.roles:
            table.add_row(str(size.endpoints), *_role_cells(role_figures))
        table.add_section()
    return table


def _role_cells(figures: RoleFigures) -> list[str]:
    added_latency = figures.added_ms
    return [
        figures.role.value,
        _format_number(figures.cpu_us_per_request),
        _format_number(figures.cpu_us_per_idle_s),
        _format_number(added_latency and added_latency.p50, 2),
        _format_number(added_latency and added_latency.p99, 2),
        _format_number(added_latency and added_latency.p999, 2),
        _format_number(figures.memory_mb),
        _format_number(figures.connects_per_request, 3),
        _format_number(figures.connections),
        _format_number(figures.requests_per_s, 2),
        _format_number(figures.bytes_per_s),
    ]


def _endpoint_list_table(sizes: Sequence[SizeFigures]) -> Table:
    table = _new_table("Load on the endpoints, and the endpoint list", ENDPOINT_LIST_COLUMNS)
    for size in sizes:
        replacement = size.replacement
        table.add_row(
            str(size.endpoints),
            _format_number(size.max_over_mean_load, 2),
            _format_number(size.full_list_bytes / BYTES_PER_KIB),
            _format_number(size.start_s, 2),
            _format_number(size.start_bytes_per_gateway / BYTES_PER_KIB),
            _format_number(replacement.endpoints_replaced, 0),
            _format_number(replacement.propagation_s, 2),
            _format_number(replacement.bytes_per_gateway / BYTES_PER_KIB),
        )
    return table


def _fit_table(fits: Sequence[Fit]) -> Table:
    table = _new_table("Lines fitted over the sizes of the endpoint list", FIT_COLUMNS)
    for fit in fits:
        table.add_row(
            f"{fit.figure} ({fit.unit})",
            _format_number(fit.intercept, 2),
            _format_number(fit.slope_per_1000_endpoints, 2),
            _format_number(fit.residual_deviation, 2),
            _format_number(fit.at_target, 1),
            "extrapolated" if fit.extrapolated else "",
        )
    return table
