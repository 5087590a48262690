"""Processing of a request from its first attempt to its final response: results, retries, failure."""

from __future__ import annotations

from api_gateway.decisions.admission import AdmissionController
from api_gateway.decisions.endpoints import EndpointState
from api_gateway.decisions.latency import TypicalLatency
from api_gateway.decisions.load_sampling import LoadSampler
from api_gateway.decisions.outlier_detection import OutlierDetector
from api_gateway.decisions.pending_requests import Attempt, PendingRequest, PendingRequests
from api_gateway.decisions.rejections import Rejections
from api_gateway.decisions.retry import RetryPolicy
from api_gateway.decisions.selection import EndpointSelector
from api_gateway.decisions.slow_start import SlowStart
from api_gateway.decisions.traffic import TrafficRates
from api_gateway.decisions.usage_reporting import UsageReporter
from api_gateway.model.actions import Action, CancelAttempt, FailRequest
from api_gateway.model.events import AttemptEnded, ResponseStarted
from api_gateway.model.results import AttemptResult, RejectReason
from api_gateway.model.settings import Settings


class AttemptFlow:
    """Starts attempts, records their results, and retries or finishes their requests.

    It has no state of its own.

    Args:
        settings: The gateway's settings.
        actions: List that actions are added to.
        rejections: Rejects requests.
        pending_requests: Requests with attempts.
        endpoint_selector: Selects an endpoint.
        slow_start: Budgets of the endpoints in slow start.
        outlier_detector: Ejects endpoints.
        retry_policy: Decides whether a request is retried.
        load_sampler: Turns results into samples of the load.
        admission: Holds the latency of each class.
        usage_reporter: Reports usage to the counter service.
        traffic: Rates of the gateway's traffic.
        latency: Typical latencies of the classes.
    """

    def __init__(
        self,
        settings: Settings,
        actions: list[Action],
        rejections: Rejections,
        pending_requests: PendingRequests,
        endpoint_selector: EndpointSelector,
        slow_start: SlowStart,
        outlier_detector: OutlierDetector,
        retry_policy: RetryPolicy,
        load_sampler: LoadSampler,
        admission: AdmissionController,
        usage_reporter: UsageReporter,
        traffic: TrafficRates,
        latency: TypicalLatency,
    ) -> None:
        self._is_cancellation_supported = settings.cancellation_supported
        self._actions = actions
        self._rejections = rejections
        self._pending_requests = pending_requests
        self._endpoint_selector = endpoint_selector
        self._slow_start = slow_start
        self._outlier_detector = outlier_detector
        self._retry_policy = retry_policy
        self._load_sampler = load_sampler
        self._class_latencies = admission.occupancy.class_latencies
        self._usage_reporter = usage_reporter
        self._traffic = traffic
        self._latency = latency

    def start_attempt(self, pending: PendingRequest, endpoint: EndpointState, now_ms: float) -> None:
        """Start an attempt of a request, sent to an endpoint."""
        action = self._retry_policy.attempt_action(pending, endpoint, now_ms)
        latency_block = self._class_latencies[pending.class_name].start_attempt(now_ms)
        self._pending_requests.start_attempt(pending, Attempt(endpoint, now_ms, latency_block))
        self._traffic.record_attempt()
        self._slow_start.record_attempt(endpoint, pending.work_ms, now_ms)
        self._actions.append(action)

    def record_attempt_end(self, event: AttemptEnded, now_ms: float) -> None:
        """Record the result of an attempt, then finish, retry or fail its request.

        A request is retried or fails only if no other attempt of it is in flight.
        """
        pending = self._pending_requests.get(event.request_id)
        if pending is None or not 0 <= event.attempt < len(pending.attempts):
            return
        attempt = pending.attempts[event.attempt]
        if not attempt.is_in_flight:
            return
        self._pending_requests.end_attempt(attempt, event.result.never_ran)
        self._load_sampler.record_attempt_result(pending, attempt, event, now_ms)
        if event.result is not AttemptResult.NOT_STARTED:
            self._record_endpoint_result(pending, attempt.endpoint, event, now_ms)
        if event.result is AttemptResult.OK:
            self._charge_actual_units(pending, event.actual_units, now_ms)
        if event.is_final or event.result is AttemptResult.OK or pending.is_finished:
            self.finish_request(pending)
        elif not pending.has_attempt_in_flight() and not self._retry(pending, event, now_ms):
            self._reject_or_fail(pending)

    def _record_endpoint_result(
        self, pending: PendingRequest, endpoint: EndpointState, event: AttemptEnded, now_ms: float
    ) -> None:
        class_name, units = pending.class_name, pending.units
        expected_latency_ms = self._latency.expected_ms(class_name, units)
        objective_ms = pending.request_class.latency_objective_ms
        self._outlier_detector.record_result(endpoint, event, expected_latency_ms, objective_ms, now_ms)
        if event.result is AttemptResult.OK:
            self._latency.record_response(class_name, event.duration_ms, event.actual_units or units)
            self._traffic.record_completion()

    def _charge_actual_units(self, pending: PendingRequest, actual_units: float, now_ms: float) -> None:
        """Charge the difference between the units that were used and the client's estimate."""
        tenant = pending.tenant
        if actual_units > 0 and tenant.plan.quota_rate > 0:
            tenant.quota.spend(actual_units - pending.units)
            self._usage_reporter.report(tenant, now_ms)

    def _retry(self, pending: PendingRequest, event: AttemptEnded, now_ms: float) -> bool:
        """Retry a request if that can succeed in time and is within the retry budget.

        A local limit is not retried, since it applies to all endpoints.

        Returns:
            Whether an attempt was started.
        """
        if event.result is AttemptResult.LOCAL_LIMIT:
            return False
        cost = self._retry_policy.retry_cost(pending, event)
        if not self._retry_policy.is_retry_worthwhile(pending, cost, now_ms):
            return False
        endpoint = self._endpoint_selector.select(pending, now_ms)
        if endpoint is None:
            return False
        self._retry_policy.budget.spend(cost)
        self.start_attempt(pending, endpoint, now_ms)
        return True

    def mark_streaming(self, event: ResponseStarted) -> None:
        """Record that a streamed response has begun."""
        pending = self._pending_requests.get(event.request_id)
        if pending is not None:
            pending.is_streaming = True

    def finish_request(self, pending: PendingRequest) -> None:
        """Stop attempting a request; it stays pending until its attempts in flight end.

        These are cancelled if that is supported, unless the response is being streamed.
        """
        in_flight = [i for i, attempt in enumerate(pending.attempts) if attempt.is_in_flight]
        if self._is_cancellation_supported and not pending.is_streaming and not pending.is_finished:
            self._actions.extend(CancelAttempt(pending.request_id, i) for i in in_flight)
        pending.is_finished = True
        if not in_flight and self._pending_requests.remove(pending):
            pending.tenant.in_flight -= 1

    def _reject_or_fail(self, pending: PendingRequest) -> None:
        """Reject a request that cannot be served, or fail it if it may have run."""
        if pending.any_attempt_may_have_run():
            self._actions.append(FailRequest(pending.request_id))
        else:
            self._rejections.reject(pending.request_id, RejectReason.ATTEMPTS_EXHAUSTED)
        self.finish_request(pending)
