"""A small HTTP/1.1 server side for the stand-ins: requests in, answers in their order."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

import httptools

REASONS = {200: b"OK", 400: b"Bad Request", 404: b"Not Found", 503: b"Service Unavailable"}


def answer(status: int, body: bytes = b"", headers: bytes = b"") -> bytes:
    """A whole answer; `headers` are lines with their ends."""
    return b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n\r\n%b" % (
        status,
        REASONS.get(status, b"Other"),
        headers,
        len(body),
        body,
    )


class Call:
    """One request, to be answered once; answers leave in the order of the requests."""

    __slots__ = ("connection", "target", "headers", "reply")

    def __init__(self, connection: Connection, target: str, headers: dict[bytes, bytes]) -> None:
        self.connection, self.target, self.headers = connection, target, headers
        self.reply: bytes | None = None

    def answer(self, data: bytes) -> None:
        """Bytes as `answer` makes them."""
        self.reply = data
        self.connection.flush()

    def alive(self) -> bool:
        """Whether anybody is there to be answered."""
        return not self.connection.transport.is_closing()


class Traffic:
    """What came in and went out."""

    def __init__(self) -> None:
        self.messages = self.bytes_in = self.bytes_out = self.opened = self.open = 0

    def read(self) -> dict[str, float]:
        """The counts so far."""
        return {
            "messages": self.messages,
            "bytes": self.bytes_in + self.bytes_out,
            "opened": self.opened,
            "open": self.open,
        }


class Connection(asyncio.Protocol):
    """One client's connection."""

    def __init__(self, handle: Callable[[Call], None], traffic: Traffic) -> None:
        self._handle, self._traffic = handle, traffic
        self._parser = httptools.HttpRequestParser(self)
        self._calls: deque[Call] = deque()
        self._target, self._headers = b"", {}
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self._traffic.opened += 1
        self._traffic.open += 1

    def connection_lost(self, exc: Exception | None) -> None:
        self._traffic.open -= 1
        self._calls.clear()

    def data_received(self, data: bytes) -> None:
        self._traffic.bytes_in += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.write(answer(400))
            self.transport.close()

    def on_message_begin(self) -> None:
        self._target, self._headers = b"", {}

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value

    def on_message_complete(self) -> None:
        self._traffic.messages += 1
        call = Call(self, self._target.decode("latin-1"), self._headers)
        self._calls.append(call)
        self._handle(call)

    def flush(self) -> None:
        """Write what is answered and not behind what is not."""
        while self._calls and self._calls[0].reply is not None:
            data = self._calls.popleft().reply
            self._traffic.bytes_out += len(data)
            if not self.transport.is_closing():
                self.transport.write(data)


async def serve(
    handle: Callable[[Call], None], traffic: Traffic, host: str = "127.0.0.1", port: int = 0
) -> asyncio.Server:
    """A listening server that hands each request to `handle`."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: Connection(handle, traffic), host, port, backlog=4096)
