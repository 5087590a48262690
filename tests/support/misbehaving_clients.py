"""Clients that hold many large or incomplete requests in the gateway, or flood it with requests.

Each uses one connection at a time.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Awaitable, Callable

from support.http_fakes import read_message, request_bytes
from support.program import RunningProgram

BODY = random.Random(1).randbytes(64 * 1024)
MIN_SENT_FRACTION = 0.5
MAX_SENT_FRACTION = 0.99
MAX_STAY_S = 0.5
SLOW_WRITE_BYTES = 4000
SLOW_WRITE_INTERVAL_S = 0.1
HEADER_FIELDS = b"".join(b"%04x:\r\n" % number for number in range(5000))
RECONNECT_DELAY_S = 0.01
FLOOD_BATCH = 8
FILLER = "x" * 30_000

# Arguments: the program, when to end in seconds of `time.monotonic`, and the seed of the random draws.
Misbehaviour = Callable[[RunningProgram, float, int], Awaitable[None]]
Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def _repeat(
    program: RunningProgram, ends_at: float, use_connection: Callable[[Connection], Awaitable[None]]
) -> None:
    """Open one connection after the other until `ends_at`; use each for at most that long."""
    while time.monotonic() < ends_at:
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            connection = await program.connect()
            try:
                async with asyncio.timeout(ends_at - time.monotonic()):
                    await use_connection(connection)
            finally:
                connection[1].transport.abort()
        await asyncio.sleep(RECONNECT_DELAY_S)


def _large_request(draws: random.Random) -> bytes:
    return request_bytes("put", body=BODY, x_request_id=b"%016x" % draws.getrandbits(64))


def _part_of_large_request(draws: random.Random) -> bytes:
    data = _large_request(draws)
    return data[: int(len(data) * draws.uniform(MIN_SENT_FRACTION, MAX_SENT_FRACTION))]


async def leave_midway(program: RunningProgram, ends_at: float, seed: int) -> None:
    """Send a part of a large request, close and begin again."""
    draws = random.Random(seed)

    async def use_connection(connection: Connection) -> None:
        connection[1].write(_part_of_large_request(draws))
        await asyncio.sleep(draws.uniform(0, MAX_STAY_S))

    await _repeat(program, ends_at, use_connection)


async def stop_midway(program: RunningProgram, ends_at: float, seed: int) -> None:
    """Send a part of a large request, wait for the end of the connection and begin again."""
    draws = random.Random(seed)

    async def use_connection(connection: Connection) -> None:
        connection[1].write(_part_of_large_request(draws))
        await connection[0].read()

    await _repeat(program, ends_at, use_connection)


async def write_slowly(program: RunningProgram, ends_at: float, seed: int) -> None:
    """Send a large request in pieces, so slowly that it is not complete within the gateway's timeout."""
    draws = random.Random(seed)

    async def use_connection(connection: Connection) -> None:
        reader, writer = connection
        data = _large_request(draws)
        for start in range(0, len(data), SLOW_WRITE_BYTES):
            if reader.at_eof() or writer.transport.is_closing():
                return
            writer.write(data[start : start + SLOW_WRITE_BYTES])
            await asyncio.sleep(SLOW_WRITE_INTERVAL_S)

    await _repeat(program, ends_at, use_connection)


async def send_many_header_fields(program: RunningProgram, ends_at: float, seed: int) -> None:
    """Send a head of many short fields without its end, and begin again once it is rejected."""

    async def use_connection(connection: Connection) -> None:
        connection[1].write(b"POST /api/00000000b4d65521 HTTP/1.1\r\n" + HEADER_FIELDS)
        await connection[0].read()

    await _repeat(program, ends_at, use_connection)


async def send_whole_bodies(program: RunningProgram, ends_at: float, seed: int) -> None:
    """Send a large request, and begin again once it is answered."""
    draws = random.Random(seed)

    async def use_connection(connection: Connection) -> None:
        connection[1].write(_large_request(draws))
        await connection[0].read(1)

    await _repeat(program, ends_at, use_connection)


def request_of_new_tenant(draws: random.Random) -> bytes:
    """Return a valid request of a tenant that has sent none before."""
    tenant = f"{draws.getrandbits(32):016x}"
    return request_bytes(tenant=tenant, plan="quick", x_request_id=b"%016x" % draws.getrandbits(64))


def request_with_new_quota_info(draws: random.Random) -> bytes:
    """Return a request whose Quota-Info ends in a long field that differs each time."""
    quota_info = f"Quota-Info: units=2,spread=1,first=0,{draws.getrandbits(64)}={FILLER}\r\n"
    return request_bytes(
        x_request_id=b"%016x" % draws.getrandbits(64),
        without_header="Quota-Info",
        extra_headers=quota_info,
    )


def request_of_unknown_class(draws: random.Random) -> bytes:
    """Return a request that is rejected, with a class that differs each time."""
    return request_bytes(f"read{draws.getrandbits(64)}", method="GET")


async def flood(
    program: RunningProgram, ends_at: float, new_request: Callable[[random.Random], bytes], seed: int
) -> None:
    """Send requests on one connection, several at a time, and more as soon as these are answered."""
    draws = random.Random(seed)

    async def use_connection(connection: Connection) -> None:
        reader, writer = connection
        while not reader.at_eof():
            writer.write(b"".join(new_request(draws) for _ in range(FLOOD_BATCH)))
            for _ in range(FLOOD_BATCH):
                await read_message(reader, writer)

    await _repeat(program, ends_at, use_connection)
