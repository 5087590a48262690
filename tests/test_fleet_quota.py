"""Quotas over a whole fleet: what 200 gateways send on beyond them on a quiet day, against true stores."""

from __future__ import annotations

import random

from conftest import server, settings

from api_gateway import interface as api
from api_gateway.decisions.gateway import Gateway

FLEET = 200
PLAN = api.Plan("team", rate=5, burst=20, over_cost=1.0)
TURNED_AWAY = 0.15  # of the counter calls of a fleet of 200, as seen on quiet days at size
ASKED = (0.2, 0.3, 0.3, 0.4, 0.5, 0.5, 0.9, 4.0)  # times its rate, for each customer


class Fleet:
    """Gateways, a counter that turns some calls away, and each customer's true store."""

    def __init__(self, seed: int) -> None:
        self.rng, self.now = random.Random(seed), 1e6
        set_up = settings(plans=(PLAN,), fleet_size=FLEET, count_wait_ms=240.0)
        self.gateways = [Gateway(set_up, i) for i in range(FLEET)]
        self.totals: dict[str, float] = {}
        self.store = [PLAN.burst] * len(ASKED)
        self.inside = self.beyond = 0.0
        for gateway in self.gateways:
            gateway.handle(self.now, api.ServerList("kept", tuple(server(i) for i in range(8))))

    def play(self, seconds: float) -> None:
        arrivals = sorted(
            (self.rng.random() * seconds * 1000, i)
            for i, times in enumerate(ASKED)
            for _ in range(round(seconds * times * PLAN.rate / 2))
        )
        last = sweep = 0.0
        for serial, (at, customer) in enumerate(arrivals):
            while sweep < at:
                for gateway in self.gateways:
                    self._give(gateway, sweep, api.TimerDue("sweep"))
                sweep += 100.0
            for i in range(len(ASKED)):
                self.store[i] = min(PLAN.burst, self.store[i] + PLAN.rate * (at - last) / 1000)
            last, units = at, self.rng.choice((1, 2, 3))
            rid = f"r{serial}.{customer}.{units}"
            self._give(
                self.rng.choice(self.gateways),
                at,
                api.Request(rid, "read", "team", f"c{customer}", 4000, units, FLEET, 0),
            )

    def _give(self, gateway: Gateway, at: float, event: api.Event) -> None:
        events = [event]
        while events:
            for act in gateway.handle(self.now + at, events.pop(0)):
                if isinstance(act, api.Count):
                    events.append(self._count(act))
                elif isinstance(act, api.Send):
                    _, customer, units = act.request.split(".")
                    self._sent(int(customer), float(units))
                    events.append(api.Outcome(act.request, 0, act.server, api.OK, 50, True))

    def _count(self, act: api.Count) -> api.CountReply:
        if self.rng.random() < TURNED_AWAY:
            return api.CountReply(act.name, api.FULL, 0, 2)
        self.totals[act.name] = self.totals.get(act.name, 0.0) + act.amount
        return api.CountReply(act.name, api.OK, self.totals[act.name], 2)

    def _sent(self, customer: int, units: float) -> None:
        if self.store[customer] >= units:
            self.store[customer] -= units
            self.inside += units
        else:
            self.beyond += units


def test_a_quiet_days_sends_beyond_quotas_cost_under_a_tenth() -> None:
    """Who sees the true state late sends next to nothing beyond: the term leaves 0.1 of the worth for it."""
    for seed in (1, 2):
        fleet = Fleet(seed)
        fleet.play(30)
        within = sum(min(times, 1.0) for times in ASKED) * PLAN.rate * 30 + PLAN.burst
        assert PLAN.over_cost * fleet.beyond / within < 0.1
        assert fleet.inside / within > 0.85  # and not by refusing what is inside
