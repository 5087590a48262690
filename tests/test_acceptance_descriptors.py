"""Idle clients cannot use up the file descriptors that the gateway needs for its other connections."""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
from pathlib import Path

import pytest
from support.http_fakes import CLASS_SETTINGS, LOOPBACK, PLAN_SETTINGS, request_bytes, response_bytes
from support.program import RunningProgram, run_scenario

from api_gateway.configuration import parse_configuration
from api_gateway.errors import ConfigurationError
from api_gateway.limits import MIN_DESCRIPTORS, ProcessLimits


def serve(request: object) -> bytes:
    return response_bytes(b"served")


async def hold_idle_connection(program: RunningProgram) -> None:
    """Hold an idle connection until the task is cancelled; connect again when it is closed."""
    while True:
        with contextlib.suppress(ConnectionError):
            reader, writer = await program.connect()
            await reader.read()
            writer.close()
        await asyncio.sleep(0.05)


async def send_until_served(program: RunningProgram, first_number: int) -> None:
    """Send a request until it is served, each time on a new connection and with a new id."""
    number = first_number
    while True:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            if await program.request_status(request_bytes(x_request_id=b"%016x" % number)) == 200:
                return
        number += 1


async def wait_for_descriptors(program: RunningProgram, count: int) -> None:
    """Wait until the program holds at least `count` file descriptors."""
    while len(os.listdir(f"/proc/{program.process.pid}/fd")) < count:
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("sockets", [MIN_DESCRIPTORS, 256])
def test_idle_clients_leave_descriptors_for_discovery_counter_and_endpoints(
    tmp_path: Path, sockets: int
) -> None:
    """Discovery and the counter restart while idle clients hold all connections that clients may hold.

    If no descriptor were left, the gateway could not connect to them again.
    """

    async def scenario() -> None:
        async with RunningProgram(tmp_path, serve, sockets=sockets) as program:
            fakes = (program.discovery.server, program.counter)
            for fake in fakes:
                fake.stop()
            for fake in fakes:
                for writer in list(fake.writers):
                    writer.transport.abort()
            clients = [asyncio.create_task(hold_idle_connection(program)) for _ in range(2 * sockets)]
            held = ProcessLimits(descriptors=sockets).downstream_connections + 10
            await wait_for_descriptors(program, held)
            await send_until_served(program, 0x100)
            for fake in fakes:
                opened = fake.connections_opened
                fake.asyncio_server = await asyncio.start_server(fake._serve, LOOPBACK, fake.port)
                await fake.wait_until(lambda fake, opened=opened: fake.connections_opened > opened)
                await wait_for_descriptors(program, held)
            await send_until_served(program, 0x10000)
            assert not [line for line in program.log if "accept_failed" in line or "Too many open" in line]
            for client in clients:
                client.cancel()

    run_scenario(scenario, 30)


def test_descriptors_of_all_kinds_together_stay_within_the_limit(tmp_path: Path) -> None:
    """The descriptors for clients, endpoints and all other uses must not exceed the limit.

    Those for other uses are counted in the idle program. Added to them are the connections to the counter (4)
    and discovery (1), which exist twice during a reload, and one client connection that is being accepted.
    """

    async def scenario() -> None:
        async with RunningProgram(tmp_path, serve, sockets=MIN_DESCRIPTORS) as program:
            await program.counter.wait_until(lambda fake: fake.connections_opened == 4)
            own_descriptors = MIN_DESCRIPTORS
            for _ in range(30):  # the readiness check's own connection is closed after a while
                own_descriptors = min(own_descriptors, len(os.listdir(f"/proc/{program.process.pid}/fd")))
                await asyncio.sleep(0.01)
            for sockets in (MIN_DESCRIPTORS, 200, 256, 576, 1024):
                limits = ProcessLimits(descriptors=sockets)
                assert (
                    limits.downstream_connections
                    + limits.upstream_connections
                    + own_descriptors
                    + (4 + 1)
                    + 1
                    <= sockets
                )

    run_scenario(scenario)


def test_system_limit_below_the_minimum_is_a_configuration_error(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(resource, "getrlimit", lambda which: (64, 64))
    with pytest.raises(ConfigurationError, match="the system allows 64 descriptors, 128 are needed"):
        parse_configuration(
            {
                "listen": f"{LOOPBACK}:1",
                "discovery": f"{LOOPBACK}:2",
                "seed": "1",
                "settings": {"grades": CLASS_SETTINGS, "packages": PLAN_SETTINGS},
            }
        )
