"""Counter calls: when usage is reported, and which requests wait for a total."""

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


def test_near_the_limit_a_request_waits_for_the_total_and_is_answered() -> None:
    driver = GatewayDriver()
    send_requests(driver, 5, plan="basic")
    driver.gateway.tenants[
        "c", "basic"
    ].quota.remaining = 0.0  # the estimate says no; the last total left one unit
    request_id, out = driver.send_request(plan="basic")
    assert (
        not actions_of_type(out, StartAttempt)
        and not actions_of_type(out, RejectRequest)
        and actions_of_type(out, IncrementCounter)
    )
    out = driver.deliver(CounterReply(counter_calls(driver)[-1].name, CounterResult.TIMED_OUT, 0.0), 30)
    assert len(actions_of_type(out, StartAttempt)) + len(actions_of_type(out, RejectRequest)) == 1
    assert not driver.gateway.usage_reporter.is_waiting(request_id)


def test_units_of_a_rejected_request_are_taken_back_while_the_counter_answers() -> None:
    for heard, amounts in ((1.0, [1, -1]), (0.0, [1])):
        driver = GatewayDriver()
        driver.send_request(plan="basic")
        driver.gateway.counter_health.answered_ratio = heard
        driver.gateway.rng.random = lambda: 0.5
        driver.deliver(CounterReply(counter_calls(driver)[0].name, CounterResult.OK, 100.0))
        assert [c.amount for c in counter_calls(driver)] == amounts


@pytest.mark.parametrize("left", [5, 60, 200])
def test_a_request_with_little_time_left_does_not_wait_for_a_total(left: float) -> None:
    driver = GatewayDriver(counter_timeout_ms=30)
    request_id, out = driver.send_request(plan="basic", time_left_ms=left)
    assert len(actions_of_type(out, StartAttempt)) + len(actions_of_type(out, RejectRequest)) == 1
    assert not driver.gateway.usage_reporter.is_waiting(request_id)


def test_a_reply_that_never_comes_does_not_cost_the_answer() -> None:
    driver = GatewayDriver()
    send_requests(driver, 5, plan="basic")
    driver.gateway.tenants["c", "basic"].quota.remaining = 0.0
    request_id, _out = driver.send_request(plan="basic")
    driver.sweep(3)
    finals = [
        a
        for _, a in driver.action_log
        if isinstance(a, StartAttempt | RejectRequest) and a.request_id == request_id
    ]
    assert len(finals) == 1 and not driver.gateway.usage_reporter._waiting


def test_plans_with_windows_of_one_length_count_apart() -> None:
    twin = dataclasses.replace(BASIC_PLAN, name="twin")
    driver = GatewayDriver(plans=(BASIC_PLAN, twin, CAPPED_PLAN))
    names = [
        actions_of_type(driver.send_request(plan=plan, tenant="c")[1], IncrementCounter)[0].name
        for plan in ("basic", "twin", "capped")
    ]
    assert len(set(names)) == 3
    alone = actions_of_type(GatewayDriver().send_request(plan="basic", tenant="c")[1], IncrementCounter)[
        0
    ].name
    assert names[0] != alone == names[0].replace(".0.", ".")  # where no other window is as long: no tag


@pytest.mark.parametrize(("before", "sent"), [(17, True), (18, False), (40, False)])
def test_the_first_report_of_a_window_carries_over_the_debt_of_the_last(before: float, sent: bool) -> None:
    driver = GatewayDriver(endpoints=60, fleet_size=40, now_ms=1e6)
    driver.sweep(80)
    send_request_with_counter_values(driver, 1, 3)
    tenant = next(iter(driver.gateway.tenants.values()))
    start = (tenant.quota.window + 1 - tenant._window_phase) * window_length_ms(tenant.plan)
    actions = send_request_with_counter_values(
        driver, 1, 1, after_ms=start + 50 - driver.now_ms, previous_counter_value=before
    )
    amounts = [a.amount for a in actions if isinstance(a, IncrementCounter)]
    assert amounts[:2] == [1, 0], "its own unit, then a look at the last window's count"
    assert sum(amounts) == pytest.approx(min(before - 12, 6)), "12 refilled; its own is taken off"
    assert any(isinstance(a, StartAttempt) for a in actions) == sent
    assert tenant.quota.remaining < 0.2


def test_refill_that_found_the_bucket_full_expires_for_all() -> None:
    driver = GatewayDriver(endpoints=60, fleet_size=40, now_ms=1e6)
    driver.sweep(80)
    tenant = driver.gateway.request_flow._find_tenant(
        RequestReceived("probe", "read", "basic", "c", 4000, 1, 20, 0), BASIC_PLAN, driver.now_ms
    )
    driver.now_ms = (tenant.quota.window + 1 - tenant._window_phase) * window_length_ms(tenant.plan) + 4000
    request_id, actions = driver.send_request(plan="basic", units=1, gateway_count=20)
    first = next(a for a in actions if isinstance(a, IncrementCounter))
    driver.deliver(CounterReply(first.name, CounterResult.OK, 1), 2)
    actions = driver.end_attempt(request_id, actual_units=2)
    settled = next(a for a in actions if isinstance(a, IncrementCounter))
    assert settled.amount == pytest.approx(1 + 2 * 4.0, abs=0.1), "one unit more, and 4 s of refill"
