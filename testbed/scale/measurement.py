"""Measures processor time and traffic of a fleet, and computes the figures of each role."""

from __future__ import annotations

import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from testbed.latency import merge_percentiles
from testbed.messages import (
    CounterStatistics,
    DiscoveryStatistics,
    LoadResult,
    ReadStatistics,
    ServerStatistics,
    SimulatedLoadResult,
)
from testbed.process import ChildProcess
from testbed.scale.fleet import Fleet
from testbed.scale.report import Role, RoleFigures

MICROSECONDS_PER_S = 1e6


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Cumulative measurements of a fleet at one time.

    Attributes:
        taken_at_s: Time of the snapshot by `time.monotonic`, in seconds.
        cpu_s: Processor time of each process since its start, in seconds.
        discovery: Statistics of discovery.
        counter: Statistics of the counter.
        endpoint_connections_opened: Connections that all endpoint processes have accepted since their start.
        endpoint_connections_open: Connections that are open at all endpoint processes.
    """

    taken_at_s: float
    cpu_s: dict[ChildProcess, float]
    discovery: DiscoveryStatistics
    counter: CounterStatistics
    endpoint_connections_opened: int
    endpoint_connections_open: int


async def take_snapshot(fleet: Fleet) -> Snapshot:
    """Read the statistics and the processor times of all processes of a fleet.

    Raises:
        ProcessError: A process ended or did not reply in time.
    """
    discovery = await fleet.discovery.execute(ReadStatistics(), DiscoveryStatistics)
    counter = await fleet.counter.execute(ReadStatistics(), CounterStatistics)
    endpoints = [
        await process.execute(ReadStatistics(), ServerStatistics) for process in fleet.endpoint_processes
    ]
    return Snapshot(
        taken_at_s=time.monotonic(),
        cpu_s={process: process.cpu_s() for process in fleet.process_group.processes},
        discovery=discovery,
        counter=counter,
        endpoint_connections_opened=sum(statistics.connections_opened for statistics in endpoints),
        endpoint_connections_open=sum(statistics.connections_open for statistics in endpoints),
    )


@dataclass(frozen=True, slots=True)
class Interval:
    """The time between two snapshots."""

    start: Snapshot
    end: Snapshot

    @property
    def duration_s(self) -> float:
        """Duration in seconds."""
        return self.end.taken_at_s - self.start.taken_at_s

    def cpu_s(self, processes: Iterable[ChildProcess]) -> float:
        """Return the processor time that the given processes used in this interval, in seconds."""
        return sum(self.end.cpu_s[process] - self.start.cpu_s[process] for process in processes)


@dataclass(frozen=True, slots=True)
class LoadMeasurement:
    """Measurements without load and under load, with one size of the endpoint list.

    Attributes:
        idle: Interval without load.
        calibration: Interval with a load that bypasses the gateways; it shows the cost of load generation.
        load: Interval under load.
        calibration_results: Result of the load that bypasses the gateways, for each process.
        simulated_results: Result of the load on simulated gateways, for each process.
        real_result: Result of the load on real gateways; None without real gateways.
    """

    idle: Interval
    calibration: Interval
    load: Interval
    calibration_results: Sequence[SimulatedLoadResult]
    simulated_results: Sequence[SimulatedLoadResult]
    real_result: LoadResult | None


def measure_roles(fleet: Fleet, measurement: LoadMeasurement) -> list[RoleFigures]:
    """Compute the figures of each role.

    Args:
        fleet: The fleet, with all processes still running.
        measurement: Measurements of the fleet.

    Returns:
        Figures of simulated gateways, real gateways (if there are any), discovery and the counter.
    """
    roles = [_simulated_gateway_figures(fleet, measurement)]
    if measurement.real_result is not None:
        roles.append(_real_gateway_figures(fleet, measurement, measurement.real_result))
    roles.append(_server_figures(fleet, measurement, Role.DISCOVERY))
    roles.append(_server_figures(fleet, measurement, Role.COUNTER))
    return roles


def _simulated_gateway_figures(fleet: Fleet, measurement: LoadMeasurement) -> RoleFigures:
    processes, results = fleet.simulated_gateway_processes, measurement.simulated_results
    gateways = fleet.plan.simulated_gateways
    requests = sum(result.requests_sent for result in results)
    idle_cpu_s_per_s = measurement.idle.cpu_s(processes) / measurement.idle.duration_s
    load_cpu_s = measurement.load.cpu_s(processes)
    cpu_s_per_request = (load_cpu_s - idle_cpu_s_per_s * measurement.load.duration_s) / max(requests, 1)
    generator_cpu_s_per_request = _generator_cpu_s_per_request(fleet, measurement, idle_cpu_s_per_s)
    return RoleFigures(
        role=Role.SIMULATED_GATEWAY,
        processes=len(processes),
        gateways=gateways,
        requests=requests,
        served=sum(result.requests_served for result in results),
        cpu_s=load_cpu_s,
        cpu_us_per_request=(cpu_s_per_request - generator_cpu_s_per_request) * MICROSECONDS_PER_S,
        cpu_us_per_idle_s=idle_cpu_s_per_s / gateways * MICROSECONDS_PER_S,
        added_ms=merge_percentiles(result.added_latency for result in results),
        memory_mb=sum(process.memory_mb() for process in processes) / gateways,
        connects_per_request=sum(result.connects for result in results) / max(requests, 1),
        connections=sum(result.open_connections for result in results) / gateways,
    )


def _generator_cpu_s_per_request(
    fleet: Fleet, measurement: LoadMeasurement, idle_cpu_s_per_s: float
) -> float:
    """Return the processor time that generating one request takes in a process of simulated gateways."""
    calibration = measurement.calibration
    cpu_s = calibration.cpu_s(fleet.simulated_gateway_processes) - idle_cpu_s_per_s * calibration.duration_s
    requests = sum(result.requests_sent for result in measurement.calibration_results)
    return max(cpu_s, 0.0) / max(requests, 1)


def _real_gateway_figures(fleet: Fleet, measurement: LoadMeasurement, result: LoadResult) -> RoleFigures:
    processes = fleet.real_gateway_processes
    requests = max(result.requests_sent, 1)
    idle_cpu_s_per_s = measurement.idle.cpu_s(processes) / measurement.idle.duration_s
    load_cpu_s = measurement.load.cpu_s(processes)
    cpu_s_per_request = (load_cpu_s - idle_cpu_s_per_s * measurement.load.duration_s) / requests
    idle_end, load_end = measurement.idle.end, measurement.load.end
    connections_opened = load_end.endpoint_connections_opened - idle_end.endpoint_connections_opened
    return RoleFigures(
        role=Role.REAL_GATEWAY,
        processes=len(processes),
        gateways=len(processes),
        requests=result.requests_sent,
        served=result.requests_served,
        cpu_s=load_cpu_s,
        cpu_us_per_request=cpu_s_per_request * MICROSECONDS_PER_S,
        cpu_us_per_idle_s=idle_cpu_s_per_s / len(processes) * MICROSECONDS_PER_S,
        connects_per_request=connections_opened / requests,
        connections=load_end.endpoint_connections_open / len(processes),
        added_ms=merge_percentiles([result.added_latency]),
        memory_mb=sum(process.memory_mb() for process in processes) / len(processes),
    )


def _server_figures(fleet: Fleet, measurement: LoadMeasurement, role: Role) -> RoleFigures:
    process = fleet.discovery if role is Role.DISCOVERY else fleet.counter
    idle, load, gateways = measurement.idle, measurement.load, fleet.plan.fleet_size
    idle_cpu_s_per_s = idle.cpu_s([process]) / idle.duration_s
    requests_per_s, bytes_per_s = _traffic_per_gateway(load, role, gateways)
    idle_requests_per_s, idle_bytes_per_s = _traffic_per_gateway(idle, role, gateways)
    return RoleFigures(
        role=role,
        processes=1,
        gateways=gateways,
        cpu_s=load.cpu_s([process]),
        cpu_us_per_idle_s=idle_cpu_s_per_s / gateways * MICROSECONDS_PER_S,
        memory_mb=process.memory_mb(),
        requests_per_s=requests_per_s,
        bytes_per_s=bytes_per_s,
        idle_requests_per_s=idle_requests_per_s,
        idle_bytes_per_s=idle_bytes_per_s,
    )


def _traffic_per_gateway(interval: Interval, role: Role, gateways: int) -> tuple[float, float]:
    """Return requests and bytes per second between each gateway and the server of a role."""
    start, end = _server_statistics(interval.start, role), _server_statistics(interval.end, role)
    gateway_seconds = interval.duration_s * gateways
    requests = end.requests - start.requests
    return requests / gateway_seconds, (end.bytes - start.bytes) / gateway_seconds


def _server_statistics(snapshot: Snapshot, role: Role) -> ServerStatistics:
    return snapshot.discovery if role is Role.DISCOVERY else snapshot.counter
