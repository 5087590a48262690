"""Client of the counter, a service that sums the increments of all gateways."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from api_gateway.model.actions import IncrementCounter
from api_gateway.model.events import CounterReply
from api_gateway.model.results import CounterResult
from api_gateway.network.address import Address
from api_gateway.network.counter_connection import CounterCall, CounterConnection

# With several connections, a slow partition of the counter delays only the calls that share a connection with
# calls to that partition.
CONNECTION_COUNT = 4

# Serves the same purpose as clock.TIMEOUT_READ_DELAY_S, but gives the event loop one iteration only.
COUNTER_READ_DELAY_S = 0.001


class CounterClient:
    """Calls the counter over a few persistent connections, and reports exactly one result for each call."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        timeout_ms: float,
        on_reply: Callable[[CounterReply], None],
        connection_count: int = CONNECTION_COUNT,
    ) -> None:
        """Create a client; `start` establishes its connections.

        Args:
            loop: The event loop.
            address: Host and port of the counter.
            timeout_ms: Time within which the response to a call must arrive.
            on_reply: Called with the result of each call.
            connection_count: Number of connections.
        """
        self._loop = loop
        self._timeout_s = timeout_ms / 1000
        self._on_reply = on_reply
        self._connection_count = connection_count
        self._connections = self._create_connections(address)

    def start(self) -> None:
        """Establish the connections before the first call needs one."""
        for connection in self._connections:
            connection.connect()

    def stop(self) -> None:
        """Close all connections."""
        for connection in self._connections:
            connection.stop()

    def change_address(self, address: Address) -> None:
        """Use another counter for new calls.

        Calls that were written finish on the old connections; instead of their counter values,
        MALFORMED_RESPONSE is reported.

        Args:
            address: Host and port of the new counter.
        """
        old_connections, self._connections = self._connections, self._create_connections(address)
        self.start()
        for connection in old_connections:
            for call in connection.retire():
                self._assign(call)

    def increment(self, action: IncrementCounter) -> None:
        """Call the counter once.

        Args:
            action: The name of the count and the amount to add.
        """
        call = CounterCall(action, self._loop.time())
        call.timer = self._loop.call_later(self._timeout_s, self._on_timeout, call)
        self._assign(call)

    def _create_connections(self, address: Address) -> list[CounterConnection]:
        return [
            CounterConnection(self._loop, address, self._report_result) for _ in range(self._connection_count)
        ]

    def _assign(self, call: CounterCall) -> None:
        usable = [connection for connection in self._connections if connection.is_usable()]
        if usable:
            min(usable, key=self._connection_load).submit(call)
        else:
            self._report_result(call, CounterResult.CONNECT_FAILED)

    def _connection_load(self, connection: CounterConnection) -> int:
        """Return the number of pending calls, plus a penalty if the connection is not established."""
        return connection.pending_call_count + (0 if connection.is_connected else self._connection_count)

    def _report_result(self, call: CounterCall, result: CounterResult, counter_value: float = 0.0) -> None:
        if call.is_done:
            return
        call.is_done = True
        if call.timer is not None:
            call.timer.cancel()
        duration_ms = (self._loop.time() - call.started_at) * 1000
        self._on_reply(CounterReply(call.action.name, result, counter_value, duration_ms))

    def _on_timeout(self, call: CounterCall) -> None:
        # After a stall, the event loop runs this timer before it reads a response that arrived in time.
        call.timer = self._loop.call_later(COUNTER_READ_DELAY_S, self._on_read_delay_elapsed, call)

    def _on_read_delay_elapsed(self, call: CounterCall) -> None:
        if call.is_written and self._is_single_connection_failure(call):
            call.connection.close_and_replace()
            return
        self._report_result(
            call, CounterResult.TIMED_OUT if call.is_written else CounterResult.CONNECT_FAILED
        )

    def _is_single_connection_failure(self, call: CounterCall) -> bool:
        """Return whether the connection of a late call is silent while the counter responds on others.

        A network path or a proxy may fail for a single connection. If the calls on it were reported as timed
        out, the counter would be considered down. A slow partition of the counter, in contrast, delays calls
        on more than one connection, and a counter that is down responds on none.
        """
        others = [connection for connection in self._connections if connection is not call.connection]
        # On another connection, a call counts as late when it has waited for half the timeout.
        late_before = self._loop.time() - self._timeout_s / 2
        return (
            call.connection.is_silent_since(call.started_at)
            and any(not other.is_silent_since(call.started_at) for other in others)
            and not any(other.has_call_started_before(late_before) for other in others)
        )
