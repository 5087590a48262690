"""The choice of an endpoint for one attempt."""

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

CONNECT_PENALTY = 1.7  # load factor of an endpoint that needs a new connection, while traffic is sparse
RETRY_PENALTY = 4  # load factor of an endpoint that the request was sent to before
LATENCY_EXPONENT = 0.5  # latency is partly noise: in full it would send all gateways to one endpoint
TIE_BREAK_BASE = 1.3
TIE_BREAK_WEIGHT = 0.1  # of the random part, and of each visit interval since the last attempt
MAX_COUNTED_INTERVALS = 3.0


class EndpointSelector:
    """Chooses among the endpoints of the subset.

    Args:
        endpoint_table: All endpoints.
        subset: Those that the gateway works with.
        subset_sizer: Knows whether the traffic keeps connections open.
        slow_start: Decides what an endpoint that is warming up may be sent.
        retry_policy: Decides where an attempt is allowed.
        probe_budget: Pays for probes of ejected endpoints.
        rng: Source of the draws that break ties.
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
        """Choose the endpoint of a request's next attempt.

        In this order: one that is warming up, while its budget lasts; an ejected one that is due for a probe;
        the least loaded warm one; for a retry, one that shares the memory of idempotency keys; the ejected
        one whose ejection ends first.

        Returns:
            The endpoint, or None if none may be sent the request.
        """
        subset = self._subset.refresh(now_ms)
        tried_endpoints = [attempt.endpoint for attempt in pending.attempts]
        endpoint = self._select_warming_up(pending, now_ms) if subset.warming_up else None
        if endpoint is None and subset.ejected:
            endpoint = self._select_for_probe(pending, tried_endpoints, now_ms)
        if endpoint is None:
            endpoint = self._select_least_loaded(pending, tried_endpoints, subset.candidates(), now_ms)
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
        """Choose an ejected endpoint whose backoff is over, for the first attempt of an idempotent one."""
        is_idempotent = pending.request_class.idempotency is Idempotency.IDEMPOTENT
        if not is_idempotent or pending.attempts or not self._probe_budget.has_token():
            return None
        for endpoint in self._subset.ejected:
            is_due = (
                not endpoint.in_flight
                and now_ms >= endpoint.ejected_until_ms
                and endpoint not in tried_endpoints
            )
            if is_due and self._may_send(pending, endpoint, now_ms):
                self._probe_budget.spend()
                return endpoint
        return None

    def _endpoints_sharing_keys(
        self, pending: PendingRequest, tried_endpoints: list[EndpointState], now_ms: float
    ) -> list[EndpointState]:
        """Return the endpoints in the failure domains of earlier attempts, in the subset or not."""
        return [
            endpoint
            for earlier in tried_endpoints
            for endpoint in self._endpoint_table.in_failure_domain_of(earlier)
            if self._slow_start.admits(endpoint, pending.work_ms, now_ms)
        ]

    def _select_next_probe_due(
        self, pending: PendingRequest, tried_endpoints: list[EndpointState], now_ms: float
    ) -> EndpointState | None:
        """Choose the ejected endpoint that is due for a probe first."""
        ejected = [
            endpoint
            for endpoint in self._subset.ejected
            if endpoint not in tried_endpoints and self._may_send(pending, endpoint, now_ms)
        ]
        return min(ejected, key=lambda endpoint: endpoint.ejected_until_ms, default=None)

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
        """Choose the least loaded of some warm endpoints; among equals the one not visited for longest.

        No zone is preferred: where traffic comes mostly from one, its endpoints alone would bear it.
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
        """Return the load of an endpoint: attempts in flight, latency and weight, with ties broken in turn.

        Visits in turn keep connections open to all endpoints alike, and give one that was slow by chance
        another request.
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
