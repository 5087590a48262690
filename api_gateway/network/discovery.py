"""Watches discovery for changes of the endpoint list."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable

from api_gateway.errors import MalformedEndpointListError
from api_gateway.network.address import Address
from api_gateway.network.clock import TIMEOUT_READ_DELAY_S
from api_gateway.network.discovery_codec import (
    EndpointList,
    decode_endpoint_list,
    encode_poll,
    parse_endpoint_list,
)
from api_gateway.network.discovery_policy import PollPolicy
from api_gateway.network.response_parser import MAX_ENDPOINT_LIST_BYTES, Response, ResponseProtocol

__all__ = ["DiscoveryWatch", "EndpointList", "parse_endpoint_list"]

log = logging.getLogger(__name__)


class DiscoveryWatch:
    """Polls discovery while the gateway runs, and passes on each endpoint list.

    The watch connects if there is no connection, sends a poll, waits for its response, and polls again at
    once. A failed poll is retried after a backoff with full jitter, so that gateways that fail together do
    not retry at the same time. A watch that knows a list requests only the changes since then, even after a
    failed poll, because sending full lists to a whole fleet at once would overload discovery. Only a
    malformed list or a new address makes it request the full list.

    While a long poll has no response, a lost response cannot be distinguished from the absence of changes. So
    long polls are short, and the poll after a timeout does not wait for a change, which shows at once whether
    discovery responds. If discovery is an agent on this machine (see `discovery_policy`), the poll after a
    disconnect does not wait, either.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        on_update: Callable[[EndpointList], None],
        rng: random.Random,
        known_generation: int | None = None,
        policy: PollPolicy | None = None,
    ) -> None:
        """Create a watch; `start` sends the first poll.

        Args:
            loop: The event loop.
            address: Host and port of discovery.
            on_update: Called with each endpoint list.
            rng: Random number generator for the jitter.
            known_generation: Generation of the list that is known; None to request the full list.
            policy: Timeouts and backoff; by default those for an agent on this machine.
        """
        self._loop = loop
        self._address = address
        self._on_update = on_update
        self._rng = rng
        self._policy = policy if policy is not None else PollPolicy()
        self._generation = known_generation  # None: the next poll requests the full list
        self._is_up_to_date = False  # the next poll may wait for a change
        self._has_timed_out = False  # since the last endpoint list, to log only the first timeout
        self._connect_task: asyncio.Task | None = None
        self._connection: DiscoveryConnection | None = None
        self._timer: asyncio.TimerHandle | None = None  # timeout of a step, or delay before a poll
        self._consecutive_failures = 0
        self._consecutive_rejections = 0
        self._poll_started_at = 0.0
        self._received_bytes = 0  # size of the response when its timeout was last checked
        self._is_stopped = False

    @property
    def generation(self) -> int | None:
        """Generation of the list that is known; None if the next poll requests the full list."""
        return self._generation

    def start(self) -> None:
        """Send the first poll.

        It is sent at once if no list is known or discovery is an agent, otherwise after a random delay that
        spreads the polls of the fleet.
        """
        if self._generation is None or self._policy.is_agent:
            self._poll()
        else:
            self._start_timer(self._policy.spread_s * self._rng.random(), self._poll)

    def stop(self) -> None:
        """Stop polling and close the connection."""
        self._is_stopped = True
        self._cancel_timer()
        if self._connect_task is not None:
            self._connect_task.cancel()
        if self._connection is not None:
            self._connection.abort()

    def change_address(self, address: Address) -> None:
        """Poll another discovery, first for its full list; the known list is kept until that arrives.

        Args:
            address: Host and port of the new discovery.
        """
        if self._is_stopped:
            return
        connect_task, self._connect_task = self._connect_task, None
        connection, self._connection = self._connection, None
        if connect_task is not None:
            connect_task.cancel()
        if connection is not None:
            connection.abort()
        self._address = address
        self._generation = None
        self._consecutive_failures = 0
        self._is_up_to_date = False
        self._poll()

    # --- Poll ----------------------------------------------------------------------------------------------

    def _poll(self) -> None:
        if self._is_stopped:
            return
        self._poll_started_at = self._loop.time()
        self._received_bytes = 0
        if self._connection is not None:
            self._send_poll(self._connection)
        else:
            self._connect()

    def _connect(self) -> None:
        self._start_timer(self._policy.connect_timeout_s(), self._on_timeout)
        self._connect_task = self._loop.create_task(
            self._loop.create_connection(lambda: DiscoveryConnection(self), *self._address)
        )
        self._connect_task.add_done_callback(self._on_connect_done)

    def _on_connect_done(self, task: asyncio.Task) -> None:
        has_failed = task.cancelled() or task.exception() is not None
        if task is not self._connect_task:  # the address has changed in the meantime
            if not has_failed:
                task.result()[1].abort()
            return
        self._connect_task = None
        if has_failed:
            self._back_off()
            return
        self._connection = task.result()[1]
        if self._connection.is_closed:  # it ended before this callback ran
            self.handle_disconnect(self._connection)
        else:
            self._send_poll(self._connection)

    def _send_poll(self, connection: DiscoveryConnection) -> None:
        wait_ms = self._policy.wait_ms(self._is_up_to_date)
        self._start_timer(self._policy.response_timeout_s(wait_ms), self._on_timeout)
        connection.write(encode_poll(self._generation, wait_ms))

    # --- Response ------------------------------------------------------------------------------------------

    def handle_response(self, connection: DiscoveryConnection, response: Response, is_reusable: bool) -> None:
        """Pass on the endpoint list of a response, and send the next poll.

        Args:
            connection: The connection on which the response arrived.
            response: The response.
            is_reusable: Whether the connection can carry another poll.
        """
        if connection is not self._connection:
            return
        if response.status != 200:
            self._handle_rejection(connection, response.status)
            return
        try:
            endpoint_list = self._decode(response.body)
        except MalformedEndpointListError as error:
            log.warning('discovery_response_malformed error="%s" endpoints=kept', error)
            self._generation = None  # the full list includes the changes that were missed
            connection.abort()
            return
        self._generation = endpoint_list.generation
        self._is_up_to_date = True
        self._has_timed_out = False
        self._consecutive_failures = self._consecutive_rejections = 0
        if not is_reusable:
            self._connection = None
            connection.abort()
        self._poll()  # first, as handling the update takes time
        self._on_update(endpoint_list)

    def _handle_rejection(self, connection: DiscoveryConnection, status: int) -> None:
        # The generation is kept, since full lists would be the largest load for an overloaded discovery.
        log.warning("discovery_poll_rejected status=%d endpoints=kept", status)
        self._consecutive_rejections += 1
        connection.abort()

    def _decode(self, body: bytes) -> EndpointList:
        endpoint_list = decode_endpoint_list(body)
        if endpoint_list.is_full:
            return endpoint_list
        if self._generation is None or endpoint_list.generation < self._generation:
            raise MalformedEndpointListError(
                f"changes of generation {endpoint_list.generation} do not apply to the known "
                f"generation {self._generation}"
            )
        return endpoint_list

    # --- Failure -------------------------------------------------------------------------------------------

    def handle_disconnect(self, connection: DiscoveryConnection) -> None:
        """Schedule the next poll after the connection was closed by either side.

        Args:
            connection: The connection that was closed.
        """
        if connection is not self._connection:
            return
        self._connection = None
        # After a disconnect, an agent is polled without a wait, which shows at once whether it responds. A
        # service may get a long poll again: it returns missed changes, too, and is less load for the service
        # than a poll without a wait.
        self._is_up_to_date = self._is_up_to_date and not self._policy.is_agent
        self._back_off()

    def _on_timeout(self) -> None:
        # After a stall, the event loop runs this timer before it reads a response that arrived in time.
        self._timer = self._loop.call_later(TIMEOUT_READ_DELAY_S, self._on_read_delay_elapsed)

    def _on_read_delay_elapsed(self) -> None:
        if self._is_progressing():
            self._start_timer(self._policy.progress_timeout_s(), self._on_timeout)
        else:
            self._time_out_poll()

    def _is_progressing(self) -> bool:
        """Return whether more of a full list has arrived since the last check, within its timeout."""
        if self._connection is None or self._generation is not None:
            return False
        previous_bytes, self._received_bytes = self._received_bytes, self._connection.received_bytes()
        deadline = self._poll_started_at + self._policy.full_list_timeout_s()
        return self._received_bytes > previous_bytes and self._loop.time() < deadline

    def _time_out_poll(self) -> None:
        if not self._has_timed_out:
            log.warning("discovery_poll_timed_out endpoints=kept further_timeouts=not_logged_until_next_list")
        self._has_timed_out = True
        self._is_up_to_date = False
        if self._connect_task is not None:
            self._connect_task.cancel()
        elif self._connection is not None:
            self._connection.abort()

    def _back_off(self) -> None:
        self._cancel_timer()
        if self._is_stopped:
            return
        self._consecutive_failures += 1
        limit_s = self._policy.backoff_limit_s(
            consecutive_failures=self._consecutive_failures,
            consecutive_rejections=self._consecutive_rejections,
            started_at=self._poll_started_at,
            now=self._loop.time(),
        )
        self._start_timer(limit_s * self._rng.random(), self._poll)

    def _start_timer(self, delay_s: float, callback: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = self._loop.call_later(delay_s, callback)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()


class DiscoveryConnection(ResponseProtocol):
    """One connection to discovery.

    Attributes:
        is_closed: Whether the end of the connection has been reported.
    """

    def __init__(self, watch: DiscoveryWatch) -> None:
        super().__init__(MAX_ENDPOINT_LIST_BYTES)
        self._watch = watch
        self.is_closed = False

    def response_received(self, response: Response, is_reusable: bool) -> None:
        """Pass a response to the watch."""
        self._watch.handle_response(self, response, is_reusable)

    def malformed_response(self) -> None:
        """Log an invalid or too large HTTP response; the connection is closed afterwards."""
        log.warning(
            'discovery_response_unreadable error="HTTP response is invalid or too large" endpoints=kept'
        )

    def connection_closed(self) -> None:
        """Report the end of the connection to the watch."""
        self.is_closed = True
        self._watch.handle_disconnect(self)
