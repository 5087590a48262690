"""What an endpoint that is warming up is sent."""

from __future__ import annotations

import pytest
from support.gateway_driver import (
    GatewayDriver,
    actions_of_type,
    endpoint,
)

from api_gateway.decisions import (
    slow_start,
)
from api_gateway.model.actions import StartAttempt
from api_gateway.model.endpoints import UpdateKind
from api_gateway.model.events import (
    EndpointUpdate,
    TimerFired,
)
from api_gateway.model.results import AttemptResult


def test_an_endpoint_in_slow_start_gets_no_more_than_its_budget() -> None:
    driver = GatewayDriver(endpoints=4)
    for i in range(300):
        request_id, _ = driver.ask(after=10)
        driver.end(request_id, duration_ms=100)
        if i % 10 == 9:
            driver.give(TimerFired("sweep"))
    driver.give(EndpointUpdate(UpdateKind.CHANGES, (endpoint(9, started_at_ms=driver.now),)))
    to_cold = to_all = 0
    for i in range(200):
        request_id, out = driver.ask(after=10)
        to_all += 1
        to_cold += actions_of_type(out, StartAttempt)[0].endpoint == "h9"
        driver.end(
            request_id, duration_ms=10 if actions_of_type(out, StartAttempt)[0].endpoint == "h9" else 100
        )
        if i % 10 == 9:
            driver.give(TimerFired("sweep"))
    assert to_cold <= slow_start.SAFETY_MARGIN * 3 * 0.4 * to_all / 4 + 1


def test_budget_saves_half_of_the_overload_window() -> None:
    driver = GatewayDriver(endpoints=1)
    gateway = driver.gateway
    driver.sweep(20)  # past the time in which it has no rates yet
    driver.give(EndpointUpdate(UpdateKind.FULL, (endpoint(9, started_at_ms=driver.now - 5000),)))
    cold = gateway.subset.refresh(driver.now).warming_up[0]
    # Work admitted in each millisecond, for the only endpoint there is.
    gateway.traffic.admitted_work_rate = 0.1 / (slow_start.SAFETY_MARGIN * 3)
    saved = 0.2 * 0.1 * 2000 / 2  # at most half a span's worth is saved up
    gateway.slow_start._refill(cold, 0.2, driver.now)
    assert cold.slow_start_budget >= saved - 0.1
    gateway.latency._per_unit_ms["read"] = saved / 4.5
    outs = [driver.ask()[1] for _ in range(20)]
    assert (
        4 <= sum(len(actions_of_type(out, StartAttempt)) for out in outs) <= 5
    )  # the other endpoints are removed: the budget still holds


@pytest.mark.parametrize("part", [0.02, 0.2, 0.7])
def test_budgets_below_one_request_add_up_over_the_fleet(part: float) -> None:
    sent = 0
    for i in range(300):
        driver = GatewayDriver(endpoints=1, seed=i, fleet_size=300)
        driver.sweep(20)
        let_in = 0.1 / (slow_start.SAFETY_MARGIN * 3)
        work = 0.36 * 0.1 * 1000 / part  # 2 of 10 s: at least 0.36 warm
        driver.give(EndpointUpdate(UpdateKind.FULL, (endpoint(9, started_at_ms=driver.now - 2000),)))
        driver.gateway.latency._per_unit_ms["read"], driver.gateway.traffic.admitted_work_rate = work, let_in
        sent += any(actions_of_type(driver.ask()[1], StartAttempt) for _ in range(10))
    assert abs(sent - 300 * part) < 3 * (300 * part * (1 - part)) ** 0.5 + 1


def test_a_fleet_with_no_rates_yet_sends_single_requests() -> None:
    sent = 0
    for i in range(300):
        driver = GatewayDriver(endpoints=1, seed=i, fleet_size=300, gateway_index=i)
        driver.give(EndpointUpdate(UpdateKind.FULL, (endpoint(9, started_at_ms=driver.now),)))
        sent += len(actions_of_type(driver.ask()[1], StartAttempt))
    assert sent <= 5


def test_an_endpoint_back_from_connect_failures_starts_slowly() -> None:
    driver = GatewayDriver(endpoints=1)
    request_id, _ = driver.ask()
    driver.end(request_id, AttemptResult.CONNECT_FAILED)
    request_id, out = driver.ask(after=600)
    assert actions_of_type(out, StartAttempt)
    driver.end(request_id)
    state = driver.gateway.endpoints["h0"]
    assert driver.gateway.slow_start.capacity_fraction(state, driver.now) < 0.3
