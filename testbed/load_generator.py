"""Open-loop load generator for real gateways, over TCP connections.

Requests are sent when they are due, without waiting for responses. Latency is measured from the time at which
a request was due, so it includes the delay of a request that is sent late.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque
from dataclasses import dataclass

import httptools

from testbed import gateway_configuration
from testbed.latency import LatencyRecorder

FINAL_RESPONSE_WAIT_S = 1.0  # time for the last responses to arrive after the load


@dataclass(frozen=True, slots=True)
class GatewayAddress:
    """Address on which a gateway listens."""

    host: str
    port: int


class _ClientConnection(asyncio.Protocol):
    """A persistent connection to a gateway, with at most one request in flight."""

    def __init__(self, generator: LoadGenerator, address: GatewayAddress) -> None:
        self._generator = generator
        self.address = address
        self._parser = httptools.HttpResponseParser(self)
        self._body = b""
        self._due_at: float | None = None  # None while no request is in flight
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport

    def send(self, due_at: float, request: bytes) -> None:
        """Send one request.

        Args:
            due_at: Time at which the request was due, in seconds by `time.monotonic`.
            request: The encoded request.
        """
        self._due_at, self._body = due_at, b""
        self._transport.write(request)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; abort the connection if they are not valid HTTP."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._transport.abort()

    def on_body(self, data: bytes) -> None:
        """Collect a part of the response body (parser callback)."""
        self._body += data

    def on_message_complete(self) -> None:
        """Count the response and release the connection (parser callback)."""
        due_at, self._due_at = self._due_at, None
        if due_at is not None:
            self._generator.response_received(due_at, self._parser.get_status_code(), self._body)
        if self._parser.should_keep_alive():
            self._generator.release(self)
        else:
            self._transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from the idle connections of the generator."""
        self._generator.connection_lost(self)


class LoadGenerator:
    """Generates load on real gateways.

    Attributes:
        added_latency: Latency beyond the endpoint's service time, of each served request since the start.
        requests_sent: Number of requests since the start.
        requests_served: Number of responses with status 200 and a service time since the start.
    """

    def __init__(
        self,
        addresses: list[GatewayAddress],
        *,
        fleet_size: int,
        tenants: int,
        requests_per_s: float,
        seed: int,
    ) -> None:
        """Initialize the load generator.

        Args:
            addresses: Addresses of the gateways.
            fleet_size: Number of gateways in the fleet, sent in each request's Quota-Info header.
            tenants: Number of tenants that requests belong to.
            requests_per_s: Mean requests per second to each gateway.
            seed: Seed of the random generator.
        """
        self._addresses, self._fleet_size, self._tenants = addresses, fleet_size, tenants
        self._requests_per_s = requests_per_s * len(addresses)
        self._rng = random.Random(seed)
        self._idle_connections: dict[GatewayAddress, deque[_ClientConnection]] = {
            a: deque() for a in addresses
        }
        self._connect_tasks: set[asyncio.Task] = set()
        self.added_latency = LatencyRecorder()
        self.requests_sent = 0
        self.requests_served = 0

    async def run(self, seconds: float) -> None:
        """Generate load, then wait for the last responses.

        Args:
            seconds: Duration of the load.
        """
        due_at = time.monotonic()
        end_at = due_at + seconds
        while due_at < end_at:
            due_at += self._rng.expovariate(self._requests_per_s)
            await asyncio.sleep(max(due_at - time.monotonic(), 0.0))
            self.requests_sent += 1
            self._send(due_at, self._rng.choice(self._addresses))
        await asyncio.sleep(FINAL_RESPONSE_WAIT_S)

    def response_received(self, due_at: float, status: int, body: bytes) -> None:
        """Count a response with status 200 and a service time, and record its added latency.

        Args:
            due_at: Time at which the request was due, in seconds by `time.monotonic`.
            status: Status code.
            body: Response body; an endpoint's response contains its service time in microseconds.
        """
        if status == 200 and body.isdigit():
            self.requests_served += 1
            self.added_latency.record(time.monotonic() - due_at - int(body) / 1e6)

    def release(self, connection: _ClientConnection) -> None:
        """Make a connection available for the next request."""
        self._idle_connections[connection.address].append(connection)

    def connection_lost(self, connection: _ClientConnection) -> None:
        """Remove a closed connection from the idle connections."""
        if connection in self._idle_connections[connection.address]:
            self._idle_connections[connection.address].remove(connection)

    def _send(self, due_at: float, address: GatewayAddress) -> None:
        idle_connections = self._idle_connections[address]
        if idle_connections:
            idle_connections.pop().send(due_at, self._encode_request())
            return
        task = asyncio.get_running_loop().create_task(self._connect_and_send(due_at, address))
        self._connect_tasks.add(task)
        task.add_done_callback(self._connect_tasks.discard)

    async def _connect_and_send(self, due_at: float, address: GatewayAddress) -> None:
        loop = asyncio.get_running_loop()
        try:
            _, connection = await loop.create_connection(
                lambda: _ClientConnection(self, address), address.host, address.port
            )
        except OSError:
            return  # the request is counted as sent, but not as served
        connection.send(due_at, self._encode_request())

    def _encode_request(self) -> bytes:
        class_name = gateway_configuration.request_class_name(self.requests_sent)
        unsafe = class_name == gateway_configuration.UNSAFE_CLASS_NAME
        tenant = self._rng.randrange(self._tenants)
        return (
            b"%b /api/%016x HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: c%015x\r\nX-Class: %b\r\n"
            b"Plan: %b\r\nX-Deadline: %dm\r\n%bQuota-Info: units=%d,spread=%d,first=0\r\n\r\n"
            % (
                b"POST" if unsafe else b"GET",
                tenant,
                self.requests_sent,
                class_name.encode(),
                gateway_configuration.PLAN_NAME.encode(),
                gateway_configuration.REQUEST_DEADLINE_MS,
                b"Content-Length: 0\r\n" if unsafe else b"",
                self._rng.choice(gateway_configuration.REQUEST_UNIT_CHOICES),
                self._fleet_size,
            )
        )
