"""Budgets of endpoints in slow start."""

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
    """A new endpoint that responds fast must not attract more requests than its capacity allows."""
    driver = GatewayDriver(endpoints=4)
    for i in range(300):
        request_id, _ = driver.send_request(after_ms=10)
        driver.end_attempt(request_id, duration_ms=100)
        if i % 10 == 9:
            driver.deliver(TimerFired("sweep"))
    driver.deliver(EndpointUpdate(UpdateKind.CHANGES, (endpoint(9, started_at_ms=driver.now_ms),)))
    attempts_to_warming_up = attempts = 0
    for i in range(200):
        request_id, actions = driver.send_request(after_ms=10)
        attempts += 1
        attempts_to_warming_up += actions_of_type(actions, StartAttempt)[0].endpoint == "h9"
        driver.end_attempt(
            request_id, duration_ms=10 if actions_of_type(actions, StartAttempt)[0].endpoint == "h9" else 100
        )
        if i % 10 == 9:
            driver.deliver(TimerFired("sweep"))
    # `overload_multiple` is 3, and there are 4 warm endpoints. During these 2 s, the new endpoint has less
    # than 0.4 of its capacity.
    assert attempts_to_warming_up <= slow_start.BUDGET_SAFETY_FACTOR * 3 * 0.4 * attempts / 4 + 1


def test_budget_saves_half_of_the_overload_window() -> None:
    """An unused budget is saved up to the work of half an overload window, which may be sent at once."""
    driver = GatewayDriver(endpoints=1)
    gateway = driver.gateway
    driver.sweep(20)  # until the gateway has measured its rates
    driver.deliver(EndpointUpdate(UpdateKind.FULL, (endpoint(9, started_at_ms=driver.now_ms - 5000),)))
    warming_up = gateway.subset.refresh(driver.now_ms).warming_up[0]
    # The rate of admitted work, all of it for the only endpoint.
    gateway.traffic.admitted_work_rate = 0.1 / (slow_start.BUDGET_SAFETY_FACTOR * 3)
    saved_work_ms = 0.2 * 0.1 * 2000 / 2  # the work of half an overload window
    gateway.slow_start._refill(warming_up, 0.2, driver.now_ms)
    assert warming_up.slow_start_budget >= saved_work_ms - 0.1
    gateway.latency._per_unit_ms["read"] = saved_work_ms / 4.5
    action_lists = [driver.send_request()[1] for _ in range(20)]
    # The budget holds although the other endpoints have been removed.
    assert 4 <= sum(len(actions_of_type(actions, StartAttempt)) for actions in action_lists) <= 5


@pytest.mark.parametrize("budget_fraction", [0.02, 0.2, 0.7])
def test_budgets_below_one_request_add_up_over_the_fleet(budget_fraction: float) -> None:
    """If each gateway's budget is a fraction of one request, that fraction of the gateways sends one.

    Rounding all budgets down would leave the endpoint without requests; rounding up would overload it.
    """
    sending_gateways = 0
    for i in range(300):
        driver = GatewayDriver(endpoints=1, seed=i, fleet_size=300)
        driver.sweep(20)
        admitted_work_rate = 0.1 / (slow_start.BUDGET_SAFETY_FACTOR * 3)
        # After 2 of 10 s of slow start, the capacity fraction is at least 0.36.
        work_ms = 0.36 * 0.1 * 1000 / budget_fraction
        driver.deliver(EndpointUpdate(UpdateKind.FULL, (endpoint(9, started_at_ms=driver.now_ms - 2000),)))
        driver.gateway.latency._per_unit_ms["read"], driver.gateway.traffic.admitted_work_rate = (
            work_ms,
            admitted_work_rate,
        )
        sending_gateways += any(actions_of_type(driver.send_request()[1], StartAttempt) for _ in range(10))
    assert (
        abs(sending_gateways - 300 * budget_fraction)
        < 3 * (300 * budget_fraction * (1 - budget_fraction)) ** 0.5 + 1
    )


def test_a_fleet_with_no_rates_yet_sends_single_requests() -> None:
    """300 gateways that start together must not send a new endpoint one request each."""
    attempts = 0
    for i in range(300):
        driver = GatewayDriver(endpoints=1, seed=i, fleet_size=300, gateway_index=i)
        driver.deliver(EndpointUpdate(UpdateKind.FULL, (endpoint(9, started_at_ms=driver.now_ms),)))
        attempts += len(actions_of_type(driver.send_request()[1], StartAttempt))
    assert attempts <= 5


def test_an_endpoint_back_from_connect_failures_starts_slowly() -> None:
    """An endpoint that could not be reached may have restarted, so its first success begins a slow start."""
    driver = GatewayDriver(endpoints=1)
    request_id, _ = driver.send_request()
    driver.end_attempt(request_id, AttemptResult.CONNECT_FAILED)
    request_id, actions = driver.send_request(after_ms=600)
    assert actions_of_type(actions, StartAttempt)
    driver.end_attempt(request_id)
    state = driver.gateway.endpoints["h0"]
    assert driver.gateway.slow_start.capacity_fraction(state, driver.now_ms) < 0.3
