"""Which results eject an endpoint, and when it is probed."""

from __future__ import annotations

import pytest
from support.gateway_driver import (
    GatewayDriver,
    actions_of_type,
)

from api_gateway.decisions import (
    outlier_detection,
)
from api_gateway.decisions.outlier_detection import MAX_SAVED_PROBES, PROBES_PER_REQUEST
from api_gateway.model.actions import StartAttempt
from api_gateway.model.results import AttemptResult


def connects_to_unreachable(
    driver: GatewayDriver, unreachable: set[str], requests: int, interval_ms: float
) -> int:
    """Send requests at a constant rate while some endpoints are unreachable.

    Args:
        driver: The gateway.
        unreachable: Names of the unreachable endpoints.
        requests: Number of requests.
        interval_ms: Time between requests.

    Returns:
        Number of connects to the unreachable endpoints.
    """
    connects = 0
    for _ in range(requests):
        request_id, actions = driver.send_request(after_ms=interval_ms)
        while starts := [a for a in actions if isinstance(a, StartAttempt)]:
            if starts[-1].endpoint in unreachable:
                connects += 1
                actions = driver.end_attempt(
                    request_id, AttemptResult.CONNECT_FAILED, duration_ms=250, after_ms=250
                )
            else:
                actions = driver.end_attempt(request_id, duration_ms=50)
        driver.sweep(1, interval_ms=1)
    return connects


@pytest.mark.parametrize(
    ("result", "times", "is_ejected"),
    [
        (AttemptResult.CONNECTION_RESET, 2, False),
        (AttemptResult.CONNECTION_RESET, 3, True),
        (AttemptResult.NOT_SENT, 2, False),
        (AttemptResult.NOT_SENT, 3, True),
        (AttemptResult.CONNECT_FAILED, 1, True),
        (AttemptResult.STALE_CONNECTION, 9, False),
        (AttemptResult.MALFORMED_RESPONSE, 9, False),
        (AttemptResult.LOCAL_LIMIT, 9, False),
    ],
)
def test_which_results_eject_an_endpoint(result: AttemptResult, times: int, is_ejected: bool) -> None:
    """A stale connection, a malformed response or a local limit must not eject an endpoint."""
    driver = GatewayDriver(endpoints=1, max_attempts=1)
    for _ in range(times):
        request_id, actions = driver.send_request()
        assert actions_of_type(actions, StartAttempt)
        driver.end_attempt(request_id, result)
    state = driver.gateway.endpoints["h0"]
    assert (state.has_connect_failure, state.ejection_count > 0) == (
        result == AttemptResult.CONNECT_FAILED,
        is_ejected,
    )
    assert state.in_flight == 0 and driver.gateway.admission.occupancy.smoothed == 0


def test_an_ejected_endpoint_is_probed_after_its_backoff() -> None:
    """An ejected endpoint gets no requests during its backoff, and the first request after it as a probe."""
    driver = GatewayDriver(endpoints=4)
    driver.sweep()
    state = driver.gateway.endpoints["h0"]
    driver.gateway.outlier_detector.eject(state, driver.now_ms)
    chosen = {
        actions_of_type(driver.send_request(after_ms=1)[1], StartAttempt)[0].endpoint for _ in range(20)
    }
    assert "h0" not in chosen
    assert (
        actions_of_type(driver.send_request(after_ms=outlier_detection.EJECTION_BACKOFF_MS)[1], StartAttempt)[
            0
        ].endpoint
        == "h0"
    )


def test_probes_of_a_lost_zone_are_a_small_fraction_of_the_attempts() -> None:
    """Each probe of an unreachable endpoint delays a request, so the probe budget limits them."""
    driver = GatewayDriver(endpoints=60)
    unreachable = {f"h{i}" for i in range(24)}
    connects_to_unreachable(driver, unreachable, 400, 80)  # until they are ejected
    assert (
        connects_to_unreachable(driver, unreachable, 200, 80) <= PROBES_PER_REQUEST * 200 + MAX_SAVED_PROBES
    )


def test_a_single_ejected_endpoint_is_probed_soon() -> None:
    """The probe budget must not keep a single ejected endpoint from being probed."""
    driver = GatewayDriver(endpoints=4)
    connects_to_unreachable(driver, {"h0"}, 40, 80)
    assert connects_to_unreachable(driver, {"h0"}, 100, 80) >= 2
