"""The choice of an endpoint: open connections, load, and its cost."""

from __future__ import annotations

import pytest
from support.gateway_driver import (
    OPEN,
    SAFE,
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


def test_sparse_traffic_keeps_to_idle_connections() -> None:
    driver = GatewayDriver(endpoints=60, idle_connection_timeout_ms=30000.0)
    used = []
    for _ in range(200):
        request_id, actions = driver.ask(after=80)
        used.append(next(a.endpoint for a in actions if isinstance(a, StartAttempt)))
        driver.end(request_id, duration_ms=50)
        driver.sweep(1, every=1)
    assert len(set(used)) <= 15, "one request at a time needs few connections, not one to each endpoint"


def test_a_loaded_endpoint_is_left_for_a_new_connection() -> None:
    driver = GatewayDriver(endpoints=4)
    request_id, actions = driver.ask()
    first = next(a.endpoint for a in actions if isinstance(a, StartAttempt))
    driver.end(request_id, duration_ms=50)
    assert next(a.endpoint for a in driver.ask()[1] if isinstance(a, StartAttempt)) == first
    others = {next(a.endpoint for a in driver.ask()[1] if isinstance(a, StartAttempt)) for _ in range(3)}
    assert first not in others, "requests in flight on it outweigh a handshake"


def test_a_decision_examines_as_many_endpoints_at_50_as_at_11000(monkeypatch: pytest.MonkeyPatch) -> None:
    looks = [0]
    real = RetryPolicy.is_attempt_allowed

    def counted(self: RetryPolicy, *arguments: object) -> bool:
        looks[0] += 1
        return real(self, *arguments)

    monkeypatch.setattr(RetryPolicy, "is_attempt_allowed", counted)
    for hosts in (50, 11_000):
        gateway, now = (
            Gateway(settings(classes=(SAFE,), plans=(OPEN,), fleet_size=670, gateway_index=7), 1),
            1e9,
        )
        gateway.handle(
            now, EndpointUpdate(UpdateKind.FULL, tuple(endpoint(i, zone=f"z{i % 5}") for i in range(hosts)))
        )
        for i in range(600):
            now += 8
            looks[0] = 0
            for action in gateway.handle(now, RequestReceived(f"r{i}", "read", "open", f"c{i}", 4000)):
                if isinstance(action, StartAttempt):
                    gateway.handle(
                        now, AttemptEnded(action.request_id, 0, action.endpoint, AttemptResult.OK, 50, True)
                    )
            assert looks[0] <= MAX_CANDIDATES
            if i % 12 == 0:
                gateway.handle(now, TimerFired("sweep"))
        assert len(gateway.subset) < 200  # 125 requests a second: one a second for each of its endpoints
