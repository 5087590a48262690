"""A host behind the gateways."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from review.standins.http1 import Message, answer, take_message
from review.standins.record import Record


@dataclass
class Arrival:
    """A request that has arrived whole.

    Attributes:
        request: The request.
        connection: The connection that it came on.
        at: When its last byte arrived, in s of `time.monotonic`.
    """

    request: Message
    connection: HostConnection
    at: float = field(default_factory=time.monotonic)

    @property
    def request_id(self) -> str:
        """Its X-Request-Id."""
        return self.request.headers.get("x-request-id", "")


class Host:
    """Answers each request with `body_for` after a service time; `on_arrival` may take its place.

    Attributes:
        name: Its id.
        port: Port that it listens on.
        arrivals: All requests that arrived whole, in order.
    """

    def __init__(self, name: str, record: Record, service_s: float = 0.02, one_way_s: float = 0.0) -> None:
        """Create a host.

        Args:
            name: Its id.
            record: Record of the case.
            service_s: Time from the last byte of a request to its answer.
            one_way_s: Time that bytes take from a gateway to the host, and back.
        """
        self.name = name
        self.port = 0
        self.record = record
        self.service_s = service_s
        self.one_way_s = one_way_s
        self.arrivals: list[Arrival] = []
        self.on_arrival: Callable[[Arrival], None] = self.serve
        self.connections: set[HostConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: HostConnection(self), "127.0.0.1", 0, backlog=1024)
        self.port = self._server.sockets[0].getsockname()[1]

    def arrived(self, arrival: Arrival) -> None:
        """Take a whole request."""
        self.arrivals.append(arrival)
        self.record.write(self.name, f"got {arrival.request_id} {arrival.request.first_line}")
        self.on_arrival(arrival)

    def serve(self, arrival: Arrival) -> None:
        """Answer a request after the service time."""
        loop = asyncio.get_running_loop()
        loop.call_later(self.service_s, self.answer, arrival)

    def answer(self, arrival: Arrival) -> None:
        """Send the sound answer to a request."""
        self.record.write(self.name, f"answers {arrival.request_id} 200")
        arrival.connection.send(answer(200, body_for(arrival.request_id)))

    async def stop(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.transport.abort()


class HostConnection(asyncio.Protocol):
    """A connection that a host has accepted; bytes take `one_way_s` in each direction.

    Attributes:
        transport: The transport.
        requests: Number of requests that have arrived on it.
        is_closed: Whether the gateway has ended it.
    """

    def __init__(self, host: Host) -> None:
        self.host = host
        self.transport: asyncio.Transport = None  # type: ignore[assignment]
        self.requests = 0
        self.is_closed = False
        self._data = bytearray()
        self._inbound: deque[bytes] = deque()
        self._outbound: deque[bytes | None] = deque()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = transport  # type: ignore[assignment]
        self.host.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Let the bytes arrive after the time on the way."""
        self._inbound.append(data)
        if self.host.one_way_s:
            asyncio.get_running_loop().call_later(self.host.one_way_s, self._arrive)
        else:
            self._arrive()

    def _arrive(self) -> None:
        self._data += self._inbound.popleft()
        while (message := take_message(self._data)) is not None:
            self.requests += 1
            self.host.arrived(Arrival(message, self))

    def send(self, data: bytes | None) -> None:
        """Send bytes, or end the connection (None); both take the time on the way."""
        self._outbound.append(data)
        if self.host.one_way_s:
            asyncio.get_running_loop().call_later(self.host.one_way_s, self._leave)
        else:
            self._leave()

    def _leave(self) -> None:
        data = self._outbound.popleft()
        if self.transport.is_closing():
            return
        if data is None:
            self.transport.close()
        else:
            self.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self.is_closed = True
        self.host.connections.discard(self)


def body_for(request_id: str) -> bytes:
    """Return the body that a host makes for a request."""
    return f"answer made for {request_id}".encode()
