"""A change is known within 6 s after discovery has it and can be reached, whatever failed before.

A `DiscoveryWatch` runs on a simulated event loop against a simulated discovery.
"""

from __future__ import annotations

import heapq
import itertools
import json
import random
from collections.abc import Callable, Iterator

import pytest

from api_gateway.network.discovery import DiscoveryWatch
from api_gateway.network.discovery_codec import EndpointList
from api_gateway.network.discovery_policy import MAX_POLL_CYCLE_S, PollPolicy
from api_gateway.network.response_parser import Response

MAX_DELAY_S = 6.0
FAILURES = ("silent", "refused", "reset", "rejected", "slow")  # of a connect or a request
OLD_GENERATION, NEW_GENERATION = 7, 9
POLL_DURATION_S = 0.2


class SimulatedTimer:
    """A timer of the simulated event loop."""

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback = callback
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class SimulatedConnect:
    """A pending connect, in place of its asyncio task."""

    def __init__(self, simulation: DiscoverySimulation) -> None:
        self.simulation = simulation
        self.connection: SimulatedConnection | None = None
        self.done = False

    def add_done_callback(self, callback: Callable[[SimulatedConnect], None]) -> None:
        self.callback = callback

    def end(self, connection: SimulatedConnection | None) -> None:
        """End with a connection, or fail with None."""
        if not self.done:
            self.done, self.connection = True, connection
            self.callback(self)

    def cancel(self) -> None:
        self.simulation.call_later(0, lambda: self.end(None))

    def cancelled(self) -> bool:
        return self.connection is None

    def exception(self) -> None:
        return None

    def result(self) -> tuple[None, SimulatedConnection]:
        return None, self.connection


class SimulatedConnection:
    """A connection to discovery, in place of the watch's protocol."""

    def __init__(self, simulation: DiscoverySimulation) -> None:
        self.simulation = simulation
        self.is_closed = False

    def write(self, data: bytes) -> None:
        self.simulation.request_written(self, data.decode().split()[1])

    def abort(self) -> None:
        self.simulation.call_later(0, self.end)

    def end(self) -> None:
        if not self.is_closed:
            self.is_closed = True
            self.simulation.watch.handle_disconnect(self)

    def received_bytes(self) -> int:
        return 0


