"""Connection pool for all upstream endpoints: sends attempts and reports the result of each."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable
from functools import partial

from api_gateway.model.results import AttemptResult
from api_gateway.network.clock import TIMEOUT_READ_DELAY_S
from api_gateway.network.message_memory import MessageMemory
from api_gateway.network.response_parser import Response
from api_gateway.network.upstream.attempt import Attempt, result_of_response
from api_gateway.network.upstream.connection import UpstreamConnection
from api_gateway.network.upstream.endpoint import UpstreamEndpoint

# Limit on the pending connects to all endpoints; an attempt that would need one more ends with LOCAL_LIMIT.
MAX_PENDING_CONNECTS = 64

# A connection is reused only after it has been idle for this long, so that stray bytes after its last
# response can arrive and are not read as the next response.
MIN_IDLE_BEFORE_REUSE_S = 0.01

# Idle connections are closed after this fraction of the endpoints' idle timeout.
IDLE_TIMEOUT_FRACTION = 0.5
EXPIRY_CHECK_INTERVAL_S = 1.0


class ConnectionPool:
    """Sends attempts on idle or new connections, and reports exactly one `AttemptResult` for each.

    Args:
        loop: The event loop.
        max_connections: Limit on the connections to all endpoints, pending connects included.
        connect_timeout_ms: Time within which a connection must be established.
        idle_timeout_ms: Time after which the endpoints close an idle connection.
        message_memory: Limits the memory of the messages of all connections.
        on_attempt_ended: Called once for each attempt with its result, and its response if that is complete.
        close_if_client_disconnected: Closes the request of an attempt if its client has disconnected, and
            returns whether no client waits for its response. Called when a connect has succeeded.
    """

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        max_connections: int,
        connect_timeout_ms: float,
        idle_timeout_ms: float,
        message_memory: MessageMemory,
        on_attempt_ended: Callable[[Attempt, AttemptResult, Response | None], None],
        close_if_client_disconnected: Callable[[Attempt], bool],
    ) -> None:
        self._loop = loop
        self._max_connections = max_connections
        self._connect_timeout_s = connect_timeout_ms / 1000
        self._idle_timeout_s = IDLE_TIMEOUT_FRACTION * idle_timeout_ms / 1000
        self._message_memory = message_memory
        self._on_attempt_ended = on_attempt_ended
        self._close_if_client_disconnected = close_if_client_disconnected
        self._endpoints: dict[str, UpstreamEndpoint] = {}
        self._connections: set[UpstreamConnection] = set()
        self._pending_connects: dict[Attempt, UpstreamEndpoint] = {}
        self._is_stopped = False

    def start(self) -> None:
        """Start to close expired connections periodically."""
        self._loop.call_later(EXPIRY_CHECK_INTERVAL_S, self._close_expired_connections)

    def stop(self) -> None:
        """Close all connections."""
        self._is_stopped = True
        for connection in list(self._connections):
            connection.abort()

    # --- Endpoints ----------------------------------------------------------------------------------------

    def update_endpoints(
        self,
        *,
        addresses: dict[str, tuple[str, int]],
        removed: set[str],
        draining: set[str],
        started_at_ms: dict[str, float],
    ) -> None:
        """Add, replace, drain and remove endpoints; attempts in flight continue.

        Args:
            addresses: Host and port by name, for each endpoint that is new or may have changed.
            removed: Names of the endpoints to remove.
            draining: Names of the endpoints that accept no new requests.
            started_at_ms: Start of each endpoint's process by name, in ms of Unix time.
        """
        for name in removed:
            endpoint = self._endpoints.pop(name, None)
            if endpoint is not None:
                endpoint.close_idle_connections()
        for name, address in addresses.items():
            self._add_or_replace(name, address, started_at_ms.get(name, 0.0))
            self._endpoints[name].is_draining = name in draining

    def _add_or_replace(self, name: str, address: tuple[str, int], started_at_ms: float) -> None:
        endpoint = self._endpoints.get(name)
        if endpoint is not None:
            if not endpoint.is_replaced_by(address, started_at_ms):
                return
            endpoint.close_idle_connections()
        self._endpoints[name] = UpstreamEndpoint(name, address, started_at_ms)

    def withdraw_pending_connects(self) -> None:
        """Withdraw attempts with a pending connect to an endpoint that accepts no new requests.

        Call this after the decisions have received the new list, or they choose the same endpoint again.
        """
        for attempt, endpoint in list(self._pending_connects.items()):
            if not self._accepts_new_requests(endpoint):
                self._abort_attempt(attempt, AttemptResult.WITHDRAWN)

    def endpoint_names(self) -> set[str]:
        """Return the names of all listed endpoints, draining ones included."""
        return set(self._endpoints)

    def _accepts_new_requests(self, endpoint: UpstreamEndpoint) -> bool:
        """Return whether an endpoint is still the listed process and is not draining.

        An attempt chosen for an earlier process must not be sent to its successor, which may be in slow start
        with a budget of its own.
        """
        return self._endpoints.get(endpoint.name) is endpoint and not endpoint.is_draining

    # --- Attempts -----------------------------------------------------------------------------------------

    def send(self, attempt: Attempt) -> None:
        """Send an attempt on an idle connection, or on a new one."""
        endpoint = self._endpoints.get(attempt.endpoint_name)
        if endpoint is None:
            self._end_attempt(attempt, AttemptResult.CONNECT_FAILED)
            return
        now = time.monotonic()
        if not self._accepts_new_requests(endpoint) or now > attempt.write_deadline:
            self._end_attempt(attempt, AttemptResult.WITHDRAWN)
            return
        attempt.response_timer = self._loop.call_later(
            max(attempt.deadline - now, 0.0), self._on_response_timeout, attempt
        )
        connection = endpoint.pop_reusable_connection(self._loop.time() - MIN_IDLE_BEFORE_REUSE_S)
        if connection is not None:
            self._send_with_write_deadline(connection, attempt)
        else:
            self._connect(endpoint, attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt by closing its connection."""
        if not attempt.is_done:
            self._abort_attempt(attempt, AttemptResult.CANCELLED)

    def withdraw(self, attempt: Attempt) -> None:
        """End an attempt that has unsent bytes, so that it cannot have run; do nothing with any other."""
        if not attempt.is_done and attempt.has_unsent_bytes():
            self._abort_attempt(attempt, AttemptResult.WITHDRAWN)

    def _send_with_write_deadline(self, connection: UpstreamConnection, attempt: Attempt) -> None:
        """Send an attempt on a connection, and withdraw it if it has unsent bytes at its write deadline."""
        connection.send(attempt)
        if connection.has_unsent_data:
            self._start_write_timer(attempt)

    def _start_write_timer(self, attempt: Attempt) -> None:
        if attempt.write_deadline < math.inf and attempt.write_timer is None:
            attempt.write_timer = self._loop.call_later(
                max(attempt.write_deadline - time.monotonic(), 0.0), self.withdraw, attempt
            )

    def _on_response_timeout(self, attempt: Attempt) -> None:
        # After a stall of the event loop, the response may have arrived and be unread.
        attempt.response_timer = self._loop.call_later(
            TIMEOUT_READ_DELAY_S, self._on_response_read_delay_elapsed, attempt
        )

    def _on_response_read_delay_elapsed(self, attempt: Attempt) -> None:
        if attempt.connection is None:
            result = AttemptResult.CONNECT_FAILED
        elif attempt.has_unsent_bytes():
            result = AttemptResult.NOT_SENT
        else:
            result = AttemptResult.TIMED_OUT
        self._abort_attempt(attempt, result)

    def _abort_attempt(self, attempt: Attempt, result: AttemptResult) -> None:
        attempt.abort()
        self._end_attempt(attempt, result)

    def _end_attempt(self, attempt: Attempt, result: AttemptResult, response: Response | None = None) -> None:
        """Report the result of an attempt, unless one has been reported."""
        if attempt.is_done:
            return
        attempt.is_done = True
        attempt.connection = None
        attempt.cancel_timers()
        self._on_attempt_ended(attempt, result, response)

    # --- Connects -----------------------------------------------------------------------------------------

    def _connect(self, endpoint: UpstreamEndpoint, attempt: Attempt) -> None:
        if len(self._pending_connects) >= MAX_PENDING_CONNECTS or not self._ensure_connection_slot():
            self._end_attempt(attempt, AttemptResult.LOCAL_LIMIT)
            return
        self._pending_connects[attempt] = endpoint
        attempt.connect_task = self._loop.create_task(
            self._loop.create_connection(
                lambda: UpstreamConnection(self, endpoint, self._message_memory), *endpoint.address
            )
        )
        attempt.connect_task.add_done_callback(partial(self._on_connect_done, attempt))
        attempt.connect_timer = self._loop.call_later(
            self._connect_timeout_s, self._on_connect_timeout, attempt
        )
        self._start_write_timer(attempt)

    def _ensure_connection_slot(self) -> bool:
        """Make room for one more connection; at the limit, close the one that has been idle longest.

        Returns:
            Whether a connection may be opened within the limit.
        """
        if len(self._connections) + len(self._pending_connects) < self._max_connections:
            return True
        endpoints_with_idle = [endpoint for endpoint in self._endpoints.values() if endpoint.idle_connections]
        if endpoints_with_idle:
            min(
                endpoints_with_idle, key=lambda endpoint: endpoint.idle_connections[0].idle_since
            ).idle_connections.pop(0).abort()
        return bool(endpoints_with_idle)

    def _on_connect_done(self, attempt: Attempt, task: asyncio.Task) -> None:
        endpoint = self._pending_connects.pop(attempt)
        attempt.connect_task = None
        attempt.connect_timer.cancel()
        error = None if task.cancelled() else task.exception()
        if task.cancelled() or (error is not None and not isinstance(error, ConnectionResetError)):
            self._end_attempt(attempt, AttemptResult.CONNECT_FAILED)
        elif error is not None:
            # A reset affects one connection only, so it must not eject the endpoint at once, as
            # CONNECT_FAILED would.
            self._end_attempt(attempt, AttemptResult.NOT_SENT)
        else:
            self._send_on_new_connection(attempt, endpoint, task.result()[1])

    def _send_on_new_connection(
        self, attempt: Attempt, endpoint: UpstreamEndpoint, connection: UpstreamConnection
    ) -> None:
        if attempt.is_done or self._is_stopped:
            connection.abort()
        elif not self._may_still_be_sent(attempt, endpoint):
            connection.abort()
            self._end_attempt(attempt, AttemptResult.WITHDRAWN)
        elif connection.transport.is_closing():  # closed between the connect and this callback
            self._end_attempt(attempt, AttemptResult.NOT_SENT)
        else:
            self._send_with_write_deadline(connection, attempt)

    def _may_still_be_sent(self, attempt: Attempt, endpoint: UpstreamEndpoint) -> bool:
        """Return whether an attempt may be sent on the connection established for it.

        Closes the request if its client has disconnected in the meantime.
        """
        return (
            self._accepts_new_requests(endpoint)
            and time.monotonic() <= attempt.write_deadline
            and not self._close_if_client_disconnected(attempt)
        )

    def _on_connect_timeout(self, attempt: Attempt) -> None:
        # After a stall of the event loop, the connection may be established without having been reported.
        attempt.connect_timer = self._loop.call_later(
            TIMEOUT_READ_DELAY_S, self._on_connect_read_delay_elapsed, attempt
        )

    def _on_connect_read_delay_elapsed(self, attempt: Attempt) -> None:
        if attempt.connect_task is not None:
            self._abort_attempt(attempt, AttemptResult.CONNECT_FAILED)

    # --- Connections --------------------------------------------------------------------------------------

    def connection_opened(self, connection: UpstreamConnection) -> None:
        """Add a new connection."""
        self._connections.add(connection)

    def connection_closed(self, connection: UpstreamConnection) -> None:
        """Remove a closed connection, and end the attempt on it."""
        self._connections.discard(connection)
        endpoint = connection.endpoint
        if connection in endpoint.idle_connections:
            endpoint.idle_connections.remove(connection)
        attempt, connection.attempt = connection.attempt, None
        if attempt is None:
            return
        if connection.has_unsent_data:
            self._end_attempt(attempt, AttemptResult.NOT_SENT)
        elif connection.is_reused and not connection.response_started():
            # The most recently used connection was closed without notice, so the other idle ones, which have
            # been unused for longer, are regarded as stale, too.
            endpoint.close_idle_connections()
            self._end_attempt(attempt, AttemptResult.STALE_CONNECTION)
        else:
            self._end_attempt(attempt, AttemptResult.CONNECTION_RESET)

    def response_received(
        self, connection: UpstreamConnection, attempt: Attempt, response: Response, is_reusable: bool
    ) -> None:
        """Release a connection, and end its attempt with a complete response."""
        self._release_connection(connection, is_reusable)
        self._end_attempt(attempt, result_of_response(response), response)

    def malformed_response(self, connection: UpstreamConnection) -> None:
        """End the attempt on a connection with a malformed response; the endpoint may have run it."""
        attempt, connection.attempt = connection.attempt, None
        if attempt is not None:
            self._end_attempt(attempt, AttemptResult.MALFORMED_RESPONSE)

    def _release_connection(self, connection: UpstreamConnection, is_reusable: bool) -> None:
        endpoint = connection.endpoint
        if is_reusable and not connection.has_unsent_data and self._endpoints.get(endpoint.name) is endpoint:
            connection.idle_since = self._loop.time()
            endpoint.idle_connections.append(connection)
        else:
            connection.abort()

    def _close_expired_connections(self) -> None:
        # Connections are closed before the endpoint closes them: a request that is written while the endpoint
        # closes its side ends in a reset, and it is unknown whether it has run.
        if self._is_stopped:
            return
        idle_before = self._loop.time() - self._idle_timeout_s
        for endpoint in self._endpoints.values():
            endpoint.close_expired_connections(idle_before)
        self._loop.call_later(EXPIRY_CHECK_INTERVAL_S, self._close_expired_connections)
