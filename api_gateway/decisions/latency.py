"""Typical latencies of the request classes, and how long their clients wait."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from api_gateway.model.events import RequestReceived
from api_gateway.model.settings import RequestClass

INITIAL_OBJECTIVE_DIVISOR = 10  # before any answer a class is taken to need this part of its objective
MIN_RESPONSE_WEIGHT = 0.05  # least weight of one answer in the running mean
MIN_UNITS = 1e-6
SAMPLED_REQUESTS = 64  # last requests of a class that show how long its clients usually wait
RECOUNT_INTERVAL_REQUESTS = SAMPLED_REQUESTS // 8  # requests between two counts, since sorting costs time
TYPICAL_PERCENTILE = 70  # of the remembered times left, in rising order
SAME_TIME_TOLERANCE = 0.01  # part by which two times left may differ and count as the same


class TypicalLatency:
    """Running mean of the latency for one unit of work, by request class.

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
        """Return the typical latency of a request of so many units, in milliseconds."""
        return self._per_unit_ms[class_name] * max(units, MIN_UNITS)

    def slowest_ms(self) -> float:
        """Return the typical latency for one unit of the slowest class, in milliseconds."""
        return max(self._per_unit_ms.values())

    def record(self, class_name: str, duration_ms: float, units: float) -> None:
        """Take an answer into the mean of its class; the initial value weighs as one answer."""
        self._response_counts[class_name] += 1
        weight = max(MIN_RESPONSE_WEIGHT, 1 / (self._response_counts[class_name] + 1))
        per_unit_ms = duration_ms / max(units, MIN_UNITS)
        self._per_unit_ms[class_name] += weight * (per_unit_ms - self._per_unit_ms[class_name])


class ClientTimeoutEstimator:
    """How long clients of one class wait, learned from the time left that their requests name.

    First requests of a class share one time left. A client that retries has less: what is missing was spent
    on its earlier requests, and its latency objective runs from the first of them.
    """

    def __init__(self) -> None:
        self._remaining_times_ms: deque[float] = deque(maxlen=SAMPLED_REQUESTS)
        self._requests_since_recount = 0
        self._min_full_timeout_ms = 0.0

    def record_request(self, remaining_time_ms: float) -> float:
        """Record the time left of one more request.

        Args:
            remaining_time_ms: Its time left.

        Returns:
            The least time left that no earlier request has cut; 0 while a third of the last requests do not
            agree on one.
        """
        self._remaining_times_ms.append(remaining_time_ms)
        self._requests_since_recount += 1
        if self._requests_since_recount >= RECOUNT_INTERVAL_REQUESTS:
            self._requests_since_recount = 0
            self._recount()
        return self._min_full_timeout_ms

    def _recount(self) -> None:
        count = len(self._remaining_times_ms)
        typical_ms = sorted(self._remaining_times_ms)[count * TYPICAL_PERCENTILE // 100]
        agreeing_count = sum(
            1
            for remaining_ms in self._remaining_times_ms
            if abs(remaining_ms - typical_ms) <= SAME_TIME_TOLERANCE * typical_ms
        )
        is_conclusive = count >= SAMPLED_REQUESTS // 2 and 3 * agreeing_count >= count
        self._min_full_timeout_ms = (1 - SAME_TIME_TOLERANCE) * typical_ms if is_conclusive else 0.0


class EarlierRequestTime:
    """Time that clients have spent on earlier requests for the same work.

    Args:
        classes: The request classes.
    """

    def __init__(self, classes: Iterable[RequestClass]) -> None:
        self._client_timeouts = {c.name: ClientTimeoutEstimator() for c in classes}

    def spent_ms(self, request: RequestReceived, request_class: RequestClass) -> float:
        """Record a request; return the time spent before it, in milliseconds, 0 where that does not show."""
        min_full_timeout_ms = self._client_timeouts[request_class.name].record_request(request.time_left_ms)
        if request.time_left_ms >= min_full_timeout_ms:
            return 0.0
        return max(request_class.deadline_ms - request.time_left_ms, 0.0)
