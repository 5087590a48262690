"""Selection of an endpoint: idle connections, load, and the cost of a decision."""

from __future__ import annotations

import pytest
from support.gateway_driver import (
    OPEN_PLAN,
    READ_CLASS,
    GatewayDriver,
    endpoint,
    settings,
)

from api_gateway.decisions.gateway import Gateway
from api_gateway.decisions.retry import RetryPolicy
from api_gateway.decisions.subset import MAX_CANDIDATES
from api_gateway.model.actions import StartAttempt
from api_gateway.model.endpoints import UpdateKind
from api_gateway.model.events import (
    AttemptEnded,
    EndpointUpdate,
    RequestReceived,
    TimerFired,
)
from api_gateway.model.results import AttemptResult


def test_sparse_traffic_reuses_idle_connections() -> None:
    """Sparse traffic that is spread over the whole subset would need a new connection for each request."""
    driver = GatewayDriver(endpoints=60, idle_connection_timeout_ms=30000.0)
    used_endpoints = []
    for _ in range(200):
        request_id, actions = driver.send_request(after_ms=80)
        used_endpoints.append(next(action.endpoint for action in actions if isinstance(action, StartAttempt)))
        driver.end_attempt(request_id, duration_ms=50)
        driver.sweep(1, interval_ms=1)
    assert len(set(used_endpoints)) <= 15, (
        "one request at a time needs few connections, not one to each endpoint"
    )


def test_a_loaded_endpoint_loses_to_one_that_needs_a_new_connection() -> None:
    """Requests in flight on an endpoint count for more than the cost of connecting to another one."""
    driver = GatewayDriver(endpoints=4)
    request_id, actions = driver.send_request()
    first = next(action.endpoint for action in actions if isinstance(action, StartAttempt))
    driver.end_attempt(request_id, duration_ms=50)
    assert (
        next(action.endpoint for action in driver.send_request()[1] if isinstance(action, StartAttempt))
        == first
    )
    others = {
        next(action.endpoint for action in driver.send_request()[1] if isinstance(action, StartAttempt))
        for _ in range(3)
    }
    assert first not in others, "requests in flight on it outweigh a new connection"


def test_a_decision_examines_as_many_endpoints_at_50_as_at_11000(monkeypatch: pytest.MonkeyPatch) -> None:
    """The cost of a decision must not grow with the number of endpoints."""
    examined = [0]
    original = RetryPolicy.is_attempt_allowed

    def count_and_call(self: RetryPolicy, *arguments: object) -> bool:
        examined[0] += 1
        return original(self, *arguments)

    monkeypatch.setattr(RetryPolicy, "is_attempt_allowed", count_and_call)
    for endpoint_count in (50, 11_000):
        gateway, now_ms = (
            Gateway(settings(classes=(READ_CLASS,), plans=(OPEN_PLAN,), fleet_size=670, gateway_index=7), 1),
            1e9,
        )
        gateway.handle(
            now_ms,
            EndpointUpdate(
                UpdateKind.FULL, tuple(endpoint(i, zone=f"z{i % 5}") for i in range(endpoint_count))
            ),
        )
        for i in range(600):
            now_ms += 8
            examined[0] = 0
            for action in gateway.handle(now_ms, RequestReceived(f"r{i}", "read", "open", f"c{i}", 4000)):
                if isinstance(action, StartAttempt):
                    gateway.handle(
                        now_ms,
                        AttemptEnded(action.request_id, 0, action.endpoint, AttemptResult.OK, 50, True),
                    )
            assert examined[0] <= MAX_CANDIDATES
            if i % 12 == 0:
                gateway.handle(now_ms, TimerFired("sweep"))
        assert len(gateway.subset) < 200  # about one request per second to each endpoint
