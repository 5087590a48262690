"""The report of a scale experiment, with the keys of its JSON form."""

from __future__ import annotations

import enum

import msgspec

from testbed.latency import LatencyPercentiles
from testbed.scale.plan import Plan


class Role(enum.Enum):
    """What a figure belongs to, with its name in reports."""

    SIMULATED_GATEWAY = "hollow gateway"
    REAL_GATEWAY = "real gateway"
    DISCOVERY = "discovery"
    COUNTER = "counter"


class RoleFigures(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={
        "connects_per_request": "dials_per_request",
        "requests_per_s": "messages_per_s",
        "idle_requests_per_s": "idle_messages_per_s",
    },
):
    """Figures of one role with one size of the endpoint list, for each gateway unless it says otherwise.

    Attributes:
        role: The role.
        processes: Number of processes.
        gateways: Number of gateways.
        requests: Requests of the load, to all gateways of the role.
        served: Responses with status 200, of all gateways of the role.
        cpu_us_per_request: Processor time of one request, in microseconds.
        cpu_us_per_idle_s: Processor time of one second without load, in microseconds.
        cpu_s: Processor time of all processes under load, in seconds.
        added_ms: Latency beyond the endpoint's service time, in milliseconds.
        memory_mb: Resident memory in MiB.
        connects_per_request: Connections opened to endpoints for each request.
        connections: Open connections to endpoints after the load.
        requests_per_s: Requests a second from each gateway to this role, under load.
        bytes_per_s: Bytes a second of them, in both directions.
        idle_requests_per_s: Requests a second from each gateway without load.
        idle_bytes_per_s: Bytes a second of them, in both directions.
    """

    role: Role
    processes: int
    gateways: int
    requests: int = 0
    served: int = 0
    cpu_us_per_request: float | None = None
    cpu_us_per_idle_s: float | None = None
    cpu_s: float = 0.0
    added_ms: LatencyPercentiles | None = None
    memory_mb: float = 0.0
    connects_per_request: float | None = None
    connections: float | None = None
    requests_per_s: float | None = None
    bytes_per_s: float | None = None
    idle_requests_per_s: float | None = None
    idle_bytes_per_s: float | None = None


class EndpointReplacement(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={
        "endpoints_replaced": "hosts_replaced",
        "propagation_s": "told_s",
        "bytes_per_gateway": "bytes_each",
        "cpu_ms_per_gateway": "cpu_ms_each",
    },
):
    """Cost of the replacement of some endpoints at once, without load.

    Attributes:
        endpoints_replaced: Number of endpoints.
        propagation_s: Time until all simulated gateways knew, in seconds.
        bytes_per_gateway: Bytes between discovery and each gateway.
        cpu_ms_per_gateway: Processor time of a simulated gateway, in milliseconds.
    """

    endpoints_replaced: int
    propagation_s: float
    bytes_per_gateway: float
    cpu_ms_per_gateway: float


class SizeFigures(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={
        "endpoints": "hosts",
        "max_over_mean_load": "load_max_over_mean",
        "full_list_bytes": "whole_list_bytes",
        "start_bytes_per_gateway": "start_bytes_each",
        "replacement": "change",
    },
):
    """Figures with one size of the endpoint list.

    Attributes:
        endpoints: Size of the endpoint list.
        start_s: Time until all gateways were ready, in seconds.
        roles: Figures of each role.
        max_over_mean_load: Requests of the busiest endpoint over the mean, of simulated gateways.
        full_list_bytes: Size of discovery's response with the full list.
        start_bytes_per_gateway: Bytes between discovery and each gateway until all were ready.
        replacement: Cost of the replacement of some endpoints.
    """

    endpoints: int
    start_s: float
    roles: list[RoleFigures]
    max_over_mean_load: float
    full_list_bytes: int
    start_bytes_per_gateway: float
    replacement: EndpointReplacement


class Fit(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={"slope_per_1000_endpoints": "slope_per_1000_hosts", "residual_deviation": "spread"},
):
    """A line through one figure at all sizes: y = intercept + slope * endpoints.

    Attributes:
        figure: Name of the figure.
        unit: Its unit.
        intercept: Value of the line without endpoints.
        slope_per_1000_endpoints: Increase for each 1,000 endpoints.
        residual_deviation: Standard deviation of the residuals.
        at_target: Value of the line at 11,000 endpoints.
        extrapolated: Whether 11,000 endpoints lie beyond the largest size.
    """

    figure: str
    unit: str
    intercept: float
    slope_per_1000_endpoints: float
    residual_deviation: float
    at_target: float
    extrapolated: bool


class QuotaFigures(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={
        "configured_rejected_fraction": "turned_away",
        "rejected_fraction": "calls_turned_away",
        "units_within_quota": "inside_units",
        "units_over_quota": "beyond_units",
        "over_quota_ratio": "price",
    },
):
    """What is forwarded over quotas while the counter rejects calls.

    Attributes:
        configured_rejected_fraction: Part of the calls that the counter was to reject.
        rejected_fraction: Part of the calls that it rejected.
        units_within_quota: Units forwarded within the quotas.
        units_over_quota: Units forwarded over the quotas.
        over_quota_ratio: Units over the quotas, divided by the units that the quotas allow.
    """

    configured_rejected_fraction: float
    rejected_fraction: float
    units_within_quota: float
    units_over_quota: float
    over_quota_ratio: float


class Report(msgspec.Struct, frozen=True, kw_only=True, rename={"duration_s": "took_s"}):
    """The report of a scale experiment.

    Attributes:
        plan: What was run.
        command: The command line.
        machine: Architecture of the machine.
        cores: Number of its processor cores.
        duration_s: Duration of the experiment, in seconds.
        sizes: Figures by size of the endpoint list.
        fits: Lines over the sizes.
        quotas: Figures of quotas, with the largest endpoint list.
        notes: How to read the figures.
    """

    plan: Plan
    command: str
    machine: str
    cores: int
    duration_s: float
    sizes: list[SizeFigures]
    fits: list[Fit]
    quotas: QuotaFigures
    notes: list[str]
