"""The listener and its connections when the gateway closes a connection while its client sends a request.

The event loop does not run between two awaits of a test, so data that a client sends in between stays unread
in the kernel.
"""

from __future__ import annotations

import asyncio
import dataclasses
import socket

import pytest
from support.gateway_driver import BASIC_PLAN, PUT_CLASS, READ_CLASS, settings
from support.http_fakes import LOOPBACK, request_bytes
from support.program import async_test

from api_gateway.network.dispatcher import InboundRequest
from api_gateway.network.downstream.connection import IDLE_TIMEOUT_S, DownstreamConnection
from api_gateway.network.downstream.listener import MAX_ACCEPTS_PER_ITERATION, READ_BUFFER_BYTES, Listener
from api_gateway.network.downstream.request_parser import MAX_REQUEST_BODY_BYTES
from api_gateway.network.message_memory import MessageMemory


class FakeDispatcher:
    """A dispatcher that responds to each request immediately.

    Attributes:
        x_request_ids: X-Request-Id of each request, in the order of arrival.
        response_body: Body of each response.
        is_holding: Whether requests stay in flight without a response.
        held_client: The client of the last request that was held.
    """

    def __init__(self, message_bytes: int) -> None:
        plan = dataclasses.replace(BASIC_PLAN, name="team")
        self.settings = settings(classes=(READ_CLASS, PUT_CLASS), plans=(plan,), fleet_size=1)
        self.message_memory = MessageMemory(message_bytes)
        self.is_draining = False
        self.is_terminated = False
        self.x_request_ids: list[bytes] = []
        self.response_body = b"served"
        self.is_holding = False
        self.held_client: DownstreamConnection | None = None

    def is_ready(self) -> bool:
        return True

    def submit(self, client: DownstreamConnection, inbound_request: InboundRequest) -> str:
        self.x_request_ids.append(inbound_request.x_request_id)
        if self.is_holding:
            self.held_client = client
        else:
            client.respond(200, self.response_body)
        return inbound_request.x_request_id.decode()

    def client_disconnected(self, request_id: str) -> None:
        raise AssertionError("no request is in flight")


class RunningListener:
    """A listener in this process, and clients that connect and send without running the event loop."""

    def __init__(self, max_connections: int = 512, message_bytes: int = 2 * 1024 * 1024) -> None:
        self.dispatcher = FakeDispatcher(message_bytes)
        self.listener = Listener(self.dispatcher, asyncio.get_running_loop(), max_connections)
        self.address = self.listener.start((LOOPBACK, 0))

    def connect(self, data: bytes = b"") -> socket.socket:
        """Open a connection and send `data`."""
        client = socket.create_connection(self.address)
        client.setblocking(False)
        client.sendall(data)
        return client

    def connect_and_request(self, x_request_id: bytes) -> socket.socket:
        """Open a connection and send a request."""
        return self.connect(request_bytes(x_request_id=x_request_id))

    async def wait_for_requests(self, count: int) -> None:
        while len(self.dispatcher.x_request_ids) < count:
            await asyncio.sleep(0.001)

    async def read(self, client: socket.socket) -> bytes:
        """Read until the end of a response or of the connection."""
        received = b""
        while not received.endswith(b"served"):
            try:
                data = await asyncio.get_running_loop().sock_recv(client, 4096)
            except ConnectionResetError:
                break
            if not data:
                break
            received += data
        return received

    async def is_served(self, client: socket.socket) -> bool:
        """Read a response, and return whether its status is 200."""
        return (await self.read(client)).startswith(b"HTTP/1.1 200")

    async def is_closed(self, client: socket.socket) -> bool:
        """Return whether the connection ends without a response."""
        return await self.read(client) == b""


@async_test(limit_s=5)
async def test_backlog_is_served_before_the_listener_closes() -> None:
    """Closing a listening socket resets the connections in its backlog, and their requests would be lost."""
    running = RunningListener()
    clients = [running.connect_and_request(b"id-%d" % i) for i in range(2 * MAX_ACCEPTS_PER_ITERATION + 3)]
    # The event loop has not run, so no connection was accepted before.
    assert running.listener.stop_accepting()
    for client in clients:
        assert await running.is_served(client)
    with pytest.raises(ConnectionRefusedError):
        running.connect()


@async_test(limit_s=5)
async def test_listener_stays_open_until_the_connection_limit_admits_its_backlog() -> None:
    """The connection limit delays the accept; connections that wait in the backlog must not be reset."""
    running = RunningListener(max_connections=2)
    clients = [running.connect_and_request(b"id-%d" % i) for i in range(4)]
    assert not running.listener.stop_accepting()
    while not running.listener.stop_accepting():
        await asyncio.sleep(0.01)
    await running.wait_for_requests(4)
    for client in clients:
        assert await running.is_served(client)


@async_test(limit_s=5)
async def test_shutdown_keeps_an_idle_connection_with_an_unread_request() -> None:
    """A connection can look idle while a request waits in the kernel; closing it would lose the request."""
    running = RunningListener()
    active, idle = running.connect_and_request(b"a"), running.connect_and_request(b"b")
    assert await running.read(active) and await running.read(idle)
    active.sendall(request_bytes(x_request_id=b"c"))
    running.dispatcher.is_draining = True
    assert not running.listener.close_idle()
    assert await running.is_served(active)
    assert await running.is_closed(idle)
    while not running.listener.close_idle():  # the gateway drains, so it closes this connection, too
        await asyncio.sleep(0.001)
    assert running.dispatcher.x_request_ids == [b"a", b"b", b"c"]


