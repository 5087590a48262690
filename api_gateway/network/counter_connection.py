"""A persistent connection to the counter: its pending calls, and its replacement when it ends."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from api_gateway.model.actions import IncrementCounter
from api_gateway.model.results import CounterResult
from api_gateway.network.address import Address
from api_gateway.network.counter_codec import (
    STATUSES_WITHOUT_INCREMENT,
    decode_counter_value,
    encode_increment,
)
from api_gateway.network.response_parser import Response, ResponseProtocol

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.25

# A connection whose oldest call has no response after this time is closed: if the network to the counter
# fails, connections stay open, but no responses arrive.
RESPONSE_TIMEOUT_S = 1.0

BACKOFF_BASE_S = 0.05
MAX_BACKOFF_S = 1.0
MAX_BACKOFF_DOUBLINGS = 10


@dataclass(slots=True, eq=False)
class CounterCall:
    """One call to the counter, until its result is reported and its response can no longer arrive.

    Attributes:
        action: The name of the count and the amount to add.
        started_at: When the call was made, in s of event-loop time.
        timer: Timer of its timeout.
        connection: The connection that it was assigned to.
        is_written: Whether its last byte has left this process, so that the counter may have added the
            amount.
        is_done: Whether its result has been reported.
    """

    action: IncrementCounter
    started_at: float
    timer: asyncio.TimerHandle | None = None
    connection: CounterConnection | None = None
    is_written: bool = False
    is_done: bool = False


ResultCallback = Callable[[CounterCall, CounterResult, float], None]


class CounterConnection:
    """A connection to the counter that is replaced when it ends.

    Calls are pipelined: several are written without waiting, and their responses arrive in the same order. A
    call that has timed out keeps its place, so that its late response is not matched to the next call.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, address: Address, on_result: ResultCallback) -> None:
        """Create a connection; `connect` or the first call establishes it.

        Args:
            loop: The event loop.
            address: Host and port of the counter.
            on_result: Called with each call, its result, and the counter value, which is 0 unless the result
                is OK.
        """
        self._loop = loop
        self._address = address
        self._on_result = on_result
        self._protocol: CounterProtocol | None = None
        self._connect_task: asyncio.Task | None = None
        self._connect_timer: asyncio.TimerHandle | None = None
        self._silence_timer: asyncio.TimerHandle | None = None
        self._reconnect_timer: asyncio.TimerHandle | None = None
        self._calls: deque[CounterCall] = deque()
        self._consecutive_failures = 0
        self._last_response_at = 0.0
        self._backoff_until = 0.0
        self._is_retired = False  # closed after its last call, and not replaced

    # --- State ---------------------------------------------------------------------------------------------

    @property
    def is_connected(self) -> bool:
        """Whether the connection is established."""
        return self._protocol is not None

    @property
    def pending_call_count(self) -> int:
        """Number of calls that wait for the connection or for a response.

        Calls that have timed out keep their place and count, too.
        """
        return len(self._calls)

    def is_usable(self) -> bool:
        """Return whether a call may be written now, or wait for the connection to be established.

        A connection that is closing is not usable: its end is reported in this iteration of the event loop or
        the next, and calls that are written to it until then fail.
        """
        if self._protocol is not None:
            return not self._protocol.transport.is_closing()
        return self._connect_task is not None or self._loop.time() >= self._backoff_until

    def is_silent_since(self, loop_time: float) -> bool:
        """Return whether no response has arrived since `loop_time`, in s of event-loop time."""
        return self._last_response_at < loop_time

    def has_call_started_before(self, loop_time: float) -> bool:
        """Return whether a call made before `loop_time` still waits for the connection or for a response.

        Args:
            loop_time: A time in s of event-loop time.
        """
        return bool(self._calls) and self._calls[0].started_at < loop_time

    # --- Commands ------------------------------------------------------------------------------------------

    def connect(self) -> None:
        """Establish the connection."""
        self._connect_task = self._loop.create_task(
            self._loop.create_connection(lambda: CounterProtocol(self), *self._address)
        )
        self._connect_task.add_done_callback(self._on_connect_done)
        self._connect_timer = self._loop.call_later(CONNECT_TIMEOUT_S, self._connect_task.cancel)

    def submit(self, call: CounterCall) -> None:
        """Write a call, once the connection is established.

        Args:
            call: The call; its result is reported once.
        """
        self._calls.append(call)
        call.connection = self
        if self._protocol is not None:
            self._write(call)
        elif self._connect_task is None:
            self.connect()

    def stop(self) -> None:
        """Close the connection without replacing it."""
        self._is_retired = True
        if self._reconnect_timer is not None:
            self._reconnect_timer.cancel()
        if self._connect_task is not None:
            self._connect_task.cancel()
        if self._protocol is not None:
            self._protocol.abort()

    def retire(self) -> list[CounterCall]:
        """Close the connection once all written calls have a response, without replacing it.

        Returns:
            The calls that were not written, which may be submitted to another connection.
        """
        self._is_retired = True
        if self._protocol is not None:
            if not self._calls:
                self.stop()
            return []
        unwritten = [call for call in self._calls if not call.is_done]
        self._calls.clear()
        self.stop()
        return unwritten

    def close_and_replace(self) -> None:
        """Close and replace a connection on which responses have stopped, and report its calls.

        The result is CONNECTION_LOST for calls that were written, and CONNECT_FAILED for the others.
        """
        self._protocol.abort()
        self._fail_calls(CounterResult.CONNECTION_LOST)

    # --- Events of the protocol ----------------------------------------------------------------------------

    def handle_connected(self, protocol: CounterProtocol) -> None:
        """Write the calls that were submitted before the connection was established.

        The protocol reports this, rather than the task of `connect`, because a connection that is reset at
        once has ended before that task is done.

        Args:
            protocol: The protocol of the new connection.
        """
        self._connect_task = None
        self._connect_timer.cancel()
        self._protocol = protocol
        if self._is_retired:
            self._protocol.abort()
            return
        # A call that timed out before it was written has been reported as not added, so it must not be
        # written.
        self._calls = deque(call for call in self._calls if not call.is_done)
        for call in self._calls:
            self._write(call)

    def handle_write_completed(self) -> None:
        """Mark all calls as written, because the last byte has left this process."""
        for call in self._calls:
            call.is_written = True

    def handle_response(self, response: Response, is_reusable: bool) -> None:
        """Report the result of the oldest call.

        Args:
            response: The response to it.
            is_reusable: Whether the connection can carry another call.
        """
        self._consecutive_failures = 0
        self._last_response_at = self._loop.time()
        counter_value = decode_counter_value(response)
        if counter_value is None and response.status not in STATUSES_WITHOUT_INCREMENT:
            # The counter may have added the amount, and the responses after this one cannot be trusted.
            self.handle_malformed_response()
            return
        call = self._calls.popleft()
        if not is_reusable or (self._is_retired and not self._calls):
            self._protocol.abort()  # first, as reporting the result may submit the next call
        self._report_response(call, counter_value)

    def _report_response(self, call: CounterCall, counter_value: float | None) -> None:
        if counter_value is None:
            self._on_result(call, CounterResult.OVERLOADED, 0.0)
        elif self._is_retired:
            # Values of the previous counter cannot be compared with those of the new one.
            self._on_result(call, CounterResult.MALFORMED_RESPONSE, 0.0)
        else:
            self._on_result(call, CounterResult.OK, counter_value)

    def handle_malformed_response(self) -> None:
        """Close the connection after a malformed response or one with an unexpected status.

        The responses after it cannot be trusted.
        """
        log.warning(
            "counter_response_malformed connection=closed cause=invalid_response_or_unexpected_status"
        )
        self._protocol.abort()
        self._fail_calls(CounterResult.MALFORMED_RESPONSE)

    def handle_disconnect(self) -> None:
        """Replace the connection after it was closed by either side."""
        self._protocol = None
        self._handle_failure()

    # --- Steps ---------------------------------------------------------------------------------------------

    def _write(self, call: CounterCall) -> None:
        self._protocol.write(encode_increment(call.action))
        call.is_written = not self._protocol.has_unsent_data
        if self._silence_timer is None:
            self._silence_timer = self._loop.call_later(RESPONSE_TIMEOUT_S, self._check_silence)

    def _check_silence(self) -> None:
        self._silence_timer = None
        if not self._calls or self._protocol is None:
            return
        remaining_s = self._calls[0].started_at + RESPONSE_TIMEOUT_S - self._loop.time()
        if remaining_s > 0:
            self._silence_timer = self._loop.call_later(remaining_s, self._check_silence)
        else:
            self._protocol.abort()

    def _on_connect_done(self, task: asyncio.Task) -> None:
        has_failed = task.cancelled() or task.exception() is not None
        if task is self._connect_task and has_failed:
            self._connect_task = None
            self._connect_timer.cancel()
            self._handle_failure()

    def _handle_failure(self) -> None:
        self._consecutive_failures += 1
        delay_s = 0.0
        if self._consecutive_failures > 1:
            delay_s = _backoff_s(self._consecutive_failures)
            self._backoff_until = self._loop.time() + delay_s
        if not self._is_retired:
            self._reconnect_timer = self._loop.call_later(delay_s, self._reconnect)
        self._fail_calls(CounterResult.CONNECTION_LOST)

    def _reconnect(self) -> None:
        # Reconnect without waiting for a call: until then, all calls share the remaining connections.
        if self._protocol is None and self._connect_task is None and not self._is_retired:
            self.connect()

    def _fail_calls(self, result_if_written: CounterResult) -> None:
        calls, self._calls = self._calls, deque()
        for call in calls:
            result = result_if_written if call.is_written else CounterResult.CONNECT_FAILED
            self._on_result(call, result, 0.0)


class CounterProtocol(ResponseProtocol):
    """The protocol of one established connection."""

    def __init__(self, connection: CounterConnection) -> None:
        super().__init__()
        self._connection = connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Report that the connection is established."""
        super().connection_made(transport)
        self._connection.handle_connected(self)

    def resume_writing(self) -> None:
        """Report that the last byte has left this process."""
        super().resume_writing()
        self._connection.handle_write_completed()

    def response_received(self, response: Response, is_reusable: bool) -> None:
        """Report a response."""
        self._connection.handle_response(response, is_reusable)

    def malformed_response(self) -> None:
        """Report a malformed HTTP response."""
        self._connection.handle_malformed_response()

    def connection_closed(self) -> None:
        """Report the end of the connection."""
        self._connection.handle_disconnect()


def _backoff_s(consecutive_failures: int) -> float:
    return min(BACKOFF_BASE_S * 2 ** min(consecutive_failures - 2, MAX_BACKOFF_DOUBLINGS), MAX_BACKOFF_S)
