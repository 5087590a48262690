"""A play of a fleet's quotas: what many gateways send on, against each customer's true store."""

from __future__ import annotations

import random
from dataclasses import dataclass

from api_gateway.decisions.gateway import Gateway
from api_gateway.model.actions import IncrementCounter, RejectRequest, StartAttempt, StartTimer
from api_gateway.model.endpoints import UpdateKind
from api_gateway.model.events import (
    AttemptEnded,
    CounterReply,
    EndpointUpdate,
    Event,
    RequestReceived,
    TimerFired,
)
from api_gateway.model.results import AttemptResult, CounterResult
from api_gateway.model.settings import Plan
from support.event_simulation import EventSimulation
from support.gateway_driver import endpoint, settings

SWEEP_MS = 100.0
SERVED_MS = 50.0
ASKED = (0.2, 0.3, 0.3, 0.4, 0.5, 0.5, 0.9, 4.0)  # times its rate, for each customer


@dataclass
class Store:
    """One customer's true quota store, and its ceiling's, in units."""

    plan: Plan
    left: float
    ceiling: float
    at_ms: float = 0.0
    lowest_ceiling: float = 0.0

    def fill(self, now_ms: float) -> None:
        """Bring both stores up to a moment."""
        span = (now_ms - self.at_ms) / 1000
        self.left = min(self.plan.quota_burst, self.left + self.plan.quota_rate * span)
        self.ceiling = min(self.plan.ceiling_burst, self.ceiling + self.plan.ceiling_rate * span)
        self.at_ms = now_ms

    def take(self, units: float) -> bool:
        """One request is first sent on: whether it is inside the quota."""
        self.ceiling -= units
        self.lowest_ceiling = min(self.lowest_ceiling, self.ceiling)
        inside = self.left >= units
        if inside:
            self.left -= units
        return inside


class QuotaSimulation(EventSimulation):
    """Gateways, a counter that turns some calls away, and each customer's true store."""

    def __init__(
        self,
        seed: int,
        plan: Plan,
        *,
        fleet: int = 200,
        width: int | None = None,
        asked: tuple[float, ...] = ASKED,
        turned_away: float = 0.0,
        call_ms: float = 2.0,
        lean: float = 0.0,
        units: tuple[int, ...] = (1, 2, 3),
    ) -> None:
        """`asked`: each customer's requests in parts of its rate; `lean`: part of them at one gateway."""
        super().__init__(random.Random(seed), 1e6 + 1e4 * seed)
        self.plan, self.asked, self.units = plan, asked, units
        self.fleet, self.gateway_count = fleet, width or fleet
        self.turned_away, self.call_ms, self.lean = turned_away, call_ms, lean
        set_up = settings(
            plans=(plan,), fleet_size=fleet, counter_timeout_ms=240.0, max_request_units=max(units)
        )
        self.gateways = [Gateway(set_up, 1000 * seed + i) for i in range(fleet)]
        self.totals: dict[str, float] = {}
        self.stores = [Store(plan, plan.quota_burst, plan.ceiling_burst, self.now) for _ in asked]
        self.first_gateway = [self.rng.randrange(fleet) for _ in asked]
        self.inside = self.beyond = 0.0  # units
        self.tries = self.refused = self.refused_with_room = self.calls = 0
        self.open: dict[str, tuple[int, float]] = {}
        for i in range(fleet):
            self._give(i, EndpointUpdate(UpdateKind.CACHED, tuple(endpoint(n) for n in range(8))))

    def run(self, seconds: float) -> QuotaSimulation:
        """Each customer asks at its own pace, in chance moments."""
        mean = sum(self.units) / len(self.units)
        paces = [times * self.plan.quota_rate / mean / 1000 for times in self.asked]
        total = sum(paces)
        customers = range(len(paces))
        self._arrivals(seconds, total, lambda: self._ask(self.rng.choices(customers, paces)[0]))
        return self

    @property
    def within(self) -> float:
        """Units that all quotas together allowed of what was asked."""
        span = (self.now - self.born) / 1000
        return sum(
            min(times * self.plan.quota_rate * span, self.plan.quota_rate * span + self.plan.quota_burst)
            for times in self.asked
        )

    def _ask(self, customer: int) -> None:
        self.serial += 1
        rid, units = f"r{self.serial}", float(self.rng.choice(self.units))
        self.tries += 1
        self.open[rid] = customer, units
        place = 0 if self.rng.random() < self.lean else self.rng.randrange(self.gateway_count)
        gateway = (self.first_gateway[customer] + place) % self.fleet
        self._give(
            gateway,
            RequestReceived(
                rid,
                "read",
                self.plan.name,
                f"c{customer}",
                4000,
                units,
                self.gateway_count,
                self.first_gateway[customer],
            ),
        )

    def _give(self, i: int, event: Event) -> None:
        for act in self.gateways[i].handle(self.now, event):
            match act:
                case IncrementCounter():
                    self._count(i, act)
                case StartAttempt():
                    self._sent(i, act)
                case RejectRequest():
                    self._refuse(act)
                case StartTimer():
                    self._later(act.delay_ms, i, TimerFired(act.name))

    def _count(self, i: int, act: IncrementCounter) -> None:
        self.calls += 1
        if self.rng.random() < self.turned_away:
            reply = CounterReply(act.name, CounterResult.OVERLOADED, 0, self.call_ms)
        else:
            self.totals[act.name] = self.totals.get(act.name, 0.0) + act.amount
            reply = CounterReply(act.name, CounterResult.OK, self.totals[act.name], self.call_ms)
        self._later(self.call_ms, i, reply)

    def _sent(self, i: int, act: StartAttempt) -> None:
        customer, units = self.open.pop(act.request_id)
        store = self.stores[customer]
        store.fill(self.now)
        if store.take(units):
            self.inside += units
        else:
            self.beyond += units
        self._later(
            SERVED_MS, i, AttemptEnded(act.request_id, 0, act.endpoint, AttemptResult.OK, SERVED_MS, True)
        )

    def _refuse(self, act: RejectRequest) -> None:
        customer, units = self.open.pop(act.request_id)
        store = self.stores[customer]
        store.fill(self.now)
        self.refused += 1
        self.refused_with_room += store.left >= max(self.plan.quota_burst / 2, units)
