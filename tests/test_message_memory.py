"""The limit on the messages of all connections together: what is rejected at it, and what is spared."""

from __future__ import annotations

import asyncio
import socket

import pytest
from support.dispatcher_driver import ENDPOINT_NAME, RecordingClient, inbound_request, start_dispatcher
from support.http_fakes import FakeServer, ReceivedMessage, request_bytes
from support.program import async_test
from test_downstream import RunningListener

from api_gateway.limits import ProcessLimits
from api_gateway.model.actions import FailRequest, StartAttempt
from api_gateway.model.events import AttemptEnded, RequestReceived
from api_gateway.model.results import AttemptResult
from api_gateway.network.downstream.connection import UNREAD_RESPONSE_TIMEOUT_S, DownstreamConnection
from api_gateway.network.message_memory import UNCOUNTED_BYTES, MessageMemory

BODY_BYTES = 60_000
SENT_BYTES = 40_000
BYTES_PER_MB = 1024 * 1024
SOCKET_BUFFER_BYTES = 4096


class FakeHolder:
    """A connection with a partial request or an unread response.

    Attributes:
        has_partial_request: Whether a request is incomplete.
        has_unread_response: Whether the client has not read a response.
        is_aborted: Whether the connection was aborted.
    """

    def __init__(
        self, memory: MessageMemory, *, has_partial_request: bool = False, has_unread_response: bool = False
    ) -> None:
        self.memory = memory
        self.has_partial_request = has_partial_request
        self.has_unread_response = has_unread_response
        self.is_aborted = False

    def reject_partial_request(self) -> None:
        if self.has_partial_request:
            self.has_partial_request = False
            self.memory.remove(self)

    def abort_if_response_unread(self) -> None:
        if self.has_unread_response:
            self.is_aborted = True
            self.memory.remove(self)


def test_small_messages_are_not_counted() -> None:
    memory = MessageMemory(limit_bytes=0)
    assert memory.update(FakeHolder(memory), UNCOUNTED_BYTES)
    assert memory.held_bytes == 0


def test_limit_applies_to_the_sum_over_all_holders() -> None:
    memory = MessageMemory(limit_bytes=100_000)
    first, second = FakeHolder(memory), FakeHolder(memory)
    assert memory.update(first, 60_000)
    assert not memory.update(second, 60_000)
    assert memory.held_bytes == 60_000
    assert memory.update(second, 40_000)
    assert memory.update(first, 10_000)
    assert memory.update(second, 90_000)
    memory.remove(first)
    memory.remove(second)
    assert memory.held_bytes == 0


def test_oldest_partial_request_is_rejected_first() -> None:
    memory = MessageMemory(limit_bytes=100_000)
    in_flight = FakeHolder(memory)
    unread = FakeHolder(memory, has_unread_response=True)
    partial = [FakeHolder(memory, has_partial_request=True) for _ in range(3)]
    for holder in (in_flight, unread, *partial):
        assert memory.update(holder, 20_000)
    assert memory.update(FakeHolder(memory), 30_000)
    assert [holder.has_partial_request for holder in partial] == [False, False, True]
    assert not unread.is_aborted


def test_unread_responses_are_aborted_when_no_request_is_partial() -> None:
    memory = MessageMemory(limit_bytes=100_000)
    in_flight = FakeHolder(memory)
    unread = [FakeHolder(memory, has_unread_response=True) for _ in range(2)]
    for holder in (in_flight, *unread):
        assert memory.update(holder, 30_000)
    newest = FakeHolder(memory)
    assert memory.update(newest, 20_000)
    assert [holder.is_aborted for holder in unread] == [True, False]
    assert not memory.update(newest, 80_000)


def test_limit_is_logged_once_until_much_memory_is_free(caplog: pytest.LogCaptureFixture) -> None:
    memory = MessageMemory(limit_bytes=100_000)
    first, second = FakeHolder(memory), FakeHolder(memory)
    memory.update(first, 80_000)
    for _ in range(3):
        assert not memory.update(second, 30_000)
    assert caplog.messages == ["message_memory_full limit_bytes=100000 connections=1"]
    memory.remove(first)
    memory.update(second, 80_000)
    assert not memory.update(first, 30_000)
    assert len(caplog.messages) == 2


