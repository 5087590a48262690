"""When a request may be retried, the retry budget, and the timeouts of attempts."""

from __future__ import annotations

import random

from support.gateway_driver import (
    GatewayDriver,
    actions_of_type,
    endpoint,
)

from api_gateway.decisions import (
    retry,
)
from api_gateway.model.actions import StartAttempt
from api_gateway.model.endpoints import UpdateKind
from api_gateway.model.events import (
    EndpointUpdate,
    RequestReceived,
)
from api_gateway.model.results import AttemptResult
from api_gateway.model.settings import Idempotency, KeyScope, RequestClass


def test_requests_with_a_key_are_retried_only_within_its_window_and_scope() -> None:
    """Outside of the key's zone or window, endpoints do not know the key and would run the request again."""
    driver = GatewayDriver(endpoints=4)
    driver.deliver(RequestReceived("k", "put", "open", "c", 4000.0))
    pending = driver.gateway.pending_requests.get("k")
    is_allowed = driver.gateway.retry_policy.is_attempt_allowed
    first = pending.attempts[0].endpoint
    same_zone = next(
        state
        for state in driver.gateway.endpoints.values()
        if state.zone == first.zone and state is not first
    )
    other_zone = next(state for state in driver.gateway.endpoints.values() if state.zone != first.zone)
    assert not is_allowed(pending, same_zone, driver.now_ms)  # the first attempt is in flight
    pending.attempts[0].is_in_flight = False
    assert is_allowed(pending, same_zone, driver.now_ms) and not is_allowed(
        pending, other_zone, driver.now_ms
    )
    assert not is_allowed(pending, same_zone, driver.now_ms + 3000)


def test_a_retry_finds_its_failure_domain_outside_the_subset() -> None:
    """If only one failure domain remembers the key, a retry must go there, even outside of the subset."""
    put_class = RequestClass(
        "put",
        latency_objective_ms=1000,
        deadline_ms=4000,
        idempotency=Idempotency.WITH_KEY,
        idempotency_key_scope=KeyScope.FAILURE_DOMAIN,
        idempotency_window_ms=3000,
    )
    driver = GatewayDriver(endpoints=0, fleet_size=100, classes=(put_class,))
    entries = tuple(endpoint(i, zone="a", failure_domain=i % 100) for i in range(400))
    driver.deliver(EndpointUpdate(UpdateKind.FULL, entries))
    rng = random.Random(2)
    for _ in range(20):
        request_id, actions = driver.send_request("put", tenant=f"c{rng.random()}")
        (first,) = actions_of_type(actions, StartAttempt)
        retries = actions_of_type(
            driver.end_attempt(request_id, AttemptResult.CONNECTION_RESET, duration_ms=5), StartAttempt
        )
        assert retries and int(retries[0].endpoint[1:]) % 100 == int(first.endpoint[1:]) % 100


def test_retries_stay_within_their_budget() -> None:
    """While all endpoints are overloaded, retries must not multiply the load."""
    driver = GatewayDriver(endpoints=4)
    attempt_count = 0
    for _ in range(300):
        request_id, actions = driver.send_request(after_ms=50)
        attempt_count += len(actions_of_type(actions, StartAttempt))
        for _ in range(4):
            if request_id not in driver.gateway.pending_requests:
                break
            attempt_count += len(
                actions_of_type(driver.end_attempt(request_id, AttemptResult.OVERLOADED), StartAttempt)
            )
    assert attempt_count <= 300 * (1 + retry.RETRIES_PER_REQUEST) + retry.MAX_SAVED_RETRIES + 1


def test_timeouts_are_short_only_while_responses_get_lost_and_a_retry_is_allowed() -> None:
    """While responses get lost, the timeout must leave time for a retry if the class allows one."""
    driver = GatewayDriver(endpoints=8)

    def first_timeout_ms(class_name: str) -> float:
        request_id, actions = driver.send_request(class_name, after_ms=100)
        timeout_ms = actions_of_type(actions, StartAttempt)[0].timeout_ms
        driver.end_attempt(request_id, duration_ms=50)
        return timeout_ms

    assert first_timeout_ms("read") > 900
    for _ in range(4):
        request_id, _ = driver.send_request("pay", after_ms=100)
        driver.end_attempt(request_id, AttemptResult.TIMED_OUT, duration_ms=990)
    assert first_timeout_ms("read") < 600
    assert first_timeout_ms("put") < 600
    assert first_timeout_ms("pay") > 900
    for _ in range(60):
        first_timeout_ms("read")
    assert first_timeout_ms("read") > 900
