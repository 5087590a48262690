"""What must hold at any deployment: classes near and far from their aims, and small stores over wide sets."""

from __future__ import annotations

import dataclasses

import pytest
from support.endpoint_simulation import EndpointSimulation, Load
from support.quota_simulation import QuotaSimulation

from api_gateway.model.settings import Plan, RequestClass

SEEDS = (1, 2, 3)
NEAR = RequestClass("near", latency_objective_ms=100, deadline_ms=400, priority_weight=5)
FAR = RequestClass("far", latency_objective_ms=2000, deadline_ms=8000, priority_weight=1)
ASKED = (0.3, 0.3, 0.3, 0.3, 0.2, 0.4, 0.4, 0.5, 0.9, 0.95, 3.0) * 4  # times its rate, for each customer


def one_class(ratio: float, rate: float, shape: str, times: float = 1.0) -> Load:
    """Requests whose work is `ratio` of their aim, in the mean."""
    cls = RequestClass("read", latency_objective_ms=1000 * times, deadline_ms=4000 * times, priority_weight=3)
    return Load(cls, 1000 * times * ratio, rate, shape)


def turned_away_when_idle(load: Load, seconds: float = 30.0) -> float:
    """Share of the requests that a gateway of 60 hosts turns away although none of them ever queues."""
    tallies = [EndpointSimulation([load], seed=seed).run(seconds).tallies[load.cls.name] for seed in SEEDS]
    return sum(tally.refused for tally in tallies) / sum(tally.asked for tally in tallies)


@pytest.mark.parametrize("rate", [5, 20, 80])
@pytest.mark.parametrize("ratio", [0.05, 0.2, 0.3, 0.4, 0.5])
def test_idle_hosts_are_not_shed_for_however_near_work_lies_to_its_aim(ratio: float, rate: float) -> None:
    assert turned_away_when_idle(one_class(ratio, rate, "lognormal")) < 0.02


@pytest.mark.parametrize("ratio", [0.3, 0.5])
def test_idle_hosts_are_hardly_shed_for_where_work_varies_as_much_as_its_mean(ratio: float) -> None:
    assert turned_away_when_idle(one_class(ratio, 20, "exponential")) < 0.04


@pytest.mark.parametrize("times", [0.1, 1.0, 10.0])
def test_all_times_scaled_leave_the_same_share(times: float) -> None:
    load = one_class(0.5, 20 / max(times, 1.0), "lognormal", times)
    play = EndpointSimulation([load], seed=1).run(30 * max(times, 1.0))
    assert play.tallies["read"].turned_away < 0.02


def test_worths_scaled_and_classes_in_another_order_change_nothing() -> None:
    def served(loads: list[Load]) -> dict[str, int]:
        play = EndpointSimulation(
            sorted(loads, key=lambda load: load.rate), hosts=6, cores=2, gateways=4, seed=1
        )
        return {name: tally.served for name, tally in play.run(15).tallies.items()}

    loads = [Load(NEAR, 45, 30), Load(FAR, 100, 31)]
    scaled = [
        dataclasses.replace(
            load, cls=dataclasses.replace(load.cls, priority_weight=100 * load.cls.priority_weight)
        )
        for load in loads
    ]
    assert served(loads) == served(loads[::-1]) == served(scaled)


def test_a_class_near_its_aim_starves_none_while_hosts_are_idle() -> None:
    tallies = EndpointSimulation([Load(NEAR, 45, 20), Load(FAR, 100, 20)], seed=1).run(30).tallies
    assert tallies["near"].turned_away < 0.02 and tallies["near"].share_served > 0.85
    assert tallies["far"].turned_away < 0.02 and tallies["far"].share_served > 0.97


@pytest.mark.parametrize("seed", SEEDS)
def test_pressed_hosts_shed_by_worth_per_work_and_leave_each_class_a_part(seed: int) -> None:
    loads = [Load(NEAR, 45, 20), Load(FAR, 100, 20)]  # 0.97 of what 12 cores can do
    play = EndpointSimulation(loads, hosts=6, cores=2, gateways=4, seed=seed).run(5, pace=0.4)
    play.forget()
    tallies = play.run(20, pace=1.5).tallies
    assert tallies["near"].turned_away < tallies["far"].turned_away, "worth more, and less work"
    assert tallies["far"].share_served > 0.25, "half of what can be served is what the gate wants"
    assert tallies["near"].share_served > 0.25


@pytest.mark.parametrize("ratio", [0.05, 0.1, 0.2, 0.3, 0.5])
def test_pressure_is_seen_however_near_work_lies_to_its_aim(ratio: float) -> None:
    load = one_class(ratio, 3 / ratio, "lognormal")  # 4 gateways before 12 cores: as much as these can do
    play = EndpointSimulation([load], hosts=6, cores=2, gateways=4, seed=1).run(5, pace=0.4).run(13, pace=2)
    assert play.offered_work(8000) < 1.2, "3 s after twice as much is asked"


@pytest.mark.parametrize("seed", SEEDS)
def test_small_stores_over_wide_sets_are_not_refused_with_room(seed: int) -> None:
    """A perfect counter, sets of 58 of 60 gateways, stores of 9 units: 0 to 0.22 of the tries before."""
    plan = Plan("team", quota_rate=0.83, quota_burst=9, over_quota_cost=1.0)
    play = QuotaSimulation(seed, plan, fleet=60, width=58, asked=ASKED).run(30)
    assert play.refused_with_room < 0.04 * play.tries
    assert play.inside > 0.88 * play.within and play.beyond < 0.1 * play.within