def test_holder_is_not_asked_to_free_its_own_memory() -> None:
    memory = MessageMemory(limit_bytes=100_000)
    partial = FakeHolder(memory, has_partial_request=True)
    assert memory.update(partial, 90_000)
    assert not memory.update(partial, 110_000)
    assert partial.has_partial_request


@pytest.mark.parametrize(("memory_mb", "expected_mb"), [(16, 1), (32, 2), (192, 42)])
def test_message_memory_follows_from_the_limit_of_the_process(memory_mb: int, expected_mb: int) -> None:
    assert ProcessLimits(memory_mb=memory_mb).message_bytes == expected_mb * BYTES_PER_MB


def send_partial_request(running: RunningListener, x_request_id: bytes) -> socket.socket:
    """Connect, send a part of a request that lacks the end of its body, and return the client."""
    data = request_bytes("put", body=bytes(BODY_BYTES), x_request_id=x_request_id)
    return running.connect(data[: SENT_BYTES - BODY_BYTES])


async def wait_until_held(running: RunningListener, minimum_bytes: int) -> None:
    """Wait until the connections hold at least this much."""
    while running.dispatcher.message_memory.held_bytes < minimum_bytes:
        await asyncio.sleep(0.001)


async def read_response(client: socket.socket) -> bytes:
    """Read until the gateway closes its side, and return what it sent."""
    received = b""
    while data := await asyncio.get_running_loop().sock_recv(client, 4096):
        received += data
    return received


@async_test(limit_s=5)
async def test_partial_request_is_rejected_with_retry_after_when_others_need_the_memory() -> None:
    # Guards against a crash: messages had no limit on their sum, and 341 clients exceeded the least memory.
    running = RunningListener(message_bytes=110_000)
    stalled = []
    for i in range(2):
        stalled.append(send_partial_request(running, b"stalled-%d" % i))
        await wait_until_held(running, (i + 1) * SENT_BYTES)
    complete = running.connect(request_bytes("put", body=bytes(BODY_BYTES), x_request_id=b"complete"))
    assert await running.is_served(complete)
    response = await read_response(stalled[0])
    assert response.startswith(b"HTTP/1.1 503 ") and b"Retry-After: " in response
    assert running.dispatcher.x_request_ids == [b"complete"]
    stalled[1].sendall(bytes(BODY_BYTES - SENT_BYTES))
    assert await running.is_served(stalled[1])


@async_test(limit_s=5)
async def test_small_requests_are_served_while_the_memory_is_full() -> None:
    running = RunningListener(message_bytes=SENT_BYTES + 5_000)
    stalled = send_partial_request(running, b"stalled")
    await wait_until_held(running, SENT_BYTES)
    assert await running.is_served(running.connect_and_request(b"small"))
    stalled.sendall(bytes(BODY_BYTES - SENT_BYTES))
    assert (await read_response(stalled)).startswith(b"HTTP/1.1 503 ")
    assert running.dispatcher.x_request_ids == [b"small"]


@async_test(limit_s=5)
async def test_complete_request_beyond_the_limit_is_rejected() -> None:
    running = RunningListener(message_bytes=5_000)
    client = running.connect(request_bytes("put", body=bytes(6_000)))
    assert (await read_response(client)).startswith(b"HTTP/1.1 503 ")
    assert not running.dispatcher.x_request_ids
    assert running.dispatcher.message_memory.held_bytes == 0


@async_test(limit_s=5)
async def test_memory_of_a_connection_is_free_after_its_response_and_after_its_end() -> None:
    running = RunningListener(message_bytes=100_000)
    served = running.connect(request_bytes("put", body=bytes(BODY_BYTES), x_request_id=b"served"))
    assert await running.is_served(served)
    closed = send_partial_request(running, b"closed")
    await wait_until_held(running, SENT_BYTES)
    closed.close()
    while running.dispatcher.message_memory.held_bytes:
        await asyncio.sleep(0.001)