class DiscoverySimulation:
    """A simulated event loop, and a discovery on which connects and requests fail in a given order.

    The last failure is that of the connect or request that starts right before discovery has the change and
    can be reached. All later ones succeed, but take as long as possible.

    Attributes:
        now: Simulated time in s.
        changed_at: When discovery had the change and could be reached.
        known_at: When the gateway received the change.
        connect_times: When each connect was started.
    """

    def __init__(self, failures: tuple[str, ...], rng: random.Random, spread_s: float) -> None:
        self.now = 0.0
        self.changed_at: float | None = None
        self.known_at: float | None = None
        self.connect_times: list[float] = []
        self._timers: list[tuple[float, int, SimulatedTimer]] = []
        self._last_timer = 0
        self._failures: Iterator[str] = iter(failures)
        self._remaining_failures = len(failures)
        self.watch = DiscoveryWatch(
            self, ("127.0.0.1", 1), self._list_received, rng, OLD_GENERATION, PollPolicy(spread_s)
        )
        self.watch.start()

    def time(self) -> float:
        return self.now

    def call_later(self, delay: float, callback: Callable, *args: object) -> SimulatedTimer:
        timer = SimulatedTimer(lambda: callback(*args))
        self._last_timer += 1
        heapq.heappush(self._timers, (self.now + delay, self._last_timer, timer))
        return timer

    def create_connection(self, factory: Callable, *address: object) -> None:
        return None

    def create_task(self, connect: None) -> SimulatedConnect:
        connect, behaviour = SimulatedConnect(self), self._next_behaviour()
        self.connect_times.append(self.now)
        if behaviour == "refused":
            self.call_later(0.001, connect.end, None)
        elif behaviour != "silent":
            delay_s = 0.5 if behaviour in ("slow", "success") else 0.001
            self.call_later(delay_s, lambda: connect.end(SimulatedConnection(self)))
        return connect

    def request_written(self, connection: SimulatedConnection, url: str) -> None:
        wait_s = float(url.split("wait_ms=")[1]) / 1000 if "wait_ms" in url else 0.0
        match self._next_behaviour():
            case "refused" | "reset":
                self.call_later(0.001, connection.end)
            case "rejected":  # just before the request times out
                self.call_later(2.1, self._respond, connection, 503, OLD_GENERATION)
            case "slow":  # no change, as late as possible
                self.call_later(wait_s + 0.5, self._respond, connection, 200, OLD_GENERATION)
            case "success":
                self.call_later(2.1, self._respond, connection, 200, NEW_GENERATION)

    def run_next_timer(self) -> None:
        """Advance the clock to the next timer and run it."""
        self.now, _, timer = heapq.heappop(self._timers)
        if not timer.cancelled:
            timer.callback()

    def run_until_known(self) -> float:
        """Run until the gateway knows the change, and return the time since the change in s."""
        while self.known_at is None and self.now < 600:
            self.run_next_timer()
        return self.known_at - self.changed_at

    def _next_behaviour(self) -> str:
        behaviour = next(self._failures, "success")
        if behaviour == "success" and self.changed_at is None:
            self.changed_at = self.now
        elif behaviour != "success":
            self._remaining_failures -= 1
            if not self._remaining_failures:
                self.changed_at = self.now
        return behaviour

    def _respond(self, connection: SimulatedConnection, status: int, generation: int) -> None:
        if not connection.is_closed:
            body = json.dumps({"generation": generation, "reset": False, "instances": []}).encode()
            self.watch.handle_response(connection, Response(status, {}, body, True), True)

    def _list_received(self, endpoint_list: EndpointList) -> None:
        if endpoint_list.generation == NEW_GENERATION and self.known_at is None:
            self.known_at = self.now


class LongestDelays(random.Random):
    """A random generator that makes each random delay as long as possible."""

    def random(self) -> float:
        return 1.0


@pytest.mark.parametrize("fleet_size", [3, 200, 670])
def test_change_is_known_within_6_s_after_every_order_of_failures(fleet_size: int) -> None:
    """Covers all sequences of up to four failures with the longest delays, and random longer sequences."""
    spread_s = min(POLL_DURATION_S * fleet_size, MAX_POLL_CYCLE_S)
    for count in (1, 2, 3, 4):
        for failures in itertools.product(FAILURES, repeat=count):
            simulation = DiscoverySimulation(failures, LongestDelays(), spread_s)
            assert simulation.run_until_known() <= MAX_DELAY_S, failures
    rng = random.Random(fleet_size)
    for seed in range(300):
        failures = tuple(rng.choices(FAILURES, k=rng.randint(5, 14)))
        simulation = DiscoverySimulation(failures, random.Random(seed), spread_s)
        assert simulation.run_until_known() <= MAX_DELAY_S, failures


@pytest.mark.parametrize("fleet_size", [3, 200, 670])
def test_change_is_known_within_6_s_of_the_start(fleet_size: int) -> None:
    simulation = DiscoverySimulation((), LongestDelays(), min(POLL_DURATION_S * fleet_size, MAX_POLL_CYCLE_S))
    simulation.changed_at = 0.0
    assert simulation.run_until_known() <= MAX_DELAY_S


def test_request_rate_is_bounded_while_every_connect_is_refused() -> None:
    """At most one connect per 1.2 s, on average over 300 s."""
    simulation = DiscoverySimulation(("refused", "refused") * 400, random.Random(1), MAX_POLL_CYCLE_S)
    while simulation.now < 300:
        simulation.run_next_timer()
    assert len(simulation.connect_times) / 300 < 1 / 1.2


def test_request_rate_is_bounded_while_there_is_no_change() -> None:
    """At most one request per 2 s, on average."""
    simulation = DiscoverySimulation(("reset", *("slow",) * 140), random.Random(1), MAX_POLL_CYCLE_S)
    simulation.run_until_known()
    assert 140 / simulation.changed_at < 1 / 2.0
