"""Memory while many peers send messages that are large or never become complete."""

from __future__ import annotations

import asyncio
import random
import time
import tracemalloc
from collections.abc import Callable, Coroutine
from pathlib import Path

import pytest
from support.http_fakes import ReceivedMessage, read_message, request_bytes, serve
from support.misbehaving_clients import (
    Misbehaviour,
    flood,
    leave_midway,
    request_of_new_tenant,
    request_of_unknown_class,
    request_with_new_quota_info,
    send_many_header_fields,
    send_whole_bodies,
    stop_midway,
    write_slowly,
)
from support.program import RunningProgram, async_test

from api_gateway.limits import ProcessLimits
from api_gateway.network.response_parser import ResponseProtocol

# The least and the most memory of a scored day, and the most descriptors; clients hold a third at most.
MIN_MEMORY_LIMIT_MB = 32
MEMORY_LIMIT_MB = 192
BYTES_PER_MB = 1024 * 1024
MAX_DESCRIPTORS = 1024
CLIENT_COUNT = MAX_DESCRIPTORS // 3
SMALL_CHUNK = b"2\r\nab\r\n"
SMALL_CHUNKS = 22_000 * SMALL_CHUNK
CHUNKED = "Transfer-Encoding: chunked\r\n"
MEMORY_CHECK_INTERVAL_S = 0.02
MISBEHAVIOUR_DURATION_S = 4.0
SMALL_REQUEST_INTERVAL_S = 0.1
FLOOD_DURATION_S = 6.0
FLOODING_CLIENTS = 4


def memory_mb(program: RunningProgram) -> float:
    """Return the private resident memory of the program in MB."""
    status = Path(f"/proc/{program.process.pid}/status").read_text()
    fields = dict(line.split(":", 1) for line in status.splitlines())
    return int(fields["RssAnon"].split()[0]) / 1024


async def peak_memory_mb(program: RunningProgram, load: Coroutine[None, None, None]) -> float:
    """Return the highest memory of the program in MB until `load` has ended."""
    task = asyncio.create_task(load)
    peak_mb = memory_mb(program)
    while not task.done():
        await asyncio.sleep(MEMORY_CHECK_INTERVAL_S)
        peak_mb = max(peak_mb, memory_mb(program))
    await task
    return peak_mb


async def status_of_incomplete_request(program: RunningProgram, data: bytes) -> str:
    """Send a request that never becomes complete; return the status of its response, "" if there is none."""
    reader, writer = await program.connect()
    writer.write(data)
    try:
        return (await read_message(reader, writer)).start_line.split()[1]
    except (asyncio.IncompleteReadError, ConnectionError):
        return ""
    finally:
        writer.close()


@async_test(limit_s=60)
async def test_clients_that_stop_in_a_body_of_small_chunks_stay_within_the_memory_limit(
    tmp_path: Path,
) -> None:
    # Guards against a crash: an object for each chunk took 28 times the body, and the process was killed.
    async with RunningProgram(tmp_path, serve, memory_mb=MEMORY_LIMIT_MB, sockets=MAX_DESCRIPTORS) as program:
        head = request_bytes("put", without_header="Content-Length", extra_headers=CHUNKED)
        statuses: list[str] = []

        async def stop_midway() -> None:
            statuses.append(await status_of_incomplete_request(program, head + SMALL_CHUNKS))

        async def load() -> None:
            await asyncio.gather(*(stop_midway() for _ in range(CLIENT_COUNT)))

        assert await peak_memory_mb(program, load()) < MEMORY_LIMIT_MB
        assert statuses == ["408"] * CLIENT_COUNT
        assert not program.endpoints[0].received
        assert await program.request_status(request_bytes()) == 200


def serve_reads(request: ReceivedMessage) -> bytes | None:
    """Serve idempotent requests only, and leave all others without a response."""
    return serve(request) if request.start_line.startswith("GET ") else None


async def request_until(program: RunningProgram, ends_at: float, statuses: list[int]) -> None:
    """Send small requests, one at a time, until a time of `time.monotonic`, and record their statuses."""
    number = 0
    while time.monotonic() < ends_at:
        number += 1
        # A plan that fills its quota fast enough for the first request.
        request = request_bytes(plan="quick", x_request_id=b"small-%d" % number)
        statuses.append(await program.request_status(request))
        await asyncio.sleep(SMALL_REQUEST_INTERVAL_S)


