"""Admission control: the ramp, the accumulators, and which requests are shed first."""

from __future__ import annotations

import pytest
from support.gateway_driver import (
    GatewayDriver,
    actions_of_type,
)

from api_gateway.decisions import (
    admission,
    occupancy,
)
from api_gateway.decisions.admission import (
    MAX_RAMP_OFFSET,
    MAX_SHED_OCCUPANCY,
    MIN_ADMITTED_FRACTION,
    admitted_fraction,
    ramp_offset,
)
from api_gateway.decisions.occupancy import MIN_SHED_OCCUPANCY
from api_gateway.model.actions import StartAttempt


def fraction_under_steady_load(
    driver: GatewayDriver, durations_ms: list[float], in_flight: int, rounds: int = 120
) -> float:
    """Return the admitted fraction after a steady load.

    Args:
        driver: The gateway.
        durations_ms: Latencies of the responses in turn, in milliseconds; the objective is 1000 ms.
        in_flight: Number of requests in flight at a time.
        rounds: Number of responses.
    """
    in_flight_ids = [driver.send_request()[0] for _ in range(in_flight)]
    for n in range(rounds):
        driver.sweep(1)
        driver.end_attempt(in_flight_ids.pop(0), duration_ms=durations_ms[n % len(durations_ms)])
        in_flight_ids.append(driver.send_request()[0])
        # If the request was shed, send further ones until one is admitted.
        if not any(
            isinstance(a, StartAttempt) and a.request_id == in_flight_ids[-1] for _, a in driver.action_log
        ):
            in_flight_ids.pop()
            request_id = next(
                r
                for r, actions in iter(lambda: driver.send_request(), None)
                if any(isinstance(a, StartAttempt) for a in actions)
            )
            in_flight_ids.append(request_id)
    return driver.gateway.admission.admitted_fraction


def driver_with_learned_baseline(endpoints: int) -> GatewayDriver:
    """Return the driver of a gateway that has learned the latency of idle endpoints."""
    driver = GatewayDriver(endpoints=endpoints)
    fraction_under_steady_load(driver, [60.0], 2, rounds=40)
    return driver


def test_admitted_fraction_falls_from_1_to_its_minimum() -> None:
    min_shed, max_shed = occupancy.MIN_SHED_OCCUPANCY, admission.MAX_SHED_OCCUPANCY
    assert admitted_fraction(0.0) == 1.0
    assert admitted_fraction(min_shed) == 1.0
    assert admitted_fraction((min_shed + max_shed) / 2) == pytest.approx(0.5)
    assert admitted_fraction(max_shed) == admission.MIN_ADMITTED_FRACTION
    assert admitted_fraction(1.0) == admission.MIN_ADMITTED_FRACTION


def test_accumulator_admits_two_of_five_at_a_fraction_of_0_4() -> None:
    driver = GatewayDriver()
    driver.send_request()
    share = driver.gateway.admission.shares[("read", "open")]
    share.admitted_fraction, share.accumulator = 0.4, 0.0
    sent = [bool(actions_of_type(driver.send_request()[1], StartAttempt)) for _ in range(10)]
    assert sent == [False, False, True, False, True] * 2


def test_overload_sheds_the_least_weight_per_work_first() -> None:
    driver = GatewayDriver()
    for _ in range(5):
        driver.send_request("read")
        driver.send_request("put")
    driver.gateway.admission.occupancy.smoothed = (
        occupancy.MIN_SHED_OCCUPANCY + admission.MAX_SHED_OCCUPANCY
    ) / 2
    driver.sweep()
    shares = driver.gateway.admission.shares
    assert shares["put", "open"].admitted_fraction > 0.9 > shares["read", "open"].admitted_fraction


def test_ramp_lies_higher_where_a_gateway_sees_little_of_the_load() -> None:
    assert ramp_offset(0.0) == MAX_RAMP_OFFSET and ramp_offset(5.0) < 0.02 < ramp_offset(0.5)
    mid_occupancy = (MIN_SHED_OCCUPANCY + MAX_SHED_OCCUPANCY) / 2
    assert (
        admitted_fraction(mid_occupancy) == 0.5 and admitted_fraction(mid_occupancy, MAX_RAMP_OFFSET) == 1.0
    )
    assert admitted_fraction(1.0, MAX_RAMP_OFFSET) == MIN_ADMITTED_FRACTION, (
        "load is shed at full occupancy whatever the offset is"
    )


def test_random_queues_on_many_endpoints_shed_nothing_but_overload_does() -> None:
    """A gateway with few attempts on many endpoints must not shed load for queues that other gateways cause.

    Shedding does not shorten queues that form because gateways select endpoints without seeing each other's
    attempts.
    """
    assert fraction_under_steady_load(driver_with_learned_baseline(60), [420.0], 2) > 0.95
    assert fraction_under_steady_load(GatewayDriver(endpoints=60), [420.0], 2) > 0.95, "no learned baseline"
    assert fraction_under_steady_load(driver_with_learned_baseline(2), [420.0], 2) < 0.9, (
        "the same latency, but the gateway sees most of the load"
    )
    assert fraction_under_steady_load(driver_with_learned_baseline(60), [900.0], 2) < 0.6
    assert fraction_under_steady_load(GatewayDriver(endpoints=60), [900.0], 2) < 0.6, "no learned baseline"


def test_one_slow_response_among_fast_ones_sheds_nothing() -> None:
    driver = GatewayDriver(endpoints=3)
    fractions = []
    for n in range(80):
        request_id = driver.send_request(after_ms=100)[0]
        driver.end_attempt(request_id, duration_ms=900 if n % 20 == 19 else 60)
        driver.sweep(1, interval_ms=1)
        if n > 30:
            fractions.append(driver.gateway.admission.admitted_fraction)
    assert min(fractions) > 0.9
