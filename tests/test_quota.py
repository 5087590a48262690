"""A gateway's estimate of the remaining quota."""

from __future__ import annotations

import pytest
from support.gateway_driver import (
    BASIC_PLAN,
    GatewayDriver,
    actions_of_type,
    send_request_with_counter_values,
    send_requests,
)

from api_gateway.decisions import (
    quota,
)
from api_gateway.decisions.quota import window_length_ms
from api_gateway.model.actions import IncrementCounter, StartAttempt
from api_gateway.model.events import (
    CounterReply,
    RequestReceived,
    TimerFired,
)
from api_gateway.model.results import CounterResult


def remaining_after_first_counter_value(counter_value: float) -> float:
    """Return the estimate at the first counter value, 5 s into a window of 6 s (burst 6, 2 units per s)."""
    driver = GatewayDriver(endpoints=60, fleet_size=40, now_ms=1e6)
    driver.sweep(80)
    tenant = driver.gateway.request_flow._find_tenant(
        RequestReceived("probe", "read", "basic", "c", 4000, 1, 20, 0), BASIC_PLAN, driver.now_ms
    )
    window_end_ms = (tenant.quota.window + 1 - tenant._window_phase) * window_length_ms(tenant.plan)
    driver.gateway.tenants.clear()
    driver.now_ms = window_end_ms - 1000
    send_request_with_counter_values(driver, 1, counter_value)
    return next(iter(driver.gateway.tenants.values())).quota.remaining


def test_quota_of_a_single_gateway_is_the_burst_and_then_the_rate() -> None:
    driver = GatewayDriver()
    assert send_requests(driver, 20, plan="basic") == 6
    driver.now_ms += 2000  # 2 s refill four units.
    assert send_requests(driver, 20, plan="basic") == 4


def test_quota_counts_usage_of_other_gateways() -> None:
    driver = GatewayDriver()
    # The others use about half of the units.
    assert 3 <= send_requests(driver, 12, peer_usage=1.0, plan="basic") <= 4


def test_without_a_counter_a_gateway_keeps_to_an_even_share() -> None:
    driver = GatewayDriver()
    driver.now_ms += 10000
    sent = 0
    for _ in range(12):
        _, actions = driver.send_request(plan="basic")
        for action in actions_of_type(actions, IncrementCounter):
            actions = actions + driver.deliver(CounterReply(action.name, CounterResult.TIMED_OUT, 0.0))
        sent += len(actions_of_type(actions, StartAttempt))
    assert sent <= BASIC_PLAN.quota_burst / 3 + 1


@pytest.mark.parametrize("age_s", [2, 30])
def test_even_shares_below_one_unit_add_up_over_the_fleet(age_s: int) -> None:
    """Without a counter, an even share for each of many gateways is less than one request at each of them.

    All gateways together must still stay near the quota: 300 gateways get three requests of one tenant each.
    """
    sent = 0
    for i in range(300):
        driver = GatewayDriver(seed=i, gateway_index=i, fleet_size=300, counter_enabled=False)
        driver.deliver(TimerFired("sweep"))
        driver.now_ms += age_s * 1000
        for _ in range(3):
            _, actions = driver.send_request(plan="basic", gateway_count=300)
            sent += len(actions_of_type(actions, StartAttempt))
    # The first request at each gateway is always admitted, since most tenants are far from their quota.
    later_requests = sent - 300
    assert (
        later_requests
        <= 2 * quota.ESTIMATE_HEADROOM * min(BASIC_PLAN.quota_burst, BASIC_PLAN.quota_rate * age_s) + 3
    )


def test_a_counter_that_restarts_empty_does_not_refill_the_quota() -> None:
    """A restarted counter returns values that are too low, which must not be read as remaining units."""
    driver = GatewayDriver()
    assert send_requests(driver, 20, reset_counter_at=3, plan="basic") == 6
    # A counter value that falls does not mean that other gateways have given back units.
    assert driver.gateway.tenants["c", "basic"].quota.peer_usage_rate >= 0


def test_usage_beyond_the_quota_is_not_charged_permanently() -> None:
    """Usage of other gateways beyond the quota must not block the tenant once its bucket is refilled."""
    driver = GatewayDriver()
    # The other gateways go far beyond the quota.
    send_requests(driver, 8, peer_usage=5.0, plan="basic")
    driver.now_ms += 1000
    send_requests(driver, 1, plan="basic")
    driver.now_ms += 1000
    assert send_requests(driver, 4, plan="basic") >= 1


def test_actual_units_are_charged() -> None:
    driver = GatewayDriver()
    send_requests(driver, 1, plan="basic", gateway_count=1)
    driver.end_attempt("r1", actual_units=6)
    assert send_requests(driver, 3, plan="basic", gateway_count=1) == 0


def test_a_few_units_of_others_in_the_first_counter_value_are_not_taken_for_a_high_rate() -> None:
    """The first counter value covers the window from its start, not just a moment.

    Otherwise a few units of other gateways would look like a high rate, which leaves nothing to this gateway.
    """
    driver = GatewayDriver(endpoints=60, fleet_size=40, now_ms=1e6)
    driver.sweep(80)
    assert any(isinstance(a, StartAttempt) for a in send_request_with_counter_values(driver, 1, 3))
    tenant = next(iter(driver.gateway.tenants.values()))
    assert tenant.quota.peer_usage_rate * 1000 <= 2.0, (
        "two units of the others in a window that began seconds ago"
    )
    length_ms = window_length_ms(tenant.plan)
    next_window_ms = (tenant.quota.window + 1 - tenant._window_phase) * length_ms
    actions = send_request_with_counter_values(
        driver, 1, 1, after_ms=next_window_ms + 50 - driver.now_ms, previous_counter_value=3
    )
    assert any(isinstance(a, StartAttempt) for a in actions), (
        "3 of 6 units were used: the bucket is not empty"
    )


def test_remaining_quota_follows_from_the_first_counter_value() -> None:
    """The counter value includes the debt of earlier windows: 6 + 2 * 5 - counter value remain, at most 6."""
    assert remaining_after_first_counter_value(7) == pytest.approx(5.0), (
        "7 units in 5 s at 2 per second: the bucket is full but for our unit"
    )
    assert remaining_after_first_counter_value(13) == pytest.approx(3.0, abs=0.1)
    assert remaining_after_first_counter_value(17) < 1, "all of the refill was used"