@async_test(limit_s=5)
async def test_shutdown_waits_for_the_first_request_of_a_new_connection() -> None:
    """The first request may be in transit when the shutdown starts; a silent connection is closed later."""
    running = RunningListener()
    active, silent = running.connect(), running.connect()
    while len(running.listener.connections) < 2:
        await asyncio.sleep(0.001)
    running.dispatcher.is_draining = True
    assert not running.listener.close_idle()
    active.sendall(request_bytes(x_request_id=b"a"))
    assert await running.is_served(active)
    while not running.listener.close_idle():
        await asyncio.sleep(0.01)
    assert await running.is_closed(silent)


@async_test(limit_s=5)
async def test_connection_with_an_unread_request_is_not_evicted() -> None:
    """The connection that has been idle for longest may have an unread request; the next one is evicted."""
    running = RunningListener()
    oldest, second = running.connect_and_request(b"a"), running.connect_and_request(b"b")
    assert await running.read(oldest) and await running.read(second)
    running.listener._max_connections = 2
    oldest.sendall(request_bytes(x_request_id=b"c"))
    assert running.listener._ensure_connection_slot()  # makes room for a third client
    assert await running.is_served(oldest)
    assert await running.is_closed(second)


@async_test(limit_s=5)
async def test_idle_connection_is_evicted_behind_any_number_with_unread_requests() -> None:
    # Guards against refused clients: only the 16 oldest connections were candidates for an eviction.
    running = RunningListener()
    clients = [running.connect_and_request(b"id-%d" % i) for i in range(18)]
    for client in clients:
        assert await running.read(client)
    running.listener._max_connections = len(clients)
    by_age = running.listener._receiving_after_response
    ports = [connection.transport.get_extra_info("peername")[1] for connection in by_age]
    clients.sort(key=lambda client: ports.index(client.getsockname()[1]))
    *active, newest = clients
    for client in active:
        client.sendall(request_bytes(x_request_id=b"active"))
    assert running.listener._ensure_connection_slot()
    for client in active:
        assert await running.is_served(client)
    assert await running.is_closed(newest)


@async_test(limit_s=5)
async def test_idle_timeout_spares_a_connection_with_an_unread_request() -> None:
    """A request may reach the kernel just before the timeout; closing the connection would lose it."""
    running = RunningListener()
    active, silent = running.connect_and_request(b"a"), running.connect_and_request(b"b")
    assert await running.read(active) and await running.read(silent)
    active.sendall(request_bytes(x_request_id=b"c"))
    for connection in list(running.listener.connections):
        connection.enforce_timeouts(running.listener.loop.time() + IDLE_TIMEOUT_S + 1)
    assert await running.is_served(active)
    assert await running.is_closed(silent)


@async_test(limit_s=5)
async def test_request_after_the_end_of_shutdown_is_rejected() -> None:
    running = RunningListener()
    running.dispatcher.is_draining = running.dispatcher.is_terminated = True
    client = running.connect_and_request(b"late")
    assert (await running.read(client)).startswith(b"HTTP/1.1 503") and not running.dispatcher.x_request_ids


def chunked_request(body: bytes, chunk_bytes: int) -> bytes:
    """Return a request with a body in chunks of `chunk_bytes`."""
    head = request_bytes(
        "put", without_header="Content-Length", extra_headers="Transfer-Encoding: chunked\r\n"
    )
    chunks = (body[i : i + chunk_bytes] for i in range(0, len(body), chunk_bytes))
    return head + b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks) + b"0\r\n\r\n"


@pytest.mark.parametrize("chunk_bytes", [8, 1000, MAX_REQUEST_BODY_BYTES])
@pytest.mark.parametrize(
    ("body_bytes", "status"), [(MAX_REQUEST_BODY_BYTES, b"200"), (MAX_REQUEST_BODY_BYTES + 1, b"413")]
)
@pytest.mark.parametrize("is_complete", [True, False])
@async_test(limit_s=5)
async def test_body_is_bounded_however_it_arrives(
    chunk_bytes: int, body_bytes: int, status: bytes, is_complete: bool
) -> None:
    if not is_complete and status == b"200":
        status = b"408"
    running = RunningListener()
    data = chunked_request(b"x" * body_bytes, chunk_bytes)
    client = running.connect(data if is_complete else data[:-2])
    assert (await running.read(client)).startswith(b"HTTP/1.1 " + status)


@async_test(limit_s=5)
async def test_client_that_sends_much_is_read_in_turns_with_the_others() -> None:
    # Guards against stalls: hundreds of bodies in small chunks were parsed whole before other connections.
    running = RunningListener()
    busy = [running.connect() for _ in range(4)]
    other = running.connect()
    while len(running.listener.connections) < len(busy) + 1:
        await asyncio.sleep(0.001)
    for client in busy:
        client.send(chunked_request(b"ab" * 20_000, 2)[:-5])
    other.sendall(request_bytes(x_request_id=b"other"))
    assert await running.is_served(other)
    parsers = [connection._reader for connection in running.listener.connections]
    assert (
        0 < max(parser.partial_request_bytes for parser in parsers) <= 4 * READ_BUFFER_BYTES
    )  # the client reads its response in a later iteration
