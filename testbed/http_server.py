"""HTTP/1.1 server of the emulated systems, with pipelining (RFC 9112, section 9.3.2)."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

import httptools

REASON_PHRASES = {200: b"OK", 400: b"Bad Request", 404: b"Not Found", 503: b"Service Unavailable"}
LISTEN_BACKLOG = 4096


def encode_response(status: int, body: bytes = b"", headers: bytes = b"") -> bytes:
    r"""Encode a full response.

    Args:
        status: Status code.
        body: The response body.
        headers: Header lines besides Content-Length, each with its CRLF.

    Returns:
        The bytes of the response.
    """
    return b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n\r\n%b" % (
        status,
        REASON_PHRASES.get(status, b"Other"),
        headers,
        len(body),
        body,
    )


class Request:
    """A request that waits for its response.

    The responses on a connection are sent in the order of its requests.

    Attributes:
        target: The request target.
        response: The encoded response; None until `respond` is called.
    """

    __slots__ = ("_connection", "response", "target")

    def __init__(self, connection: ServerConnection, target: str) -> None:
        self._connection = connection
        self.target = target
        self.response: bytes | None = None

    def respond(self, response: bytes) -> None:
        """Send the response, or keep it until all earlier requests on the connection have theirs.

        Args:
            response: The result of `encode_response`.
        """
        self.response = response
        self._connection.send_ready_responses()

    def is_connected(self) -> bool:
        """Return whether the client can still receive a response."""
        return not self._connection.transport.is_closing()


class TrafficStatistics:
    """Counts of requests, bytes and connections of one server."""

    def __init__(self) -> None:
        self.requests = 0
        self.bytes_received = 0
        self.bytes_sent = 0
        self.connections_opened = 0
        self.connections_open = 0


class ServerConnection(asyncio.Protocol):
    """A connection that the server has accepted."""

    def __init__(self, handle: Callable[[Request], None], traffic: TrafficStatistics) -> None:
        self._handle, self._traffic = handle, traffic
        self._parser = httptools.HttpRequestParser(self)
        self._requests: deque[Request] = deque()
        self._target = b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and count the connection."""
        self.transport = transport
        self._traffic.connections_opened += 1
        self._traffic.connections_open += 1

    def connection_lost(self, exc: Exception | None) -> None:
        """Discard the requests that have no response yet."""
        self._traffic.connections_open -= 1
        self._requests.clear()

    def data_received(self, data: bytes) -> None:
        """Parse requests; after a malformed one, send status 400 and close the connection."""
        self._traffic.bytes_received += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.write(encode_response(400))
            self.transport.close()

    def on_message_begin(self) -> None:
        """Start a new request target (parser callback)."""
        self._target = b""

    def on_url(self, url: bytes) -> None:
        """Collect a part of the request target (parser callback)."""
        self._target += url

    def on_message_complete(self) -> None:
        """Pass the complete request to the server (parser callback)."""
        self._traffic.requests += 1
        request = Request(self, self._target.decode("latin-1"))
        self._requests.append(request)
        self._handle(request)

    def send_ready_responses(self) -> None:
        """Send the responses that are ready, up to the first request without one."""
        while self._requests and self._requests[0].response is not None:
            data = self._requests.popleft().response
            self._traffic.bytes_sent += len(data)
            if not self.transport.is_closing():
                self.transport.write(data)


async def serve(
    handle: Callable[[Request], None], traffic: TrafficStatistics, host: str = "127.0.0.1", port: int = 0
) -> asyncio.Server:
    """Listen for requests.

    Args:
        handle: Called with each request.
        traffic: The statistics that the server updates.
        host: Address to listen on.
        port: Port to listen on; 0 for any free port.

    Returns:
        The listening server.
    """
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: ServerConnection(handle, traffic), host, port, backlog=LISTEN_BACKLOG
    )
