"""The real program and its clients: which requests it accepts, and which connections it closes."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

import pytest
from support.http_fakes import LOOPBACK, read_message, request_bytes, response_bytes, serve, stay_silent
from support.program import RunningProgram, async_test


@async_test()
async def test_pipelined_requests_get_their_responses_in_order(tmp_path: Path) -> None:
    async with RunningProgram(
        tmp_path, lambda request: response_bytes(request.headers["x-request-id"].encode())
    ) as program:
        reader, writer = await program.connect()
        writer.write(b"".join(request_bytes(x_request_id=b"id-%d" % i) for i in range(5)))
        bodies = [(await read_message(reader, writer)).body for _ in range(5)]
        assert bodies == [b"id-%d" % i for i in range(5)]
        assert len(program.endpoints[0].received) == 5


BAD_REQUESTS = [
    (b"nonsense\r\n\r\n", 400),
    (b"GET / HTTP/9.9\r\n\r\n", 400),
    (request_bytes(target="/other"), 404),
    (request_bytes(target="/api/xyz"), 400),
    (request_bytes(tenant="0000000200000000"), 400),
    (request_bytes(tenant="00000001fffffff"), 400),
    (request_bytes("nope"), 400),
    (request_bytes(plan="nope"), 400),
    (request_bytes(deadline="soon"), 400),
    (request_bytes(deadline="-5m"), 400),
    (request_bytes(deadline="1e3m"), 400),
    (request_bytes(method="POST"), 400),
    (request_bytes("put", method="GET"), 400),
    (request_bytes("put", has_idempotency_key=False), 400),
    (request_bytes(x_request_id=b"two words"), 400),
    (request_bytes(extra_headers="X-Class: read\r\n"), 400),
    *(
        (request_bytes(without_header="Quota-Info", extra_headers=f"Quota-Info: {info}\r\n"), 400)
        for info in (
            "units=0,spread=1,first=0",
            "units=nan,spread=1,first=0",
            "units=5,spread=1,first=0",
            "units=-400,spread=1,first=0",
            "units=1,spread=2,first=0",
            "units=1,spread=0,first=0",
            "units=1,spread=1,first=1",
            "units=1,spread=1,first=-1",
            "units=1_0",
        )
    ),
    (request_bytes(extra_headers="Filler: " + "x" * 40000 + "\r\n"), 400),
    (request_bytes("put", body=b"x" * (64 * 1024 + 1)), 413),
    (
        request_bytes("put", without_header="Content-Length", extra_headers="Transfer-Encoding: chunked\r\n")
        + b"11000\r\n"
        + b"x" * 0x11000
        + b"\r\n0\r\n\r\n",
        413,
    ),
    *(
        (request_bytes(without_header=name), 400)
        for name in ("X-Request-Id", "X-Class", "Plan", "X-Deadline", "Quota-Info")
    ),
]


@async_test()
async def test_bad_request_is_rejected_and_not_forwarded(tmp_path: Path) -> None:
    async with RunningProgram(tmp_path, serve) as program:
        for data, status in BAD_REQUESTS:
            assert await program.request_status(data) == status, data[:200]
        assert not program.endpoints[0].received
        longest = request_bytes("put", body=b"x" * 64 * 1024)
        assert await program.request_status(longest) == 200
        assert program.process.returncode is None


@async_test()
async def test_error_response_follows_the_response_of_the_request_before(tmp_path: Path) -> None:
    async with RunningProgram(tmp_path, stay_silent) as program:
        (endpoint,) = program.endpoints
        reader, writer = await program.connect()
        writer.write(request_bytes() + b"nonsense\r\n\r\n")
        await endpoint.wait_for_requests(1)
        endpoint.received[0].writer.write(response_bytes(b"first"))
        assert (await read_message(reader, writer)).body == b"first"
        assert (await read_message(reader, writer)).start_line.split()[1] == "400"
        assert await reader.read() == b""


SMUGGLED_BODY = b"0\r\n\r\n" + request_bytes(x_request_id=b"smuggled")


@pytest.mark.parametrize(
    "lines",
    [
        "Content-Length: %d\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: %d\r\n",
        "Content-Length: %d\r\nContent-Length: 0\r\n",
        "Content-Length: %d\r\nContent-Length: %d\r\n",
        "Content-Length: -%d\r\n",
        "Content-Length: +%d\r\n",
        "Content-Length: 0x%d\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\nX: %d\r\n",
        "Transfer-Encoding: xchunked\r\nX: %d\r\n",
    ],
)
@async_test()
async def test_ambiguous_framing_is_rejected(tmp_path: Path, lines: str) -> None:
    async with RunningProgram(tmp_path, serve) as program:
        reader, writer = await program.connect()
        extra_headers = lines.replace("%d", str(len(SMUGGLED_BODY)))
        writer.write(
            request_bytes("put", method="POST", without_header="Content-Length", extra_headers=extra_headers)
            + SMUGGLED_BODY
        )
        assert b"HTTP/1.1 400" in (await reader.read())
        assert "smuggled" not in program.endpoints[0].received_x_request_ids()


@async_test()
async def test_connection_closes_after_a_bad_request(tmp_path: Path) -> None:
    async with RunningProgram(tmp_path, serve) as program:
        reader, writer = await program.connect()
        writer.write(request_bytes("nope") + request_bytes())
        response = await read_message(reader, writer)
        assert (response.start_line.split()[1], response.headers["connection"]) == ("400", "close")
        assert await reader.read() == b""
        assert not program.endpoints[0].received


@async_test()
async def test_request_id_in_use_is_rejected(tmp_path: Path) -> None:
    """Endpoints identify a request by X-Request-Id alone; a second one with this id would run it again."""
    async with RunningProgram(tmp_path, stay_silent) as program:
        (endpoint,) = program.endpoints
        task = asyncio.create_task(program.request(request_bytes("put")))
        await endpoint.wait_for_requests(1)
        assert await program.request_status(request_bytes("put", tenant="0000000000000001")) == 409
        endpoint.received[0].writer.write(response_bytes(b"served"))
        assert (await task).body == b"served"
        assert len(endpoint.received) == 1
        endpoint.respond = serve
        assert await program.request_status(request_bytes("put")) == 200  # the id is no longer in use


@async_test()
async def test_number_of_pipelined_requests_is_bounded(tmp_path: Path) -> None:
    async with RunningProgram(tmp_path, serve) as program:
        reader, writer = await program.connect()
        writer.write(b"".join(request_bytes(x_request_id=b"id-%d" % i) for i in range(300)))
        responses = await reader.read()
        assert responses.endswith(b"Connection: close\r\n\r\n") and b"HTTP/1.1 400" in responses
        assert len(program.endpoints[0].received) == responses.count(b"HTTP/1.1 200") < 20


@pytest.mark.parametrize(
    "head",
    [
        request_bytes("put", without_header="Content-Length", extra_headers="Content-Length: 60000000\r\n"),
        request_bytes("put", without_header="Content-Length", extra_headers="Transfer-Encoding: chunked\r\n")
        + b"3938700\r\n",
    ],
)
@async_test()
async def test_too_long_body_is_rejected_unread(tmp_path: Path, head: bytes) -> None:
    """The response is sent before the body is read, and a client that continues to send is disconnected."""
    async with RunningProgram(tmp_path, serve) as program:
        reader, writer = await program.connect()
        writer.write(head + b"x" * 100_000)
        assert (await read_message(reader, writer)).start_line.split()[1] == "413"
        with pytest.raises(ConnectionError):
            for _ in range(60):
                writer.write(b"x" * 1_000_000)
                await writer.drain()
        assert await program.request_status(request_bytes()) == 200


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"", None),
        (b"GET /api/0 HTTP/1.1\r\nX-Pad: ", b"408"),
        (request_bytes("put", body=b"x" * 9)[:-1], b"408"),
        (b"GET /ready HTTP/1.1\r\n\r\nGET ", b"408"),
    ],
)
@async_test()
async def test_incomplete_request_times_out(tmp_path: Path, sent: bytes, status: bytes | None) -> None:
    async with RunningProgram(tmp_path, serve) as program:
        reader, writer = await program.connect()
        writer.write(sent)
        async with asyncio.timeout(3):
            response = await reader.read()
        assert response == b"" if status is None else b"HTTP/1.1 " + status in response
        assert not program.endpoints[0].received


@async_test(limit_s=4)  # less than the timeout of the attempt, which would close the connection, too
async def test_client_disconnect_cancels_the_attempt(tmp_path: Path) -> None:
    async with RunningProgram(tmp_path, stay_silent) as program:
        (endpoint,) = program.endpoints
        _, writer = await program.connect()
        writer.write(request_bytes("put"))
        await endpoint.wait_for_requests(1)
        writer.close()
        await endpoint.wait_until(lambda server: server.connections_closed == 1)
        assert len(endpoint.received) == 1


@async_test()
async def test_pipelined_request_is_not_forwarded_after_client_disconnect(tmp_path: Path) -> None:
    """Reading is paused while requests are queued, so the event loop does not report the disconnect."""
    async with RunningProgram(tmp_path, stay_silent) as program:
        (endpoint,) = program.endpoints
        loop, client = asyncio.get_running_loop(), socket.create_connection((LOOPBACK, program.port))
        client.setblocking(False)
        with client:
            client.sendall(
                b"".join(
                    request_bytes(x_request_id=request_id) for request_id in (b"first", b"second", b"third")
                )
            )
            await endpoint.wait_for_requests(1)
            client.shutdown(socket.SHUT_WR)  # reaches the kernel at once, but the program does not read it
            endpoint.respond = serve
            endpoint.received[0].writer.write(response_bytes(b"served"))
            try:
                while await loop.sock_recv(client, 4096):  # until the program has closed the connection
                    pass
            except ConnectionResetError:
                pass
        assert (await program.request(request_bytes(x_request_id=b"last"))).body == b"served"
        assert endpoint.received_x_request_ids() == ["first", "last"]


@async_test(limit_s=10)
async def test_connections_without_a_request_in_flight_are_evicted_for_new_ones(tmp_path: Path) -> None:
    """Silent connections, connections with a partial request and idle ones are evicted."""
    async with RunningProgram(tmp_path, stay_silent, sockets=128) as program:
        (endpoint,) = program.endpoints
        reader, writer = await program.connect()
        writer.write(request_bytes(x_request_id=b"open"))
        await endpoint.wait_for_requests(1)
        connections = []
        for i in range(210):
            connections.append(await program.connect())
            connections[-1][1].write((b"", b"GET /api/", b"GET /ready HTTP/1.1\r\n\r\n")[i % 3])
        task = asyncio.create_task(program.request(request_bytes(x_request_id=b"late")))
        await endpoint.wait_for_requests(2)
        for request in endpoint.received:
            request.writer.write(response_bytes(b"served"))
        assert (await task).body == b"served"
        assert (await read_message(reader, writer)).body == b"served"
        assert program.process.returncode is None


@async_test(limit_s=10)
async def test_idle_connections_are_evicted_before_one_without_a_first_request(tmp_path: Path) -> None:
    """A client retries on a new connection if an idle one is closed, but not if its first request fails."""
    async with RunningProgram(tmp_path, serve, sockets=128) as program:
        reader, writer = await program.connect()
        connections = []
        for _ in range(150):
            connections.append(await program.connect())
            connections[-1][1].write(b"GET /ready HTTP/1.1\r\n\r\n")
            await read_message(*connections[-1])
        writer.write(request_bytes())
        assert (await read_message(reader, writer)).body == b"served"
