"""The ring: even positions, stable order, coverage."""

from __future__ import annotations

import itertools

import pytest

from api_gateway.decisions.ring import Ring, gateway_position


def ring(names: list[str], zones: int = 3) -> Ring:
    out = Ring()
    for i, name in enumerate(names):
        out.add(name, f"z{i % zones}")
    return out


def first(ring_of_endpoints: Ring, start: float, count: int) -> list[str]:
    return [name for name, _ in zip(ring_of_endpoints.walk(start), range(count), strict=False)]


@pytest.mark.parametrize("fleet", [1, 2, 3, 40, 200, 670])
def test_positions_are_evenly_spaced_and_adjacent_numbers_lie_apart(fleet: int) -> None:
    places = [gateway_position(i, fleet) for i in range(fleet)]
    assert sorted(places) == [i / fleet for i in range(fleet)]
    if fleet >= 40:
        assert all(0.2 < abs(a - b) < 0.8 for a, b in itertools.pairwise(places))


@pytest.mark.parametrize("hosts", [1, 2, 7, 50, 1000])
def test_a_walk_names_every_endpoint_once_from_any_position(hosts: int) -> None:
    names = [f"h{i}" for i in range(hosts)]
    ring_of_endpoints = ring(names, zones=5)
    for start in (0.0, 0.3, 0.999):
        assert sorted(ring_of_endpoints.walk(start)) == sorted(names) and len(ring_of_endpoints) == hosts
    for name in names:
        ring_of_endpoints.remove(name, f"z{names.index(name) % 5}")
    assert not len(ring_of_endpoints) and not list(ring_of_endpoints.walk(0.5))


def test_the_order_follows_from_the_names_alone() -> None:
    names = [f"h{i}" for i in range(60)]
    one, other = ring(names), Ring()
    for name in reversed(names):
        other.add(name, f"z{names.index(name) % 3}")
    assert list(one.walk(0.4)) == list(other.walk(0.4))


def test_subsets_cover_endpoints_and_zones_evenly() -> None:
    names = [f"h{i}" for i in range(200)]
    ring_of_endpoints = ring(names, zones=4)
    covered = dict.fromkeys(names, 0)
    for index in range(200):
        mine = first(ring_of_endpoints, gateway_position(index, 200), 12)
        for name in mine:
            covered[name] += 1
        per_zone = [sum(names.index(n) % 4 == z for n in mine) for z in range(4)]
        assert max(per_zone) - min(per_zone) <= 2
    assert max(covered.values()) - min(covered.values()) <= 3  # 12 in the mean


def test_one_endpoint_more_or_less_moves_a_bounded_part_of_the_subsets() -> None:
    """Of 12 endpoints one changes where it enters or leaves, and one by the shift of ranks."""
    names = [f"h{i}" for i in range(400)]
    ring_of_endpoints = ring(names, zones=4)
    before = [set(first(ring_of_endpoints, gateway_position(index, 300), 12)) for index in range(300)]
    ring_of_endpoints.remove("h8", "z0")
    ring_of_endpoints.add("new", "z0")
    moved = [
        len(b - set(first(ring_of_endpoints, gateway_position(index, 300), 12)))
        for index, b in enumerate(before)
    ]
    assert max(moved) <= 2 and sum(moved) <= 0.05 * 300 * 12
