"""Hollow gateways: the real module and core, the real discovery and counter clients, and no client or host
sockets. Many run in one process; what they would do to hosts is reckoned, not dialled.
"""

from __future__ import annotations

import asyncio
import bisect
import itertools
import random
import time
from collections import deque
from collections.abc import Callable

from api_gateway.configuration import Configuration
from api_gateway.model.actions import Action, StartAttempt
from api_gateway.model.results import AttemptResult
from api_gateway.network.dispatcher import Dispatcher, InboundRequest
from api_gateway.network.response_parser import Response
from api_gateway.network.upstream.attempt import Attempt
from testbed import configuration
from testbed.hosts import HostTimes
from testbed.latency import Added

DIAL_MS = 2.0  # a trip across a zone and back, and the host's work on it
SERVED = Response(200, {}, b"", True)
HEAD = b"GET /api/0 HTTP/1.1\r\n"


class SimulatedConnectionPool:
    """Stands in for the upstream pool `Hosts`: a pool by the same rules, with no sockets behind it."""

    times: HostTimes  # shared by all gateways of a process
    load: dict[str, int] = {}  # by host: attempts that reached it
    host_s = 0.0  # the host's own time of the answer that is being handed on

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        max_connections: int,
        connect_timeout_ms: float,
        idle_timeout_ms: float,
        attempt_ended: Callable[[Attempt, AttemptResult, Response | None], None],
        client_waits: Callable[[Attempt], bool],
    ) -> None:
        self._loop, self._ended, self._idle_s = loop, attempt_ended, idle_timeout_ms / 2000
        self._names: dict[str, bool] = {}  # whether it takes anything new
        self._free: dict[str, deque[float]] = {}  # when each free connection was freed
        self._out = 0
        self.dials = 0

    def start(self) -> None:
        """Nothing to begin."""

    def stop(self) -> None:
        """Nothing to close."""

    def update_endpoints(
        self,
        *,
        addresses: dict[str, tuple[str, int]],
        removed: set[str],
        draining: set[str],
        started_at_ms: dict[str, float],
    ) -> None:
        """Which hosts there are, and which of them drain."""
        for name in removed:
            self._names.pop(name, None)
            self._free.pop(name, None)
        for name in addresses:
            self._names[name] = name not in draining

    def withdraw_pending_connects(self) -> None:
        """A dial takes no time worth ending here."""

    def endpoint_names(self) -> set[str]:
        """The hosts that can be dialled."""
        return set(self._names)

    def withdraw(self, attempt: Attempt) -> None:
        """What is sent is written whole at once."""

    def cancel(self, attempt: Attempt) -> None:
        """Give an attempt up."""
        self._end(attempt, AttemptResult.CANCELLED, None)

    def connections(self) -> int:
        """Open ones: free and not yet retired, or under a request."""
        return self._out + sum(len(self._fresh(name)) for name in list(self._free))

    def _fresh(self, name: str) -> deque[float]:
        free = self._free.setdefault(name, deque())
        while free and free[0] < self._loop.time() - self._idle_s:
            free.popleft()
        return free

    def send(self, attempt: Attempt) -> None:
        """Write an attempt to a kept connection, or to a new one."""
        if not self._names.get(attempt.endpoint):
            self._loop.call_soon(self._end, attempt, AttemptResult.CONNECT_FAILED, None)
            return
        free, took = self._fresh(attempt.endpoint), round(self.times.draw(), 3)  # timers know milliseconds
        dial = 0.0
        if free:
            free.pop()
        else:
            self.dials += 1
            dial = DIAL_MS / 1000
        self._out += 1
        self.load[attempt.endpoint] = self.load.get(attempt.endpoint, 0) + 1
        self._loop.call_later(took + dial, self._answered, attempt, took)

    def _answered(self, attempt: Attempt, took: float) -> None:
        self._out -= 1
        if attempt.endpoint in self._names:
            self._free.setdefault(attempt.endpoint, deque()).append(self._loop.time())
        SimulatedConnectionPool.host_s = took
        self._end(attempt, AttemptResult.OK, SERVED)
        SimulatedConnectionPool.host_s = 0.0

    def _end(self, attempt: Attempt, result: AttemptResult, reply: Response | None) -> None:
        if not attempt.done:
            attempt.done = True
            self._ended(attempt, result, reply)


