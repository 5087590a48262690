"""A play of gateways over hosts that queue: what of each class is served, refused and late.

Hosts have cores that take one request each, first come first served; with `cores=None` nothing ever waits.
"""

from __future__ import annotations

import dataclasses
import heapq
import math
import random

from api_gateway.decisions.gateway import Gateway
from api_gateway.model.actions import FailRequest, RejectRequest, StartAttempt, StartTimer
from api_gateway.model.endpoints import Endpoint, UpdateKind
from api_gateway.model.events import AttemptEnded, EndpointUpdate, Event, RequestReceived, TimerFired
from api_gateway.model.results import AttemptResult
from api_gateway.model.settings import Plan, RequestClass
from support.event_simulation import EventSimulation
from support.gateway_driver import OPEN, settings

SIGMA = 0.7  # of the logarithm of lognormal work


@dataclasses.dataclass(frozen=True)
class Load:
    """Requests of one class: mean work in ms, and how many a second each gateway is asked."""

    cls: RequestClass
    work_ms: float
    rate: float
    shape: str = "lognormal"  # or "exponential", "fixed"
    plan: Plan = OPEN

    def draw(self, rng: random.Random) -> float:
        """The work of one request, in ms."""
        if self.shape == "exponential":
            return rng.expovariate(1 / self.work_ms)
        if self.shape == "fixed":
            return self.work_ms
        return rng.lognormvariate(math.log(self.work_ms) - SIGMA**2 / 2, SIGMA)


@dataclasses.dataclass
class Tally:
    """What became of the requests of one class."""

    asked: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0

    @property
    def turned_away(self) -> float:
        """Share of the requests that no host was asked to do."""
        return self.refused / max(self.asked, 1)

    @property
    def share_served(self) -> float:
        """Share of the requests that were answered within their aim."""
        return self.served / max(self.asked, 1)


@dataclasses.dataclass
class Asked:
    """A request that has no final answer yet."""

    load: Load
    at: float
    work: float
    attempts: int = 0


class EndpointSimulation(EventSimulation):
    """Gateways and hosts on one clock, which `times` stretches but for the gateways' own spacing."""

    def __init__(
        self,
        loads: list[Load],
        *,
        gateways: int = 1,
        hosts: int = 60,
        cores: int | None = None,
        seed: int = 1,
        times: float = 1.0,
        fleet_size: int | None = None,
    ) -> None:
        super().__init__(random.Random(seed), 1e6)
        self.loads, self.cores, self.times = loads, cores, times
        self.free = {f"h{i}": [0.0] * (cores or 0) for i in range(hosts)}
        self.tallies = {load.cls.name: Tally() for load in loads}
        self.open: dict[str, Asked] = {}
        self.sent: list[tuple[float, float]] = []  # when, and how much work
        plans = {load.plan.name: load.plan for load in loads}
        set_up = settings(
            classes=tuple(load.cls for load in loads),
            plans=tuple(plans.values()),
            fleet_size=fleet_size or gateways,
            counter_enabled=False,
        )
        self.gateways = [
            Gateway(dataclasses.replace(set_up, gateway_index=i), seed * 1000 + i) for i in range(gateways)
        ]
        servers = tuple(Endpoint(name, "ab"[i % 2], i % 2) for i, name in enumerate(self.free))
        for i in range(gateways):
            self._give(i, EndpointUpdate(UpdateKind.CACHED, servers))

    def run(self, seconds: float, pace: float = 1.0) -> EndpointSimulation:
        """Open-loop load at `pace` times the loads' rates; then all tallies hold what it came to."""
        weights = [load.rate for load in self.loads]
        total = pace * sum(weights) * len(self.gateways) / 1000
        self._arrivals(seconds, total, lambda: self._ask(self.rng.choices(self.loads, weights)[0]))
        return self

    def forget(self) -> None:
        """Begin the tallies anew."""
        self.tallies = {name: Tally() for name in self.tallies}
        self.sent.clear()

    def offered_work(self, since_ms: float) -> float:
        """Work sent to the hosts since a moment of the play, in ms for each ms and core."""
        span = self.now - self.born - since_ms
        work = sum(w for at, w in self.sent if at - self.born >= since_ms)
        return work / span / (len(self.free) * (self.cores or 1))

    def _ask(self, load: Load) -> None:
        self.serial += 1
        rid = f"r{self.serial}"
        self.open[rid] = Asked(load, self.now, load.draw(self.rng))
        self.tallies[load.cls.name].asked += 1
        i = self.rng.randrange(len(self.gateways))
        self._give(i, RequestReceived(rid, load.cls.name, load.plan.name, "c", load.cls.deadline_ms))

    def _give(self, i: int, event: Event) -> None:
        if isinstance(event, AttemptEnded) and event.result == AttemptResult.OK:
            asked = self.open.pop(event.request_id)
            self.tallies[asked.load.cls.name].served += (
                self.now - asked.at <= asked.load.cls.latency_objective_ms
            )
        for act in self.gateways[i].handle(self.now, event):
            match act:
                case StartAttempt():
                    self._send(i, act)
                case StartTimer():
                    self._later(act.delay_ms, i, TimerFired(act.name))
                case RejectRequest():
                    self.tallies[self.open.pop(act.request_id).load.cls.name].refused += 1
                case FailRequest():
                    self.tallies[self.open.pop(act.request_id).load.cls.name].failed += 1

    def _send(self, i: int, act: StartAttempt) -> None:
        asked = self.open[act.request_id]
        self.sent.append((self.now, asked.work))
        took = asked.work
        if self.cores:
            free = self.free[act.endpoint]
            start = max(self.now, heapq.heappop(free))
            heapq.heappush(free, start + asked.work)
            took = start + asked.work - self.now
        result = AttemptResult.OK
        if took > act.timeout_ms:
            result, took = AttemptResult.TIMED_OUT, act.timeout_ms
        outcome = AttemptEnded(
            act.request_id, asked.attempts, act.endpoint, result, took, result == AttemptResult.OK
        )
        asked.attempts += 1
        self._later(took, i, outcome)
