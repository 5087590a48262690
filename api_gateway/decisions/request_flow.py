"""Processing of a request up to its first attempt: quota, admission, ceiling, selection of an endpoint."""

from __future__ import annotations

from api_gateway.decisions.admission import AdmissionController
from api_gateway.decisions.attempt_flow import AttemptFlow
from api_gateway.decisions.endpoints import EndpointTable
from api_gateway.decisions.latency import EarlierRequestTime, TypicalLatency
from api_gateway.decisions.occupancy import MIN_SHED_OCCUPANCY
from api_gateway.decisions.outlier_detection import ProbeBudget
from api_gateway.decisions.pending_requests import PendingRequest, PendingRequests
from api_gateway.decisions.rejections import Rejections
from api_gateway.decisions.retry import RetryBudget
from api_gateway.decisions.selection import EndpointSelector
from api_gateway.decisions.tenants import Tenant, TenantTable
from api_gateway.decisions.traffic import TrafficRates
from api_gateway.decisions.uptime import SWEEP_INTERVAL_MS
from api_gateway.decisions.usage_reporting import UsageReporter
from api_gateway.model.events import ClientDisconnected, CounterReply, RequestReceived
from api_gateway.model.results import CounterResult, RejectReason
from api_gateway.model.settings import Plan, RequestClass, Settings

# Requests that exceed a limit of their plan may be served below this fraction of the occupancy at which load
# shedding begins.
OVER_QUOTA_OCCUPANCY_FRACTION = 0.5
# A request waits for a counter value only if a response still has weight (see `PendingRequest`) this many
# sweep intervals after the counter's timeout, since overdue replies are only detected at sweeps.
MIN_SPARE_SWEEPS = 2


