"""A play of many instances of the module over hosts, in one process: what the whole fleet sends to each host.

Latency does not depend on load, so nothing but the module's own budget spares a host.
"""

from __future__ import annotations

import dataclasses
import heapq
import random
from bisect import bisect_left

from api_gateway.decisions.gateway import Gateway
from api_gateway.model.actions import StartAttempt, StartTimer
from api_gateway.model.endpoints import Endpoint, EndpointStatus, UpdateKind
from api_gateway.model.events import AttemptEnded, EndpointUpdate, Event, RequestReceived, TimerFired
from api_gateway.model.results import AttemptResult
from api_gateway.model.settings import Idempotency
from support.gateway_driver import OPEN, SAFE, settings

CAPACITY = 25.0  # calls a second that a warm host does


@dataclasses.dataclass
class FleetSimulation:
    """`rate`: calls a second offered for each host; times in seconds, but for the module's."""

    gateways: int = 30
    hosts: int = 50
    rate: float = 15.0
    multiple: float = 1.2
    slow_start_min_weight: float = 0.2
    cold_s: float = 10.0
    tip_s: float = 2.0
    skew: float = 0.0  # 0: even traffic; else the shape of a gateway's share, the smaller the more uneven
    seed: int = 1
    idle_s: float = 30.0
    duration_ms: float = 60.0

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.now = 1e9
        self.set_up = settings(
            classes=(dataclasses.replace(SAFE, idempotency=Idempotency.IDEMPOTENT),),
            plans=(OPEN,),
            fleet_size=self.gateways,
            slow_start_min_weight=self.slow_start_min_weight,
            slow_start_ms=1000 * self.cold_s,
            overload_multiple=self.multiple,
            overload_window_ms=1000 * self.tip_s,
            idle_connection_timeout_ms=1000 * self.idle_s,
            counter_enabled=False,
        )
        self.endpoints = {f"h{i}": self._server(f"h{i}", 0.0) for i in range(self.hosts)}
        self.fleet: list[Gateway] = []
        self.queue: list[tuple[float, int, int, Event]] = []
        self.serial = 0
        self.sent: dict[str, list[float]] = {}  # by host: when each send left
        self.asked = self.dials = 0
        self.used: dict[tuple[int, str], float] = {}
        self.share = [1.0] * self.gateways
        if self.skew:
            self.share = [self.rng.gammavariate(self.skew, 1.0) for _ in range(self.gateways)]
        self.heirs = self.hosts
        for i in range(self.gateways):
            self.fleet.append(None)
            self.restart(i)

    @staticmethod
    def _server(name: str, born: float) -> Endpoint:
        return Endpoint(name, "ab"[hash_of(name) % 2], 0, EndpointStatus.UP, 1.0, born)

    def restart(self, i: int) -> None:
        """A gateway that begins from nothing."""
        me = dataclasses.replace(self.set_up, gateway_index=i)
        self.fleet[i] = Gateway(me, self.seed * 1000 + i + self.serial)
        self.queue = [entry for entry in self.queue if entry[2] != i]
        heapq.heapify(self.queue)
        self._give(i, EndpointUpdate(UpdateKind.CACHED, tuple(self.endpoints.values())))

    def replace(self, names: list[str]) -> list[str]:
        """Hosts go, and as many start cold under new ids; all gateways are told at once."""
        born = []
        for name in names:
            del self.endpoints[name]
            heir = f"h{self.heirs}"
            self.heirs += 1
            self.endpoints[heir] = self._server(heir, self.now)
            born.append(heir)
        news = tuple(Endpoint(n, status=EndpointStatus.REMOVED) for n in names) + tuple(
            self.endpoints[n] for n in born
        )
        for i in range(self.gateways):
            self._give(i, EndpointUpdate(UpdateKind.CHANGES, news))
        return born

    def run(self, seconds: float) -> None:
        """Open-loop load: arrivals do not wait for answers."""
        end = self.now + 1000 * seconds
        total = self.rate * len(self.endpoints) / 1000
        at = self.now + self.rng.expovariate(total)
        while True:
            due = self.queue[0][0] if self.queue else 1e18
            if min(at, due) > end:
                break
            if due <= at:
                self.now, _, i, event = heapq.heappop(self.queue)
                self._give(i, event)
            else:
                self.now = at
                self.asked += 1
                self.serial += 1
                i = self.rng.choices(range(self.gateways), self.share)[0]
                self._give(i, RequestReceived(f"r{self.serial}", "read", "open", "c", 4000))
                at += self.rng.expovariate(total)
        self.now = end

    def _give(self, i: int, event: Event) -> None:
        for act in self.fleet[i].handle(self.now, event):
            if isinstance(act, StartAttempt):
                self.sent.setdefault(act.endpoint, []).append(self.now)
                if self.now - self.used.get((i, act.endpoint), -1e12) > 500 * self.idle_s:
                    self.dials += 1
                self.used[i, act.endpoint] = self.now
                took = self.duration_ms * self.rng.uniform(0.5, 1.5)
                self._later(
                    took, i, AttemptEnded(act.request_id, 0, act.endpoint, AttemptResult.OK, took, True)
                )
            elif isinstance(act, StartTimer):
                self._later(act.delay_ms, i, TimerFired(act.name))

    def _later(self, delay_ms: float, i: int, event: Event) -> None:
        self.serial += 1
        heapq.heappush(self.queue, (self.now + delay_ms, self.serial, i, event))

    # What came of it

    def budget(self, name: str, since: float) -> float:
        """Calls that the settings allow a host in the span that begins at `since`."""
        born, tip, steps = self.endpoints[name].started_at_ms, 1000 * self.tip_s, 20
        total = 0.0
        for step in range(steps):
            age = (since + (step + 0.5) / steps * tip - born) / (1000 * self.cold_s)
            total += min(self.slow_start_min_weight + (1 - self.slow_start_min_weight) * age, 1.0)
        return self.multiple * CAPACITY * self.tip_s * total / steps

    def fallen(self) -> list[str]:
        """Hosts that got more than N + 2 x root of N + 2 calls in one span while they were cold."""
        out = []
        for name, server in self.endpoints.items():
            sent = self.sent.get(name, []) if server.started_at_ms else []
            for k, since in enumerate(sent):
                if since + 1000 * self.tip_s >= server.started_at_ms + 1000 * self.cold_s:
                    break  # a span that ends when it is warm
                allowed = self.budget(name, since)
                if bisect_left(sent, since + 1000 * self.tip_s) - k > allowed + 2 * allowed**0.5 + 2:
                    out.append(name)
                    break
        return out

    def per_host(self, since: float, until: float) -> dict[str, float]:
        """Calls a second that each host got in a span of time."""

        def count(name: str) -> int:
            sent = self.sent.get(name, [])
            return bisect_left(sent, until) - bisect_left(sent, since)

        return {name: count(name) / (until - since) * 1000 for name in self.endpoints}


def hash_of(name: str) -> int:
    """A number of a name that is the same in every run."""
    return sum(name.encode())
