"""How many counter calls are made while they go unanswered."""

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


def test_calls_thin_out_while_they_go_unanswered_and_come_back() -> None:
    driver = GatewayDriver()
    driver.gateway.rng.seed(5)

    def calls(result: CounterResult, n: int = 60) -> int:
        made = 0
        for _ in range(n):
            request_id, out = driver.send_request(plan="basic", tenant=f"k{driver.serial}", after_ms=20)
            for action in actions_of_type(out, IncrementCounter):
                made += 1
                out = out + driver.deliver(CounterReply(action.name, result, action.amount))
            if request_id in driver.gateway.pending_requests:
                driver.end_attempt(request_id)
        return made

    assert calls(CounterResult.OK) == 60
    assert (
        calls(CounterResult.CONNECTION_LOST, counter_health.MAX_LOST_CONNECTIONS)
        == counter_health.MAX_LOST_CONNECTIONS
    )  # one connection's end
    assert driver.gateway.counter_health.answered_ratio == 1.0
    assert calls(CounterResult.CONNECTION_LOST) < 15  # nothing else comes: it is gone
    calls(CounterResult.OK, 300)
    assert calls(CounterResult.OVERLOADED) < 15
    calls(CounterResult.OK, 300)
    assert calls(CounterResult.OK) > 50


def test_a_malformed_total_is_an_answer_and_its_amount_counts() -> None:
    driver = GatewayDriver()
    _rid, out = driver.send_request(plan="basic", tenant="k", units=2)
    (call,) = actions_of_type(out, IncrementCounter)
    out = driver.deliver(CounterReply(call.name, CounterResult.MALFORMED_RESPONSE, 0.0))
    assert actions_of_type(out, StartAttempt)  # decided at once
    tenant = driver.gateway.tenants["k", "basic"]
    assert driver.gateway.counter_health.answered_ratio == 1.0
    assert tenant.report.reported_usage == 2 and not tenant.report.is_call_in_flight
