"""One connection to an upstream endpoint."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from api_gateway.network.response_parser import Response, ResponseProtocol
from api_gateway.network.socket_state import SocketPoll, unread_data_poll

if TYPE_CHECKING:
    from api_gateway.network.message_memory import MessageMemory
    from api_gateway.network.upstream.attempt import Attempt
    from api_gateway.network.upstream.endpoint import UpstreamEndpoint
    from api_gateway.network.upstream.pool import ConnectionPool


class UpstreamConnection(ResponseProtocol):
    """A connection that carries one attempt at a time and reports to its pool.

    Attributes:
        endpoint: The endpoint that it is connected to.
        attempt: The attempt whose response is awaited; None while idle.
        is_reused: Whether an earlier attempt was made on it than `attempt`.
        idle_since: When its last response was complete, in s of event-loop time; 0 before the first response.
    """

    def __init__(
        self, pool: ConnectionPool, endpoint: UpstreamEndpoint, message_memory: MessageMemory
    ) -> None:
        super().__init__()
        self._pool = pool
        self._memory = message_memory
        self.endpoint = endpoint
        self.attempt: Attempt | None = None
        self.is_reused = False
        self.idle_since = 0.0
        self._unread_data_poll: SocketPoll | None = None  # set once the connection is made

    def send(self, attempt: Attempt) -> None:
        """Write the request of an attempt."""
        self.attempt = attempt
        attempt.connection = self
        self.is_reused = self.idle_since > 0
        attempt.is_sent = True
        self.write(attempt.request_bytes(time.monotonic()))
        attempt.discard_content()

    def is_reusable(self) -> bool:
        """Return whether the connection is open and has no unread data.

        Unread data would be parsed as the response to the next request. If the endpoint has closed the
        connection and this has not been read yet, a request that is written now fails, and it is unknown
        whether it has run.
        """
        return not self.transport.is_closing() and not self._unread_data_poll.is_pending()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Report the new connection to the pool."""
        super().connection_made(transport)
        self._unread_data_poll = unread_data_poll(transport)
        self._pool.connection_opened(self)

    def response_received(self, response: Response, is_reusable: bool) -> None:
        """Pass a response to the pool, unless its attempt has been cancelled or has timed out."""
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            self._pool.response_received(self, attempt, response, is_reusable)

    def malformed_response(self) -> None:
        """Report a malformed response to the pool."""
        self._pool.malformed_response(self)

    def connection_closed(self) -> None:
        """Report the end of the connection to the pool."""
        self._memory.remove(self)
        self._pool.connection_closed(self)

    # Memory

    def may_hold(self, size_bytes: int) -> bool:
        """Record the size of the unsent request and the partial response; return whether it is allowed."""
        return self._memory.update(self, size_bytes)

    def reject_partial_request(self) -> None:
        """Do nothing: the connection receives responses."""

    def abort_if_response_unread(self) -> None:
        """Do nothing: the connection receives responses."""
