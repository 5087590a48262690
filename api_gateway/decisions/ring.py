"""A ring of endpoints on which all gateways agree without talking: a deterministic aperture.

Endpoints and gateways lie on one ring. A gateway works with the endpoints that follow its own position, so
that its work costs the same with 50 endpoints and with 11,000, and no two gateways choose the same few by
chance.

Source: the rings of Finagle's deterministic aperture, as described in its public documentation.
"""

from __future__ import annotations

import hashlib
import heapq
import math
from bisect import bisect_left, insort
from collections.abc import Iterator
from functools import lru_cache

GOLDEN_RATIO = (5**0.5 - 1) / 2
HASH_BITS = 64


def gateway_position(gateway_index: int, fleet_size: int) -> float:
    """Return the position of a gateway on the ring; the positions of a fleet are evenly spaced.

    Gateways with adjacent numbers lie far apart, since they serve the same tenants and are busy together.

    Args:
        gateway_index: Number of the gateway, from 0.
        fleet_size: Gateways in the fleet.

    Returns:
        A position, 0 <= position < 1.
    """
    stride = max(round(fleet_size * GOLDEN_RATIO), 1)
    while math.gcd(stride, fleet_size) != 1:
        stride += 1
    return gateway_index * stride % fleet_size / fleet_size


@lru_cache(maxsize=16384)
def stable_hash(text: str) -> int:
    """Return a hash of `HASH_BITS` bits that is the same in every process."""
    return int.from_bytes(hashlib.blake2s(text.encode(), digest_size=HASH_BITS // 8).digest(), "big")


class Ring:
    """Endpoints in an order that follows from their names alone, zones interleaved in proportion.

    The position of an endpoint is its rank among those of its zone, so positions are even whatever the hashes
    are; one that is added or removed moves each of the others by one rank at most.
    """

    def __init__(self) -> None:
        self._zones: dict[str, list[tuple[int, str]]] = {}

    def __len__(self) -> int:
        """Return the number of endpoints."""
        return sum(map(len, self._zones.values()))

    def add(self, name: str, zone: str) -> None:
        """Add an endpoint that is not on the ring."""
        insort(self._zones.setdefault(zone, []), (stable_hash(name), name))

    def remove(self, name: str, zone: str) -> None:
        """Remove an endpoint that is on the ring."""
        endpoints = self._zones[zone]
        del endpoints[bisect_left(endpoints, (stable_hash(name), name))]
        if not endpoints:
            del self._zones[zone]

    def walk(self, start: float) -> Iterator[str]:
        """Iterate over the names of all endpoints once, in the order of their positions from `start` on.

        Args:
            start: A position, 0 <= start < 1.
        """
        heads = []
        for zone, endpoints in self._zones.items():
            phase = (
                stable_hash(zone) / 2**HASH_BITS
            )  # else the first endpoints of all zones would be adjacent
            first = math.ceil(start * len(endpoints) - phase)
            heads.append(((first + phase) / len(endpoints), zone, phase, first, first + len(endpoints)))
        heapq.heapify(heads)
        while heads:
            _, zone, phase, index, end = heads[0]
            endpoints = self._zones[zone]
            yield endpoints[index % len(endpoints)][1]
            if index + 1 < end:
                heapq.heapreplace(heads, ((index + 1 + phase) / len(endpoints), zone, phase, index + 1, end))
            else:
                heapq.heappop(heads)
