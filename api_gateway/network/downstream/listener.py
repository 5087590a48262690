"""Accepts client connections, limits their number, and enforces their timeouts."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket

from api_gateway.network.dispatcher import Dispatcher
from api_gateway.network.downstream.connection import DownstreamConnection
from api_gateway.network.downstream.request_validation import RequestValidator

log = logging.getLogger(__name__)

BACKLOG = 256
TIMEOUT_CHECK_INTERVAL_S = 0.25
ACCEPT_RETRY_DELAY_S = 0.05
# Connections accepted in one iteration of the event loop, so that a burst does not delay other sockets.
MAX_ACCEPTS_PER_ITERATION = 16
# Size of one read. A connection parses at most this much in one iteration of the event loop: input in small
# fragments takes long to parse, and many such clients together would delay all others.
READ_BUFFER_BYTES = 8 * 1024


class Listener:
    """The listening socket and all client connections.

    Attributes:
        dispatcher: Serves the requests.
        loop: The event loop.
        validator: Validates the requests.
        connections: The open connections.
        read_buffer: The read buffer of all connections; each parses its data before the next one reads.
    """

    def __init__(self, dispatcher: Dispatcher, loop: asyncio.AbstractEventLoop, max_connections: int) -> None:
        """Create a listener that does not listen yet.

        Args:
            dispatcher: Serves the requests.
            loop: The event loop.
            max_connections: Limit on the client connections.
        """
        self.dispatcher = dispatcher
        self.loop = loop
        self.validator = RequestValidator(dispatcher.settings)
        self.connections: set[DownstreamConnection] = set()
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self._max_connections = max_connections
        # Ordered sets of the connections that await no response, in ascending order of `receiving_since`.
        # Not all of them are idle: a connection may have read a part of a request.
        self._receiving_after_response: dict[DownstreamConnection, None] = {}
        self._receiving_first_request: dict[DownstreamConnection, None] = {}
        self._socket: socket.socket | None = None
        self._is_accepting = False
        self._accept_tasks: set[asyncio.Task] = set()

    def start(self, address: tuple[str, int]) -> tuple[str, int]:
        """Listen, and start to accept connections.

        Args:
            address: IP address and port; port 0 selects a free port.

        Returns:
            The IP address and the port that the socket is bound to.

        Raises:
            OSError: If the gateway cannot listen on the address.
        """
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.setblocking(False)
        self._socket.bind(address)
        self._socket.listen(BACKLOG)
        self._resume_accepting()
        self.loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self._enforce_timeouts)
        return self._socket.getsockname()[:2]

    def stop_accepting(self) -> bool:
        """Accept the connections in the backlog, then close the listening socket.

        Closing the socket resets the connections in its backlog, so it stays open until all are accepted.

        Returns:
            Whether the socket is closed. If not, because the connection limit is reached, accepting failed or
            the backlog is not empty yet, the call must be repeated.
        """
        if self._socket is not None and self._accept(BACKLOG + 1):
            self._pause_accepting()
            self._socket.close()
            self._socket = None
        return self._socket is None

    def close_idle(self) -> bool:
        """Close the idle connections.

        Returns:
            Whether all connections are closed.
        """
        now = self.loop.time()
        for connection in list(self.connections):
            connection.close_if_idle(now)
        return not self.connections and not self._accept_tasks

    # Called by the connections

    def connection_opened(self, connection: DownstreamConnection) -> None:
        """Add a new connection, which waits for its first request."""
        self.connections.add(connection)
        self.connection_receiving(connection)

    def connection_receiving(self, connection: DownstreamConnection) -> None:
        """Record that a connection awaits no response, and restart its timeouts."""
        connection.receiving_since = self.loop.time()
        if connection.has_responded:
            receiving = self._receiving_after_response
        else:
            receiving = self._receiving_first_request
        receiving.pop(connection, None)  # moves the connection to the end of the order
        receiving[connection] = None
        self._resume_accepting()

    def connection_awaiting_response(self, connection: DownstreamConnection) -> None:
        """Record that a connection awaits a response; it is neither evicted nor timed out meanwhile."""
        self._receiving_after_response.pop(connection, None)
        self._receiving_first_request.pop(connection, None)

    def connection_closed(self, connection: DownstreamConnection) -> None:
        """Remove a connection, which makes room for a new one."""
        self.connections.discard(connection)
        self.connection_awaiting_response(connection)
        self._resume_accepting()

    # Connection limit

    def _ensure_connection_slot(self) -> bool:
        """Return whether one more connection may be accepted; evict a connection if that is necessary."""
        if len(self.connections) + len(self._accept_tasks) < self._max_connections:
            return True
        connection = self._find_evictable()
        if connection is None:
            return False
        self.connection_closed(connection)
        connection.transport.abort()
        return True

    def _find_evictable(self) -> DownstreamConnection | None:
        """Return the connection whose abort affects its client least; None if none can be evicted.

        Connections with a previous response come first: HTTP clients retry a request on a new connection if a
        reused connection is closed, but report an error if a new connection is closed before any response.
        """
        for receiving in (self._receiving_after_response, self._receiving_first_request):
            for connection in receiving:
                if connection.is_evictable():
                    return connection
        return None

    # Accepting

    def _resume_accepting(self) -> None:
        if self._socket is not None and not self._is_accepting and self._ensure_connection_slot():
            self._is_accepting = True
            self.loop.add_reader(self._socket, self._accept, MAX_ACCEPTS_PER_ITERATION)

    def _pause_accepting(self) -> None:
        if self._is_accepting:
            self._is_accepting = False
            self.loop.remove_reader(self._socket)

    def _accept(self, max_accepts: int) -> bool:
        """Accept up to `max_accepts` connections; return whether the backlog was emptied."""
        for _ in range(max_accepts):
            if not self._ensure_connection_slot():
                self._pause_accepting()
                return False
            try:
                client_socket, _ = self._socket.accept()
            except BlockingIOError:
                return True
            except (InterruptedError, ConnectionAbortedError):
                continue
            except OSError as error:
                log.warning("accept_failed error=%s", errno.errorcode.get(error.errno, error))
                self._pause_accepting()
                self.loop.call_later(ACCEPT_RETRY_DELAY_S, self._resume_accepting)
                return False
            self._start_connection(client_socket)
        return False

    def _start_connection(self, client_socket: socket.socket) -> None:
        client_socket.setblocking(False)
        task = self.loop.create_task(
            self.loop.connect_accepted_socket(lambda: DownstreamConnection(self), client_socket)
        )
        self._accept_tasks.add(task)
        task.add_done_callback(self._connection_started)

    def _connection_started(self, task: asyncio.Task) -> None:
        self._accept_tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.warning("connection_setup_failed error=%r", task.exception())
        # While its task was pending, the connection counted twice against the limit, which may have paused
        # the listener too early.
        self._resume_accepting()

    # Timeouts

    def _enforce_timeouts(self) -> None:
        now = self.loop.time()
        for connection in (*self._receiving_after_response, *self._receiving_first_request):
            connection.enforce_timeouts(now)
        self.loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self._enforce_timeouts)
