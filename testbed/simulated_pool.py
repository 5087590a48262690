"""Connection pool of simulated gateways, without sockets.

The pool reuses idle connections and closes them after the same idle time as `ConnectionPool` in
`api_gateway.network.upstream.pool`, but it only counts them. Each attempt gets its response after a random
service time. Unlike in that pool, the number of connections is not bounded, a cancelled attempt does not
close its connection, no attempt times out, and one at a draining endpoint ends with CONNECT_FAILED.
"""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Callable

from api_gateway.model.results import AttemptResult
from api_gateway.network.message_memory import MessageMemory
from api_gateway.network.response_parser import Response
from api_gateway.network.upstream.attempt import Attempt
from testbed.endpoint_server import MEAN_SERVICE_TIME_MS, SERVICE_TIME_VARIATION_COEFFICIENT, ServiceTimes

CONNECT_TIME_S = 0.002  # one round trip between zones, and the time that the endpoint needs to accept
OK_RESPONSE = Response(200, {}, b"", True)


class SimulatedEndpoints:
    """The endpoints behind all simulated gateways of a process.

    Attributes:
        service_times: Generator of the service times.
        attempts_by_endpoint: Number of attempts that each endpoint received, by endpoint name.
        current_service_time_s: Service time of the response that is being delivered, in seconds; 0 while none
            is delivered.
    """

    def __init__(self, seed: int) -> None:
        self.service_times = ServiceTimes(MEAN_SERVICE_TIME_MS, SERVICE_TIME_VARIATION_COEFFICIENT, seed)
        self.attempts_by_endpoint: Counter[str] = Counter()
        self.current_service_time_s = 0.0


class SimulatedConnectionPool:
    """Replacement for `ConnectionPool`. With `endpoints` bound, its constructor takes the same arguments.

    Attributes:
        connections_opened: Number of connections opened since the start.
    """

    def __init__(
        self,
        endpoints: SimulatedEndpoints,
        *,
        loop: asyncio.AbstractEventLoop,
        max_connections: int,
        connect_timeout_ms: float,
        idle_timeout_ms: float,
        message_memory: MessageMemory,
        on_attempt_ended: Callable[[Attempt, AttemptResult, Response | None], None],
        close_if_client_disconnected: Callable[[Attempt], bool],
    ) -> None:
        self._endpoints = endpoints
        self._loop, self._on_attempt_ended = loop, on_attempt_ended
        # As in `ConnectionPool`, a connection is closed after half of the endpoints' idle timeout.
        self._idle_timeout_s = idle_timeout_ms / 2000
        self._accepts_requests: dict[str, bool] = {}  # by endpoint name; False for a draining endpoint
        # By endpoint name: the loop time, in seconds, since which each idle connection has been idle.
        self._idle_since: dict[str, deque[float]] = {}
        self._in_flight = 0
        self.connections_opened = 0

    def start(self) -> None:
        """Do nothing, since the pool has no sockets."""

    def stop(self) -> None:
        """Do nothing, since the pool has no sockets to close."""

    def update_endpoints(
        self,
        *,
        addresses: dict[str, tuple[str, int]],
        removed: set[str],
        draining: set[str],
        started_at_ms: dict[str, float],
    ) -> None:
        """Apply changes of the endpoint list.

        Args:
            addresses: Host and port of each new or changed endpoint, by endpoint name.
            removed: Names of the removed endpoints.
            draining: Names of the draining endpoints.
            started_at_ms: Unix time of each endpoint's start in milliseconds, by endpoint name.
        """
        for name in removed:
            self._accepts_requests.pop(name, None)
            self._idle_since.pop(name, None)
        for name in addresses:
            self._accepts_requests[name] = name not in draining

    def withdraw_pending_connects(self) -> None:
        """Do nothing, since no attempt waits for a connection."""

    def endpoint_names(self) -> set[str]:
        """Return the names of all endpoints, including draining ones."""
        return set(self._accepts_requests)

    def withdraw(self, attempt: Attempt) -> None:
        """Do nothing, since each request is sent completely at once."""

    def cancel(self, attempt: Attempt) -> None:
        """End an attempt without a response."""
        self._end_attempt(attempt, AttemptResult.CANCELLED, None)

    def connections(self) -> int:
        """Return the number of open connections, idle or with a request in flight."""
        return self._in_flight + sum(len(self._idle_connections(name)) for name in list(self._idle_since))

    def send(self, attempt: Attempt) -> None:
        """Send an attempt on an idle connection or a new one."""
        if not self._accepts_requests.get(attempt.endpoint_name):
            self._loop.call_soon(self._end_attempt, attempt, AttemptResult.CONNECT_FAILED, None)
            return
        idle = self._idle_connections(attempt.endpoint_name)
        # The timers of the event loop have a resolution of 1 ms.
        service_time_s = round(self._endpoints.service_times.draw(), 3)
        connect_s = 0.0
        if idle:
            idle.pop()
        else:
            self.connections_opened += 1
            connect_s = CONNECT_TIME_S
        self._in_flight += 1
        self._endpoints.attempts_by_endpoint[attempt.endpoint_name] += 1
        self._loop.call_later(service_time_s + connect_s, self._respond, attempt, service_time_s)

    def _idle_connections(self, name: str) -> deque[float]:
        idle = self._idle_since.setdefault(name, deque())
        while idle and idle[0] < self._loop.time() - self._idle_timeout_s:
            idle.popleft()
        return idle

    def _respond(self, attempt: Attempt, service_time_s: float) -> None:
        self._in_flight -= 1
        if attempt.endpoint_name in self._accepts_requests:
            self._idle_since.setdefault(attempt.endpoint_name, deque()).append(self._loop.time())
        self._endpoints.current_service_time_s = service_time_s
        self._end_attempt(attempt, AttemptResult.OK, OK_RESPONSE)
        self._endpoints.current_service_time_s = 0.0

    def _end_attempt(self, attempt: Attempt, result: AttemptResult, response: Response | None) -> None:
        if not attempt.is_done:
            attempt.is_done = True
            self._on_attempt_ended(attempt, result, response)
