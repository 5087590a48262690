"""One connection of a client: reads its requests, and writes one response to each of them."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import TYPE_CHECKING

import httptools

from api_gateway.network.downstream.request_parsing import (
    KNOWN_HEADERS,
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
    BadRequestError,
    ParsedRequest,
)
from api_gateway.network.downstream.response_writer import CONTINUE_RESPONSE, serialize_response
from api_gateway.network.socket_state import has_unread_data, is_closed_by_peer

if TYPE_CHECKING:
    from api_gateway.network.downstream.listener import Listener

READY_PATH = b"/ready"
API_PATH_PREFIX = b"/api/"
MAX_REQUEST_WIRE_BYTES = MAX_HEADER_BYTES + 2 * MAX_BODY_BYTES  # with the chunk lines of the body
MAX_PIPELINED_REQUESTS = 16  # queued behind the one in flight
MAX_LINGER_BYTES = 1024 * 1024
REQUEST_READ_TIMEOUT_S = 2.0  # for a whole request; for the first one from the connect on
IDLE_TIMEOUT_S = 4.0  # after a response
LINGER_TIMEOUT_S = 1.0  # from the last response to the abort, if the client does not close
FIRST_REQUEST_TRANSIT_S = 0.1  # during shutdown, a first request may be in transit for this long


class DownstreamConnection(asyncio.Protocol):
    """One connection of a client.

    Its requests are served one at a time, in their order (pipelining, RFC 9112 section 9.3.2):

    * Reading: bytes go to the parser, and complete requests into a queue. Reading pauses while a request is
      queued.
    * Awaiting a response: the first request of the queue has been taken out; `respond` ends this.
    * Discarding input: after the last response, or once the input cannot be parsed. What still arrives is
      read and discarded up to a limit of bytes and time: a close with unread data would reset the connection,
      and the client could lose the response (RFC 9112 section 9.6).

    Attributes:
        transport: The transport, once connected.
        has_responded: Whether at least one response has been written.
        receiving_since_s: Loop time at which the connection was opened, its last response was written, or the
            request that is being read began, whichever came last.
    """

    def __init__(self, listener: Listener) -> None:
        self.transport: asyncio.Transport | None = None
        self.has_responded = False
        self.receiving_since_s = 0.0
        self._listener = listener
        self._dispatcher = listener.dispatcher
        self._parser = httptools.HttpRequestParser(self)
        self._partial_request: ParsedRequest | None = None  # being read
        self._received_bytes = 0  # of the request being read, or discarded after the last response
        self._queue: deque[ParsedRequest | BadRequestError] = deque()
        self._is_awaiting_response = False
        self._request_id: str | None = None  # of the request that the dispatcher has
        self._keep_alive = True  # of the request that awaits its response
        self._is_discarding_input = False
        self._is_serving_queue = False
        self._is_reading_paused = False
        self._is_writing_paused = False

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the new connection."""
        self.transport = transport
        self._listener.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived, and serve the requests that it completes."""
        self._received_bytes += len(data)
        if self._is_discarding_input:
            if self._received_bytes > MAX_LINGER_BYTES:
                self.transport.abort()
            return
        if self._partial_request is None and not self._is_awaiting_response and self.has_responded:
            self._listener.connection_receiving(self)  # the request read timeout runs from here
        self._parse(data)
        self._serve_queue()

    def pause_writing(self) -> None:
        """Take no further request until the client has read its responses."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Continue with the queued requests."""
        self._is_writing_paused = False
        self._serve_queue()

    def eof_received(self) -> None:
        """Let the transport close: a client that ends its side is taken as disconnected."""

    def connection_lost(self, exc: Exception | None) -> None:
        """Report to the dispatcher that nobody waits for the response any more."""
        self._listener.connection_closed(self)
        self._is_discarding_input = True
        self._queue.clear()
        if self._request_id is not None:
            self._dispatcher.client_disconnected(self._request_id)
            self._request_id = None

    # httptools; what these callbacks raise becomes the context of an HttpParserError

    def on_message_begin(self) -> None:
        """Begin a request, unless too many are queued already."""
        if len(self._queue) > MAX_PIPELINED_REQUESTS:
            raise BadRequestError("too many pipelined requests")
        self._partial_request = ParsedRequest()

    def on_url(self, url: bytes) -> None:
        """Add a piece of the request target."""
        self._partial_request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        request = self._partial_request
        name = name.lower()
        request.header_bytes += len(name) + len(value)
        if request.header_bytes > MAX_HEADER_BYTES:
            raise BadRequestError("header section is too long")
        if name in KNOWN_HEADERS:
            headers = request.headers
            if name in headers:
                request.has_repeated_header = True
            headers[name] = value

    def on_headers_complete(self) -> None:
        """Check the framing before any of the body is read."""
        request = self._partial_request
        request.method = self._parser.get_method()
        request.path = request.target.partition(b"?")[0]
        request.check_framing()
        if not self._is_awaiting_response and request.expects_continue:
            self.transport.write(CONTINUE_RESPONSE)

    def on_body(self, data: bytes) -> None:
        """Add a piece of the body."""
        self._partial_request.add_body(data)

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        request = self._partial_request
        request.keep_alive = self._parser.should_keep_alive()
        request.received_at_s = time.monotonic()
        self._partial_request = None
        self._received_bytes = 0
        self._queue.append(request)

    # Requests

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # No other protocol is offered: the request is served, as the last one (RFC 9110 section 7.8).
            self._is_discarding_input = True
            self._queue[-1].keep_alive = False
        except httptools.HttpParserError as error:
            cause = error.__context__
            self._reject(cause if isinstance(cause, BadRequestError) else BadRequestError("malformed"))
        else:
            # Bounds what the parser buffers or skips itself, such as a header or chunk line without an end.
            is_reading_head = self._partial_request is not None and not self._partial_request.method
            if self._received_bytes > (MAX_HEADER_BYTES if is_reading_head else MAX_REQUEST_WIRE_BYTES):
                self._reject(BadRequestError("message is too long"))

    def _reject(self, error: BadRequestError) -> None:
        """Queue an error behind the requests that came before it, and discard all further input."""
        if not self._is_discarding_input:
            self._is_discarding_input = True
            self._partial_request = None
            self._queue.append(error)

    def _serve_queue(self) -> None:
        """Serve the queued requests one at a time; reading is paused while any is queued."""
        if self._is_serving_queue or self.transport is None:
            return
        self._is_serving_queue = True
        try:
            while self._queue and not self._is_awaiting_response and not self._is_writing_paused:
                self._serve(self._queue.popleft())
        finally:
            self._is_serving_queue = False
        if bool(self._queue) != self._is_reading_paused and not self.transport.is_closing():
            self._toggle_reading()

    def _toggle_reading(self) -> None:
        self._is_reading_paused = not self._is_reading_paused
        if self._is_reading_paused:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def _serve(self, request: ParsedRequest | BadRequestError) -> None:
        self._is_awaiting_response = True
        self._listener.connection_awaiting_response(self)
        if isinstance(request, BadRequestError):
            self._respond_to_bad_request(request)
            return
        self._keep_alive = request.keep_alive
        try:
            self._route(request)
        except BadRequestError as error:
            self._respond_to_bad_request(error)

    def _route(self, request: ParsedRequest) -> None:
        path = request.path
        if path == READY_PATH and request.method == b"GET":
            self.respond(200 if self._dispatcher.is_ready() else 503)
        elif not path.startswith(API_PATH_PREFIX):
            raise BadRequestError("path", 404)
        elif self._dispatcher.is_terminated:
            self.respond(503)
        else:
            self._submit(request)

    def _submit(self, request: ParsedRequest) -> None:
        inbound_request = self._listener.validator.validate(request)
        request_id = self._dispatcher.submit(self, inbound_request)
        if request_id is None:
            raise BadRequestError("X-Request-Id is in use", 409)
        if self._is_awaiting_response:  # the dispatcher may have responded within the call
            self._request_id = request_id

    # Responses

    def respond(
        self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        """Write the response to the request in flight.

        Args:
            status: Status code.
            body: Response body.
            content_type: Value of Content-Type; empty for none.
            retry_after_ms: When the client may send the request again; 0 for no Retry-After.
        """
        self._request_id = None
        self._is_awaiting_response = False
        self.has_responded = True
        if self.transport.is_closing():
            return
        keep_alive = self._keep_alive and not self._dispatcher.is_draining
        self.transport.write(serialize_response(status, body, content_type, retry_after_ms, keep_alive))
        # After the write: a connection that is receiving may be evicted unless its response is still unsent.
        self._listener.connection_receiving(self)
        if not keep_alive:
            self._close_after_response(status)
        self._serve_queue()

    def _respond_to_bad_request(self, error: BadRequestError) -> None:
        self._keep_alive = False  # so that a client has to reconnect for each bad request
        self.respond(error.status)

    def abort_if_disconnected(self) -> bool:
        """Abort the connection if the client has closed it.

        The socket is asked, since nothing is read while requests are queued. While reading is paused, the
        event loop does not report the end of the connection, so it is aborted here.

        Returns:
            Whether the client has closed it.
        """
        if not is_closed_by_peer(self.transport):
            return False
        self.transport.abort()
        return True

    def _close_after_response(self, status: int) -> None:
        """Close, or half-close if the client may still be sending, and discard what arrives."""
        may_be_sending = self._partial_request is not None or 400 <= status < 500
        self._is_discarding_input = True
        self._queue.clear()
        self._received_bytes = 0
        if may_be_sending:
            self.transport.write_eof()
        else:
            self.transport.close()

    # Timeouts, eviction and shutdown

    def enforce_timeouts(self, now_s: float) -> None:
        """Close the connection, or reject the request being read, if its timeout is over.

        Args:
            now_s: The loop time. Only called while no response is awaited.
        """
        waited_s = now_s - self.receiving_since_s
        if self._is_discarding_input:
            if waited_s > LINGER_TIMEOUT_S:
                self.transport.abort()
        elif self._partial_request is not None and waited_s > REQUEST_READ_TIMEOUT_S:
            self._reject(BadRequestError("request was not complete in time", 408))
            self._serve_queue()
        elif waited_s > self._idle_timeout_s() and self.is_idle():
            self.transport.close()

    def _idle_timeout_s(self) -> float:
        return IDLE_TIMEOUT_S if self.has_responded else REQUEST_READ_TIMEOUT_S

    def is_idle(self) -> bool:
        """Return whether no request is in flight, queued, being read, or unread in the kernel.

        If a connection with an unread request were closed, the request would fail at the client.
        """
        return not (
            self._is_awaiting_response
            or self._partial_request is not None
            or self._queue
            or self.transport.is_closing()
            or has_unread_data(self.transport)
        )

    def is_evictable(self) -> bool:
        """Return whether an abort loses neither unsent bytes nor an unread request.

        Only called while no response is awaited. A request that is half read does not count.
        """
        transport = self.transport
        return not (transport.is_closing() or transport.get_write_buffer_size() or has_unread_data(transport))

    def close_if_idle(self, now_s: float) -> None:
        """Close the connection if it is idle and its first request is not likely to be on its way.

        Args:
            now_s: The loop time.
        """
        waited_s = now_s - self.receiving_since_s
        if self.is_idle() and (self.has_responded or waited_s > FIRST_REQUEST_TRANSIT_S):
            self.transport.close()
