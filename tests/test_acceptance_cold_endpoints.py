"""No cold endpoint is overloaded by the requests that all gateways together send to it."""

from __future__ import annotations

import pytest
from support.fleet_simulation import FleetSimulation

FLEETS = [  # gateways, endpoints, fraction of them replaced at once, which gateways have just started
    (30, 50, 1.0, "all"),
    (30, 50, 1.0, "none"),
    (30, 50, 0.6, "all"),
    (30, 50, 0.6, "half"),
    (30, 50, 0.1, "none"),
    (30, 50, 0.1, "all"),
    (20, 20, 0.8, "half"),
    (200, 50, 1.0, "half"),
    (200, 120, 0.6, "none"),
]
SLOW_STARTS = [  # overload multiple, length of the slow start in s, requests per s for each endpoint
    (1.2, 10, 15),
    (1.2, 5, 20),
    (2.5, 18, 12),
    (2.5, 5, 2),
    (4.0, 10, 20),
]


@pytest.mark.parametrize(("gateways", "endpoints", "replaced_fraction", "restarted"), FLEETS)
@pytest.mark.parametrize(("overload_multiple", "slow_start_s", "requests_per_s_per_endpoint"), SLOW_STARTS)
def test_no_cold_endpoint_is_overloaded_by_the_sum_of_all_gateways(
    gateways: int,
    endpoints: int,
    replaced_fraction: float,
    restarted: str,
    overload_multiple: float,
    slow_start_s: float,
    requests_per_s_per_endpoint: float,
) -> None:
    """Each gateway limits its own requests to a cold endpoint, which receives those of all gateways.

    The cases have small and large overload multiples, short and long slow starts, and low and high request
    rates, with requests distributed unevenly over the gateways.
    """
    simulation = FleetSimulation(
        gateways=gateways,
        endpoints=endpoints,
        requests_per_s_per_endpoint=requests_per_s_per_endpoint,
        overload_multiple=overload_multiple,
        slow_start_s=slow_start_s,
        traffic_share_shape=1.0,
        seed=gateways + endpoints,
    )
    if restarted != "all":
        simulation.run(4)
    replaced = simulation.replace_endpoints(
        list(simulation.endpoints)[: round(replaced_fraction * endpoints)]
    )
    if restarted == "half":
        for i in range(0, gateways, 2):
            simulation.restart_gateway(i)
    simulation.run(slow_start_s + 1)
    assert simulation.overloaded_endpoints() == []
    sent = sum(len(simulation.sent_at_ms[name]) for name in replaced)
    min_sent = (
        0.2
        * requests_per_s_per_endpoint
        * slow_start_s
        * len(replaced)
        * min(replaced_fraction, 1 - replaced_fraction)
    )
    assert sent > min_sent, "cold endpoints must not be left idle"


def test_endpoints_that_become_warm_together_are_not_overloaded() -> None:
    """Five of fifty endpoints end their slow start at once.

    Since few requests were sent to them until then, all gateways may prefer them and overload them together.
    """
    for seed in (1, 2, 3):
        simulation = FleetSimulation(
            requests_per_s_per_endpoint=15, overload_multiple=2.5, slow_start_s=5, seed=seed
        )
        simulation.run(6)
        replaced = simulation.replace_endpoints(list(simulation.endpoints)[:5])
        warm_at = simulation.now_ms + 5000
        simulation.run(9)
        requests = simulation.received_per_s(warm_at, warm_at + 2000)
        mean = sum(requests[name] for name in replaced) / 5
        assert max(requests[name] for name in replaced) < 2 * simulation.requests_per_s_per_endpoint
        assert mean < 1.5 * simulation.requests_per_s_per_endpoint
        assert mean > 0.5 * simulation.requests_per_s_per_endpoint
