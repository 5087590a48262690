"""One clock, one queue of events and open-loop arrivals for plays of several gateways."""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable

from api_gateway.model.events import Event


class EventSimulation:
    """What plays share; each gives events to its gateways by `_give`. Times in ms."""

    def __init__(self, rng: random.Random, now_ms: float) -> None:
        self.rng = rng
        self.now = self.born = now_ms
        self.queue: list[tuple[float, int, int, Event]] = []
        self.serial = 0

    def _give(self, i: int, event: Event) -> None:
        raise NotImplementedError

    def _later(self, delay_ms: float, i: int, event: Event) -> None:
        self.serial += 1
        heapq.heappush(self.queue, (self.now + delay_ms, self.serial, i, event))

    def _arrivals(self, seconds: float, per_ms: float, ask: Callable[[], None]) -> None:
        """Ask `per_ms` times a ms in the mean, in chance moments that do not wait for answers."""
        end = self.now + 1000 * seconds
        at = self.now + self.rng.expovariate(per_ms)
        while True:
            due = self.queue[0][0] if self.queue else math.inf
            if min(at, due) > end:
                break
            if due <= at:
                self.now, _, i, event = heapq.heappop(self.queue)
                self._give(i, event)
            else:
                self.now = at
                ask()
                at += self.rng.expovariate(per_ms)
        self.now = end
