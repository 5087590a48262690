"""The scale experiment: runs a fleet with each size of the endpoint list and measures it.

For each size, new processes are started. The fleet is measured without load, under load, and while some
endpoints are replaced. With the largest list, it is also measured how many units are forwarded over quota
while the counter rejects calls.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import platform
import shlex
import signal
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Sequence
from pathlib import Path

from testbed import gateway_configuration
from testbed.errors import ExperimentTimeoutError, NoRequestServedError
from testbed.messages import (
    CounterStatistics,
    CountOutdated,
    DiscoveryStatistics,
    GatewayCount,
    ReplaceEndpoints,
    RunLoad,
    SetRejectedShare,
    SimulatedLoadResult,
)
from testbed.process import ProcessGroup
from testbed.quota_accounting import ForwardedRequest, account_quotas
from testbed.scale.fits import fit_sizes
from testbed.scale.fleet import READY_TIMEOUT_S, Fleet
from testbed.scale.measurement import Interval, LoadMeasurement, measure_roles, take_snapshot
from testbed.scale.plan import Plan
from testbed.scale.report import EndpointReplacement, QuotaFigures, Report, SizeFigures

MAX_PROCESSES = 300
SETTLING_TIME_S = 0.5  # delay between the start of the fleet and the measurement without load
MIN_IDLE_INTERVAL_S = 1.0  # shortest measurement without load
CALIBRATION_LOAD_S = 0.5  # duration of the load that bypasses the gateways
MIN_QUOTA_LOAD_S = 5.0  # shortest load for the measurement of quotas
REPLACED_ENDPOINT_DIVISOR = 50  # an endpoint replacement affects 1/50 of the endpoints
PROPAGATION_POLL_INTERVAL_S = 0.01
# The cost of an endpoint replacement is measured until this time after all gateways have received the change.
MEASUREMENT_AFTER_PROPAGATION_S = 1.0
NOTES = (
    "All processes ran on one machine: compare slopes, not single figures.",
    'Simulated ("hollow") gateways have no client or endpoint sockets; the cost of these shows at the real'
    " gateways.",
    "A message is a request to that role; a long poll of discovery is one.",
)

StatusCallback = Callable[[str], None]


def run_experiment(plan: Plan, command: Sequence[str], show_status: StatusCallback) -> Report:
    """Run the experiment. On SIGINT or SIGTERM, end all its processes before raising `CancelledError`.

    Args:
        plan: Parameters of the experiment.
        command: The command line, for the report.
        show_status: Called with a description of each step when it starts.

    Returns:
        The report.

    Raises:
        ExperimentError: The experiment failed.
        asyncio.CancelledError: SIGINT or SIGTERM interrupted the experiment.
    """
    with contextlib.closing(asyncio.new_event_loop()) as loop:
        task = loop.create_task(_run(plan, command, show_status))
        for signal_number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(signal_number, task.cancel)
        return loop.run_until_complete(task)


async def _run(plan: Plan, command: Sequence[str], show_status: StatusCallback) -> Report:
    started_at = time.monotonic()
    sizes = []
    with tempfile.TemporaryDirectory(prefix="testbed-") as directory:
        for endpoint_count in plan.endpoint_counts():
            async with ProcessGroup(MAX_PROCESSES) as process_group:
                experiment = SizeExperiment(
                    Fleet(plan, endpoint_count, process_group, Path(directory)), show_status
                )
                sizes.append(await experiment.run())
                if endpoint_count == plan.endpoints:
                    quotas = await experiment.measure_quotas()
    return Report(
        plan=plan,
        command=shlex.join(command),
        machine=platform.machine(),
        cores=os.cpu_count() or 0,
        duration_s=time.monotonic() - started_at,
        sizes=sizes,
        fits=fit_sizes(sizes),
        quotas=quotas,
        notes=list(NOTES),
    )


class SizeExperiment:
    """The experiment with one size of the endpoint list."""

    def __init__(self, fleet: Fleet, show_status: StatusCallback) -> None:
        """Initialize the experiment.

        Args:
            fleet: The fleet to measure, not yet started.
            show_status: Called with a description of each step when it starts.
        """
        self._fleet, self._plan = fleet, fleet.plan
        self._show_status = show_status

    async def run(self) -> SizeFigures:
        """Start the fleet, measure it without load and under load, then replace some endpoints.

        Raises:
            NoRequestServedError: No request of the load was served.
            ExperimentTimeoutError: The fleet was not ready, or did not receive a change, in time.
            ProcessError: A process ended or did not reply in time.
            ProcessLimitError: The fleet needs more processes than the limit.
        """
        fleet, plan = self._fleet, self._plan
        self._show_progress(
            f"starting {plan.simulated_gateways} simulated and {plan.real_gateways} real gateways"
        )
        start_s = await fleet.start()
        await asyncio.sleep(SETTLING_TIME_S)
        measurement = await self._measure_load()
        if not any(result.requests_served for result in measurement.simulated_results) and not (
            measurement.real_result and measurement.real_result.requests_served
        ):
            raise NoRequestServedError
        return SizeFigures(
            endpoints=fleet.endpoint_count,
            start_s=start_s,
            roles=measure_roles(fleet, measurement),
            max_over_mean_load=_max_over_mean_load(measurement.simulated_results, fleet.endpoint_count),
            full_list_bytes=measurement.load.end.discovery.full_list_bytes,
            start_bytes_per_gateway=measurement.idle.start.discovery.bytes / plan.fleet_size,
            replacement=await self._measure_replacement(),
        )

    async def measure_quotas(self) -> QuotaFigures:
        """Measure how many units are forwarded over quota while the counter rejects calls.

        Raises:
            ProcessError: A process ended or did not reply in time.
        """
        fleet, plan = self._fleet, self._plan
        seconds = max(plan.load_s, MIN_QUOTA_LOAD_S)
        self._show_progress(f"quotas with {plan.counter_rejected_fraction:.0%} of counter calls rejected")
        counter_before = await fleet.counter.execute(
            SetRejectedShare(share=plan.counter_rejected_fraction), CounterStatistics
        )
        results = await fleet.run_simulated_load(RunLoad(seconds=seconds, include_requests=True))
        counter_after = await fleet.counter.execute(SetRejectedShare(share=0.0), CounterStatistics)
        requested_units: Counter[int] = Counter()
        for result in results:
            requested_units.update(result.requested_units)
        usage = account_quotas(
            [ForwardedRequest(*entry) for result in results for entry in result.forwarded],
            requested_units,
            refill_units_per_s=fleet.refill_units_per_s,
            burst=gateway_configuration.bucket_capacity(fleet.refill_units_per_s),
            seconds=seconds,
        )
        rejected_calls = counter_after.rejected_calls - counter_before.rejected_calls
        return QuotaFigures(
            configured_rejected_fraction=plan.counter_rejected_fraction,
            rejected_fraction=rejected_calls / max(counter_after.calls - counter_before.calls, 1),
            units_within_quota=usage.units_within_quota,
            units_over_quota=usage.units_over_quota,
            over_quota_ratio=usage.units_over_quota / usage.units_allowed if usage.units_allowed else 0.0,
        )

    async def _measure_load(self) -> LoadMeasurement:
        fleet, plan = self._fleet, self._plan
        self._show_progress("measurement without load")
        idle_start = await take_snapshot(fleet)
        await asyncio.sleep(max(plan.load_s / 2, MIN_IDLE_INTERVAL_S))
        idle_end = await take_snapshot(fleet)
        self._show_progress("measurement of the cost of load generation")
        calibration_results = await fleet.run_simulated_load(
            RunLoad(seconds=CALIBRATION_LOAD_S, bypass_gateways=True)
        )
        calibration_end = await take_snapshot(fleet)
        self._show_progress(f"measurement under load for {plan.load_s:g} s")
        simulated_results, real_result = await fleet.run_load(plan.load_s)
        load_end = await take_snapshot(fleet)
        return LoadMeasurement(
            idle=Interval(idle_start, idle_end),
            calibration=Interval(idle_end, calibration_end),
            load=Interval(calibration_end, load_end),
            calibration_results=calibration_results,
            simulated_results=simulated_results,
            real_result=real_result,
        )

    async def _measure_replacement(self) -> EndpointReplacement:
        fleet = self._fleet
        replaced_endpoint_count = max(fleet.endpoint_count // REPLACED_ENDPOINT_DIVISOR, 1)
        self._show_progress(f"replacement of {replaced_endpoint_count} endpoints")
        start = await take_snapshot(fleet)
        discovery = await fleet.discovery.execute(
            ReplaceEndpoints(count=replaced_endpoint_count), DiscoveryStatistics
        )
        propagation_s = await self._wait_until_propagated(discovery.generation)
        await asyncio.sleep(MEASUREMENT_AFTER_PROPAGATION_S)
        interval = Interval(start, await take_snapshot(fleet))
        transferred_bytes = interval.end.discovery.bytes - interval.start.discovery.bytes
        cpu_s = interval.cpu_s(fleet.simulated_gateway_processes)
        return EndpointReplacement(
            endpoints_replaced=replaced_endpoint_count,
            propagation_s=propagation_s,
            bytes_per_gateway=transferred_bytes / self._plan.fleet_size,
            cpu_ms_per_gateway=cpu_s / self._plan.simulated_gateways * 1000,
        )

    async def _wait_until_propagated(self, generation: int) -> float:
        started_at = time.monotonic()
        while await self._count_outdated(generation):
            if time.monotonic() - started_at > READY_TIMEOUT_S:
                raise ExperimentTimeoutError(
                    f"not all simulated gateways received generation {generation} of the endpoint list "
                    f"within {READY_TIMEOUT_S:g} s"
                )
            await asyncio.sleep(PROPAGATION_POLL_INTERVAL_S)
        return time.monotonic() - started_at

    async def _count_outdated(self, generation: int) -> int:
        outdated = 0
        for process in self._fleet.simulated_gateway_processes:
            outdated += (await process.execute(CountOutdated(generation=generation), GatewayCount)).count
        return outdated

    def _show_progress(self, text: str) -> None:
        self._show_status(f"{self._fleet.endpoint_count} endpoints: {text}")


def _max_over_mean_load(results: Sequence[SimulatedLoadResult], endpoint_count: int) -> float:
    """Return the attempts at the busiest endpoint, divided by the mean over all endpoints."""
    attempts: Counter[str] = Counter()
    for result in results:
        attempts.update(result.attempts_by_endpoint)
    mean = sum(attempts.values()) / endpoint_count
    return max(attempts.values(), default=0) / mean if mean else 0.0
