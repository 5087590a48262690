"""Which attempt results are samples of the load."""

from __future__ import annotations

import pytest
from support.gateway_driver import (
    GatewayDriver,
    actions_of_type,
)

from api_gateway.decisions import (
    occupancy,
)
from api_gateway.model.actions import StartAttempt
from api_gateway.model.events import (
    TimerFired,
)
from api_gateway.model.results import AttemptResult


def test_occupancy_moves_towards_the_mean_by_the_weight_of_its_samples() -> None:
    driver = GatewayDriver()
    # The first samples of a gateway are averaged without smoothing.
    driver.gateway.admission.occupancy.sample_count = 100
    driver.gateway.admission.occupancy.class_latencies["read"].learned_baseline = 0.1
    weight = min(occupancy.MAX_INTERVAL_WEIGHT, 2 / occupancy.SMOOTHING_SAMPLES)
    for _ in range(2):
        request_id, _ = driver.send_request()
        driver.end_attempt(request_id, duration_ms=500)
    assert driver.gateway.admission.occupancy.pending_samples == 2
    driver.sweep()
    assert driver.gateway.admission.occupancy.smoothed == pytest.approx(weight * 0.5)
    request_id, _ = driver.send_request()
    driver.sweep()
    # Without a sample it stays the same while an attempt is in flight.
    assert driver.gateway.admission.occupancy.smoothed == pytest.approx(weight * 0.5)


def test_a_single_gateway_notices_the_end_of_an_overload() -> None:
    """A gateway that sheds most requests gets few samples, and must not keep shedding for lack of them."""
    driver = GatewayDriver()
    driver.gateway.admission.occupancy.smoothed = 1.0
    served = 0
    for _ in range(20):  # Two requests per second with fast responses.
        request_id, actions = driver.send_request(after_ms=0)
        if actions_of_type(actions, StartAttempt):
            driver.end_attempt(request_id, duration_ms=50, after_ms=50)
            served += 1
        driver.sweep(5)
    assert served >= 14


def test_a_fresh_gateway_sees_an_overload_in_its_attempts_in_flight() -> None:
    """A gateway that starts during an overload has no responses to show it for as long as the timeout."""
    driver = GatewayDriver()
    request_ids = [driver.send_request(after_ms=20)[0] for _ in range(8)]
    driver.sweep(6)
    # There is no response yet, and most attempts are overdue.
    assert driver.gateway.admission.admitted_fraction < 0.1
    for request_id in request_ids:
        driver.end_attempt(request_id, duration_ms=60)
    driver.sweep()
    assert driver.gateway.admission.admitted_fraction == 1.0


def test_attempts_during_a_stall_of_the_gateway_are_no_samples() -> None:
    """A stall of the gateway's own process makes its attempts look slow, which must not shed load."""
    driver = GatewayDriver()
    request_id, _ = driver.send_request()
    driver.end_attempt(request_id, duration_ms=5000, after_ms=5000)
    assert driver.gateway.admission.occupancy.pending_samples == 0
    driver.sweep()
    request_id, _ = driver.send_request()
    driver.end_attempt(request_id, duration_ms=40, after_ms=40)
    assert driver.gateway.admission.occupancy.pending_samples == 1


def test_one_slow_endpoint_sheds_nothing() -> None:
    """The timeouts of one slow endpoint must not shed load while all others are fast."""
    driver = GatewayDriver(endpoints=6)
    driver.gateway.endpoints["h0"].latency_ratio = 10.0
    slow_request_id = None
    for _ in range(200):
        request_id, actions = driver.send_request(after_ms=5)
        attempt = actions_of_type(actions, StartAttempt)[0]
        if attempt.endpoint == "h0":
            slow_request_id = request_id
            driver.end_attempt(request_id, AttemptResult.TIMED_OUT, duration_ms=1000)
        else:
            driver.end_attempt(request_id, duration_ms=50)
    driver.sweep(5)
    assert driver.gateway.admission.admitted_fraction == 1.0
    assert slow_request_id is None or driver.gateway.endpoints["h0"].latency_ratio > 1


def test_an_outlier_gives_no_samples_but_a_slow_fleet_does() -> None:
    """One slow endpoint must not shed load, but if all are slow, none of them is an outlier."""
    for median_ratio, expected_samples in ((1.0, 0), (10.0, 1)):
        driver = GatewayDriver(endpoints=1)
        request_id, _ = driver.send_request()
        driver.gateway.endpoints["h0"].latency_ratio, driver.gateway.outlier_detector.median_latency_ratio = (
            10.0,
            median_ratio,
        )
        driver.gateway.admission.occupancy.recent_response_occupancy = 0.5
        driver.end_attempt(request_id, AttemptResult.TIMED_OUT, duration_ms=90)
        assert driver.gateway.admission.occupancy.pending_samples == expected_samples


def test_lost_responses_are_no_overload_but_late_ones_are() -> None:
    """Timeouts while other responses are fast are lost responses, which must not shed load."""
    for duration_ms, is_overloaded in ((50, False), (950, True)):
        driver = GatewayDriver(endpoints=8)
        for i in range(60):
            request_id, _ = driver.send_request(after_ms=20)
            if i % 4 == 0 and request_id in driver.gateway.pending_requests:
                driver.end_attempt(request_id, AttemptResult.TIMED_OUT, duration_ms=duration_ms)
            if request_id in driver.gateway.pending_requests:
                driver.end_attempt(request_id, duration_ms=duration_ms)
            driver.deliver(TimerFired("sweep"))
        assert (driver.gateway.admission.admitted_fraction < 1) == is_overloaded
