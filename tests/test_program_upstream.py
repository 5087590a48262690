"""The program and its endpoints: which results of an attempt lead to a response, and which to a retry."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest
from support.http_fakes import (
    ReceivedMessage,
    read_message,
    request_bytes,
    response_bytes,
    serve,
    stay_silent,
)
from support.program import RunningProgram, async_test

from api_gateway.network.upstream.pool import MIN_IDLE_BEFORE_REUSE_S


@async_test()
async def test_request_and_response_are_forwarded_unchanged(tmp_path: Path) -> None:
    async with RunningProgram(
        tmp_path, lambda request: response_bytes(b"\0body", headers=b"Billed-Units: 5\r\n")
    ) as program:
        response = await program.request(
            request_bytes("put", body=b"x" * 3000, target="/api/v2/00000000b4d65521?a=1")
        )
        assert (response.start_line.split()[1], response.body) == ("200", b"\0body")
        (request,) = program.endpoints[0].received
        assert request.start_line == "POST /api/v2/00000000b4d65521?a=1 HTTP/1.1"
        assert request.body == b"x" * 3000
        assert request.headers["x-request-id"] == "9b1f03aa5c7e2d41"
        assert request.headers["idempotency-key"] == "5c0f6e1a"
        assert 0 < int(request.headers["x-deadline"].removesuffix("m")) <= 6000
        # The counter receives the estimated units, then the billed units beyond the estimate.
        await program.counter.wait_until(lambda server: sum(program.counter_values.values()) >= 2)


@async_test(limit_s=5)  # less than one deadline of 6 s
async def test_rejection_is_immediate_and_has_retry_after(tmp_path: Path) -> None:
    """A rejected request gets its response at once, not shortly before its deadline."""
    async with RunningProgram(tmp_path, serve) as program:
        responses = [
            await program.request(request_bytes(plan="small", x_request_id=b"id-%d" % i)) for i in range(6)
        ]
        rejected = [response for response in responses if response.start_line.split()[1] == "503"]
        assert rejected and len(program.endpoints[0].received) == len(responses) - len(rejected)
        assert all(0 < float(response.headers["retry-after"]) <= 1 for response in rejected)


@pytest.mark.parametrize(
    ("class_name", "status", "attempts"), [("read", 200, 2), ("put", 200, 2), ("pay", 502, 1)]
)
@async_test()
async def test_connection_reset_is_retried_only_if_the_class_allows_it(
    tmp_path: Path, class_name: str, status: int, attempts: int
) -> None:
    """After a reset it is unknown whether the endpoint has run the request, so a retry may run it twice."""
    responses = iter((b"", response_bytes(b"served")))
    async with RunningProgram(tmp_path, lambda _: next(responses), lambda _: next(responses)) as program:
        assert await program.request_status(request_bytes(class_name)) == status
        assert sum(len(endpoint.received) for endpoint in program.endpoints) == attempts


@pytest.mark.parametrize(
    ("response", "status", "attempts"),
    [
        (response_bytes(b"", 503, b"X-Not-Run: 1\r\n"), 200, 2),
        (response_bytes(b"", 504, b"X-Not-Run: 1\r\n"), 200, 2),
        (response_bytes(b"", 503), 502, 1),
        (response_bytes(b"", 500), 502, 1),
        (response_bytes(b"", 500, b"X-Not-Run: 1\r\n"), 502, 1),
        (response_bytes(b"", 204), 502, 1),
        (b"HTTP/1.1 nonsense\r\n\r\n", 502, 1),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", 502, 1),
    ],
)
@async_test()
async def test_failed_response_of_unsafe_request_is_retried_only_with_x_not_run(
    tmp_path: Path, response: bytes, status: int, attempts: int
) -> None:
    """Only X-Not-Run on 503 or 504 shows that the endpoint has not run the request."""
    responses = iter((response, response_bytes(b"served")))

    def respond(request: ReceivedMessage) -> bytes:
        data = next(responses)
        if data.endswith(b"half"):
            request.writer.write(data)
            request.writer.close()  # in the middle of the response
            return None
        return data

    async with RunningProgram(tmp_path, respond) as program:
        assert await program.request_status(request_bytes("pay")) == status
        assert len(program.endpoints[0].received) == attempts


@async_test()
async def test_refused_connection_is_retried_for_unsafe_requests(tmp_path: Path) -> None:
    """The endpoint cannot have run a request that was never sent."""
    async with RunningProgram(tmp_path, serve, serve) as program:
        program.endpoints[0].stop()  # its port refuses connections from now on
        for i in range(8):
            assert await program.request_status(request_bytes("pay", x_request_id=b"id-%d" % i)) == 200
        assert len(program.endpoints[1].received) == 8


@async_test()
async def test_silent_endpoint_times_out_and_its_connection_is_closed(tmp_path: Path) -> None:
    """A late response on the connection could be returned to the next request."""
    async with RunningProgram(
        tmp_path, lambda request: None if request.headers["x-request-id"] == "silent" else serve(request)
    ) as program:
        (endpoint,) = program.endpoints
        timed_out = request_bytes("pay", x_request_id=b"silent", deadline="400m")
        assert await program.request_status(timed_out) in (502, 504)
        await endpoint.wait_until(lambda server: server.connections_closed == 1)
        assert await program.request_status(request_bytes(x_request_id=b"next")) == 200
        assert endpoint.received_x_request_ids() == ["silent", "next"]


@async_test()
async def test_idle_upstream_connection_is_reused(tmp_path: Path) -> None:
    async with RunningProgram(tmp_path, serve) as program:
        reader, writer = await program.connect()
        for i in range(5):
            writer.write(request_bytes(x_request_id=b"id-%d" % i))
            assert (await read_message(reader, writer)).body == b"served"
            await asyncio.sleep(5 * MIN_IDLE_BEFORE_REUSE_S)
        assert len({id(request.writer) for request in program.endpoints[0].received}) == 1


@async_test()
async def test_reset_of_an_idle_connection_does_not_eject_the_endpoint(tmp_path: Path) -> None:
    """An endpoint may reset idle connections; the request is then retried on a new one."""
    used: set[int] = set()
    writers: list[asyncio.StreamWriter] = []  # kept alive, so that no object id is reused

    def respond(request: ReceivedMessage) -> bytes:
        is_reused = id(request.writer) in used
        used.add(id(request.writer))
        writers.append(request.writer)
        return b"" if is_reused else serve(request)

    async with RunningProgram(tmp_path, respond) as program:
        for i in range(10):
            assert await program.request_status(request_bytes(x_request_id=b"id-%d" % i)) == 200
            await asyncio.sleep(5 * MIN_IDLE_BEFORE_REUSE_S)
        assert not any("endpoint_ejected" in line for line in program.log)
        assert len(program.endpoints[0].received) == 19  # each but the first found its connection reset once


@async_test()
async def test_response_that_arrived_during_a_stall_is_not_timed_out(tmp_path: Path) -> None:
    """The program is stopped until after the timeout, while the response waits in the socket buffer."""
    async with RunningProgram(tmp_path, stay_silent) as program:
        (endpoint,) = program.endpoints
        task = asyncio.create_task(program.request_status(request_bytes("pay")))
        await endpoint.wait_for_requests(1)
        program.process.send_signal(signal.SIGSTOP)
        endpoint.received[0].writer.write(response_bytes(b"served"))
        await endpoint.received[0].writer.drain()
        await asyncio.sleep(3.3)  # past the timeout of the attempt, 3 s; the deadline is 6 s
        program.process.send_signal(signal.SIGCONT)
        assert await task == 200


MALFORMED_RESPONSES = [
    b"noise\r\n\r\n",
    b"HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nno",
    b"HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 2\r\n\r\nno",
    b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nno",
    b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nno",
    b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nno",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\nzz\r\n",
    b"HTTP/1.1 200 OK\r\n\r\nno",
    b"HTTP/1.1 200 OK\r\nX-Pad: " + b"p" * 300_000,
    b"HTTP/1.1 103 Early Hints\r\n\r\n" * 20_000,
]


@pytest.mark.parametrize("response", MALFORMED_RESPONSES)
@async_test(limit_s=5)
async def test_malformed_response_fails_the_attempt_and_does_not_eject_the_endpoint(
    tmp_path: Path, response: bytes
) -> None:
    """The request may have run, so it is not retried; the connection is not used again."""
    async with RunningProgram(
        tmp_path, lambda request: response if request.headers["x-request-id"] == "bad" else serve(request)
    ) as program:
        assert await program.request_status(request_bytes("pay", x_request_id=b"bad")) == 502
        await program.endpoints[0].wait_until(lambda server: server.connections_closed == 1)
        for i in range(3):  # an ejected endpoint would get none
            assert await program.request_status(request_bytes("pay", x_request_id=b"id-%d" % i)) == 200
        assert program.process.returncode is None


@pytest.mark.parametrize("late", [False, True])
@pytest.mark.parametrize("more", [response_bytes(b"copy"), b"noise\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-"])
@async_test()
async def test_bytes_after_a_response_are_never_parsed_as_the_next_response(
    tmp_path: Path, more: bytes, late: bool
) -> None:
    """Whether they arrive with the response or shortly after it, the connection must not be reused."""

    def respond(request: ReceivedMessage) -> bytes:
        response = response_bytes(request.headers["x-request-id"].encode())
        if not late:
            return response + more
        request.writer.write(response)
        asyncio.get_running_loop().call_later(MIN_IDLE_BEFORE_REUSE_S / 4, request.writer.write, more)
        return None

    async with RunningProgram(tmp_path, respond) as program:
        reader, writer = await program.connect()
        for i in range(10):
            writer.write(request_bytes("pay", x_request_id=b"id-%d" % i))
            assert (await read_message(reader, writer)).body == b"id-%d" % i
        assert len({id(request.writer) for request in program.endpoints[0].received}) == 10


@async_test()
async def test_interim_responses_are_skipped(tmp_path: Path) -> None:
    early = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
    async with RunningProgram(tmp_path, lambda request: early + serve(request)) as program:
        assert (await program.request(request_bytes())).body == b"served"
