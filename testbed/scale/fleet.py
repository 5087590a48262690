"""Starts and controls the processes of a fleet with one size of the endpoint list."""

from __future__ import annotations

import asyncio
import re
import statistics
import time
import tomllib
from pathlib import Path

import msgspec

from testbed import gateway_configuration
from testbed.errors import ExperimentTimeoutError
from testbed.gateway_configuration import FleetConfiguration
from testbed.messages import (
    CounterConfig,
    CountReady,
    DiscoveryConfig,
    EndpointConfig,
    GatewayCount,
    LoadGeneratorConfig,
    LoadResult,
    RunLoad,
    SimulatedGatewaysConfig,
    SimulatedLoadResult,
)
from testbed.process import PROJECT_ROOT, ChildProcess, ProcessGroup, ProcessRole
from testbed.scale.plan import SIMULATED_GATEWAYS_PER_PROCESS, Plan

DEPLOY_FILE = PROJECT_ROOT / "deploy" / "balancer.toml"
COUNTER_CALLS_PER_S = 20_000.0
ENDPOINT_PROCESSES = 2
PORTS_PER_ENDPOINT_PROCESS = 32
SIMULATED_ENDPOINT_ADDRESS = "127.0.0.1:9"  # simulated gateways never connect to it
MIN_REFILL_UNITS_PER_S = 0.05
READY_TIMEOUT_S = 120.0
READY_POLL_INTERVAL_S = 0.05
LISTENING_LOG_PATTERN = re.compile(rb"listening on 127\.0\.0\.1:(\d+)")


