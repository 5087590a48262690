"""The ring: evenly spaced positions, stable order, even coverage."""

from __future__ import annotations

import itertools

import pytest

from api_gateway.decisions.ring import Ring, gateway_position


def create_ring(names: list[str], zones: int = 3) -> Ring:
    """Return a ring of endpoints that are assigned to the zones in turn."""
    ring = Ring()
    for i, name in enumerate(names):
        ring.add(name, f"z{i % zones}")
    return ring


def first_names(ring_of_endpoints: Ring, start: float, count: int) -> list[str]:
    """Return the first names of a walk from a position."""
    return [name for name, _ in zip(ring_of_endpoints.walk(start), range(count), strict=False)]


@pytest.mark.parametrize("fleet_size", [1, 2, 3, 40, 200, 670])
def test_positions_are_evenly_spaced_and_adjacent_numbers_lie_apart(fleet_size: int) -> None:
    """Gateways with adjacent indexes are busy at the same times, so they must not share endpoints."""
    positions = [gateway_position(i, fleet_size) for i in range(fleet_size)]
    assert sorted(positions) == [i / fleet_size for i in range(fleet_size)]
    if fleet_size >= 40:
        assert all(
            0.2 < abs(position - next_position) < 0.8
            for position, next_position in itertools.pairwise(positions)
        )


@pytest.mark.parametrize("endpoint_count", [1, 2, 7, 50, 1000])
def test_a_walk_names_every_endpoint_once_from_any_position(endpoint_count: int) -> None:
    """Also checks that removing all endpoints leaves an empty ring."""
    names = [f"h{i}" for i in range(endpoint_count)]
    ring_of_endpoints = create_ring(names, zones=5)
    for start in (0.0, 0.3, 0.999):
        assert (
            sorted(ring_of_endpoints.walk(start)) == sorted(names)
            and len(ring_of_endpoints) == endpoint_count
        )
    for name in names:
        ring_of_endpoints.remove(name, f"z{names.index(name) % 5}")
    assert not len(ring_of_endpoints) and not list(ring_of_endpoints.walk(0.5))


def test_the_order_follows_from_the_names_alone() -> None:
    """Gateways that learn of the endpoints in different orders must compute the same ring."""
    names = [f"h{i}" for i in range(60)]
    ring, reversed_ring = create_ring(names), Ring()
    for name in reversed(names):
        reversed_ring.add(name, f"z{names.index(name) % 3}")
    assert list(ring.walk(0.4)) == list(reversed_ring.walk(0.4))


def test_subsets_cover_endpoints_and_zones_evenly() -> None:
    """Each endpoint is in about as many subsets as any other, and each subset has all zones evenly."""
    names = [f"h{i}" for i in range(200)]
    ring_of_endpoints = create_ring(names, zones=4)
    coverage = dict.fromkeys(names, 0)
    for index in range(200):
        subset = first_names(ring_of_endpoints, gateway_position(index, 200), 12)
        for name in subset:
            coverage[name] += 1
        per_zone = [sum(names.index(name) % 4 == zone for name in subset) for zone in range(4)]
        assert max(per_zone) - min(per_zone) <= 2
    assert max(coverage.values()) - min(coverage.values()) <= 3  # each endpoint is in 12 subsets on average


def test_one_endpoint_more_or_less_changes_few_subsets() -> None:
    """A changed endpoint must not cost all gateways their connections.

    At most two of the 12 endpoints of a subset change: one by the changed endpoint itself, and one by the
    shift of ranks.
    """
    names = [f"h{i}" for i in range(400)]
    ring_of_endpoints = create_ring(names, zones=4)
    subsets_before = [
        set(first_names(ring_of_endpoints, gateway_position(index, 300), 12)) for index in range(300)
    ]
    ring_of_endpoints.remove("h8", "z0")
    ring_of_endpoints.add("new", "z0")
    moved = [
        len(names_before - set(first_names(ring_of_endpoints, gateway_position(index, 300), 12)))
        for index, names_before in enumerate(subsets_before)
    ]
    assert max(moved) <= 2 and sum(moved) <= 0.05 * 300 * 12
