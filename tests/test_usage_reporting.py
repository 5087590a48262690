"""Counter calls: when usage is reported, and which requests wait for a counter value."""

from __future__ import annotations

import dataclasses

import pytest
from support.gateway_driver import (
    BASIC_PLAN,
    CAPPED_PLAN,
    GatewayDriver,
    actions_of_type,
    counter_calls,
    send_request_with_counter_values,
    send_requests,
)

from api_gateway.decisions.quota import window_length_ms
from api_gateway.model.actions import IncrementCounter, RejectRequest, StartAttempt
from api_gateway.model.events import (
    CounterReply,
    RequestReceived,
)
from api_gateway.model.results import CounterResult


def test_near_the_limit_a_request_waits_for_the_counter_value_and_gets_a_response() -> None:
    """A request must not get lost while it waits for a counter call, even one that times out."""
    driver = GatewayDriver()
    send_requests(driver, 5, plan="basic")
    # The estimate does not allow the request, but the latest counter value leaves one unit.
    driver.gateway.tenants["c", "basic"].quota.remaining = 0.0
    request_id, actions = driver.send_request(plan="basic")
    assert (
        not actions_of_type(actions, StartAttempt)
        and not actions_of_type(actions, RejectRequest)
        and actions_of_type(actions, IncrementCounter)
    )
    actions = driver.deliver(CounterReply(counter_calls(driver)[-1].name, CounterResult.TIMED_OUT, 0.0), 30)
    assert len(actions_of_type(actions, StartAttempt)) + len(actions_of_type(actions, RejectRequest)) == 1
    assert not driver.gateway.usage_reporter.is_waiting(request_id)


def test_units_of_a_rejected_request_are_taken_back_while_the_counter_responds() -> None:
    """The units of a request that waits are added to the count, and must not stay there if it is rejected.

    They do stay while the counter does not respond, because calls are throttled then.
    """
    for response_fraction, amounts in ((1.0, [1, -1]), (0.0, [1])):
        driver = GatewayDriver()
        driver.send_request(plan="basic")
        driver.gateway.counter_health.response_fraction = response_fraction
        # Below the fraction of calls made while the counter responds, above it otherwise.
        driver.gateway.rng.random = lambda: 0.5
        driver.deliver(CounterReply(counter_calls(driver)[0].name, CounterResult.OK, 100.0))
        assert [c.amount for c in counter_calls(driver)] == amounts


@pytest.mark.parametrize("remaining_time_ms", [5, 60, 200])
def test_a_request_with_little_remaining_time_does_not_wait_for_a_counter_value(
    remaining_time_ms: float,
) -> None:
    """A counter call that times out must not use up the time in which the request can be served."""
    driver = GatewayDriver(counter_timeout_ms=30)
    request_id, actions = driver.send_request(plan="basic", remaining_time_ms=remaining_time_ms)
    assert len(actions_of_type(actions, StartAttempt)) + len(actions_of_type(actions, RejectRequest)) == 1
    assert not driver.gateway.usage_reporter.is_waiting(request_id)


def test_a_request_without_a_counter_reply_still_gets_a_response() -> None:
    """A request must be decided on by a sweep if the reply to its counter call never comes."""
    driver = GatewayDriver()
    send_requests(driver, 5, plan="basic")
    driver.gateway.tenants["c", "basic"].quota.remaining = 0.0
    request_id, _ = driver.send_request(plan="basic")
    driver.sweep(3)
    outcomes = [
        a
        for _, a in driver.action_log
        if isinstance(a, StartAttempt | RejectRequest) and a.request_id == request_id
    ]
    assert len(outcomes) == 1 and not driver.gateway.usage_reporter._waiting_requests


def test_plans_with_windows_of_equal_length_have_separate_counts() -> None:
    """The windows of two plans may have the same numbers, and must not be counted together then."""
    same_window_plan = dataclasses.replace(BASIC_PLAN, name="twin")
    driver = GatewayDriver(plans=(BASIC_PLAN, same_window_plan, CAPPED_PLAN))
    names = [
        actions_of_type(driver.send_request(plan=plan, tenant="c")[1], IncrementCounter)[0].name
        for plan in ("basic", "twin", "capped")
    ]
    assert len(set(names)) == 3
    untagged_name = actions_of_type(
        GatewayDriver().send_request(plan="basic", tenant="c")[1], IncrementCounter
    )[0].name
    # Without another window of equal length there is no tag.
    assert names[0] != untagged_name == names[0].replace(".0.", ".")


@pytest.mark.parametrize(("previous_counter_value", "is_sent"), [(17, True), (18, False), (40, False)])
def test_the_first_report_of_a_window_carries_over_the_debt_of_the_last(
    previous_counter_value: float, is_sent: bool
) -> None:
    """Without the debt in its count, a window would begin with a full bucket, whatever was used before it.

    The first gateway that reports in the window must add the debt, so that all others see it.
    """
    driver = GatewayDriver(endpoints=60, fleet_size=40, now_ms=1e6)
    driver.sweep(80)
    send_request_with_counter_values(driver, 1, 3)
    tenant = next(iter(driver.gateway.tenants.values()))
    next_window_ms = (tenant.quota.window + 1 - tenant._window_phase) * window_length_ms(tenant.plan)
    actions = send_request_with_counter_values(
        driver,
        1,
        1,
        after_ms=next_window_ms + 50 - driver.now_ms,
        previous_counter_value=previous_counter_value,
    )
    amounts = [a.amount for a in actions if isinstance(a, IncrementCounter)]
    assert amounts[:2] == [1, 0], "its own unit, then a query of the count of the previous window"
    assert sum(amounts) == pytest.approx(min(previous_counter_value - 12, 6)), (
        "the debt is what exceeds 12 refilled units, at most the burst"
    )
    assert any(isinstance(a, StartAttempt) for a in actions) == is_sent
    assert tenant.quota.remaining < 0.2


def test_refill_of_a_full_bucket_expires_for_all_gateways() -> None:
    """Refill of a full bucket must not become available later in the window.

    The gateway that reports first in the window adds it to the count, so that all others see it as used.
    """
    driver = GatewayDriver(endpoints=60, fleet_size=40, now_ms=1e6)
    driver.sweep(80)
    tenant = driver.gateway.request_flow._find_tenant(
        RequestReceived("probe", "read", "basic", "c", 4000, 1, 20, 0), BASIC_PLAN, driver.now_ms
    )
    driver.now_ms = (tenant.quota.window + 1 - tenant._window_phase) * window_length_ms(tenant.plan) + 4000
    request_id, actions = driver.send_request(plan="basic", units=1, gateway_count=20)
    first_call = next(a for a in actions if isinstance(a, IncrementCounter))
    driver.deliver(CounterReply(first_call.name, CounterResult.OK, 1), 2)
    actions = driver.end_attempt(request_id, actual_units=2)
    correction = next(a for a in actions if isinstance(a, IncrementCounter))
    assert correction.amount == pytest.approx(1 + 2 * 4.0, abs=0.1), (
        "one unit more than estimated, and 4 s of refill"
    )
