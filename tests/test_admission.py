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
    driver: GatewayDriver, duration_ms: list[float], in_flight: int, rounds: int = 120
) -> float:
    """Return the fraction after `in_flight` requests at a time, each answered after `duration_ms` of 1 s."""
    waiting = [driver.send_request()[0] for _ in range(in_flight)]
    for n in range(rounds):
        driver.sweep(1)
        driver.end_attempt(waiting.pop(0), duration_ms=duration_ms[n % len(duration_ms)])
        waiting.append(driver.send_request()[0])
        if not any(isinstance(a, StartAttempt) and a.request_id == waiting[-1] for _, a in driver.action_log):
            waiting.pop()
            request_id = next(
                r
                for r, actions in iter(lambda: driver.send_request(), None)
                if any(isinstance(a, StartAttempt) for a in actions)
            )
            waiting.append(request_id)
    return driver.gateway.admission.fraction


def driver_with_learned_baseline(endpoints: int) -> GatewayDriver:
    """A gateway that knows the latency of idle endpoints."""
    driver = GatewayDriver(endpoints=endpoints)
    fraction_under_steady_load(driver, [60.0], 2, rounds=40)
    return driver


def test_admitted_fraction_falls_from_1_to_its_minimum() -> None:
    lo, hi = occupancy.MIN_SHED_OCCUPANCY, admission.MAX_SHED_OCCUPANCY
    assert admitted_fraction(0.0) == 1.0
    assert admitted_fraction(lo) == 1.0
    assert admitted_fraction((lo + hi) / 2) == pytest.approx(0.5)
    assert admitted_fraction(hi) == admission.MIN_ADMITTED_FRACTION
    assert admitted_fraction(1.0) == admission.MIN_ADMITTED_FRACTION


def test_accumulator_admits_two_of_five_at_a_fraction_of_0_4() -> None:
    driver = GatewayDriver()
    driver.send_request()
    share = driver.gateway.admission.shares[("read", "open")]
    share.fraction, share.accumulator = 0.4, 0.0
    sent = [bool(actions_of_type(driver.send_request()[1], StartAttempt)) for _ in range(10)]
    assert sent == [False, False, True, False, True] * 2


def test_overload_sheds_the_least_weight_for_its_work_first() -> None:
    driver = GatewayDriver()
    for _ in range(5):
        driver.send_request("read")
        driver.send_request("put")
    driver.gateway.admission.occupancy.smoothed = (
        occupancy.MIN_SHED_OCCUPANCY + admission.MAX_SHED_OCCUPANCY
    ) / 2
    driver.sweep()
    shares = driver.gateway.admission.shares
    assert shares["put", "open"].fraction > 0.9 > shares["read", "open"].fraction


def test_ramp_lies_higher_where_a_gateway_sees_little_of_the_load() -> None:
    assert ramp_offset(0.0) == MAX_RAMP_OFFSET and ramp_offset(5.0) < 0.02 < ramp_offset(0.5)
    q = (MIN_SHED_OCCUPANCY + MAX_SHED_OCCUPANCY) / 2
    assert admitted_fraction(q) == 0.5 and admitted_fraction(q, MAX_RAMP_OFFSET) == 1.0
    assert admitted_fraction(1.0, MAX_RAMP_OFFSET) == MIN_ADMITTED_FRACTION, (
        "a full back end is shed for whatever the offset"
    )


def test_chance_queues_on_many_endpoints_shed_nothing_but_overload_does() -> None:
    assert fraction_under_steady_load(driver_with_learned_baseline(60), [420.0], 2) > 0.95
    assert fraction_under_steady_load(GatewayDriver(endpoints=60), [420.0], 2) > 0.95, "from the start"
    assert fraction_under_steady_load(driver_with_learned_baseline(2), [420.0], 2) < 0.9, (
        "the same latency where the gateway sees their load"
    )
    assert fraction_under_steady_load(driver_with_learned_baseline(60), [900.0], 2) < 0.6
    assert fraction_under_steady_load(GatewayDriver(endpoints=60), [900.0], 2) < 0.6, "from the start"


def test_one_slow_answer_among_fast_ones_sheds_nothing() -> None:
    driver = GatewayDriver(endpoints=3)
    fs = []
    for n in range(80):
        request_id = driver.send_request(after_ms=100)[0]
        driver.end_attempt(request_id, duration_ms=900 if n % 20 == 19 else 60)
        driver.sweep(1, interval_ms=1)
        if n > 30:
            fs.append(driver.gateway.admission.fraction)
    assert min(fs) > 0.9
