"""One client connection: reads requests and writes one response to each of them, in order."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from api_gateway.network.downstream.request_parser import (
    BadRequestError,
    ParsedRequest,
    RequestError,
    RequestRejectedError,
)
from api_gateway.network.downstream.request_reader import RequestReader
from api_gateway.network.downstream.response_writer import CONTINUE_RESPONSE, serialize_response
from api_gateway.network.message_memory import UNCOUNTED_BYTES
from api_gateway.network.socket_state import SocketPoll, peer_close_poll, unread_data_poll

if TYPE_CHECKING:
    from api_gateway.network.downstream.listener import Listener

READY_PATH = b"/ready"
API_PATH_PREFIX = b"/api/"
# If more input than this is discarded after the last response, the connection is aborted.
MAX_DISCARDED_BYTES = 1024 * 1024
# Time within which a request must be complete. It starts with the first byte or with the previous response,
# whichever is later; for the first request of a connection, when the connection is opened.
REQUEST_READ_TIMEOUT_S = 2.0
# Time from a response to the first byte of the next request.
IDLE_TIMEOUT_S = 4.0
# Time from the last response until the connection is aborted, if the client does not close it.
DISCARD_TIMEOUT_S = 1.0
# Time from a response until the connection is aborted, if the client has not read the response.
UNREAD_RESPONSE_TIMEOUT_S = 10.0
# During shutdown, a new connection stays open for this long, since its first request may be in transit.
FIRST_REQUEST_TRANSIT_S = 0.1


class DownstreamConnection(asyncio.BufferedProtocol):
    """One client connection.

    Requests are served one at a time, in the order of their arrival (pipelining, RFC 9112 section 9.3.2):

    * Reading: input goes to the reader, which queues complete requests and reads ahead while requests are
      queued. Reading is paused after each full read buffer until the next iteration of the event loop.
    * Awaiting a response: one request has been removed from the queue and is in flight until `respond` is
      called.
    * Discarding input: starts with the last response, or as soon as the input cannot be parsed. Further input
      is read and discarded, up to a limit of bytes and time. Closing the socket with unread data would reset
      the connection, and the client could lose the response (RFC 9112 section 9.6).

    Attributes:
        transport: The transport; None until the connection is made.
        has_responded: Whether at least one response has been written.
        receiving_since: Time of the event loop in seconds at which the connection was opened, its last
            response was written, or the request being read began, whichever came last. Timeouts run from it.
    """

    def __init__(self, listener: Listener) -> None:
        self.transport: asyncio.Transport | None = None
        self.has_responded = False
        self.receiving_since = 0.0
        self._listener = listener
        self._dispatcher = listener.dispatcher
        self._reader = RequestReader(self._send_continue)
        self._queue = self._reader.queue
        self._memory = listener.dispatcher.message_memory
        self._peer_close_poll: SocketPoll | None = None  # created for the first attempt
        self._discarded_bytes = 0
        self._is_awaiting_response = False
        self._request_id: str | None = None  # the dispatcher's id of the request in flight
        self._request_bytes = 0  # approximate memory of the request in flight
        self._input_bytes = 0  # input since the last response
        self._is_memory_counted = False  # whether the messages are large enough to be counted
        self._keep_alive = True  # whether the client allows further requests after the one in flight
        self._is_discarding_input = False
        self._is_serving_queue = False
        self._is_yielding = False
        self._is_reading_paused = False
        self._is_writing_paused = False

    # Callbacks of asyncio.BufferedProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the listener."""
        self.transport = transport
        transport.set_write_buffer_limits(high=UNCOUNTED_BYTES)
        self._listener.connection_opened(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return self._listener.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the data in the buffer, and serve the requests that it completes."""
        if self._is_discarding_input:
            self._discarded_bytes += nbytes
            if self._discarded_bytes > MAX_DISCARDED_BYTES:
                self.transport.abort()
            return
        if self.has_responded and not (
            self._is_awaiting_response or self._reader.has_partial_request or self._is_writing_paused
        ):
            self._listener.connection_receiving(self)  # starts the timeout for reading a request
        read_buffer = self._listener.read_buffer
        if nbytes == len(read_buffer):
            self._yield_to_others()
        self._input_bytes += nbytes
        self._reader.read(read_buffer[:nbytes])
        if self._is_memory_counted or self._input_bytes > UNCOUNTED_BYTES or len(self._queue) > 1:
            self._limit_input()
        self._is_discarding_input = self._reader.is_finished
        self._serve_queue()

    def pause_writing(self) -> None:
        """Serve no further request until the client has read most of the pending responses."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Continue to serve the queued requests."""
        self._is_writing_paused = False
        self._update_memory()
        self._serve_queue()

    def eof_received(self) -> None:
        """Let the transport close the connection: a half-close by the client counts as a disconnect."""

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection, free its input, and report that a request in flight has lost its client."""
        self._listener.connection_closed(self)
        self._discard_input()
        self._memory.remove(self)
        if self._request_id is not None:
            self._dispatcher.client_disconnected(self._request_id)
            self._request_id = None

    # Input

    def _limit_input(self) -> None:
        """Reject the newest request if the memory does not suffice for it."""
        if not self._update_memory():
            self._reader.fail_newest_request(self._out_of_memory_error())
            self._update_memory()

    def _fail_partial_input(self, error: RequestError) -> None:
        """Answer the partial request, or the input behind the queue, with an error; discard what follows."""
        self._reader.fail(error)
        self._is_discarding_input = True
        self._update_memory()
        self._serve_queue()

    def _discard_input(self) -> None:
        """Discard the requests that are queued or being read, and further input."""
        self._is_discarding_input = True
        self._discarded_bytes = 0
        self._reader.close()

    # Requests

    def _send_continue(self) -> None:
        if not self._is_awaiting_response:
            self.transport.write(CONTINUE_RESPONSE)

    def _yield_to_others(self) -> None:
        """Read and parse no more in this iteration of the event loop, so that others are served."""
        if not self._is_yielding:
            self._is_yielding = True
            self._listener.loop.call_soon(self._stop_yielding)

    def _stop_yielding(self) -> None:
        self._is_yielding = False
        if self._reader.read_ahead and not self.transport.is_closing():
            self._reader.parse_read_ahead(len(self._listener.read_buffer))
            self._limit_input()
            self._is_discarding_input = self._reader.is_finished
            self._serve_queue()
        self._update_reading()

    def _serve_queue(self) -> None:
        """Serve the queued requests one at a time."""
        if self._is_serving_queue or self.transport is None:
            return
        self._is_serving_queue = True
        try:
            while self._queue and not self._is_awaiting_response and not self._is_writing_paused:
                self._serve(self._queue.popleft())
        finally:
            self._is_serving_queue = False
        if self._reader.read_ahead and not self._queue:
            self._yield_to_others()  # and then parse
        self._update_reading()

    def _update_reading(self) -> None:
        """Pause reading while the connection yields to others."""
        must_pause = self._is_yielding
        if must_pause == self._is_reading_paused or self.transport.is_closing():
            return
        self._is_reading_paused = must_pause
        if must_pause:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def _serve(self, request: ParsedRequest | RequestError) -> None:
        self._is_awaiting_response = True
        self._listener.connection_awaiting_response(self)
        if isinstance(request, RequestError):
            self._respond_to_error(request)
            return
        self._keep_alive = request.keep_alive
        self._request_bytes = request.size_bytes if self._is_memory_counted else 0
        try:
            self._route(request)
        except BadRequestError as error:
            self._respond_to_error(error)

    def _route(self, request: ParsedRequest) -> None:
        path = request.path
        if path == READY_PATH and request.method == b"GET":
            self.respond(200 if self._dispatcher.is_ready() else 503)
        elif not path.startswith(API_PATH_PREFIX):
            raise BadRequestError(f"path: expected /ready (with GET) or /api/..., got {path!r}", 404)
        elif self._dispatcher.is_terminated:
            self.respond(503)
        else:
            self._submit(request)

    def _submit(self, request: ParsedRequest) -> None:
        inbound_request = self._listener.validator.validate(request)
        request_id = self._dispatcher.submit(self, inbound_request)
        if request_id is None:
            raise BadRequestError("X-Request-Id belongs to an open request", 409)
        if self._is_awaiting_response:  # False if the dispatcher has responded within `submit`
            self._request_id = request_id

    # Responses

    def respond(
        self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        """Write the response to the request in flight.

        Args:
            status: Status code.
            body: Response body.
            content_type: Value of the Content-Type header; empty to omit the header.
            retry_after_ms: Time for Retry-After, in milliseconds; 0 to omit the header.
        """
        self._request_id = None
        self._request_bytes = self._input_bytes = 0
        self._is_awaiting_response = False
        self.has_responded = True
        if self.transport.is_closing():
            return
        is_last = self._dispatcher.is_draining and not (self._queue or self._reader.read_ahead)
        keep_alive = self._keep_alive and not is_last
        self.transport.write(serialize_response(status, body, content_type, retry_after_ms, keep_alive))
        # Must follow the write: a receiving connection may be evicted at once, unless it has unsent bytes.
        self._listener.connection_receiving(self)
        if not keep_alive:
            self._close_after_response(status)
        if (self._is_memory_counted or self._is_writing_paused) and not self._update_memory():
            self.transport.abort()
        self._serve_queue()

    def _respond_to_error(self, error: RequestError) -> None:
        self._keep_alive = False  # makes repeated bad requests cost the client a new connection each
        self.respond(error.status, retry_after_ms=error.retry_after_ms)

    def abort_if_disconnected(self) -> bool:
        """Abort the connection if the client has closed it.

        Polls the socket: the event loop reports the end of a connection in a later iteration, and not while
        reading is paused.

        Returns:
            Whether the client has closed the connection.
        """
        transport = self.transport
        if not transport.is_closing():
            if self._peer_close_poll is None:
                self._peer_close_poll = peer_close_poll(transport)
            if not self._peer_close_poll.is_pending():
                return False
        transport.abort()
        return True

    def _close_after_response(self, status: int) -> None:
        """Close the connection, or half-close it if the client may be sending, and discard further input.

        The client may be sending if a request is partly read or was not read to its end, or if the request
        was invalid (4xx), since its body or further requests may follow.

        Args:
            status: Status code of the response.
        """
        may_be_sending = self._reader.has_input or self._reader.is_finished or 400 <= status < 500
        self._discard_input()
        if may_be_sending:
            self.transport.write_eof()
        else:
            self.transport.close()

    # Memory

    def _update_memory(self) -> bool:
        """Record the memory of this connection's messages; return whether it is within the limit."""
        held_bytes = self._reader.held_bytes + self._request_bytes
        if self._is_writing_paused:
            held_bytes += self.transport.get_write_buffer_size()
        self._is_memory_counted = held_bytes > UNCOUNTED_BYTES
        return self._memory.update(self, held_bytes)

    def _out_of_memory_error(self) -> RequestRejectedError:
        # By then, requests that are incomplete now are either complete or have timed out.
        retry_after_ms = min(1000 * REQUEST_READ_TIMEOUT_S, self._dispatcher.settings.max_retry_after_ms)
        return RequestRejectedError("the messages of all connections exceed their limit", retry_after_ms)

    def reject_partial_request(self) -> None:
        """Reject the request that is being read and free its memory; do nothing if there is none."""
        if self._reader.has_partial_request or self._reader.read_ahead:
            self._fail_partial_input(self._out_of_memory_error())

    def abort_if_response_unread(self) -> None:
        """Abort the connection and free its memory if the client has left a response unread."""
        if self._is_writing_paused:
            self._memory.remove(self)
            self.transport.abort()

    # Timeouts, eviction and shutdown

    def enforce_timeouts(self, now: float) -> None:
        """Close the connection, or respond with 408 to the request being read, if its timeout has expired.

        Must only be called while no response is awaited.

        Args:
            now: Time of the event loop in seconds.
        """
        waited_s = now - self.receiving_since
        if waited_s > UNREAD_RESPONSE_TIMEOUT_S and self._is_writing_paused:
            self.transport.abort()
        elif self._is_discarding_input:
            if waited_s > DISCARD_TIMEOUT_S:
                self.transport.abort()
        elif self._reader.has_partial_request and waited_s > REQUEST_READ_TIMEOUT_S:
            self._fail_partial_input(BadRequestError("request was not complete within its timeout", 408))
        elif waited_s > self._idle_timeout_s() and self.is_idle():
            self.transport.close()

    def _idle_timeout_s(self) -> float:
        return IDLE_TIMEOUT_S if self.has_responded else REQUEST_READ_TIMEOUT_S

    def is_idle(self) -> bool:
        """Return whether no request is in flight, queued, being read, discarded, or unread in the socket.

        Closing a connection with an unread request would make the request fail at the client.
        """
        return not (
            self._is_awaiting_response
            or self._is_discarding_input
            or self._reader.has_input
            or self.transport.is_closing()
            or unread_data_poll(self.transport).is_pending()
        )

    def is_evictable(self) -> bool:
        """Return whether the connection can be aborted without losing unsent bytes or unserved requests.

        A partially read request does not prevent eviction. Must only be called while no response is awaited.
        """
        transport = self.transport
        return not (
            transport.is_closing()
            or transport.get_write_buffer_size()
            or self._reader.read_ahead
            or unread_data_poll(transport).is_pending()
        )

    def close_if_idle(self, now: float) -> None:
        """Close the connection if it is idle, unless its first request may still be in transit.

        Args:
            now: Time of the event loop in seconds.
        """
        waited_s = now - self.receiving_since
        if self.is_idle() and (self.has_responded or waited_s > FIRST_REQUEST_TRANSIT_S):
            self.transport.close()
