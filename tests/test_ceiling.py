"""The ceiling, which all gateways together must never exceed."""

from __future__ import annotations

import random

import pytest
from support.gateway_driver import (
    GatewayDriver,
    actions_of_type,
    settings,
)

from api_gateway.model.actions import Action, IncrementCounter, StartAttempt
from api_gateway.model.events import (
    AttemptEnded,
    CounterReply,
    TimerFired,
)
from api_gateway.model.results import AttemptResult, CounterResult


@pytest.mark.parametrize("seed", range(10))
def test_all_gateways_together_never_exceed_the_ceiling(seed: int) -> None:
    """The bucket must never fall below 0, whatever the counter replies and whenever gateways restart."""
    rng = random.Random(seed)
    plan = settings().plans[1]
    now_ms, tokens, taken_at_ms, sent = 5e5, plan.ceiling_burst, 5e5, 0
    units: dict[str, int] = {}
    fleet = [GatewayDriver(now_ms=now_ms, seed=i, gateway_index=i) for i in range(3)]

    def carry_out(driver: GatewayDriver, actions: list[Action]) -> None:
        nonlocal tokens, taken_at_ms, sent
        for action in actions_of_type(actions, StartAttempt):
            tokens = min(plan.ceiling_burst, tokens + (now_ms - taken_at_ms) * plan.ceiling_rate / 1000)
            taken_at_ms = now_ms
            tokens -= units[action.request_id]
            sent += 1
            assert tokens >= -1e-6
            carry_out(
                driver,
                driver.deliver(
                    AttemptEnded(action.request_id, 0, action.endpoint, AttemptResult.OK, 50, True)
                ),
            )
        for action in actions_of_type(actions, IncrementCounter):
            result = rng.choice([CounterResult.OK, CounterResult.TIMED_OUT, CounterResult.OVERLOADED])
            carry_out(
                driver,
                driver.deliver(CounterReply(action.name, result, rng.choice([action.amount, 0.0, 50.0]))),
            )

    for step in range(3000):
        now_ms += rng.expovariate(1 / 10)
        if rng.random() < 0.002:
            i = rng.randrange(3)
            fleet[i] = GatewayDriver(now_ms=now_ms, seed=step, gateway_index=i)
        driver = fleet[rng.choice([0, 0, 1, 2]) if step % 1000 < 700 else 2]
        driver.now_ms, driver.serial = now_ms, step
        units[f"r{step + 1}"] = size = rng.choice([1, 1, 2])
        carry_out(driver, driver.send_request(plan="capped", units=size)[1])
        carry_out(driver, driver.deliver(TimerFired("sweep")))
    assert sent > 100


def test_ceiling_holds_for_ten_gateways_of_a_large_fleet_with_restarts() -> None:
    """A gateway that restarts must not begin with tokens that the process before it has used."""
    rng = random.Random(4)
    plan = settings().plans[1]
    now_ms, tokens, taken_at_ms, sent = 5e5, plan.ceiling_burst, 5e5, 0
    fleet = [
        GatewayDriver(now_ms=now_ms, seed=i, gateway_index=i, fleet_size=300, endpoints=2) for i in range(10)
    ]
    for step in range(4000):
        now_ms += rng.expovariate(1 / 5)
        i = rng.randrange(10)
        if rng.random() < 0.01:
            fleet[i] = GatewayDriver(now_ms=now_ms, seed=step, gateway_index=i, fleet_size=300, endpoints=2)
        driver = fleet[i]
        driver.now_ms, driver.serial = now_ms, step
        request_id, actions = driver.send_request(plan="capped", gateway_count=10)
        for action in actions_of_type(actions, IncrementCounter):
            result = rng.choice([CounterResult.OK, CounterResult.TIMED_OUT])
            actions = actions + driver.deliver(CounterReply(action.name, result, rng.choice([0.0, 90.0])))
        for _ in actions_of_type(actions, StartAttempt):
            tokens = min(plan.ceiling_burst, tokens + (now_ms - taken_at_ms) * plan.ceiling_rate / 1000) - 1
            taken_at_ms, sent = now_ms, sent + 1
            assert tokens >= -1e-6
        if request_id in driver.gateway.pending_requests:
            driver.end_attempt(request_id)
    assert sent > 50