@pytest.mark.parametrize("limit_mb", [MIN_MEMORY_LIMIT_MB, MEMORY_LIMIT_MB])
@pytest.mark.parametrize(
    "misbehave", [leave_midway, stop_midway, write_slowly, send_many_header_fields, send_whole_bodies]
)
@async_test(limit_s=60)
async def test_hundreds_of_misbehaving_clients_stay_within_the_memory_limit(
    tmp_path: Path, misbehave: Misbehaviour, limit_mb: int
) -> None:
    # Guards against a crash: messages had a limit each, but their sum over all connections had none.
    async with RunningProgram(tmp_path, serve_reads, memory_mb=limit_mb, sockets=MAX_DESCRIPTORS) as program:
        ends_at = time.monotonic() + MISBEHAVIOUR_DURATION_S
        statuses: list[int] = []

        async def load() -> None:
            clients = [misbehave(program, ends_at, seed) for seed in range(CLIENT_COUNT)]
            await asyncio.gather(*clients, request_until(program, ends_at, statuses))

        assert await peak_memory_mb(program, load()) < limit_mb
        # Endpoints that do not respond may lead to load shedding, which rejects requests.
        assert set(statuses) <= {200, 503} and 200 in statuses
        assert program.process.returncode is None


@pytest.mark.parametrize(
    "new_request", [request_of_new_tenant, request_with_new_quota_info, request_of_unknown_class]
)
@async_test(limit_s=60)
async def test_client_that_floods_under_new_names_stays_within_the_memory_limit(
    tmp_path: Path, new_request: Callable[[random.Random], bytes]
) -> None:
    # Guards against a crash: a table and a cache that grow with the names in requests filled the memory.
    async with RunningProgram(
        tmp_path, serve, memory_mb=MIN_MEMORY_LIMIT_MB, sockets=MAX_DESCRIPTORS
    ) as program:
        ends_at = time.monotonic() + FLOOD_DURATION_S
        statuses: list[int] = []

        async def load() -> None:
            await asyncio.gather(
                *(flood(program, ends_at, new_request, seed) for seed in range(FLOODING_CLIENTS)),
                request_until(program, ends_at, statuses),
            )

        assert await peak_memory_mb(program, load()) < MIN_MEMORY_LIMIT_MB
        assert set(statuses) == {200}


class SilentResponseProtocol(ResponseProtocol):
    """A connection to an endpoint whose response never becomes complete."""

    def __init__(self) -> None:
        super().__init__()
        self.connection_made(FakeTransport())
        self.write(request_bytes())


class FakeTransport(asyncio.Transport):
    """An open transport that writes nothing."""

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return False

    def write(self, data: bytes) -> None:
        pass


# Incomplete responses, each close to the limit of the gateway on its size.
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\n"
RESPONSE_IN_SMALL_CHUNKS = [RESPONSE_HEAD + CHUNKED.encode() + b"\r\n" + 18_000 * SMALL_CHUNK]
RESPONSE_IN_SMALL_READS = [RESPONSE_HEAD + b"Content-Length: 65536\r\n\r\n", *(32_000 * [b"ab"])]
RESPONSE_OF_SMALL_HEADERS = [RESPONSE_HEAD + b"".join(b"%04x:\r\n" % i for i in range(18_000))]


def retained_bytes(protocol: SilentResponseProtocol, reads: list[bytes]) -> int:
    """Return how much memory a connection allocates and keeps while it receives a response."""
    tracemalloc.start()
    try:
        for data in reads:
            protocol.data_received(data)
        return tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()


def assert_all_endpoints_may_send(reads: list[bytes]) -> None:
    """Check that the memory limit allows a response on each connection to an endpoint."""
    protocol = SilentResponseProtocol()
    total_bytes = (
        retained_bytes(protocol, reads) * ProcessLimits(descriptors=MAX_DESCRIPTORS).upstream_connections
    )
    assert protocol.received_bytes() == sum(map(len, reads))
    assert total_bytes < MEMORY_LIMIT_MB * BYTES_PER_MB


@pytest.mark.parametrize("reads", [RESPONSE_IN_SMALL_CHUNKS, RESPONSE_IN_SMALL_READS])
def test_endless_responses_in_small_fragments_stay_within_the_memory_limit(reads: list[bytes]) -> None:
    # Guards against a crash: an object for each fragment took 28 times the body of responses without an end.
    assert_all_endpoints_may_send(reads)


def test_endless_responses_of_small_headers_stay_within_the_memory_limit() -> None:
    # Guards against a crash: entries for unused headers took 11 times the data of responses without an end.
    assert_all_endpoints_may_send(RESPONSE_OF_SMALL_HEADERS)
