"""Selection of an endpoint for one attempt."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from api_gateway.decisions.endpoints import EndpointState, EndpointTable
from api_gateway.decisions.outlier_detection import ProbeBudget
from api_gateway.decisions.pending_requests import PendingRequest
from api_gateway.decisions.retry import RetryPolicy
from api_gateway.decisions.slow_start import SlowStart
from api_gateway.decisions.subset import EndpointSubset
from api_gateway.decisions.subset_sizing import SubsetSizer
from api_gateway.model.settings import Idempotency

# Factor on the load score of an endpoint that needs a new connection in sparse traffic.
CONNECT_PENALTY = 1.7
# Factor on the load score of an endpoint that the request has been sent to before.
RETRY_PENALTY = 4
# Latency is partly noise; with an exponent of 1 all gateways would select the same endpoint.
LATENCY_EXPONENT = 0.5
# The tie-break factor on the load score lies between 1.0 and 1.4; it falls by TIE_BREAK_WEIGHT for each visit
# interval since the last attempt.
TIE_BREAK_BASE = 1.3
TIE_BREAK_WEIGHT = 0.1  # Weight of the random term, and of each visit interval since the last attempt.
MAX_COUNTED_INTERVALS = 3.0  # Maximum number of visit intervals that count.


class EndpointSelector:
    """Selects an endpoint, mostly from the subset of this gateway.

    Args:
        endpoint_table: All endpoints.
        subset: Endpoints of this gateway's subset.
        subset_sizer: Provides whether traffic is too sparse to keep connections open.
        slow_start: Budgets of the endpoints in slow start.
        retry_policy: Decides where an attempt is allowed.
        probe_budget: Token bucket of probes of ejected endpoints.
        rng: Source of the random draws that decide between similar load scores.
    """

    def __init__(
        self,
        endpoint_table: EndpointTable,
        subset: EndpointSubset,
        subset_sizer: SubsetSizer,
        slow_start: SlowStart,
        retry_policy: RetryPolicy,
        probe_budget: ProbeBudget,
        rng: Random,
    ) -> None:
        self._endpoint_table = endpoint_table
        self._subset = subset
        self._subset_sizer = subset_sizer
        self._slow_start = slow_start
        self._retry_policy = retry_policy
        self._probe_budget = probe_budget
        self._rng = rng

    def select(self, pending: PendingRequest, now_ms: float) -> EndpointState | None:
        """Select the endpoint of a request's next attempt.

        Takes the first that exists of the following, of which the first two are limited by budgets:

        1. an endpoint in slow start that has budget for the request,
        2. an ejected endpoint that is due for a probe,
        3. the least loaded warm endpoint,
        4. for a retry, the least loaded endpoint in the failure domains of earlier attempts, which remember
           their idempotency keys,
        5. as a last resort, the ejected endpoint whose backoff ends first, even during the backoff and
           without probe budget.

        Returns:
            The endpoint, or None if no endpoint may be sent the request.
        """
        subset = self._subset.refresh(now_ms)
        tried_endpoints = [attempt.endpoint for attempt in pending.attempts]
        endpoint = self._select_warming_up(pending, now_ms) if subset.warming_up else None
        if endpoint is None and subset.ejected:
            endpoint = self._select_for_probe(pending, tried_endpoints, now_ms)
        if endpoint is None:
            endpoint = self._select_least_loaded(pending, tried_endpoints, subset.warm_candidates(), now_ms)
        if endpoint is None and tried_endpoints:
            endpoint = self._select_least_loaded(
                pending,
                tried_endpoints,
                self._endpoints_sharing_keys(pending, tried_endpoints, now_ms),
                now_ms,
            )
        if endpoint is None:
            endpoint = self._select_next_probe_due(pending, tried_endpoints, now_ms)
        return endpoint

    def _select_warming_up(self, pending: PendingRequest, now_ms: float) -> EndpointState | None:
        for endpoint in self._subset.warming_up_candidates():
            if self._may_send(pending, endpoint, now_ms):
                return endpoint
        return None

    def _select_for_probe(
        self, pending: PendingRequest, tried_endpoints: list[EndpointState], now_ms: float
    ) -> EndpointState | None:
        """Select an ejected endpoint whose backoff has passed, for a first attempt that is idempotent."""
        is_idempotent = pending.request_class.idempotency is Idempotency.IDEMPOTENT
        if not is_idempotent or pending.attempts or not self._probe_budget.has_token():
            return None
        for endpoint in self._subset.ejected:
            is_due = (
                not endpoint.in_flight
                and now_ms >= endpoint.next_probe_at_ms
                and endpoint not in tried_endpoints
            )
            if is_due and self._may_send(pending, endpoint, now_ms):
                self._probe_budget.spend()
                return endpoint
        return None

    def _endpoints_sharing_keys(
        self, pending: PendingRequest, tried_endpoints: list[EndpointState], now_ms: float
    ) -> list[EndpointState]:
        """Return the endpoints in the failure domains of earlier attempts, whether or not in the subset.

        These are warm or have slow-start budget, and are not ejected.
        """
        return [
            endpoint
            for earlier in tried_endpoints
            for endpoint in self._endpoint_table.in_failure_domain_of(earlier)
            if self._slow_start.admits(endpoint, pending.work_ms, now_ms)
        ]

    def _select_next_probe_due(
        self, pending: PendingRequest, tried_endpoints: list[EndpointState], now_ms: float
    ) -> EndpointState | None:
        """Select the ejected endpoint whose backoff ends first."""
        ejected = [
            endpoint
            for endpoint in self._subset.ejected
            if endpoint not in tried_endpoints and self._may_send(pending, endpoint, now_ms)
        ]
        return min(ejected, key=lambda endpoint: endpoint.next_probe_at_ms, default=None)

    def _may_send(self, pending: PendingRequest, endpoint: EndpointState, now_ms: float) -> bool:
        is_allowed = self._retry_policy.is_attempt_allowed(pending, endpoint, now_ms)
        return is_allowed and self._slow_start.admits(endpoint, pending.work_ms, now_ms)

    def _select_least_loaded(
        self,
        pending: PendingRequest,
        tried_endpoints: list[EndpointState],
        endpoints: Iterable[EndpointState],
        now_ms: float,
    ) -> EndpointState | None:
        """Select the least loaded of the given endpoints that are not ejected.

        Among similarly loaded ones, those without a recent attempt are preferred. The gateway's own zone is
        not: if most traffic came from one zone, its endpoints would carry nearly all of the load.
        """
        best: EndpointState | None = None
        best_score = 0.0
        for endpoint in endpoints:
            if endpoint.is_ejected:
                continue
            if not self._retry_policy.is_attempt_allowed(pending, endpoint, now_ms):
                continue
            score = self._score(endpoint, now_ms)
            if endpoint in tried_endpoints:
                score *= RETRY_PENALTY
            if best is None or score < best_score:
                best, best_score = endpoint, score
        return best

    def _score(self, endpoint: EndpointState, now_ms: float) -> float:
        """Return the load score of an endpoint; the lowest score is the best.

        It is the number of attempts in flight, including the new one, times the square root of the latency
        ratio, divided by the weight. The tie-break factor decides between similar scores, at random and by
        the time since the last attempt. Visiting the endpoints round robin keeps connections to all of them
        open, and gives an endpoint that was slow only once another request.
        """
        slowness: float = endpoint.latency_ratio**LATENCY_EXPONENT
        score = (endpoint.in_flight + 1) * slowness / endpoint.weight
        intervals_since_attempt = (now_ms - endpoint.last_attempt_at_ms) / self._subset.visit_interval_ms
        visit_discount = TIE_BREAK_WEIGHT * min(intervals_since_attempt, MAX_COUNTED_INTERVALS)
        score *= TIE_BREAK_BASE + TIE_BREAK_WEIGHT * self._rng.random() - visit_discount
        if (
            self._subset_sizer.is_traffic_sparse
            and now_ms - endpoint.connection_idle_since_ms > self._subset_sizer.connection_reusable_ms
        ):
            score *= CONNECT_PENALTY
        return score
