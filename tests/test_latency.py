"""Estimates of client timeouts, and of the time spent on earlier requests."""

from __future__ import annotations

import random

from support.gateway_driver import (
    GatewayDriver,
    actions_of_type,
)

from api_gateway.model.actions import RejectRequest, StartAttempt


def test_a_client_retry_is_rejected_once_its_objective_has_passed() -> None:
    """The objective of a retry runs from the first request, so that serving it later would be useless."""
    driver = GatewayDriver()
    for _ in range(50):
        driver.end_attempt(driver.send_request(remaining_time_ms=3900, after_ms=10)[0])
    # 1500 ms of the deadline of 4000 ms were spent on earlier requests; the objective is 1000 ms.
    assert actions_of_type(driver.send_request(remaining_time_ms=2500)[1], RejectRequest)
    # 500 ms were spent.
    attempt = actions_of_type(driver.send_request(remaining_time_ms=3500)[1], StartAttempt)[0]
    assert attempt.timeout_ms <= 500


def test_requests_of_clients_with_various_timeouts_are_not_treated_as_retries() -> None:
    """Where clients have no common timeout, a short remaining time must not be mistaken for a retry."""
    driver = GatewayDriver()
    rng = random.Random(3)
    for _ in range(200):
        request_id, actions = driver.send_request(remaining_time_ms=rng.uniform(1000, 4000), after_ms=10)
        assert actions_of_type(actions, StartAttempt)
        driver.end_attempt(request_id)
