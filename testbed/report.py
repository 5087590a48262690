"""A report as tables for a person."""

from __future__ import annotations

from rich.console import Console
from rich.table import Table

from testbed.plan import Report


def _figure(value: float | None, digits: int = 1) -> str:
    return "-" if value is None else f"{value:,.{digits}f}"


def show(report: Report, console: Console) -> None:
    """Print all tables."""
    roles = Table(
        title=f"{report.plan.gateways} hollow and {report.plan.real} real gateways, by number of hosts"
    )
    for name in (
        "hosts",
        "role",
        "CPU us/request",
        "CPU us/idle s",
        "added p50 ms",
        "p99",
        "p99.9",
        "MB",
        "dials/request",
        "connections",
        "messages/s",
        "bytes/s",
    ):
        roles.add_column(name, justify="left" if name == "role" else "right")
    for size in report.sizes:
        for r in size.roles:
            added = r.added_ms
            roles.add_row(
                str(size.hosts),
                r.role,
                _figure(r.cpu_us_per_request),
                _figure(r.cpu_us_per_idle_s),
                _figure(added and added.p50, 2),
                _figure(added and added.p99, 2),
                _figure(added and added.p999, 2),
                _figure(r.memory_mb),
                _figure(r.dials_per_request, 3),
                _figure(r.connections),
                _figure(r.messages_per_s, 2),
                _figure(r.bytes_per_s),
            )
        roles.add_section()
    console.print(roles)
    spread = Table(title="Load over the hosts, and the whole list")
    for name in (
        "hosts",
        "busiest / mean",
        "whole list KB",
        "ready after s",
        "KB at the start",
        "replaced",
        "told after s",
        "KB for it",
    ):
        spread.add_column(name, justify="right")
    for size in report.sizes:
        change = size.change
        spread.add_row(
            str(size.hosts),
            _figure(size.load_max_over_mean, 2),
            _figure(size.whole_list_bytes / 1024),
            _figure(size.start_s, 2),
            _figure(size.start_bytes_each / 1024),
            _figure(change and change.hosts_replaced, 0),
            _figure(change and change.told_s, 2),
            _figure(change and change.bytes_each / 1024),
        )
    console.print(spread)
    if report.fits:
        fits = Table(title="Lines over the sizes")
        for name in ("figure", "at none", "per 1,000 hosts", "spread", "at 11,000", ""):
            fits.add_column(name, justify="left" if name in ("figure", "") else "right")
        for f in report.fits:
            fits.add_row(
                f"{f.figure} ({f.unit})",
                _figure(f.intercept, 2),
                _figure(f.slope_per_1000_hosts, 2),
                _figure(f.spread, 2),
                _figure(f.at_target, 1),
                "extrapolated" if f.extrapolated else "",
            )
        console.print(fits)
    if report.quotas:
        q = report.quotas
        console.print(
            f"Quotas with {q.calls_turned_away:.0%} of the counter's calls turned away: "
            f"{q.beyond_units:,.0f} units beyond, {q.inside_units:,.0f} inside, price {q.price:.3f}"
        )
    console.print(f"{report.took_s:.0f} s. " + " ".join(report.notes))
