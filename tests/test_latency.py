"""How long clients wait, learned from their requests."""

from __future__ import annotations

import random

from support.gateway_driver import (
    GatewayDriver,
    actions_of_type,
)

from api_gateway.model.actions import RejectRequest, StartAttempt


def test_a_retry_of_a_client_is_rejected_once_its_objective_has_passed() -> None:
    driver = GatewayDriver()
    for _ in range(50):
        driver.end_attempt(driver.send_request(time_left_ms=3900, after_ms=10)[0])
    assert actions_of_type(
        driver.send_request(time_left_ms=2500)[1], RejectRequest
    )  # 1500 ms were spent, the objective was 1000
    late_but_in_time = actions_of_type(driver.send_request(time_left_ms=3500)[1], StartAttempt)[
        0
    ]  # 500 ms were spent
    assert late_but_in_time.timeout_ms <= 500


def test_clients_that_wait_for_various_times_are_not_taken_for_retries() -> None:
    driver = GatewayDriver()
    rng = random.Random(3)
    for _ in range(200):
        request_id, out = driver.send_request(time_left_ms=rng.uniform(1000, 4000), after_ms=10)
        assert actions_of_type(out, StartAttempt)
        driver.end_attempt(request_id)
