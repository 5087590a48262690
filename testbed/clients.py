"""Open-loop clients on real connections: arrivals do not wait for answers, and a late answer counts from when
its request was due.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque

import httptools

from testbed import configuration
from testbed.latency import Added


class _Line(asyncio.Protocol):
    """One kept connection: one request at a time."""

    def __init__(self, owner: Clients, address: tuple[str, int]) -> None:
        self._owner, self.address = owner, address
        self._parser = httptools.HttpResponseParser(self)
        self._body = b""
        self.due: float | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def ask(self, due: float, data: bytes) -> None:
        """Write one request that was due at `due` (time.monotonic)."""
        self.due, self._body = due, b""
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_body(self, data: bytes) -> None:
        self._body += data

    def on_message_complete(self) -> None:
        due, self.due = self.due, None
        if due is not None:
            self._owner.answered(due, self._parser.get_status_code(), self._body)
        if self._parser.should_keep_alive():
            self._owner.free(self)
        else:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self._owner.lost(self)


class Clients:
    """The load on real gateways."""

    def __init__(
        self, addresses: list[tuple[str, int]], *, fleet: int, customers: int, rate: float, seed: int
    ) -> None:
        """`rate`: requests a second of each gateway."""
        self._addresses, self._fleet, self._customers = addresses, fleet, customers
        self._rate, self._rng = rate * len(addresses), random.Random(seed)
        self._free: dict[tuple[str, int], deque[_Line]] = {a: deque() for a in addresses}
        self.added = Added()
        self.asked = self.served = self.refused = self.failed = self.lost_count = 0
        self._tasks: set[asyncio.Task] = set()

    async def load(self, seconds: float) -> None:
        """Play so long, then wait for what is out for a second."""
        due = time.monotonic()
        end = due + seconds
        while due < end:
            due += self._rng.expovariate(self._rate)
            await asyncio.sleep(max(due - time.monotonic(), 0.0))
            self.asked += 1
            address = self._rng.choice(self._addresses)
            lines = self._free[address]
            if lines:
                lines.pop().ask(due, self._request())
            else:
                task = asyncio.get_running_loop().create_task(self._dial(address, due))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        await asyncio.sleep(1.0)

    async def _dial(self, address: tuple[str, int], due: float) -> None:
        try:
            loop = asyncio.get_running_loop()
            _, line = await loop.create_connection(lambda: _Line(self, address), *address)
        except OSError:
            self.failed += 1
            return
        line.ask(due, self._request())

    def _request(self) -> bytes:
        name = configuration.class_of(self.asked)
        unsafe = name == configuration.UNSAFE
        who = self._rng.randrange(self._customers)
        return (
            b"%b /api/%016x HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: c%015x\r\nX-Class: %b\r\n"
            b"Plan: team\r\nX-Deadline: 4000m\r\n%bQuota-Info: units=%d,spread=%d,first=0\r\n\r\n"
            % (
                b"POST" if unsafe else b"GET",
                who,
                self.asked,
                name.encode(),
                b"Content-Length: 0\r\n" if unsafe else b"",
                self._rng.choice(configuration.UNITS),
                self._fleet,
            )
        )

    def answered(self, due: float, status: int, body: bytes) -> None:
        """One answer; a host tells its own time (microseconds) in the body."""
        if status == 200 and body.isdigit():
            self.served += 1
            self.added.record(time.monotonic() - due - int(body) / 1e6)
        elif status in (429, 503):
            self.refused += 1
        else:
            self.failed += 1

    def free(self, line: _Line) -> None:
        """A connection may carry the next request."""
        self._free[line.address].append(line)

    def lost(self, line: _Line) -> None:
        """A connection ended."""
        if line in self._free[line.address]:
            self._free[line.address].remove(line)
        self.lost_count += line.due is not None
