"""The gateway as a separate process, with scripted endpoints, a counter and discovery."""

from __future__ import annotations

import asyncio
import functools
import json
import os
import resource
import signal
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path

import uvloop

from support.http_fakes import (
    CLASS_SETTINGS,
    LOOPBACK,
    PLAN_SETTINGS,
    ROOT,
    FakeDiscovery,
    FakeServer,
    ReceivedMessage,
    Responder,
    counter_response,
    instance,
    read_message,
)


class RunningProgram:
    """The real program and the services that it uses; an asynchronous context manager.

    Attributes:
        endpoints: The endpoints, one for each responder; discovery lists them as s-0, s-1...
        counter_values: Values of the counter service by name of the count.
        counter: The counter service.
        discovery: The discovery service.
        process: The process of the program.
        port: The port on which the program listens.
        log: Log lines of the program so far, from the time at which it listens.
        cached_list: The endpoint list that is written to the configuration file at the next start.
    """

    def __init__(
        self,
        directory: Path,
        *responders: Responder,
        discovery_by_polling: bool = False,
        fleet_size: int = 1,
        **limits: int,
    ) -> None:
        """Prepare the program; it is started when the context is entered.

        Args:
            directory: Directory for the configuration file.
            responders: Responders of the endpoints, one for each.
            discovery_by_polling: Whether the program polls discovery.
            fleet_size: Number of gateways in the fleet; the program has index 0.
            limits: Entries of the configuration's `limits`.
        """
        self.directory = directory
        self.limits = limits
        self.discovery_by_polling = discovery_by_polling
        self.fleet_size = fleet_size
        self.endpoints = [FakeServer(responder) for responder in responders]
        self.counter_values: dict[str, float] = {}
        self.counter = self._new_counter()
        self.process: asyncio.subprocess.Process | None = None
        self.port = 0
        self.log: list[str] = []
        self.cached_list: dict = {"generation": 0, "reset": True, "instances": []}

    async def __aenter__(self) -> RunningProgram:
        for endpoint in self.endpoints:
            await endpoint.start()
        await self.counter.start()
        self.discovery = FakeDiscovery(
            [instance(f"s-{i}", endpoint.port) for i, endpoint in enumerate(self.endpoints)]
        )
        await self.discovery.server.start()
        await self.launch()
        return self

    def _new_counter(self) -> FakeServer:
        return FakeServer(lambda request: counter_response(request, self.counter_values))

    def write_configuration(self) -> Path:
        """Write the file that the program reads at its start and on SIGHUP; return the path of the file."""
        configuration = {
            "name": "n0",
            "listen": f"{LOOPBACK}:{self.port}",
            "discovery": f"{LOOPBACK}:{self.discovery.server.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, **self.limits},
            "counter": f"{LOOPBACK}:{self.counter.port}",
            "known": self.cached_list,
            "settings": {
                "grades": CLASS_SETTINGS,
                "packages": PLAN_SETTINGS,
                "fleet_size": self.fleet_size,
                "me": 0,
                "zone": "a",
                "tick_ms": 4.0,
                "membership_mode": "on_request" if self.discovery_by_polling else "pushed",
                "bounds": {
                    "try_limit": 3,
                    "cancel": True,
                    "retry_after": True,
                    "max_retry_after_ms": 1000.0,
                    "dial_timeout_ms": 250.0,
                    "conn_idle_ms": 30000.0,
                },
                "family_info": {"may_count": True, "count_wait_ms": 30.0, "trued_up": True, "most_units": 4},
            },
        }
        path = self.directory / "config.json"
        path.write_text(json.dumps(configuration))
        return path

    async def reload(self, instances: list[dict]) -> None:
        """Write a configuration with a new discovery and a new counter, and send SIGHUP."""
        self.discovery = FakeDiscovery(instances)
        self.counter = self._new_counter()
        await self.discovery.server.start()
        await self.counter.start()
        self.write_configuration()
        self.process.send_signal(signal.SIGHUP)

    async def launch(self) -> None:
        """Start the program, on the same port as before if there is one, and wait until it is ready."""
        path = self.write_configuration()
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "api_gateway",
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            env={
                **os.environ,
                "ROUTER_CONFIG": str(path),
                "ROUTER_DISCOVERY": f"{LOOPBACK}:{self.discovery.server.port}",
            },
        )
        start_log: list[str] = []
        while "listening on" not in (line := (await self.process.stderr.readline()).decode()):
            assert line, f"the program exited during its start; its log: {start_log}"
            start_log.append(line)
        self.port = int(line.rsplit(":", 1)[1])
        if "sockets" in self.limits:
            resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (self.limits["sockets"],) * 2)
        self.log_reader = asyncio.create_task(self._read_log())
        while await self.request_status(b"GET /ready HTTP/1.1\r\n\r\n") != 200:
            await asyncio.sleep(0.02)

    async def _read_log(self) -> None:
        while line := (await self.process.stderr.readline()).decode():
            self.log.append(line)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection to the program."""
        return await asyncio.open_connection(LOOPBACK, self.port)

    async def request(self, data: bytes) -> ReceivedMessage:
        """Send a request on a new connection, and return the response."""
        reader, writer = await self.connect()
        writer.write(data)
        try:
            return await read_message(reader, writer)
        finally:
            writer.close()

    async def request_status(self, data: bytes) -> int:
        """Send a request on a new connection, and return the status of the response."""
        response = await self.request(data)
        return int(response.start_line.split()[1])

    async def __aexit__(self, *exception: object) -> None:
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self.log_reader.cancel()
        for server in (*self.endpoints, self.counter, self.discovery.server):
            server.stop()


def run_scenario(scenario: Callable[[], Coroutine], limit_s: float = 30.0) -> None:
    """Run a coroutine function.

    Args:
        scenario: The coroutine function.
        limit_s: Time limit in seconds.

    Raises:
        TimeoutError: The scenario is not finished within the time limit.
    """

    async def bounded() -> None:
        async with asyncio.timeout(limit_s):
            await scenario()

    # The program runs on uvloop, too, which calls expired timers before it reads sockets.
    uvloop.run(bounded())


def async_test(limit_s: float = 30.0) -> Callable[[Callable[..., Coroutine]], Callable[..., None]]:
    """Return a decorator that runs a coroutine function as a test, with `run_scenario`.

    Args:
        limit_s: Time limit in seconds.
    """

    def decorate(test: Callable[..., Coroutine]) -> Callable[..., None]:
        @functools.wraps(test)
        def run(**arguments: object) -> None:
            run_scenario(lambda: test(**arguments), limit_s)

        return run

    return decorate
