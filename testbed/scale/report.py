"""The report of a scale experiment.

A `rename` mapping gives the JSON key of each field whose key is not the field's name.
"""

from __future__ import annotations

import enum

import msgspec

from testbed.latency import LatencyPercentiles
from testbed.scale.plan import Plan


class Role(enum.Enum):
    """The part of the system that a figure describes; the value is its name in reports."""

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
    """Figures of one role with one size of the endpoint list.

    A figure is None where it does not apply to the role.

    Attributes:
        role: The role.
        processes: Number of processes of the role.
        gateways: Number of gateways of the role; for discovery and the counter, the size of the fleet.
        requests: Requests of the load to all gateways of the role; 0 for discovery and the counter.
        served: Responses with status 200 from all gateways of the role.
        cpu_us_per_request: Processor time per request, in microseconds.
        cpu_us_per_idle_s: Processor time per gateway and second without load, in microseconds.
        cpu_s: Processor time of all processes of the role under load, in seconds.
        added_ms: Percentiles of the latency beyond the endpoint's service time, in milliseconds.
        memory_mb: Resident memory per gateway, or of the one process of discovery or the counter, in MiB.
        connects_per_request: Connections opened to endpoints per request.
        connections: Open connections to endpoints per gateway after the load.
        requests_per_s: Requests per second from each gateway to this role, under load.
        bytes_per_s: Bytes per second of these requests and their responses, per gateway.
        idle_requests_per_s: Requests per second from each gateway to this role, without load.
        idle_bytes_per_s: Bytes per second of these requests and their responses, per gateway.
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
    """Cost of replacing some endpoints at once, without load.

    Attributes:
        endpoints_replaced: Number of replaced endpoints.
        propagation_s: Time until all simulated gateways had the new endpoint list, in seconds.
        bytes_per_gateway: Bytes sent and received by discovery, per gateway.
        cpu_ms_per_gateway: Processor time per simulated gateway, in milliseconds.
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
        start_s: Time from the start of the first gateway until all gateways were ready, in seconds.
        roles: Figures of each role.
        max_over_mean_load: Attempts of simulated gateways at the busiest endpoint, divided by the mean over
            all endpoints.
        full_list_bytes: Size of discovery's response with the full list, in bytes.
        start_bytes_per_gateway: Bytes sent and received by discovery until the measurement without load, per
            gateway.
        replacement: Cost of replacing some endpoints.
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
    """A line fitted to one figure over the sizes of the endpoint list: y = intercept + slope * endpoints.

    Attributes:
        figure: Name of the figure.
        unit: Unit of the figure, and of all values of the fit.
        intercept: Value of the line at 0 endpoints.
        slope_per_1000_endpoints: Increase per 1,000 endpoints.
        residual_deviation: Standard deviation of the residuals.
        at_target: Value of the line at 11,000 endpoints.
        extrapolated: Whether 11,000 endpoints are more than the largest measured size.
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
    """Units forwarded within and over quotas while the counter rejects calls.

    Attributes:
        configured_rejected_fraction: Fraction of the calls that the counter was configured to reject.
        rejected_fraction: Fraction of the calls that the counter rejected.
        units_within_quota: Units forwarded within the quotas.
        units_over_quota: Units forwarded over the quotas.
        over_quota_ratio: Units forwarded over the quotas, divided by the units that the quotas allow.
    """

    configured_rejected_fraction: float
    rejected_fraction: float
    units_within_quota: float
    units_over_quota: float
    over_quota_ratio: float


class Report(msgspec.Struct, frozen=True, kw_only=True, rename={"duration_s": "took_s"}):
    """The report of a scale experiment.

    Attributes:
        plan: Parameters of the experiment.
        command: The command line.
        machine: Processor architecture of the machine.
        cores: Number of processor cores of the machine; 0 if unknown.
        duration_s: Duration of the experiment, in seconds.
        sizes: Figures for each size of the endpoint list.
        fits: Lines fitted over the sizes of the endpoint list.
        quotas: Figures of quotas, measured with the largest endpoint list.
        notes: Remarks that help to read the figures.
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
