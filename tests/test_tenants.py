"""How many tenants are kept, and when they are evicted."""

from __future__ import annotations

from support.gateway_driver import (
    BASIC_PLAN,
    GatewayDriver,
    actions_of_type,
    send_requests,
)

from api_gateway.decisions.quota import window_length_ms
from api_gateway.model.actions import IncrementCounter, StartAttempt
from api_gateway.model.events import (
    CounterReply,
)
from api_gateway.model.results import CounterResult


def test_tenants_with_a_single_request_are_evicted() -> None:
    """Tenants that never come back must not stay in memory, even if their counter calls timed out."""
    driver = GatewayDriver()
    for i in range(300):
        request_id, actions = driver.send_request(plan="basic", tenant=f"k{i}")
        for action in actions_of_type(actions, IncrementCounter):
            driver.deliver(CounterReply(action.name, CounterResult.TIMED_OUT, 0.0))
        if request_id in driver.gateway.pending_requests:
            driver.end_attempt(request_id)
    driver.sweep(400)
    assert (
        not driver.gateway.tenants
        and not driver.gateway.usage_reporter._tenants_by_count
        and not driver.gateway.pending_requests
    )


def test_the_number_of_tenants_is_limited_and_those_in_use_are_kept() -> None:
    """New tenant names must neither fill the memory nor evict a tenant whose ceiling share is not full."""
    driver = GatewayDriver(counter_enabled=False, max_tenants=50)
    for i in range(300):
        request_id, actions = driver.send_request(plan="basic", tenant=f"k{i}")
        assert actions_of_type(actions, StartAttempt)
        driver.end_attempt(request_id)
        assert len(driver.gateway.tenants) <= 50
    for i in range(60):  # Only the first 50 get a place, since none of their ceiling shares is full again.
        driver.send_request(plan="capped", tenant=f"c{i}", after_ms=1)
    assert [tenant for tenant, _ in driver.gateway.tenants] == [f"c{i}" for i in range(50)]


def test_another_plan_or_gateway_count_leaves_a_quota_as_it_is() -> None:
    driver = GatewayDriver()
    assert send_requests(driver, 10, plan="basic", gateway_count=1) == 6  # The burst.
    driver.send_request(plan="capped", gateway_count=3)
    assert send_requests(driver, 5, plan="basic", gateway_count=1) == 0
    tenant = driver.gateway.tenants["c", "basic"]
    driver.send_request(plan="basic", gateway_count=3)
    # The largest number that a request names is the safe one. It applies to this window and the next.
    assert tenant.quota.gateway_count == 3
    for _ in range(2):
        driver.send_request(plan="basic", gateway_count=1, after_ms=window_length_ms(BASIC_PLAN))
    assert tenant.quota.gateway_count == 1
