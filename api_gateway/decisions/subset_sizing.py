"""How many endpoints this gateway works with."""

from __future__ import annotations

from api_gateway.decisions.subset import MIN_SUBSET_SIZE, TARGET_VISIT_INTERVAL_MS, EndpointSubset
from api_gateway.decisions.traffic import MIN_RATE, TrafficRates
from api_gateway.model.settings import Settings

TARGET_COVERAGE = 2.0  # gateways that work with each endpoint, where each visits it often enough
SPARSE_VISIT_INTERVAL_MS = 1200.0  # that is, once in this time
GROWTH_FACTOR = 1.02  # by which a subset under pressure grows at a sweep
SHRINK_FACTOR = 0.99  # by which it falls back at a sweep
MAX_SCALE = 4.0
OVERLOADED_ADMITTED_FRACTION = 0.9  # admitted fraction below which the back end is under pressure
MAX_VISIT_INTERVAL_FACTOR = 10  # longest visit interval, in multiples of the target
REUSABLE_FRACTION_OF_IDLE_TIMEOUT = (
    0.45  # part of the idle timeout for which a connection is taken to be open
)
MIN_VISITS_PER_CONNECTION = (
    2.0  # in that time, below which a gateway keeps to endpoints with open connections
)


class SubsetSizer:
    """Sizes the subset by the traffic of this gateway, larger while endpoints are overloaded or ejected.

    Args:
        subset: What is sized.
        settings: The gateway's settings.
        traffic: The gateway's rates.

    Attributes:
        is_traffic_sparse: Whether the traffic keeps few connections open.
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
        """Size the subset anew.

        Args:
            ring_size: Endpoints that are up.
            is_overloaded: Whether endpoints are overloaded or ejected, or hold much of this gateway's work.
        """
        subset, attempt_rate = self._subset, self._traffic.attempt_rate
        if is_overloaded:
            self._scale = min(self._scale * GROWTH_FACTOR, MAX_SCALE)
        else:
            self._scale = max(self._scale * SHRINK_FACTOR, 1.0)
        # Subsets smaller than this gateway's part of the ring would leave endpoints that nobody works with.
        coverage = min(
            TARGET_COVERAGE * ring_size / self._fleet_size, attempt_rate * SPARSE_VISIT_INTERVAL_MS
        )
        subset.resize(max(MIN_SUBSET_SIZE, attempt_rate * TARGET_VISIT_INTERVAL_MS, coverage) * self._scale)
        visit_interval_ms = len(subset.warm) / max(attempt_rate, MIN_RATE)
        max_visit_interval_ms = MAX_VISIT_INTERVAL_FACTOR * TARGET_VISIT_INTERVAL_MS
        subset.visit_interval_ms = min(visit_interval_ms, max_visit_interval_ms) or TARGET_VISIT_INTERVAL_MS
        visits = attempt_rate * REUSABLE_FRACTION_OF_IDLE_TIMEOUT * self._idle_connection_timeout_ms
        self.is_traffic_sparse = visits < MIN_VISITS_PER_CONNECTION * len(subset.warm)
