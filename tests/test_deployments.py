"""Simulations of behaviour that must hold in any deployment.

They cover service times near to and far from the latency objective, and small token buckets that many
gateways share.
"""

from __future__ import annotations

import dataclasses

import pytest
from support.endpoint_simulation import Distribution, EndpointSimulation, Load
from support.quota_simulation import QuotaSimulation

from api_gateway.model.settings import Plan, RequestClass

SEEDS = (1, 2, 3)
SHORT_OBJECTIVE = RequestClass("short", latency_objective_ms=100, deadline_ms=400, priority_weight=5)
LONG_OBJECTIVE = RequestClass("long", latency_objective_ms=2000, deadline_ms=8000, priority_weight=1)
QUEUEING_ENDPOINTS = {"endpoints": 6, "cores": 2, "gateways": 4}  # 12 cores in total.
# Requested units of each tenant, as a multiple of its quota.
TENANT_LOAD_FACTORS = (0.3, 0.3, 0.3, 0.3, 0.2, 0.4, 0.4, 0.5, 0.9, 0.95, 3.0) * 4


def single_class_load(
    service_time_ratio: float,
    requests_per_s_per_gateway: float,
    distribution: Distribution = Distribution.LOGNORMAL,
    time_scale: float = 1.0,
) -> Load:
    """Create the load of one class.

    Args:
        service_time_ratio: Ratio of the mean service time to the latency objective.
        requests_per_s_per_gateway: Requests per second to each gateway.
        distribution: Distribution of the service times.
        time_scale: Factor on the objective of 1 s and on the deadline of 4 s.
    """
    request_class = RequestClass(
        "read", latency_objective_ms=1000 * time_scale, deadline_ms=4000 * time_scale, priority_weight=3
    )
    return Load(
        request_class, 1000 * time_scale * service_time_ratio, requests_per_s_per_gateway, distribution
    )


def rejected_fraction_without_queueing(load: Load, seconds: float = 30.0) -> float:
    """Return the fraction of requests rejected by a gateway with 60 endpoints, on which no request queues."""
    name = load.request_class.name
    counts = [EndpointSimulation([load], seed=seed).run(seconds).counts[name] for seed in SEEDS]
    return sum(count.rejected for count in counts) / sum(count.received for count in counts)


@pytest.mark.parametrize("requests_per_s_per_gateway", [5, 20, 80])
@pytest.mark.parametrize("service_time_ratio", [0.05, 0.2, 0.3, 0.4, 0.5])
def test_idle_endpoints_cause_no_rejections_at_any_service_time(
    service_time_ratio: float, requests_per_s_per_gateway: float
) -> None:
    """Work that takes much of its objective even on idle endpoints must not be mistaken for overload."""
    assert (
        rejected_fraction_without_queueing(single_class_load(service_time_ratio, requests_per_s_per_gateway))
        < 0.02
    )


@pytest.mark.parametrize("service_time_ratio", [0.3, 0.5])
def test_idle_endpoints_cause_few_rejections_at_exponential_service_times(service_time_ratio: float) -> None:
    load = single_class_load(service_time_ratio, 20, Distribution.EXPONENTIAL)
    assert rejected_fraction_without_queueing(load) < 0.04


@pytest.mark.parametrize("time_scale", [0.1, 1.0, 10.0])
def test_rejections_do_not_depend_on_the_scale_of_time(time_scale: float) -> None:
    """Constants in milliseconds must not make the result depend on the length of the objective."""
    load = single_class_load(0.5, 20 / max(time_scale, 1.0), time_scale=time_scale)
    simulation = EndpointSimulation([load], seed=1).run(30 * max(time_scale, 1.0))
    assert simulation.counts["read"].rejected_fraction < 0.02


def test_scaled_weights_and_reordered_classes_change_nothing() -> None:
    """Only the ratios of priority weights may matter, and not the order of the classes in the settings."""

    def served(loads: list[Load]) -> dict[str, int]:
        ordered = sorted(loads, key=lambda load: load.requests_per_s_per_gateway)
        counts = EndpointSimulation(ordered, seed=1, **QUEUEING_ENDPOINTS).run(15).counts
        return {name: count.served_in_time for name, count in counts.items()}

    def with_scaled_weight(load: Load) -> Load:
        request_class = load.request_class
        scaled = dataclasses.replace(request_class, priority_weight=100 * request_class.priority_weight)
        return dataclasses.replace(load, request_class=scaled)

    loads = [Load(SHORT_OBJECTIVE, 45, 30), Load(LONG_OBJECTIVE, 100, 31)]
    scaled_loads = [with_scaled_weight(load) for load in loads]
    assert served(loads) == served(loads[::-1]) == served(scaled_loads)


def test_no_class_starves_while_endpoints_are_idle() -> None:
    loads = [Load(SHORT_OBJECTIVE, 45, 20), Load(LONG_OBJECTIVE, 100, 20)]
    counts = EndpointSimulation(loads, seed=1).run(30).counts
    assert counts["short"].rejected_fraction < 0.02 and counts["short"].served_fraction > 0.85
    assert counts["long"].rejected_fraction < 0.02 and counts["long"].served_fraction > 0.97


@pytest.mark.parametrize("seed", SEEDS)
def test_overload_rejects_by_weight_per_service_time_and_serves_some_of_each_class(seed: int) -> None:
    # These loads take 0.97 of the capacity of the cores.
    loads = [Load(SHORT_OBJECTIVE, 45, 20), Load(LONG_OBJECTIVE, 100, 20)]
    simulation = EndpointSimulation(loads, seed=seed, **QUEUEING_ENDPOINTS).run(5, load_factor=0.4)
    simulation.reset_counts()
    counts = simulation.run(20, load_factor=1.5).counts
    assert counts["short"].rejected_fraction < counts["long"].rejected_fraction, (
        "more weight and a shorter service time"
    )
    assert counts["long"].served_fraction > 0.25, "half of the intended fraction"
    assert counts["short"].served_fraction > 0.25


@pytest.mark.parametrize("service_time_ratio", [0.05, 0.1, 0.2, 0.3, 0.5])
def test_overload_is_detected_at_any_service_time(service_time_ratio: float) -> None:
    """Overload must be detected whether idle endpoints take little or much of the objective."""
    load = single_class_load(service_time_ratio, 3 / service_time_ratio)  # The full capacity of the cores.
    simulation = EndpointSimulation([load], seed=1, **QUEUEING_ENDPOINTS)
    simulation.run(5, load_factor=0.4).run(13, load_factor=2)
    assert simulation.offered_utilization(8000) < 1.2, "from 3 s after the start of the overload"


@pytest.mark.parametrize("seed", SEEDS)
def test_small_token_buckets_over_many_gateways_are_not_rejected_within_quota(seed: int) -> None:
    """58 of 60 gateways share each tenant's bucket of 9 units: an even share is less than one request.

    The counter rejects no calls.
    """
    plan = Plan("team", quota_rate=0.83, quota_burst=9, over_quota_cost=1.0)
    simulation = QuotaSimulation(
        seed, plan, fleet_size=60, gateways_per_tenant=58, load_factors=TENANT_LOAD_FACTORS
    ).run(30)
    assert simulation.rejected_within_quota < 0.04 * simulation.requests
    assert simulation.units_within_quota > 0.88 * simulation.units_allowed
    assert simulation.units_over_quota < 0.1 * simulation.units_allowed