class _Client:
    """Waits for one answer and notes what was added to the host's own time."""

    __slots__ = ("fleet", "due")

    def __init__(self, fleet: HollowFleet, due: float) -> None:
        self.fleet, self.due = fleet, due

    def respond(
        self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        """The one answer."""
        self.fleet.answered(self, status)

    def has_disconnected(self) -> bool:
        """It stays."""
        return False


class _RecordingDispatcher(Dispatcher):
    """Notes each request's first attempt, which takes its units."""

    def __init__(
        self, config: Configuration, loop: asyncio.AbstractEventLoop, sent: list[tuple[float, int, float]]
    ) -> None:
        super().__init__(config, loop, SimulatedConnectionPool)
        self.sent = sent

    def _execute(self, action: Action) -> None:
        if isinstance(action, StartAttempt):
            request = self._request_handler.requests.get(action.request_id)
            if request is not None and not request.attempts:
                self.sent.append((time.time(), int(request.inbound.tenant, 16), request.inbound.units))
        super()._execute(action)

    def connections(self) -> tuple[int, int]:
        """Open connections to hosts, and dials so far."""
        return self._pool.connections(), self._pool.dials

    def generation(self) -> int:
        """Of the list that it knows, 0 for none."""
        return self._discovery._generation or 0


class HollowFleet:
    """All hollow gateways of one process, with the load on them."""

    def __init__(
        self, configs: list[Configuration], *, customers: int, rate: float, skew: float, seed: int
    ) -> None:
        """`rate`: requests a second of each gateway in the mean; `skew`: shape of the gateways' shares."""
        loop = asyncio.get_running_loop()
        SimulatedConnectionPool.times, SimulatedConnectionPool.load = HostTimes(20.0, 0.8, seed), {}
        self.sent: list[tuple[float, int, float]] = []  # time, customer, units of each first attempt
        self.dispatchers = [_RecordingDispatcher(config, loop, self.sent) for config in configs]
        self._fleet = configs[0].settings.fleet_size
        self._rng = random.Random(seed)
        self._rate = rate * len(configs)
        shares = [self._rng.gammavariate(skew, 1.0) for _ in configs]
        self._shares = list(itertools.accumulate(s / sum(shares) for s in shares))
        # Most customers ask for a part of their quota, a few for far more.
        self._asks = list(
            itertools.accumulate(self._rng.choice((1, 1, 2, 2, 3, 4, 20)) for _ in range(customers))
        )
        self.added = Added()
        self.asked = self.served = 0
        self.units_asked: dict[int, float] = {}  # by customer
        self.stub = False  # answer at once: what the load itself costs

    def start(self) -> None:
        """Listen to discovery and the counter."""
        for dispatcher in self.dispatchers:
            dispatcher.start()

    def ready(self) -> int:
        """How many are."""
        return sum(dispatcher.is_ready() for dispatcher in self.dispatchers)

    def behind(self, generation: int) -> int:
        """How many do not know the list of that generation yet."""
        return sum(dispatcher.generation() < generation for dispatcher in self.dispatchers)

    def stop(self) -> None:
        """Close everything."""
        for dispatcher in self.dispatchers:
            dispatcher.stop()

    async def load(self, seconds: float) -> None:
        """Open-loop: arrivals come when they are due, whatever is still out; a late one counts from then."""
        due = time.monotonic()
        end = due + seconds
        while due < end:
            due += self._rng.expovariate(self._rate)
            wait = due - time.monotonic()
            if wait > 0.0005:
                await asyncio.sleep(wait)
            elif self.asked % 64 == 0:
                await asyncio.sleep(0)  # behind: answers must be read all the same
            self._arrive(due)
        await asyncio.sleep(0.5)  # what is out comes back

    def _arrive(self, due: float) -> None:
        self.asked += 1
        number = self.asked
        i = min(bisect.bisect(self._shares, self._rng.random()), len(self.dispatchers) - 1)
        who = bisect.bisect(self._asks, self._rng.random() * self._asks[-1])
        client = _Client(self, due)
        if self.stub:
            client.respond(200)
            return
        units = float(self._rng.choice(configuration.UNITS))
        self.units_asked[who] = self.units_asked.get(who, 0.0) + units
        order = InboundRequest(
            b"%x" % number,
            configuration.class_of(number),
            "team",
            f"{who:016x}",
            4000.0,
            units,
            self._fleet,
            0,
            False,
            time.monotonic(),
            HEAD,
            b"",
        )
        self.dispatchers[i].submit(client, order)

    def answered(self, client: _Client, status: int) -> None:
        """One answer: what the gateway added is all but the host's own time."""
        if status == 200 and not self.stub:
            self.served += 1
            self.added.record(time.monotonic() - client.due - SimulatedConnectionPool.host_s)
