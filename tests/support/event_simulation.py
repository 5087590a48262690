"""Discrete-event simulation of several gateways: one clock, one event queue and open-loop arrivals."""

from __future__ import annotations

import abc
import heapq
import math
import random
from collections.abc import Callable
from typing import NamedTuple

from api_gateway.model.events import Event


class ScheduledEvent(NamedTuple):
    """An event in the queue; events due at the same time are ordered by serial number."""

    due_at_ms: float
    serial: int
    gateway_index: int
    event: Event


class EventSimulation(abc.ABC):
    """Base class of the simulations; a subclass delivers events to its gateways.

    Attributes:
        rng: Source of all random draws.
        now_ms: Simulated time in milliseconds.
        started_at_ms: Simulated time at the start, in milliseconds.
        serial: Number of scheduled events and requests so far.
    """

    def __init__(self, rng: random.Random, now_ms: float) -> None:
        """Initialize the clock and an empty queue.

        Args:
            rng: Source of all random draws.
            now_ms: Simulated time at the start, in milliseconds.
        """
        self.rng = rng
        self.now_ms = self.started_at_ms = now_ms
        self.serial = 0
        self._queue: list[ScheduledEvent] = []

    @abc.abstractmethod
    def _deliver(self, gateway_index: int, event: Event) -> None:
        """Pass an event to a gateway at the current time, and carry out its actions."""

    def _next_serial(self) -> int:
        self.serial += 1
        return self.serial

    def _schedule(self, delay_ms: float, gateway_index: int, event: Event) -> None:
        """Schedule the delivery of an event after a delay in milliseconds."""
        due_at_ms = self.now_ms + delay_ms
        heapq.heappush(self._queue, ScheduledEvent(due_at_ms, self._next_serial(), gateway_index, event))

    def _discard_events(self, gateway_index: int) -> None:
        """Remove all scheduled events of one gateway."""
        self._queue = [entry for entry in self._queue if entry.gateway_index != gateway_index]
        heapq.heapify(self._queue)

    def _run_open_loop(
        self, seconds: float, requests_per_ms: float, send_request: Callable[[], None]
    ) -> None:
        """Deliver events and send requests, which do not wait for responses.

        Args:
            seconds: Duration in simulated seconds.
            requests_per_ms: Mean rate of the Poisson arrivals, in requests per millisecond.
            send_request: Sends one request at the current time.
        """
        end_at_ms = self.now_ms + 1000 * seconds
        arrival_at_ms = self.now_ms + self.rng.expovariate(requests_per_ms)
        while True:
            event_at_ms = self._queue[0].due_at_ms if self._queue else math.inf
            if min(arrival_at_ms, event_at_ms) > end_at_ms:
                break
            if event_at_ms <= arrival_at_ms:
                self._deliver_next_event()
            else:
                self.now_ms = arrival_at_ms
                send_request()
                arrival_at_ms += self.rng.expovariate(requests_per_ms)
        self.now_ms = end_at_ms

    def _deliver_next_event(self) -> None:
        entry = heapq.heappop(self._queue)
        self.now_ms = entry.due_at_ms
        self._deliver(entry.gateway_index, entry.event)
