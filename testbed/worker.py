"""A worker process of an experiment, started as `python -m testbed.worker`.

The worker reads its configuration and then commands from standard input, and replies on standard output. The
messages are defined in `testbed.messages`. The worker exits when its input ends, so it never outlives the
experiment.
"""

from __future__ import annotations

import asyncio
import sys
import time
from typing import Protocol

import msgspec
import uvloop

from api_gateway.configuration import parse_configuration
from testbed.counter_server import CounterServer
from testbed.discovery_server import LIFECYCLE_GONE, DiscoveryServer
from testbed.endpoint_server import EndpointServer
from testbed.errors import UnsupportedCommandError
from testbed.gateway_configuration import create_gateway_configuration
from testbed.http_server import TrafficStatistics, serve
from testbed.load_generator import GatewayAddress, LoadGenerator
from testbed.messages import (
    Command,
    CounterConfig,
    CounterStatistics,
    CountOutdated,
    CountReady,
    DiscoveryConfig,
    DiscoveryStatistics,
    EndpointConfig,
    GatewayCount,
    LoadGeneratorConfig,
    LoadResult,
    ReadStatistics,
    ReplaceEndpoints,
    Reply,
    RunLoad,
    ServerStatistics,
    SetRejectedShare,
    SimulatedGatewaysConfig,
    SimulatedLoadResult,
    Started,
    WorkerConfig,
)
from testbed.simulated_gateways import SimulatedFleet

MAX_INPUT_LINE_BYTES = 64 * 1024 * 1024  # the configuration of discovery contains the full endpoint list


class Worker(Protocol):
    """Interface of everything that a worker process can run."""

    async def start(self) -> Started:
        """Start, and return the reply to the configuration."""

    async def execute(self, command: Command) -> Reply:
        """Execute one command.

        Raises:
            UnsupportedCommandError: The worker does not support the command.
        """


async def _listen(server: DiscoveryServer | CounterServer | EndpointServer, ports: int = 1) -> Started:
    listeners = [await serve(server.handle, server.traffic) for _ in range(ports)]
    addresses = [listener.sockets[0].getsockname() for listener in listeners]
    return Started(addresses=[f"{host}:{port}" for host, port in addresses])


def _traffic_fields(traffic: TrafficStatistics) -> dict[str, int]:
    return {
        "requests": traffic.requests,
        "bytes": traffic.bytes_received + traffic.bytes_sent,
        "connections_opened": traffic.connections_opened,
        "connections_open": traffic.connections_open,
    }


class DiscoveryWorker:
    """Runs discovery."""

    def __init__(self, config: DiscoveryConfig) -> None:
        self._server = DiscoveryServer(config.instances, config.calls_per_s)

    async def start(self) -> Started:
        """Listen for calls."""
        return await _listen(self._server)

    async def execute(self, command: Command) -> DiscoveryStatistics:
        """Execute one command, and return the statistics after its execution."""
        match command:
            case ReplaceEndpoints(count=count):
                self._replace_endpoints(count)
            case ReadStatistics():
                pass
            case _:
                raise UnsupportedCommandError(type(command).__name__)
        return DiscoveryStatistics(
            generation=self._server.generation,
            full_list_bytes=self._server.full_list_bytes,
            **_traffic_fields(self._server.traffic),
        )

    def _replace_endpoints(self, count: int) -> None:
        removed = list(self._server.instances.values())[:count]
        now_ms = time.time() * 1000
        added = [
            msgspec.structs.replace(
                instance, instanceId=f"{instance.instanceId}.{self._server.generation}", startedAtMs=now_ms
            )
            for instance in removed
        ]
        gone = [msgspec.structs.replace(instance, lifecycle=LIFECYCLE_GONE) for instance in removed]
        self._server.publish_changes(gone + added)


class CounterWorker:
    """Runs the counter."""

    def __init__(self, config: CounterConfig) -> None:
        self._server = CounterServer(config.calls_per_s)

    async def start(self) -> Started:
        """Listen for calls."""
        return await _listen(self._server)

    async def execute(self, command: Command) -> CounterStatistics:
        """Execute one command, and return the statistics after its execution."""
        match command:
            case SetRejectedShare(share=share):
                self._server.rejected_fraction = share
            case ReadStatistics():
                pass
            case _:
                raise UnsupportedCommandError(type(command).__name__)
        return CounterStatistics(
            calls=self._server.calls,
            rejected_calls=self._server.rejected_calls,
            **_traffic_fields(self._server.traffic),
        )


