"""How many counter calls are made while they get no response."""

from __future__ import annotations

from support.gateway_driver import (
    GatewayDriver,
    actions_of_type,
)

from api_gateway.decisions import (
    counter_health,
)
from api_gateway.model.actions import IncrementCounter, StartAttempt
from api_gateway.model.events import (
    CounterReply,
)
from api_gateway.model.results import CounterResult


def test_calls_decrease_without_responses_and_recover() -> None:
    driver = GatewayDriver()
    driver.gateway.rng.seed(5)

    def count_calls(result: CounterResult, request_count: int = 60) -> int:
        call_count = 0
        for _ in range(request_count):
            request_id, actions = driver.send_request(plan="basic", tenant=f"k{driver.serial}", after_ms=20)
            for action in actions_of_type(actions, IncrementCounter):
                call_count += 1
                actions = actions + driver.deliver(CounterReply(action.name, result, action.amount))
            if request_id in driver.gateway.pending_requests:
                driver.end_attempt(request_id)
        return call_count

    assert count_calls(CounterResult.OK) == 60
    # A few calls that were lost with one connection say nothing about the counter.
    assert (
        count_calls(CounterResult.CONNECTION_LOST, counter_health.MAX_CONSECUTIVE_LOST_CONNECTIONS)
        == counter_health.MAX_CONSECUTIVE_LOST_CONNECTIONS
    )
    assert driver.gateway.counter_health.response_fraction == 1.0
    # With no response between the lost connections, the counter counts as unreachable.
    assert count_calls(CounterResult.CONNECTION_LOST) < 15
    count_calls(CounterResult.OK, 300)
    assert count_calls(CounterResult.OVERLOADED) < 15
    count_calls(CounterResult.OK, 300)
    assert count_calls(CounterResult.OK) > 50


def test_a_malformed_response_counts_as_a_response_and_its_amount_as_added() -> None:
    driver = GatewayDriver()
    _, actions = driver.send_request(plan="basic", tenant="k", units=2)
    (call,) = actions_of_type(actions, IncrementCounter)
    actions = driver.deliver(CounterReply(call.name, CounterResult.MALFORMED_RESPONSE, 0.0))
    assert actions_of_type(actions, StartAttempt)  # Decided without a further call.
    tenant = driver.gateway.tenants["k", "basic"]
    assert driver.gateway.counter_health.response_fraction == 1.0
    assert tenant.counter_calls.reported_units == 2 and not tenant.counter_calls.is_call_in_flight