async def connect_without_reading(running: RunningListener) -> tuple[socket.socket, DownstreamConnection]:
    """Connect with small socket buffers, so that a large response stays in the gateway until it is read."""
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    client.connect(running.address)
    client.setblocking(False)
    while not running.listener.connections:
        await asyncio.sleep(0.001)
    (connection,) = running.listener.connections
    server_socket = connection.transport.get_extra_info("socket")
    server_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
    return client, connection


@async_test(limit_s=5)
async def test_unread_response_is_counted_until_it_is_read() -> None:
    running = RunningListener(message_bytes=100_000)
    running.dispatcher.response_body = bytes(BODY_BYTES) + b"served"
    client, _ = await connect_without_reading(running)
    client.sendall(request_bytes())
    await wait_until_held(running, BODY_BYTES // 2)
    assert await running.is_served(client)
    assert running.dispatcher.message_memory.held_bytes == 0


@async_test(limit_s=5)
async def test_connection_is_aborted_when_its_response_stays_unread() -> None:
    # Guards against a leak: a connection whose client read nothing was never closed.
    running = RunningListener(message_bytes=100_000)
    running.dispatcher.response_body = bytes(BODY_BYTES)
    client, connection = await connect_without_reading(running)
    client.sendall(request_bytes())
    await wait_until_held(running, BODY_BYTES // 2)
    responded_at = connection.receiving_since
    await asyncio.sleep(0.2)
    client.sendall(request_bytes())  # further input does not restart the timeout
    await asyncio.sleep(0.01)
    connection.enforce_timeouts(responded_at + UNREAD_RESPONSE_TIMEOUT_S - 0.1)
    await asyncio.sleep(0.01)
    assert running.listener.connections == {connection}
    connection.enforce_timeouts(responded_at + UNREAD_RESPONSE_TIMEOUT_S + 0.1)
    while running.listener.connections:
        await asyncio.sleep(0.001)
    assert running.dispatcher.message_memory.held_bytes == 0


@async_test(limit_s=5)
async def test_response_of_an_endpoint_beyond_the_limit_ends_its_attempt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def respond_partly(request: ReceivedMessage) -> None:
        request.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES)
        request.writer.write(bytes(SENT_BYTES))

    endpoint = FakeServer(respond_partly)
    dispatcher, decisions = await start_dispatcher(monkeypatch, endpoint)
    dispatcher.message_memory._limit_bytes = SENT_BYTES // 2
    client = RecordingClient()
    decisions.next_actions[RequestReceived] = [StartAttempt("r1", ENDPOINT_NAME, 5000)]
    decisions.next_actions[AttemptEnded] = [FailRequest("r1")]
    dispatcher.submit(client, inbound_request())
    assert await client.statuses.get() == 502
    assert decisions.attempt_results() == [AttemptResult.MALFORMED_RESPONSE]
    while dispatcher.message_memory.held_bytes:
        await asyncio.sleep(0.001)
    endpoint.stop()


@async_test(limit_s=5)
async def test_request_content_is_freed_while_its_attempt_is_in_flight(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a crash: where cancels are not supported, attempts outlast clients, as did their bodies.
    endpoint = FakeServer(lambda request: None)
    dispatcher, decisions = await start_dispatcher(monkeypatch, endpoint)
    decisions.next_actions[RequestReceived] = [StartAttempt("r1", ENDPOINT_NAME, 5000)]
    request_id = dispatcher.submit(RecordingClient(), inbound_request())
    await endpoint.wait_until(lambda fake: any("/api/" in message.start_line for message in fake.received))
    (request,) = dispatcher._request_handler.requests
    assert request.inbound.head and not request.attempts[0].head
    dispatcher.client_disconnected(request_id)
    assert request.attempts_in_flight and not request.inbound.head
    endpoint.stop()
