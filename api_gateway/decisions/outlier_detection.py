"""Outlier detection: ejects endpoints that fail repeatedly, and detects those far slower than the others.

After a backoff, which is `EJECTION_BACKOFF_MS` at first, an ejected endpoint is probed by single requests of
clients. Its first success ends the ejection; each failed probe doubles the backoff up to a limit.
"""

from __future__ import annotations

from collections.abc import Iterable

from api_gateway.decisions.endpoints import EndpointState, EndpointTable
from api_gateway.decisions.rate_limited_log import RateLimitedLog
from api_gateway.model.events import AttemptEnded
from api_gateway.model.results import AttemptResult

EJECTION_BACKOFF_MS = 500.0
MAX_EJECTION_BACKOFF_MS = 4000.0
MAX_EJECTION_COUNT = 10
# An endpoint is ejected after this many errors, resets or, if it is an outlier, timeouts without a success
# between them.
MAX_CONSECUTIVE_FAILURES = 3
OUTLIER_MEDIAN_MULTIPLE = 2.5  # Multiple of the median latency ratio above which an endpoint is an outlier.
LATENCY_RATIO_WEIGHT = 0.2  # Weight of one result in the running mean of the latency ratio.
MAX_LATENCY_RATIO = 20.0
MIN_FAILURE_LATENCY_RATIO = 2.0  # Minimum latency ratio that a failed attempt counts with.
PROBES_PER_REQUEST = 0.05  # Tokens that each forwarded request adds to the probe budget.
MAX_SAVED_PROBES = 2.0

RESET_RESULTS = frozenset((AttemptResult.CONNECTION_RESET, AttemptResult.NOT_SENT))
FAILURE_RESULTS = frozenset((AttemptResult.ERROR, AttemptResult.TIMED_OUT, AttemptResult.OVERLOADED))


class ProbeBudget:
    """Token bucket of the requests that may probe ejected endpoints."""

    def __init__(self) -> None:
        self.tokens = MAX_SAVED_PROBES

    def earn(self) -> None:
        """Add the tokens for one forwarded request."""
        self.tokens = min(self.tokens + PROBES_PER_REQUEST, MAX_SAVED_PROBES)

    def has_token(self) -> bool:
        """Whether there is a token for a probe."""
        return self.tokens >= 1

    def spend(self) -> None:
        """Remove the token for a probe."""
        self.tokens -= 1


class OutlierDetector:
    """Detects outliers by the results of their attempts.

    Args:
        endpoint_table: All endpoints.
        log: Log that ejections are written to.

    Attributes:
        median_latency_ratio: Median of the latency ratios in the subset, at least 1.
        is_majority_ejected: Whether more than half of the subset is ejected; ejected endpoints then do not
            count as outliers.
    """

    def __init__(self, endpoint_table: EndpointTable, log: RateLimitedLog) -> None:
        self._endpoint_table = endpoint_table
        self._log = log
        self.median_latency_ratio = 1.0
        self.is_majority_ejected = False

    def sweep(self, subset: Iterable[EndpointState], ejected_count: int) -> None:
        """Update the median latency ratio and whether most endpoints are ejected.

        Args:
            subset: The endpoints of the subset.
            ejected_count: Number of ejected endpoints among them.
        """
        ratios = sorted(endpoint.latency_ratio for endpoint in subset)
        self.median_latency_ratio = max(ratios[len(ratios) // 2], 1.0) if ratios else 1.0
        self.is_majority_ejected = 2 * ejected_count > len(ratios)

    def is_outlier(self, endpoint: EndpointState) -> bool:
        """Whether an endpoint is far slower than the median, or ejected while most others are not."""
        is_slow = endpoint.latency_ratio > OUTLIER_MEDIAN_MULTIPLE * self.median_latency_ratio
        return is_slow or (endpoint.is_ejected and not self.is_majority_ejected)

    def record_result(
        self,
        endpoint: EndpointState,
        event: AttemptEnded,
        expected_latency_ms: float,
        objective_ms: float,
        now_ms: float,
    ) -> None:
        """Record the result of an attempt at an endpoint.

        Args:
            endpoint: The endpoint.
            event: The end of the attempt.
            expected_latency_ms: Typical latency of a request of this class and size.
            objective_ms: Latency objective of its class.
            now_ms: The current time.
        """
        if event.result is AttemptResult.OK:
            self._record_success(endpoint, event.duration_ms / expected_latency_ms, now_ms)
        elif event.result is AttemptResult.CONNECT_FAILED:
            # A failed connect ejects at once. A single reset does not, since it affects one connection only:
            # if the endpoint is down, the next connect fails.
            endpoint.has_connect_failure = True
            self.eject(endpoint, now_ms)
        elif event.result in RESET_RESULTS:
            self._record_failure(endpoint, now_ms)
        elif event.result in FAILURE_RESULTS:
            ratio = max(objective_ms / expected_latency_ms, MIN_FAILURE_LATENCY_RATIO)
            self._record_latency(endpoint, ratio)
            is_slow = event.result is AttemptResult.TIMED_OUT and self.is_outlier(endpoint)
            is_failure = is_slow or event.result is AttemptResult.ERROR
            self._record_failure(endpoint, now_ms, is_counted=is_failure)

    def _record_success(self, endpoint: EndpointState, latency_ratio: float, now_ms: float) -> None:
        if endpoint.has_connect_failure:
            # The endpoint may have restarted, which the endpoint list shows only later.
            endpoint.slow_start_began_at_ms = max(endpoint.slow_start_began_at_ms, now_ms)
            endpoint.has_connect_failure = False
            self._endpoint_table.mark_changed()
        if endpoint.is_ejected:
            self._endpoint_table.mark_changed()
        endpoint.consecutive_failures = endpoint.ejection_count = 0
        self._record_latency(endpoint, latency_ratio)
        endpoint.connection_idle_since_ms = now_ms

    @staticmethod
    def _record_latency(endpoint: EndpointState, ratio: float) -> None:
        difference = min(ratio, MAX_LATENCY_RATIO) - endpoint.latency_ratio
        endpoint.latency_ratio += LATENCY_RATIO_WEIGHT * difference

    def _record_failure(self, endpoint: EndpointState, now_ms: float, *, is_counted: bool = True) -> None:
        """Count a failure if `is_counted`, and eject the endpoint if it had too many in a row.

        An endpoint that is ejected already is ejected again, as after a failed probe.
        """
        endpoint.consecutive_failures += is_counted
        if endpoint.is_ejected or endpoint.consecutive_failures >= MAX_CONSECUTIVE_FAILURES:
            self.eject(endpoint, now_ms)

    def eject(self, endpoint: EndpointState, now_ms: float) -> None:
        """Eject an endpoint, or double its backoff after a failed probe; do nothing during its backoff."""
        if endpoint.is_ejected and now_ms < endpoint.next_probe_at_ms:
            return
        backoff_ms = min(EJECTION_BACKOFF_MS * 2**endpoint.ejection_count, MAX_EJECTION_BACKOFF_MS)
        endpoint.next_probe_at_ms = now_ms + backoff_ms
        endpoint.ejection_count = min(endpoint.ejection_count + 1, MAX_EJECTION_COUNT)
        self._endpoint_table.mark_changed()
        details = f"endpoint={endpoint.name} ejections={endpoint.ejection_count} backoff_ms={backoff_ms:.0f}"
        self._log.write("endpoint_ejected", details, now_ms)