class Fleet:
    """The processes of a fleet and of the systems around it.

    Attributes:
        plan: Parameters of the experiment.
        endpoint_count: Size of the endpoint list.
        process_group: All processes.
        refill_units_per_s: Rate of each tenant's quota, in units per second.
        endpoint_processes: The processes that run endpoints for the real gateways.
        discovery: The process that runs discovery.
        counter: The process that runs the counter.
        simulated_gateway_processes: The processes that run simulated gateways, many in each.
        real_gateway_processes: The real gateways, one process each.
        load_generator: The process that sends requests to the real gateways; None without real gateways.
    """

    discovery: ChildProcess
    counter: ChildProcess

    def __init__(self, plan: Plan, endpoint_count: int, process_group: ProcessGroup, directory: Path) -> None:
        """Initialize the fleet without starting any process.

        Args:
            plan: Parameters of the experiment.
            endpoint_count: Size of the endpoint list.
            process_group: Group that the processes are started in, and that ends them.
            directory: Directory for the configuration files of the real gateways.
        """
        self.plan, self.endpoint_count, self.process_group = plan, endpoint_count, process_group
        self._directory = directory
        mean_units = statistics.mean(gateway_configuration.REQUEST_UNIT_CHOICES)
        self.refill_units_per_s = max(
            mean_units * plan.requests_per_s * plan.fleet_size / plan.tenants, MIN_REFILL_UNITS_PER_S
        )
        self.endpoint_processes: list[ChildProcess] = []
        self.simulated_gateway_processes: list[ChildProcess] = []
        self.real_gateway_processes: list[ChildProcess] = []
        self.load_generator: ChildProcess | None = None

    async def start(self) -> float:
        """Start all processes.

        Returns:
            The time from the start of the first gateway until all gateways were ready, in seconds.

        Raises:
            ExperimentTimeoutError: Not all gateways were ready in time.
            ProcessLimitError: The fleet needs more processes than the limit.
            ProcessError: A process ended or did not reply in time.
        """
        endpoint_addresses = await self._start_endpoints()
        fleet_configuration = await self._start_discovery_and_counter(endpoint_addresses)
        started_at = time.monotonic()
        await self._start_simulated_gateways(fleet_configuration)
        await self._start_real_gateways(fleet_configuration)
        gateway_addresses = await self._wait_until_ready(started_at)
        ready_after_s = time.monotonic() - started_at
        if self.real_gateway_processes:
            await self._start_load_generator(gateway_addresses)
        return ready_after_s

    async def run_load(self, seconds: float) -> tuple[list[SimulatedLoadResult], LoadResult | None]:
        """Generate load on all gateways at once.

        Args:
            seconds: Duration of the load.

        Returns:
            The result of each process of simulated gateways, and the result of the load on the real gateways
            (None without real gateways).

        Raises:
            ProcessError: A process ended or did not reply in time.
        """
        command = RunLoad(seconds=seconds)
        if self.load_generator is None:
            return await self.run_simulated_load(command), None
        return await asyncio.gather(
            self.run_simulated_load(command),
            self.load_generator.execute(command, LoadResult, _load_command_timeout_s(seconds)),
        )

    async def run_simulated_load(self, command: RunLoad) -> list[SimulatedLoadResult]:
        """Generate load on the simulated gateways only, and return the result of each of their processes.

        Raises:
            ProcessError: A process ended or did not reply in time.
        """
        timeout_s = _load_command_timeout_s(command.seconds)
        return await asyncio.gather(
            *(
                process.execute(command, SimulatedLoadResult, timeout_s)
                for process in self.simulated_gateway_processes
            )
        )

    async def _start_endpoints(self) -> list[str]:
        if not self.plan.real_gateways:
            return [SIMULATED_ENDPOINT_ADDRESS]
        addresses = []
        for i in range(ENDPOINT_PROCESSES):
            config = EndpointConfig(seed=self.plan.seed + i, ports=PORTS_PER_ENDPOINT_PROCESS)
            process, started = await self.process_group.start_worker(ProcessRole.ENDPOINTS, config)
            self.endpoint_processes.append(process)
            addresses += started.addresses
        return addresses

    async def _start_discovery_and_counter(self, endpoint_addresses: list[str]) -> FleetConfiguration:
        plan = self.plan
        self.discovery, discovery_started = await self.process_group.start_worker(
            ProcessRole.DISCOVERY,
            DiscoveryConfig(
                instances=gateway_configuration.create_instances(self.endpoint_count, endpoint_addresses),
                calls_per_s=plan.discovery_calls_per_s if plan.discovery_by_polling else 0.0,
            ),
        )
        self.counter, counter_started = await self.process_group.start_worker(
            ProcessRole.COUNTER, CounterConfig(calls_per_s=COUNTER_CALLS_PER_S)
        )
        return FleetConfiguration(
            fleet_size=plan.fleet_size,
            discovery_address=discovery_started.addresses[0],
            counter_address=counter_started.addresses[0],
            discovery_by_polling=plan.discovery_by_polling,
            seed=plan.seed,
            refill=self.refill_units_per_s,
        )

    async def _start_simulated_gateways(self, fleet_configuration: FleetConfiguration) -> None:
        plan = self.plan
        for first_index in range(0, plan.simulated_gateways, SIMULATED_GATEWAYS_PER_PROCESS):
            config = SimulatedGatewaysConfig(
                fleet=fleet_configuration,
                first_index=first_index,
                count=min(SIMULATED_GATEWAYS_PER_PROCESS, plan.simulated_gateways - first_index),
                tenants=plan.tenants,
                requests_per_s=plan.requests_per_s,
                traffic_share_shape=plan.traffic_share_shape,
            )
            process, _ = await self.process_group.start_worker(ProcessRole.SIMULATED_GATEWAYS, config)
            self.simulated_gateway_processes.append(process)

    async def _start_real_gateways(self, fleet_configuration: FleetConfiguration) -> None:
        command = tomllib.loads(DEPLOY_FILE.read_text())["run"]
        for index in range(self.plan.simulated_gateways, self.plan.fleet_size):
            path = self._directory / f"n{index}-{self.endpoint_count}.json"
            content = gateway_configuration.create_gateway_configuration(fleet_configuration, index)
            path.write_bytes(msgspec.json.encode(content))
            self.real_gateway_processes.append(await self.process_group.start_gateway(command, path))

    async def _wait_until_ready(self, started_at: float) -> list[str]:
        expected = self.plan.simulated_gateways
        while True:
            ready = await self._count_ready()
            addresses = self._listening_addresses()
            if ready == expected and len(addresses) == self.plan.real_gateways:
                return addresses
            if time.monotonic() - started_at > READY_TIMEOUT_S:
                raise ExperimentTimeoutError(
                    f"{ready} of {expected} simulated gateways were ready and {len(addresses)} of "
                    f"{self.plan.real_gateways} real gateways were listening after {READY_TIMEOUT_S:g} s"
                )
            await asyncio.sleep(READY_POLL_INTERVAL_S)

    async def _count_ready(self) -> int:
        ready = 0
        for process in self.simulated_gateway_processes:
            reply = await process.execute(CountReady(), GatewayCount, READY_TIMEOUT_S)
            ready += reply.count
        return ready

    def _listening_addresses(self) -> list[str]:
        matches = [
            LISTENING_LOG_PATTERN.search(process.stderr_tail) for process in self.real_gateway_processes
        ]
        return [f"127.0.0.1:{match[1].decode()}" for match in matches if match]

    async def _start_load_generator(self, gateway_addresses: list[str]) -> None:
        plan = self.plan
        config = LoadGeneratorConfig(
            addresses=gateway_addresses,
            fleet_size=plan.fleet_size,
            tenants=plan.tenants,
            requests_per_s=plan.real_requests_per_s,
            seed=plan.seed,
        )
        self.load_generator, _ = await self.process_group.start_worker(ProcessRole.LOAD_GENERATOR, config)


def _load_command_timeout_s(seconds: float) -> float:
    return 4 * seconds + 60
