"""Typical latencies of the request classes, and how long their clients wait."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from api_gateway.model.events import RequestReceived
from api_gateway.model.settings import RequestClass

INITIAL_OBJECTIVE_DIVISOR = 10  # before any answer a class is taken to need this part of its objective
MIN_RESPONSE_WEIGHT = 0.05  # least weight of one answer in the running mean
MIN_UNITS = 1e-6
REMEMBERED_REQUESTS = 64  # last requests of a class that show how long its clients usually wait
RECOUNT_INTERVAL = REMEMBERED_REQUESTS // 8  # requests between two counts, since sorting costs time
TYPICAL_PERCENTILE = 70  # of the remembered times left, in rising order
SAME_TIME_TOLERANCE = 0.01  # part by which two times left may differ and count as the same


class TypicalLatency:
    """Running mean of the latency for one unit of work, by request class.

    Args:
        classes: The request classes.
    """

    def __init__(self, classes: Iterable[RequestClass]) -> None:
        self._per_unit_ms = {c.name: c.latency_objective_ms / INITIAL_OBJECTIVE_DIVISOR for c in classes}
        self._responses = dict.fromkeys(self._per_unit_ms, 0)

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
        self._responses[class_name] += 1
        weight = max(MIN_RESPONSE_WEIGHT, 1 / (self._responses[class_name] + 1))
        per_unit_ms = duration_ms / max(units, MIN_UNITS)
        self._per_unit_ms[class_name] += weight * (per_unit_ms - self._per_unit_ms[class_name])


class ClientPatience:
    """How long clients of one class wait, learned from the time left that their requests name.

    First requests of a class share one time left. A client that retries has less: what is missing was spent
    on its earlier requests, and its latency objective runs from the first of them.
    """

    def __init__(self) -> None:
        self._times_left_ms: deque[float] = deque(maxlen=REMEMBERED_REQUESTS)
        self._since_recount = 0
        self._least_uncut_ms = 0.0

    def record_request(self, time_left_ms: float) -> float:
        """Record the time left of one more request.

        Args:
            time_left_ms: Its time left.

        Returns:
            The least time left that no earlier request has cut; 0 while a third of the last requests do not
            agree on one.
        """
        self._times_left_ms.append(time_left_ms)
        self._since_recount += 1
        if self._since_recount >= RECOUNT_INTERVAL:
            self._since_recount = 0
            self._recount()
        return self._least_uncut_ms

    def _recount(self) -> None:
        count = len(self._times_left_ms)
        typical = sorted(self._times_left_ms)[count * TYPICAL_PERCENTILE // 100]
        agreeing = sum(
            1 for left in self._times_left_ms if abs(left - typical) <= SAME_TIME_TOLERANCE * typical
        )
        is_shown = count >= REMEMBERED_REQUESTS // 2 and 3 * agreeing >= count
        self._least_uncut_ms = (1 - SAME_TIME_TOLERANCE) * typical if is_shown else 0.0


class SpentTime:
    """Time that clients have spent on earlier requests for the same work.

    Args:
        classes: The request classes.
    """

    def __init__(self, classes: Iterable[RequestClass]) -> None:
        self._patience = {c.name: ClientPatience() for c in classes}

    def spent_before_ms(self, request: RequestReceived, request_class: RequestClass) -> float:
        """Record a request; return the time spent before it, in milliseconds, 0 where that does not show."""
        least_uncut_ms = self._patience[request_class.name].record_request(request.time_left_ms)
        if request.time_left_ms >= least_uncut_ms:
            return 0.0
        return max(request_class.deadline_ms - request.time_left_ms, 0.0)
