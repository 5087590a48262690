"""Ring of endpoints and gateways that all gateways compute alike without communication.

Each gateway sends its requests to the endpoints that follow its own position on the ring. A decision
therefore costs the same with 50 endpoints as with 11,000, and gateways do not concentrate on the same
few endpoints.

Source: the rings of Finagle's deterministic aperture, as described in its public documentation.
"""

from __future__ import annotations

import hashlib
import heapq
import math
from bisect import bisect_left, insort
from collections.abc import Iterator
from functools import lru_cache

INVERSE_GOLDEN_RATIO = (5**0.5 - 1) / 2
HASH_BITS = 64


def gateway_position(gateway_index: int, fleet_size: int) -> float:
    """Return the position of a gateway on the ring; the positions of a fleet are evenly spaced.

    Gateways with adjacent indexes are placed far apart, since they serve the same tenants and are busy at the
    same times.

    Args:
        gateway_index: Index of the gateway, from 0.
        fleet_size: Number of gateways in the fleet.

    Returns:
        A position, 0 <= position < 1.
    """
    stride = max(round(fleet_size * INVERSE_GOLDEN_RATIO), 1)
    while math.gcd(stride, fleet_size) != 1:
        stride += 1
    return gateway_index * stride % fleet_size / fleet_size


@lru_cache(maxsize=16384)
def stable_hash(text: str) -> int:
    """Return a hash of `HASH_BITS` bits that does not depend on the process."""
    return int.from_bytes(hashlib.blake2s(text.encode(), digest_size=HASH_BITS // 8).digest(), "big")


class Ring:
    """Endpoints in an order that depends on their names and zones alone, with the zones interleaved.

    The position of an endpoint is its rank within its zone, by the hash of its name. Positions are therefore
    evenly spaced whatever the hashes are, and adding or removing an endpoint moves any other by at most one
    rank.
    """

    def __init__(self) -> None:
        self._zones: dict[str, list[tuple[int, str]]] = {}

    def __len__(self) -> int:
        """Return the number of endpoints."""
        return sum(map(len, self._zones.values()))

    def add(self, name: str, zone: str) -> None:
        """Add an endpoint, which must not be on the ring."""
        insort(self._zones.setdefault(zone, []), (stable_hash(name), name))

    def remove(self, name: str, zone: str) -> None:
        """Remove an endpoint, which must be on the ring."""
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
            # Without a phase, the first endpoints of all zones would be adjacent.
            phase = stable_hash(zone) / 2**HASH_BITS
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
