"""What a scale run is asked for, and what it reports. Times in seconds unless a name says otherwise."""

from __future__ import annotations

import msgspec


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """One scale run, as given on the command line."""

    gateways: int
    real: int = 0
    hosts: int = 1000
    customers: int = 1000
    seconds: float = 5.0
    rate: float = 10.0  # requests a second of each gateway, in the mean
    real_rate: float = 122.0  # of each real gateway
    skew: float = 1.0  # shape of a gateway's share of the traffic: the smaller, the more uneven
    asked: bool = False  # the list comes only on request
    discovery_calls: float = 400.0  # a second that discovery serves where it must be asked
    turned_away: float = 0.6  # part of the counter calls turned away while quotas are priced
    seed: int = 1

    def sizes(self) -> tuple[int, ...]:
        """Numbers of hosts that slopes are fitted over: three, the largest as asked for."""
        return tuple(sorted({max(4, round(self.hosts / 9)), max(4, round(self.hosts / 3)), self.hosts}))


class Latency(msgspec.Struct, frozen=True, kw_only=True):
    """Milliseconds that a gateway added to a request, beyond its host's own time."""

    p50: float
    p99: float
    p999: float
    count: int


class Role(msgspec.Struct, frozen=True, kw_only=True):
    """One role at one size; rates and memory are for each gateway of that role, unless it says so."""

    role: str
    processes: int
    gateways: int
    requests: int = 0
    served: int = 0
    cpu_us_per_request: float | None = None
    cpu_us_per_idle_s: float | None = None
    cpu_s: float = 0.0  # of all its processes, under load
    added_ms: Latency | None = None
    memory_mb: float = 0.0
    dials_per_request: float | None = None
    connections: float | None = None
    messages_per_s: float | None = None  # to this role from each gateway, under load
    bytes_per_s: float | None = None  # in both directions
    idle_messages_per_s: float | None = None
    idle_bytes_per_s: float | None = None


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """What replacing some hosts at once took, with no load beside it."""

    hosts_replaced: int
    told_s: float  # until all hollow gateways knew
    bytes_each: float  # from discovery, for each gateway
    cpu_ms_each: float  # of a hollow gateway


class Size(msgspec.Struct, frozen=True, kw_only=True):
    """All roles with one number of hosts."""

    hosts: int
    start_s: float
    roles: list[Role]
    load_max_over_mean: float  # requests of the busiest host over the mean, hollow gateways
    whole_list_bytes: int
    start_bytes_each: float  # from discovery, for each gateway, until all were ready
    change: Change | None


class Fit(msgspec.Struct, frozen=True, kw_only=True):
    """A line fitted over the sizes: y = intercept + slope x hosts."""

    figure: str
    unit: str
    intercept: float
    slope_per_1000_hosts: float
    spread: float  # standard deviation of what the line leaves over
    at_target: float  # at 11,000 hosts
    extrapolated: bool  # 11,000 hosts lie beyond the largest size played


class Quotas(msgspec.Struct, frozen=True, kw_only=True):
    """What is sent on beyond quotas while the counter turns calls away."""

    turned_away: float
    calls_turned_away: float  # part of the calls, as counted by the counter
    inside_units: float
    beyond_units: float
    price: float  # beyond over what the quotas allow


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """What a scale run found."""

    plan: Plan
    command: str
    machine: str
    cores: int
    took_s: float
    sizes: list[Size]
    fits: list[Fit]
    quotas: Quotas | None
    notes: list[str]
