"""A connection that has ended is freed at once, without the garbage collector."""

from __future__ import annotations

import asyncio
import gc
import weakref
from collections.abc import Iterator

import pytest
from support.http_fakes import LOOPBACK, request_bytes
from support.program import async_test
from test_downstream import RunningListener

from api_gateway.network.response_parser import Response, ResponseProtocol

PARTIAL_BODY_BYTES = 32_000
PARTIAL_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n" + bytes(PARTIAL_BODY_BYTES)


@pytest.fixture(autouse=True)
def no_garbage_collection() -> Iterator[None]:
    """Keep the garbage collector from freeing reference cycles during a test."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


async def wait_until_freed(reference: weakref.ref) -> None:
    """Wait until an object is freed, which needs a few iterations of the event loop."""
    while reference() is not None:
        await asyncio.sleep(0.001)


async def wait_for_partial_request(running: RunningListener) -> weakref.ref:
    """Wait until a connection has read a part of a request, and return a reference to it."""
    while not any(connection._reader._body for connection in running.listener.connections):
        await asyncio.sleep(0.001)
    (connection,) = running.listener.connections
    return weakref.ref(connection)


@pytest.mark.parametrize("is_reset", [False, True])
@async_test(limit_s=5)
async def test_client_connection_with_a_partial_request_is_freed_when_it_ends(is_reset: bool) -> None:
    # Guards against a crash: bodies of closed connections waited for the garbage collector, 20 MB a second.
    running = RunningListener()
    head_and_body = request_bytes("put", body=bytes(2 * PARTIAL_BODY_BYTES))
    client = running.connect(head_and_body[:-PARTIAL_BODY_BYTES])
    connection = await wait_for_partial_request(running)
    parser = weakref.ref(connection()._reader)
    if is_reset:
        connection().transport.abort()
    client.close()
    await wait_until_freed(connection)
    assert parser() is None


class RecordingProtocol(ResponseProtocol):
    """A client connection that records its end."""

    def __init__(self) -> None:
        super().__init__()
        self.is_closed = False

    def response_received(self, response: Response, is_reusable: bool) -> None:
        raise AssertionError("the response is not complete")

    def malformed_response(self) -> None:
        raise AssertionError("the response is well-formed")

    def connection_closed(self) -> None:
        self.is_closed = True


@async_test(limit_s=5)
async def test_connection_with_a_partial_response_is_freed_when_it_ends() -> None:
    # Guards against a crash: the same cycle held partial responses of endpoints that closed the connection.
    async def respond_partly(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(PARTIAL_RESPONSE)
        writer.close()

    server = await asyncio.start_server(respond_partly, LOOPBACK, 0)
    address = server.sockets[0].getsockname()
    _, protocol = await asyncio.get_running_loop().create_connection(RecordingProtocol, *address)
    protocol.write(request_bytes())
    while not protocol.is_closed:
        await asyncio.sleep(0.001)
    reference = weakref.ref(protocol)
    del protocol
    await wait_until_freed(reference)
    server.close()
