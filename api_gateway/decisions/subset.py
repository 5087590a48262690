"""Subset of the endpoints that one gateway sends requests to: those that follow its position on the ring.

A walk on the ring adds warm endpoints until the target size or a limit on the walk is reached. The endpoints
that it passes in slow start (up to a limit) or ejected are in the subset, too.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from itertools import chain
from random import Random

from api_gateway.decisions.endpoints import EndpointState, EndpointTable
from api_gateway.decisions.ring import gateway_position
from api_gateway.model.settings import Settings

TARGET_VISIT_INTERVAL_MS = 500.0  # The subset is sized for one request to each endpoint in this time.
MIN_SUBSET_SIZE = 6
MAX_SUBSET_SIZE = 256
MIN_RESIZE_FACTOR = 1.25  # Smaller changes of the size are ignored, since each one costs connections.
# Maximum number of endpoints compared for one request; the best of 32 is about as good as the best of all.
MAX_CANDIDATES = 32
# The walk on the ring ends after MAX_WALK_FACTOR * target size + MAX_WALK_EXTRA endpoints, unless all of them
# are ejected.
MAX_WALK_FACTOR = 8
MAX_WALK_EXTRA = 64
MAX_WARMING_UP_FACTOR = 2  # Maximum number of endpoints in slow start, as a multiple of the target size.


class EndpointSubset:
    """The endpoints that one gateway sends requests to.

    Args:
        endpoint_table: All endpoints.
        settings: The gateway's settings.
        rng: Source of the random draws that spread the first visits to endpoints that have become warm.

    Attributes:
        target_size: Number of warm endpoints to select.
        visit_interval_ms: Time in which each warm endpoint gets one request on average, up to a limit.
        warm: Endpoints at full capacity that are not ejected.
        warming_up: Endpoints in slow start that are not ejected.
        ejected: Ejected endpoints.
    """

    def __init__(self, endpoint_table: EndpointTable, settings: Settings, rng: Random) -> None:
        self._endpoint_table = endpoint_table
        self._slow_start_ms = settings.slow_start_ms
        self._rng = rng
        self._position = gateway_position(settings.gateway_index, settings.fleet_size)
        self.target_size = float(MIN_SUBSET_SIZE)
        self.visit_interval_ms = TARGET_VISIT_INTERVAL_MS
        self.warm: list[EndpointState] = []
        self.warming_up: list[EndpointState] = []
        self.ejected: list[EndpointState] = []
        self._next_warm_at_ms = math.inf
        self._candidates_start = 0
        self._warming_up_start = 0
        self._is_resized = False
        self._revision = -1  # revision of the endpoint table at the last update of the subset

    def __len__(self) -> int:
        """Return the number of endpoints in the subset."""
        return len(self.warm) + len(self.warming_up) + len(self.ejected)

    def __iter__(self) -> Iterator[EndpointState]:
        """Iterate over the endpoints of the subset."""
        return chain(self.warm, self.warming_up, self.ejected)

    def resize(self, target_size: float) -> None:
        """Set the target size, within its limits.

        Small changes are ignored, since each one costs connections, unless fewer than `MIN_SUBSET_SIZE`
        endpoints are warm.
        """
        target_size = min(max(target_size, MIN_SUBSET_SIZE), MAX_SUBSET_SIZE)
        is_large_change = (
            target_size > MIN_RESIZE_FACTOR * self.target_size
            or MIN_RESIZE_FACTOR * target_size < self.target_size
        )
        if is_large_change or len(self.warm) < MIN_SUBSET_SIZE:
            self._is_resized = self._is_resized or round(target_size) != round(self.target_size)
            self.target_size = target_size

    def refresh(self, now_ms: float) -> EndpointSubset:
        """Select the endpoints again if the table or the size has changed, or an endpoint has become warm.

        Returns:
            The subset itself.
        """
        is_current = self._revision == self._endpoint_table.revision and not self._is_resized
        if is_current and now_ms < self._next_warm_at_ms:
            return self
        self._revision, self._is_resized = self._endpoint_table.revision, False
        self._next_warm_at_ms = math.inf
        self._select(now_ms)
        return self

    def _select(self, now_ms: float) -> None:
        """Walk the ring from this gateway's position until the target size or the limit on the walk."""
        previously_warm = set(self.warm)
        warm: list[EndpointState] = []
        warming_up: list[EndpointState] = []
        ejected: list[EndpointState] = []
        max_walked = MAX_WALK_FACTOR * self.target_size + MAX_WALK_EXTRA
        for walked, name in enumerate(self._endpoint_table.ring.walk(self._position), start=1):
            endpoint = self._endpoint_table.available[name]
            if endpoint.is_ejected:
                ejected.append(endpoint)
            elif (
                endpoint.slow_start_began_at_ms
                and now_ms < endpoint.slow_start_began_at_ms + self._slow_start_ms
            ):
                if len(warming_up) < MAX_WARMING_UP_FACTOR * self.target_size:
                    warming_up.append(endpoint)
                    warm_at_ms = endpoint.slow_start_began_at_ms + self._slow_start_ms
                    self._next_warm_at_ms = min(self._next_warm_at_ms, warm_at_ms)
            else:
                warm.append(endpoint)
                if endpoint not in previously_warm:
                    self._spread_first_visit(endpoint, now_ms)
            if len(warm) >= self.target_size or (walked > max_walked and (warm or warming_up)):
                break
        self.warm, self.warming_up, self.ejected = warm, warming_up, ejected

    def _spread_first_visit(self, endpoint: EndpointState, now_ms: float) -> None:
        """Set a random last attempt, so that not all gateways select a newly warm endpoint at once."""
        assumed_attempt_at_ms = now_ms - self._rng.random() * self.visit_interval_ms
        endpoint.last_attempt_at_ms = max(endpoint.last_attempt_at_ms, assumed_attempt_at_ms)

    def warm_candidates(self) -> list[EndpointState]:
        """Return the warm endpoints to compare for one request, in rotation if there are many."""
        if len(self.warm) <= MAX_CANDIDATES:
            return self.warm
        start = self._candidates_start = (self._candidates_start + MAX_CANDIDATES) % len(self.warm)
        return (self.warm + self.warm[:MAX_CANDIDATES])[start : start + MAX_CANDIDATES]

    def warming_up_candidates(self) -> list[EndpointState]:
        """Return the endpoints in slow start to consider for one request, in rotation.

        There must be at least one.
        """
        count = len(self.warming_up)
        start = self._warming_up_start = (self._warming_up_start + 1) % count
        return [self.warming_up[(start + i) % count] for i in range(min(MAX_CANDIDATES, count))]
