"""Subsets of a long list of hosts that gateways agree on without talking: a deterministic aperture.

Hosts and gateways lie on one ring. A gateway works with the hosts that follow its own place, so that what it
does costs the same beside 50 hosts and beside 11,000, and so that no two choose the same few by chance.

Source: the rings of Finagle's deterministic aperture, as described in its public documentation.
"""

from __future__ import annotations

import hashlib
import heapq
import math
from bisect import bisect_left, insort
from collections.abc import Iterator
from functools import lru_cache

GOLDEN = (5**0.5 - 1) / 2


def place(me: int, fleet_size: int) -> float:
    """The place of gateway `me` on the ring, 0 <= place < 1; the places of a fleet are evenly spaced.

    Neighbours by number lie far apart: they form one customer's set, and are busy together.
    """
    stride = max(round(fleet_size * GOLDEN), 1)
    while math.gcd(stride, fleet_size) != 1:
        stride += 1
    return me * stride % fleet_size / fleet_size


@lru_cache(maxsize=16384)
def digest(text: str) -> int:
    """A number of 64 bits that is the same for a text in every process."""
    return int.from_bytes(hashlib.blake2s(text.encode(), digest_size=8).digest(), "big")


class Ring:
    """Hosts in an order that follows from their names alone, zones interleaved in proportion.

    A host's place is its rank among its zone's hosts, so places are even however the hashes fall; one that
    comes or goes moves each of the others by at most one rank.
    """

    def __init__(self) -> None:
        self._zones: dict[str, list[tuple[int, str]]] = {}

    def __len__(self) -> int:
        return sum(map(len, self._zones.values()))

    def add(self, name: str, zone: str) -> None:
        """Take a host in; it must not be there already."""
        insort(self._zones.setdefault(zone, []), (digest(name), name))

    def remove(self, name: str, zone: str) -> None:
        """Take a host out; it must be there."""
        hosts = self._zones[zone]
        del hosts[bisect_left(hosts, (digest(name), name))]
        if not hosts:
            del self._zones[zone]

    def walk(self, start: float) -> Iterator[str]:
        """All hosts once, in the order of their places, from `start` (0 <= start < 1) on and round."""
        heads = []
        for zone, hosts in self._zones.items():
            phase = digest(zone) / 2**64  # else the first hosts of all zones would lie together
            first = math.ceil(start * len(hosts) - phase)
            heads.append(((first + phase) / len(hosts), zone, phase, first, first + len(hosts)))
        heapq.heapify(heads)
        while heads:
            _, zone, phase, index, end = heads[0]
            hosts = self._zones[zone]
            yield hosts[index % len(hosts)][1]
            if index + 1 < end:
                heapq.heapreplace(heads, ((index + 1 + phase) / len(hosts), zone, phase, index + 1, end))
            else:
                heapq.heappop(heads)
