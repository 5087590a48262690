"""A gateway that a test drives by hand: its settings, its clock and its events."""

from __future__ import annotations

import dataclasses

from api_gateway.decisions.gateway import Gateway
from api_gateway.model.actions import Action, IncrementCounter, StartAttempt
from api_gateway.model.endpoints import Endpoint, UpdateKind
from api_gateway.model.events import (
    AttemptEnded,
    CounterReply,
    EndpointUpdate,
    Event,
    RequestReceived,
    TimerFired,
)
from api_gateway.model.results import AttemptResult, CounterResult
from api_gateway.model.settings import Idempotency, KeyScope, Plan, RequestClass, Settings

SAFE = RequestClass("read", latency_objective_ms=1000, deadline_ms=4000, priority_weight=3)
KEYED = RequestClass(
    "put",
    latency_objective_ms=1000,
    deadline_ms=4000,
    priority_weight=5,
    idempotency=Idempotency.WITH_KEY,
    idempotency_key_scope=KeyScope.ZONE,
    idempotency_window_ms=3000,
)
UNSAFE = RequestClass(
    "pay",
    latency_objective_ms=1000,
    deadline_ms=4000,
    priority_weight=5,
    idempotency=Idempotency.NOT_IDEMPOTENT,
)
PLAN = Plan("basic", quota_rate=2, quota_burst=6)
CAPPED = Plan(
    "capped",
    quota_rate=5,
    quota_burst=10,
    priority_weight=1.4,
    over_quota_weight=0.2,
    ceiling_rate=10,
    ceiling_burst=20,
    ceiling_tolerance=2,
)
OPEN = Plan("open")


def settings(**changes: object) -> Settings:
    base = Settings(
        classes=(SAFE, KEYED, UNSAFE),
        plans=(PLAN, CAPPED, OPEN),
        fleet_size=3,
        zone="a",
        max_attempts=4,
        cancellation_supported=True,
        max_retry_after_ms=2000,
        counter_enabled=True,
        clock_tick_ms=2,
        drain_grace_ms=500,
        slow_start_min_weight=0.2,
        slow_start_ms=10000,
        overload_multiple=3,
        overload_window_ms=2000,
    )
    return dataclasses.replace(base, **changes)


class GatewayDriver:
    """A gateway with its clock, its open attempts and a counter of request ids."""

    def __init__(self, endpoints: int = 4, seed: int = 1, now: float = 1e6, **changes: object) -> None:
        self.gateway = Gateway(settings(**changes), seed)
        self.now = now
        self.serial = 0
        self.totals: dict[str, float] = {}  # the shared counter, and how many calls it has answered
        self.answered = 0
        self.log: list[tuple[float, Action]] = []
        self.give(EndpointUpdate(UpdateKind.CACHED, tuple(endpoint(i) for i in range(endpoints))))

    def give(self, event: Event, after: float = 0.0) -> list[Action]:
        self.now += after
        out = self.gateway.handle(self.now, event)
        self.log += [(self.now, action) for action in out]
        return out

    def ask(
        self,
        cls: str = "read",
        plan: str = "open",
        tenant: str = "c",
        time_left_ms: float = 4000,
        units: float = 1,
        after: float = 0.0,
        gateway_count: int = 3,
    ) -> tuple[str, list[Action]]:
        self.serial += 1
        request_id = f"r{self.serial}"
        return request_id, self.give(
            RequestReceived(request_id, cls, plan, tenant, time_left_ms, units, gateway_count, 0), after
        )

    def end(
        self,
        request_id: str,
        result: AttemptResult = AttemptResult.OK,
        duration_ms: float = 50,
        attempt: int | None = None,
        actual_units: float = 0.0,
        after: float = 0.0,
    ) -> list[Action]:
        sends = [a for _, a in self.log if isinstance(a, StartAttempt) and a.request_id == request_id]
        n = len(sends) - 1 if attempt is None else attempt
        return self.give(
            AttemptEnded(
                request_id,
                n,
                sends[n].endpoint,
                result,
                duration_ms,
                result == AttemptResult.OK,
                actual_units=actual_units,
            ),
            after,
        )

    def sweep(self, times: int = 1, every: float = 100) -> None:
        for _ in range(times):
            self.give(TimerFired("sweep"), every)


def endpoint(i: int, **changes: object) -> Endpoint:
    return dataclasses.replace(Endpoint(f"h{i}", "ab"[i % 2], i % 2), **changes)


def actions_of_type(out: list[Action], kind: type) -> list:
    return [a for a in out if isinstance(a, kind)]


def calls_of(driver: GatewayDriver) -> list[IncrementCounter]:
    return [a for _, a in driver.log if isinstance(a, IncrementCounter)]


def drive(driver: GatewayDriver, n: int, peer_usage: float = 0.0, lose_at: int = -1, **how: object) -> int:
    """Send n requests, 1 ms apart; peers add `peer_usage` before each, the counter answers at once."""
    sent = 0
    for i in range(n):
        if i == lose_at:
            driver.totals = dict.fromkeys(driver.totals, 0.0)
        driver.totals = {name: total + peer_usage for name, total in driver.totals.items()}
        request_id, _ = driver.ask(after=1, **how)
        while driver.answered < len(calls := calls_of(driver)):
            action = calls[driver.answered]
            driver.answered += 1
            driver.totals[action.name] = driver.totals.get(action.name, 0.0) + action.amount
            driver.give(CounterReply(action.name, CounterResult.OK, driver.totals[action.name]))
        sent += any(isinstance(a, StartAttempt) and a.request_id == request_id for _, a in driver.log)
    return sent


def ask_with_totals(
    driver: GatewayDriver, units: float, total: float, after: float = 0.0, before: float = 0.0
) -> list[Action]:
    """Send a request and answer its counter calls.

    Args:
        driver: The gateway.
        units: Units of the request.
        total: Total of this window's count.
        after: Milliseconds before the request.
        before: Total of the last window's count.

    Returns:
        All actions.
    """
    _, actions = driver.ask(plan="basic", units=units, after=after, gateway_count=20)
    actions = list(actions)
    count = next(a for a in actions if isinstance(a, IncrementCounter))
    actions += driver.give(CounterReply(count.name, CounterResult.OK, total), 2)
    last = actions[-1]
    if isinstance(last, IncrementCounter) and last.name != count.name and last.amount == 0:
        actions += driver.give(CounterReply(last.name, CounterResult.OK, before), 2)
    return actions