class RequestFlow:
    """Starts the first attempt of each request, or rejects the request.

    Checks the quota, admission and the ceiling, and selects an endpoint. Also records the remaining times of
    requests, which show how long their clients have spent on earlier requests.

    Args:
        settings: The gateway's settings.
        attempt_flow: Starts and retries attempts.
        rejections: Rejects requests.
        pending_requests: Requests with attempts.
        tenants: The tenants.
        usage_reporter: Calls the counter service.
        admission: Decides which requests are shed.
        endpoint_table: All endpoints.
        endpoint_selector: Selects an endpoint.
        retry_budget: Token bucket of retries.
        probe_budget: Token bucket of probes of ejected endpoints.
        traffic: Rates of the gateway's traffic.
        latency: Typical latencies of the classes.
    """

    def __init__(
        self,
        settings: Settings,
        attempt_flow: AttemptFlow,
        rejections: Rejections,
        pending_requests: PendingRequests,
        tenants: TenantTable,
        usage_reporter: UsageReporter,
        admission: AdmissionController,
        endpoint_table: EndpointTable,
        endpoint_selector: EndpointSelector,
        retry_budget: RetryBudget,
        probe_budget: ProbeBudget,
        traffic: TrafficRates,
        latency: TypicalLatency,
    ) -> None:
        self._classes = {request_class.name: request_class for request_class in settings.classes}
        self._plans = {plan.name: plan for plan in settings.plans}
        self._reply_timeout_ms = settings.counter_timeout_ms + SWEEP_INTERVAL_MS
        self._min_time_for_counter_call_ms = (
            settings.counter_timeout_ms + MIN_SPARE_SWEEPS * SWEEP_INTERVAL_MS
        )
        self._attempt_flow = attempt_flow
        self._rejections = rejections
        self._pending_requests = pending_requests
        self._tenants = tenants
        self._usage_reporter = usage_reporter
        self._admission = admission
        self._endpoint_table = endpoint_table
        self._endpoint_selector = endpoint_selector
        self._retry_budget = retry_budget
        self._probe_budget = probe_budget
        self._traffic = traffic
        self._latency = latency
        self._earlier_request_time = EarlierRequestTime(settings.classes)

    # Receipt

    def receive(self, request: RequestReceived, now_ms: float) -> None:
        """Decide on a request at once, or let it wait for the counter value of its tenant.

        A request is ignored if one with the same id waits for a counter value or is in `PendingRequests`.
        """
        if request.request_id in self._pending_requests or self._usage_reporter.is_waiting(
            request.request_id
        ):
            return
        request_class = self._classes.get(request.class_name)
        plan = self._plans.get(request.plan_name)
        if request_class is None or plan is None:
            self._rejections.reject(request.request_id, RejectReason.UNKNOWN_CLASS_OR_PLAN)
        elif request.remaining_time_ms <= 0:
            self._rejections.reject(request.request_id, RejectReason.DEADLINE_PASSED)
        elif not self._endpoint_table:
            self._rejections.reject(request.request_id, RejectReason.NO_ENDPOINTS)
        else:
            self._receive_valid(request, request_class, plan, now_ms)

    def _receive_valid(
        self, request: RequestReceived, request_class: RequestClass, plan: Plan, now_ms: float
    ) -> None:
        deadline_at_ms = now_ms + request.remaining_time_ms
        weight_ends_at_ms = self._weight_ends_at_ms(request, request_class, deadline_at_ms, now_ms)
        if weight_ends_at_ms <= now_ms:
            self._rejections.reject(request.request_id, RejectReason.OBJECTIVE_PASSED)
            return
        tenant = self._find_tenant(request, plan, now_ms)
        if tenant is None:
            self._rejections.reject(request.request_id, RejectReason.TENANT_TABLE_FULL)
            return
        pending = PendingRequest(
            request=request,
            request_class=request_class,
            tenant=tenant,
            weight_ends_at_ms=weight_ends_at_ms,
            deadline_at_ms=deadline_at_ms,
        )
        has_time_for_counter_call = weight_ends_at_ms - now_ms > self._min_time_for_counter_call_ms
        if not has_time_for_counter_call or not self._usage_reporter.needs_counter_value(
            tenant, request.units, now_ms
        ):
            self._forward_or_reject(pending, now_ms, is_already_admitted=False)
        # Admission control comes first, so that requests that are shed cause no counter calls.
        elif self._is_admitted(pending):
            self._usage_reporter.wait_for_counter_value(pending, now_ms)
        else:
            self._rejections.reject(request.request_id, RejectReason.LOAD_SHED)

    def _weight_ends_at_ms(
        self, request: RequestReceived, request_class: RequestClass, deadline_at_ms: float, now_ms: float
    ) -> float:
        """Return when a response loses all weight (see `PendingRequest`).

        The latency objective of a retry has begun with the client's earlier requests.
        """
        if request_class.late_priority_weight > 0:
            return deadline_at_ms
        spent_ms = self._earlier_request_time.record_request(request, request_class)
        return min(now_ms + request_class.latency_objective_ms - spent_ms, deadline_at_ms)

    def _find_tenant(self, request: RequestReceived, plan: Plan, now_ms: float) -> Tenant | None:
        """Return the tenant of a request; None if the table is full.

        If a new quota window has begun, this first decides on the requests that wait for a counter value of
        the previous one, and then starts the new one.
        """
        tenant = self._tenants.find_or_create(request, plan, now_ms)
        if tenant is None:
            return None
        if plan.quota_rate > 0:
            window, started_at_ms = tenant.window_at(now_ms)
            if window != tenant.quota.window:
                self._usage_reporter.ignore_replies(tenant)
                self._decide_on_waiting_requests(tenant, now_ms)
                self._usage_reporter.start_window(tenant, window, started_at_ms)
        tenant.quota.record_gateway_count(self._tenants.gateway_count(request))
        return tenant

    # Decision

    def _forward_or_reject(
        self, pending: PendingRequest, now_ms: float, *, is_already_admitted: bool
    ) -> None:
        """Forward or reject a request.

        Args:
            pending: The request.
            now_ms: The current time.
            is_already_admitted: Whether admission control has already admitted it.
        """
        exceeded_limit = self._exceeded_limit(pending, now_ms)
        reason = self._rejection_reason(
            pending, exceeded_limit, now_ms, is_already_admitted=is_already_admitted
        )
        if reason is None:
            reason = self._forward(pending, now_ms, exceeds_limit=exceeded_limit is not None)
        if reason is not None:
            self._reject_without_attempt(pending, reason, exceeds_limit=exceeded_limit is not None)

    def _rejection_reason(
        self,
        pending: PendingRequest,
        exceeded_limit: RejectReason | None,
        now_ms: float,
        *,
        is_already_admitted: bool,
    ) -> RejectReason | None:
        """Return why a request must not be forwarded (limit of its plan, load shedding, ceiling), or None."""
        if exceeded_limit is not None and not self._may_be_served_over_limit(pending.tenant.plan):
            return exceeded_limit
        # Requests that exceed a limit skip admission control: they are only served while the occupancy is
        # well below that at which load shedding begins.
        if exceeded_limit is None and not is_already_admitted and not self._is_admitted(pending):
            return RejectReason.LOAD_SHED
        if not self._is_within_ceiling(pending, now_ms):
            return RejectReason.CEILING
        return None

    def _exceeded_limit(self, pending: PendingRequest, now_ms: float) -> RejectReason | None:
        """Return which limit of its plan a request exceeds, concurrent requests or quota, or None."""
        tenant = pending.tenant
        if tenant.is_at_concurrency_limit():
            return RejectReason.CONCURRENCY_LIMIT
        if not tenant.quota.admits(pending.units, now_ms):
            return RejectReason.OVER_QUOTA
        return None

    def _may_be_served_over_limit(self, plan: Plan) -> bool:
        """Whether requests over a limit are worth their cost, and the back end has spare capacity."""
        threshold = OVER_QUOTA_OCCUPANCY_FRACTION * MIN_SHED_OCCUPANCY
        is_worthwhile = plan.over_quota_weight > plan.over_quota_cost
        return is_worthwhile and self._admission.occupancy.smoothed < threshold

    def _is_admitted(self, pending: PendingRequest) -> bool:
        """Whether admission control admits the request; must be called at most once for each request."""
        per_unit_ms = self._latency.per_unit_ms(pending.class_name)
        return self._admission.admit(pending.request_class, pending.tenant.plan, per_unit_ms, pending.units)

    def _is_within_ceiling(self, pending: PendingRequest, now_ms: float) -> bool:
        tenant = pending.tenant
        return tenant.ceiling.admits(pending.units, tenant.quota.gateway_count, now_ms)

    def _forward(self, pending: PendingRequest, now_ms: float, *, exceeds_limit: bool) -> RejectReason | None:
        """Start the first attempt of a request; return why that is impossible, or None."""
        pending.work_ms = self._latency.per_unit_ms(pending.class_name) * max(pending.units, 0.0)
        self._traffic.record_admitted(pending.work_ms)
        if pending.weight_ends_at_ms <= now_ms:
            return RejectReason.OBJECTIVE_PASSED
        endpoint = self._endpoint_selector.select(pending, now_ms)
        if endpoint is None:
            return RejectReason.NO_ENDPOINT_AVAILABLE
        tenant = pending.tenant
        self._pending_requests.add(pending)
        self._retry_budget.earn()
        self._probe_budget.earn()
        tenant.ceiling.spend(pending.units)
        tenant.in_flight += 1
        if not exceeds_limit:
            tenant.quota.spend(pending.units)
        self._usage_reporter.report(tenant, now_ms)
        self._attempt_flow.start_attempt(pending, endpoint, now_ms)
        return None

    def record_counter_reply(self, reply: CounterReply, now_ms: float) -> None:
        """Record the end of a counter call, and decide on the requests that waited for it."""
        tenant = self._usage_reporter.record_reply(reply, now_ms)
        if tenant is None:
            return
        self._decide_on_waiting_requests(tenant, now_ms)
        if reply.result is CounterResult.OK:
            self._usage_reporter.report(tenant, now_ms)

    def decide_on_overdue_requests(self, now_ms: float) -> None:
        """Decide on the requests that have waited too long for a counter reply."""
        for tenant in self._usage_reporter.abandon_overdue_calls(self._reply_timeout_ms, now_ms):
            self._decide_on_waiting_requests(tenant, now_ms)

    def _decide_on_waiting_requests(self, tenant: Tenant, now_ms: float) -> None:
        for pending in self._usage_reporter.take_waiting_requests(tenant):
            self._forward_or_reject(pending, now_ms, is_already_admitted=True)

    def record_client_disconnect(self, event: ClientDisconnected) -> None:
        """Finish a request whose client has disconnected."""
        self._usage_reporter.stop_waiting(event.request_id)
        pending = self._pending_requests.get(event.request_id)
        if pending is not None:
            self._attempt_flow.finish_request(pending)

    def _reject_without_attempt(
        self, pending: PendingRequest, reason: RejectReason, *, exceeds_limit: bool
    ) -> None:
        """Reject a request without an attempt.

        If it exceeds a limit of its plan, Retry-After covers the refill of its units, if there is a quota.
        """
        rate = pending.tenant.plan.quota_rate
        refill_ms = 1000 * pending.units / rate if exceeds_limit and rate else 0.0
        self._rejections.reject(pending.request_id, reason, refill_ms)
