"""Typical latencies of the request classes, and estimates of the timeouts of their clients."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from api_gateway.model.events import RequestReceived
from api_gateway.model.settings import RequestClass

INITIAL_OBJECTIVE_DIVISOR = 10  # The typical latency starts as the latency objective divided by this.
MIN_RESPONSE_WEIGHT = 0.05  # Minimum weight of one response in the running mean.
MIN_UNITS = 1e-6

SAMPLED_REQUESTS = 64  # The timeout of a class's clients is estimated from this many of its last requests.
UPDATE_INTERVAL_REQUESTS = SAMPLED_REQUESTS // 8  # Sorting for each request would cost too much time.

# All remaining times are compared with this percentile of them. First requests have the longest ones, so that
# it is their full timeout if at least 30 % of the requests are first requests.
TYPICAL_PERCENTILE = 70
SAME_TIME_TOLERANCE = 0.01  # Remaining times that differ by at most this fraction count as equal.


class TypicalLatency:
    """Running mean of the latency for one unit, by request class.

    Args:
        classes: The request classes.
    """

    def __init__(self, classes: Iterable[RequestClass]) -> None:
        self._per_unit_ms = {c.name: c.latency_objective_ms / INITIAL_OBJECTIVE_DIVISOR for c in classes}
        self._response_counts = dict.fromkeys(self._per_unit_ms, 0)

    def per_unit_ms(self, class_name: str) -> float:
        """Return the typical latency of a class for one unit, in milliseconds."""
        return self._per_unit_ms[class_name]

    def expected_ms(self, class_name: str, units: float) -> float:
        """Return the typical latency of a request of this class and size, in milliseconds."""
        return self._per_unit_ms[class_name] * max(units, MIN_UNITS)

    def slowest_ms(self) -> float:
        """Return the typical latency of the slowest class for one unit, in milliseconds."""
        return max(self._per_unit_ms.values())

    def record_response(self, class_name: str, duration_ms: float, units: float) -> None:
        """Update the mean of a class with a response; the initial value has the weight of one response.

        Args:
            class_name: Name of the request class.
            duration_ms: Latency of the response, in milliseconds.
            units: Size of the request.
        """
        self._response_counts[class_name] += 1
        weight = max(MIN_RESPONSE_WEIGHT, 1 / (self._response_counts[class_name] + 1))
        per_unit_ms = duration_ms / max(units, MIN_UNITS)
        self._per_unit_ms[class_name] += weight * (per_unit_ms - self._per_unit_ms[class_name])


class ClientTimeoutEstimator:
    """Estimates how long the clients of one class wait, from the remaining times of their requests.

    First requests have the full timeout of the clients as their remaining time. A retry has less: the client
    has spent the difference on its earlier requests.
    """

    def __init__(self) -> None:
        self._remaining_times_ms: deque[float] = deque(maxlen=SAMPLED_REQUESTS)
        self._requests_since_update = 0
        self._min_full_timeout_ms = 0.0

    def record_request(self, remaining_time_ms: float) -> float:
        """Record a request.

        Args:
            remaining_time_ms: How long its client still waits, in milliseconds.

        Returns:
            The minimum remaining time of a first request, in milliseconds; 0 unless there have been at least
            `SAMPLED_REQUESTS` / 2 requests, a third of which have about the same remaining time.
        """
        self._remaining_times_ms.append(remaining_time_ms)
        self._requests_since_update += 1
        if self._requests_since_update >= UPDATE_INTERVAL_REQUESTS:
            self._requests_since_update = 0
            self._update_estimate()
        return self._min_full_timeout_ms

    def _update_estimate(self) -> None:
        count = len(self._remaining_times_ms)
        typical_ms = sorted(self._remaining_times_ms)[count * TYPICAL_PERCENTILE // 100]
        agreeing_count = sum(
            1
            for remaining_time_ms in self._remaining_times_ms
            if abs(remaining_time_ms - typical_ms) <= SAME_TIME_TOLERANCE * typical_ms
        )
        is_conclusive = count >= SAMPLED_REQUESTS // 2 and 3 * agreeing_count >= count
        self._min_full_timeout_ms = (1 - SAME_TIME_TOLERANCE) * typical_ms if is_conclusive else 0.0


class EarlierRequestTime:
    """Time that clients have spent on earlier requests, of which the current one is a retry.

    The latency objective of a retry runs from the first of these requests.

    Args:
        classes: The request classes.
    """

    def __init__(self, classes: Iterable[RequestClass]) -> None:
        self._client_timeouts = {c.name: ClientTimeoutEstimator() for c in classes}

    def record_request(self, request: RequestReceived, request_class: RequestClass) -> float:
        """Record a request, and return the time spent before it in milliseconds; 0 if unknown or none."""
        min_full_timeout_ms = self._client_timeouts[request_class.name].record_request(
            request.remaining_time_ms
        )
        if request.remaining_time_ms >= min_full_timeout_ms:
            return 0.0
        return max(request_class.deadline_ms - request.remaining_time_ms, 0.0)