class EndpointWorker:
    """Runs endpoints."""

    def __init__(self, config: EndpointConfig) -> None:
        self._ports = config.ports
        self._server = EndpointServer(seed=config.seed)

    async def start(self) -> Started:
        """Listen for requests."""
        return await _listen(self._server, self._ports)

    async def execute(self, command: Command) -> ServerStatistics:
        """Return the statistics."""
        match command:
            case ReadStatistics():
                return ServerStatistics(**_traffic_fields(self._server.traffic))
            case _:
                raise UnsupportedCommandError(type(command).__name__)


class SimulatedGatewaysWorker:
    """Runs simulated gateways and generates their load."""

    def __init__(self, config: SimulatedGatewaysConfig) -> None:
        indexes = range(config.first_index, config.first_index + config.count)
        self._fleet = SimulatedFleet(
            [parse_configuration(create_gateway_configuration(config.fleet, index)) for index in indexes],
            tenants=config.tenants,
            requests_per_s=config.requests_per_s,
            traffic_share_shape=config.traffic_share_shape,
            seed=config.fleet.seed + config.first_index,
        )

    async def start(self) -> Started:
        """Start all gateways, without waiting until they are ready."""
        self._fleet.start()
        return Started()

    async def execute(self, command: Command) -> GatewayCount | SimulatedLoadResult:
        """Execute one command."""
        match command:
            case CountReady():
                return GatewayCount(count=self._fleet.count_ready())
            case CountOutdated(generation=generation):
                return GatewayCount(count=self._fleet.count_outdated(generation))
            case RunLoad():
                return await self._run_load(command)
            case _:
                raise UnsupportedCommandError(type(command).__name__)

    async def _run_load(self, command: RunLoad) -> SimulatedLoadResult:
        fleet = self._fleet
        fleet.bypass_gateways = command.bypass_gateways
        sent_before, served_before = fleet.requests_sent, fleet.requests_served
        connections_opened_before = fleet.connections_opened()
        fleet.reset_records()
        await fleet.run_load(command.seconds)
        return SimulatedLoadResult(
            requests_sent=fleet.requests_sent - sent_before,
            requests_served=fleet.requests_served - served_before,
            added_latency=fleet.added_latency.encode(),
            connects=fleet.connections_opened() - connections_opened_before,
            open_connections=fleet.open_connections(),
            attempts_by_endpoint=dict(fleet.endpoints.attempts_by_endpoint),
            forwarded=list(fleet.forwarded_requests) if command.include_requests else [],
            requested_units=fleet.requested_units if command.include_requests else {},
        )


class LoadGeneratorWorker:
    """Generates load on real gateways."""

    def __init__(self, config: LoadGeneratorConfig) -> None:
        addresses = [address.rsplit(":", 1) for address in config.addresses]
        self._generator = LoadGenerator(
            [GatewayAddress(host, int(port)) for host, port in addresses],
            fleet_size=config.fleet_size,
            tenants=config.tenants,
            requests_per_s=config.requests_per_s,
            seed=config.seed,
        )

    async def start(self) -> Started:
        """Return at once: connections are opened when the load starts."""
        return Started()

    async def execute(self, command: Command) -> LoadResult:
        """Generate load, and return its result."""
        match command:
            case RunLoad(seconds=seconds):
                await self._generator.run(seconds)
            case _:
                raise UnsupportedCommandError(type(command).__name__)
        return LoadResult(
            requests_sent=self._generator.requests_sent,
            requests_served=self._generator.requests_served,
            added_latency=self._generator.added_latency.encode(),
        )


def create_worker(config: WorkerConfig) -> Worker:
    """Create the worker for a configuration."""
    match config:
        case DiscoveryConfig():
            return DiscoveryWorker(config)
        case CounterConfig():
            return CounterWorker(config)
        case EndpointConfig():
            return EndpointWorker(config)
        case SimulatedGatewaysConfig():
            return SimulatedGatewaysWorker(config)
        case LoadGeneratorConfig():
            return LoadGeneratorWorker(config)


async def _open_standard_input() -> asyncio.StreamReader:
    reader = asyncio.StreamReader(limit=MAX_INPUT_LINE_BYTES)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    return reader


def _write_reply(reply: Reply) -> None:
    sys.stdout.buffer.write(msgspec.json.encode(reply) + b"\n")
    sys.stdout.buffer.flush()


async def run() -> None:
    """Start a worker, and execute commands until standard input ends."""
    reader = await _open_standard_input()
    worker = create_worker(msgspec.json.decode(await reader.readline(), type=WorkerConfig))
    _write_reply(await worker.start())
    while line := await reader.readline():
        _write_reply(await worker.execute(msgspec.json.decode(line, type=Command)))


if __name__ == "__main__":
    uvloop.run(run())
