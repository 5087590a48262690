"""Size of the endpoint subset, by the traffic of this gateway."""

from __future__ import annotations

from api_gateway.decisions.subset import MIN_SUBSET_SIZE, TARGET_VISIT_INTERVAL_MS, EndpointSubset
from api_gateway.decisions.traffic import MIN_RATE, TrafficRates
from api_gateway.model.settings import Settings

# Target for the mean number of subsets that contain an endpoint. A gateway uses a smaller subset if it sends
# too few requests to reach each endpoint once in SPARSE_VISIT_INTERVAL_MS.
TARGET_COVERAGE = 2.0
SPARSE_VISIT_INTERVAL_MS = 1200.0
GROWTH_FACTOR = 1.02  # Factor on the scale of the subset at each sweep while overloaded.
SHRINK_FACTOR = 0.99  # Factor on the scale of the subset at each sweep while not overloaded.
MAX_SCALE = 4.0  # Limit on the factor by which overload enlarges the subset.
OVERLOADED_ADMITTED_FRACTION = 0.9  # The back end counts as overloaded below this admitted fraction.
MAX_VISIT_INTERVAL_FACTOR = 10  # Longest visit interval, as a multiple of the target.
# A connection that has been idle for up to this fraction of the idle timeout is assumed to be open.
REUSABLE_FRACTION_OF_IDLE_TIMEOUT = 0.45
# Traffic is sparse if an endpoint gets fewer requests than this while an idle connection stays reusable. The
# gateway then prefers endpoints with open connections.
MIN_VISITS_PER_CONNECTION = 2.0


class SubsetSizer:
    """Sizes the subset by the traffic of this gateway, and enlarges it while the back end is overloaded.

    Args:
        subset: The subset to size.
        settings: The gateway's settings.
        traffic: Rates of the gateway's traffic.

    Attributes:
        connection_reusable_ms: How long an idle connection is assumed to be open.
        is_traffic_sparse: Whether traffic is too sparse to keep connections to the whole subset open.
    """

    def __init__(self, subset: EndpointSubset, settings: Settings, traffic: TrafficRates) -> None:
        self._subset = subset
        self._traffic = traffic
        self._fleet_size = settings.fleet_size
        self.connection_reusable_ms = REUSABLE_FRACTION_OF_IDLE_TIMEOUT * settings.idle_connection_timeout_ms
        self._idle_connection_timeout_ms = settings.idle_connection_timeout_ms
        self._scale = 1.0
        self.is_traffic_sparse = True

    def sweep(self, ring_size: int, is_overloaded: bool) -> None:
        """Update the size and the visit interval of the subset.

        Args:
            ring_size: Number of endpoints that are up.
            is_overloaded: Whether load is shed, most endpoints are ejected, or the attempts in flight exceed
                half the number of warm endpoints.
        """
        subset, attempt_rate = self._subset, self._traffic.attempt_rate
        if is_overloaded:
            self._scale = min(self._scale * GROWTH_FACTOR, MAX_SCALE)
        else:
            self._scale = max(self._scale * SHRINK_FACTOR, 1.0)
        # With subsets smaller than a gateway's share of the ring, some endpoints would be in no subset.
        covering_size = min(
            TARGET_COVERAGE * ring_size / self._fleet_size, attempt_rate * SPARSE_VISIT_INTERVAL_MS
        )
        subset.resize(
            max(MIN_SUBSET_SIZE, attempt_rate * TARGET_VISIT_INTERVAL_MS, covering_size) * self._scale
        )
        visit_interval_ms = len(subset.warm) / max(attempt_rate, MIN_RATE)
        max_visit_interval_ms = MAX_VISIT_INTERVAL_FACTOR * TARGET_VISIT_INTERVAL_MS
        subset.visit_interval_ms = min(visit_interval_ms, max_visit_interval_ms) or TARGET_VISIT_INTERVAL_MS
        visits = attempt_rate * REUSABLE_FRACTION_OF_IDLE_TIMEOUT * self._idle_connection_timeout_ms
        self.is_traffic_sparse = visits < MIN_VISITS_PER_CONNECTION * len(subset.warm)
