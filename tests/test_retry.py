"""When a request may be attempted again, and what retries cost."""

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


def test_keyed_requests_are_repeated_only_within_window_and_scope() -> None:
    driver = GatewayDriver(endpoints=4)
    driver.give(RequestReceived("k", "put", "open", "c", 4000.0))
    pending = driver.gateway.pending.get("k")
    is_allowed = driver.gateway.retry_policy.is_attempt_allowed
    first = pending.attempts[0].endpoint
    same = next(h for h in driver.gateway.endpoints.values() if h.zone == first.zone and h is not first)
    other = next(h for h in driver.gateway.endpoints.values() if h.zone != first.zone)
    assert not is_allowed(pending, same, driver.now)  # the first one is in flight
    pending.attempts[0].is_in_flight = False
    assert is_allowed(pending, same, driver.now) and not is_allowed(pending, other, driver.now)
    assert not is_allowed(pending, same, driver.now + 3000)


def test_a_retry_finds_its_failure_domain_outside_the_subset() -> None:
    """Keyed by failure domain: only endpoints of that of the first attempt may have it again."""
    cell = RequestClass(
        "put",
        latency_objective_ms=1000,
        deadline_ms=4000,
        idempotency=Idempotency.WITH_KEY,
        idempotency_key_scope=KeyScope.FAILURE_DOMAIN,
        idempotency_window_ms=3000,
    )
    driver = GatewayDriver(endpoints=0, fleet_size=100, classes=(cell,))
    hosts = tuple(endpoint(i, zone="a", failure_domain=i % 100) for i in range(400))
    driver.give(EndpointUpdate(UpdateKind.FULL, hosts))
    rng = random.Random(2)
    for _ in range(20):
        request_id, out = driver.ask("put", tenant=f"c{rng.random()}")
        (one,) = actions_of_type(out, StartAttempt)
        more = actions_of_type(
            driver.end(request_id, AttemptResult.CONNECTION_RESET, duration_ms=5), StartAttempt
        )
        assert more and int(more[0].endpoint[1:]) % 100 == int(one.endpoint[1:]) % 100


def test_retries_are_budgeted() -> None:
    driver = GatewayDriver(endpoints=4)
    sends = 0
    for _ in range(300):
        request_id, out = driver.ask(after=50)
        sends += len(actions_of_type(out, StartAttempt))
        for _ in range(4):
            if request_id not in driver.gateway.pending:
                break
            sends += len(actions_of_type(driver.end(request_id, AttemptResult.OVERLOADED), StartAttempt))
    assert sends <= 300 * (1 + retry.RETRIES_PER_REQUEST) + retry.MAX_SAVED_RETRIES + 1


def test_timeouts_are_short_only_while_responses_get_lost_and_may_be_repeated() -> None:
    driver = GatewayDriver(endpoints=8)

    def first_timeout(cls: str) -> float:
        request_id, out = driver.ask(cls, after=100)
        timeout = actions_of_type(out, StartAttempt)[0].timeout_ms
        driver.end(request_id, duration_ms=50)
        return timeout

    assert first_timeout("read") > 900
    for _ in range(4):
        request_id, _ = driver.ask("pay", after=100)
        driver.end(request_id, AttemptResult.TIMED_OUT, duration_ms=990)
    assert first_timeout("read") < 600
    assert first_timeout("put") < 600
    assert first_timeout("pay") > 900
    for _ in range(60):
        first_timeout("read")
    assert first_timeout("read") > 900
