"""Parameters of a scale experiment."""

from __future__ import annotations

import os

import msgspec

SIMULATED_GATEWAYS_PER_PROCESS = 100
MIN_ENDPOINTS = 4
WORKER_MEMORY_MB = 60.0  # does not include the simulated gateways that the worker runs
EMULATED_SYSTEM_PROCESSES = 5  # discovery, the counter, two processes of endpoints and the load generator
SIMULATED_GATEWAY_MEMORY_MB = 0.3  # does not include the endpoint list
REAL_GATEWAY_MEMORY_MB = 40.0  # does not include the endpoint list
ENDPOINT_LIST_ENTRY_MEMORY_MB = 1.0 / 1024  # memory that one endpoint takes in each gateway
BYTES_PER_MIB = 2**20


class Plan(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={
        "simulated_gateways": "gateways",
        "real_gateways": "real",
        "endpoints": "hosts",
        "tenants": "customers",
        "load_s": "seconds",
        "requests_per_s": "rate",
        "real_requests_per_s": "real_rate",
        "traffic_share_shape": "skew",
        "discovery_by_polling": "asked",
        "discovery_calls_per_s": "discovery_calls",
        "counter_rejected_fraction": "turned_away",
    },
):
    """Parameters of one scale experiment, set on the command line.

    Attributes:
        simulated_gateways: Number of simulated gateways.
        real_gateways: Number of gateway processes.
        endpoints: Size of the largest endpoint list.
        tenants: Number of tenants that requests belong to.
        load_s: Duration of each load, in seconds.
        requests_per_s: Mean requests per second to each simulated gateway.
        real_requests_per_s: Mean requests per second to each real gateway.
        traffic_share_shape: Shape parameter of the gamma distribution that the simulated gateways' shares of
            the traffic are drawn from. A smaller value makes the shares less even.
        discovery_by_polling: Whether all gateways poll one discovery service, instead of an agent on the
            machine of each gateway.
        discovery_calls_per_s: Calls per second that the discovery service processes; used only with
            `discovery_by_polling`.
        counter_rejected_fraction: Fraction of the calls that the counter rejects while quotas are measured.
        seed: Seed of all random generators.
    """

    simulated_gateways: int
    real_gateways: int = 0
    endpoints: int = 1000
    tenants: int = 1000
    load_s: float = 5.0
    requests_per_s: float = 10.0
    real_requests_per_s: float = 122.0
    traffic_share_shape: float = 1.0
    discovery_by_polling: bool = False
    discovery_calls_per_s: float = 400.0
    counter_rejected_fraction: float = 0.6
    seed: int = 1

    @property
    def fleet_size(self) -> int:
        """Number of gateways, simulated and real."""
        return self.simulated_gateways + self.real_gateways

    def endpoint_counts(self) -> tuple[int, ...]:
        """Return the sizes of the endpoint list, ascending: about a ninth, a third and all of `endpoints`."""
        smaller = {max(MIN_ENDPOINTS, round(self.endpoints / divisor)) for divisor in (9, 3)}
        return tuple(sorted(smaller | {self.endpoints}))

    def estimated_memory_mb(self) -> float:
        """Return an estimate of the memory of all processes with the largest endpoint list, in MiB."""
        processes = self.simulated_gateways / SIMULATED_GATEWAYS_PER_PROCESS + EMULATED_SYSTEM_PROCESSES
        endpoints_mb = self.endpoints * ENDPOINT_LIST_ENTRY_MEMORY_MB
        return (
            WORKER_MEMORY_MB * processes
            + self.simulated_gateways * (SIMULATED_GATEWAY_MEMORY_MB + endpoints_mb)
            + self.real_gateways * (REAL_GATEWAY_MEMORY_MB + endpoints_mb)
        )


def machine_memory_mb() -> float:
    """Return the physical memory of this machine, in MiB."""
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / BYTES_PER_MIB
