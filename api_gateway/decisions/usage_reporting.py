"""Counter calls that report usage and that query counter values for requests near the limit of a quota."""

from __future__ import annotations

from random import Random

from api_gateway.decisions.counter_health import CounterHealth
from api_gateway.decisions.pending_requests import PendingRequest
from api_gateway.decisions.quota import COUNTER_VALUE_TOLERANCE, MAX_COUNT_TTL_MS, window_length_ms
from api_gateway.decisions.tenants import Tenant
from api_gateway.model.actions import Action, IncrementCounter
from api_gateway.model.events import CounterReply
from api_gateway.model.results import CounterResult
from api_gateway.model.settings import Settings


class UsageReporter:
    """Makes the counter calls of all tenants, at most one at a time for each tenant.

    Args:
        settings: Settings of the gateway.
        counter_health: Whether the counter responds reliably.
        rng: Source of the random draws that throttle queries.
        actions: List to which the calls are appended.
    """

    def __init__(
        self, settings: Settings, counter_health: CounterHealth, rng: Random, actions: list[Action]
    ) -> None:
        self._is_enabled = settings.counter_enabled
        self._counter_health = counter_health
        self._rng = rng
        self._actions = actions
        self._tenants_by_count: dict[str, Tenant] = {}  # Keys are the names of counts.
        self._waiting_requests: dict[str, PendingRequest] = {}  # Keys are request ids.
        # Ordered set of the tenants with requests in `counter_calls.waiting_requests`, which include those of
        # clients that have disconnected.
        self._waiting_tenants: dict[Tenant, None] = {}

    def is_waiting(self, request_id: str) -> bool:
        """Return whether a request waits for a counter value."""
        return request_id in self._waiting_requests

    def stop_waiting(self, request_id: str) -> bool:
        """Remove a request from those that wait, and return whether it was one of them."""
        return self._waiting_requests.pop(request_id, None) is not None

    def needs_counter_value(self, tenant: Tenant, units: float, now_ms: float) -> bool:
        """Decide by random draws whether a request has to wait for a counter value.

        Until the window has a counter value, each request waits if a call may be made.

        Args:
            tenant: Tenant of the request.
            units: Size of the request.
            now_ms: The current time, in milliseconds.
        """
        if not self._is_enabled or tenant.plan.quota_rate <= 0 or not self._counter_health.may_call(now_ms):
            return False
        is_uncertain = tenant.quota.is_uncertain(units, now_ms)
        if tenant.quota.is_counter_value_unknown:
            return True
        # Queries that probably show too few remaining units are dropped only while calls are throttled.
        query_probability = max(
            tenant.counter_calls.query_success_fraction, self._counter_health.call_fraction
        )
        return is_uncertain and self._rng.random() < query_probability

    def wait_for_counter_value(self, pending: PendingRequest, now_ms: float) -> None:
        """Let a request wait for a counter value.

        Unless a call of its tenant is in flight, query the value with the units of the request added.
        """
        tenant = pending.tenant
        self._waiting_requests[pending.request_id] = pending
        self._waiting_tenants[tenant] = None
        tenant.counter_calls.waiting_requests.append(pending)
        self.report(tenant, now_ms, reserved_units=pending.units)

    def report(
        self, tenant: Tenant, now_ms: float, *, reserved_units: float = 0.0, is_forced: bool = False
    ) -> None:
        """Report usage if it is due, in batches that become smaller as the tenant approaches its limit.

        Nothing is reported while a call of the tenant is in flight, and usage that is due waits while calls
        are throttled.

        Args:
            tenant: Tenant whose usage is reported.
            now_ms: The current time, in milliseconds.
            reserved_units: Units of a request that waits. The same call reports them and queries the counter
                value; they are taken back if the request is rejected.
            is_forced: Whether to report even if the usage is not due yet or calls are throttled.
        """
        counter_calls = tenant.counter_calls
        usage = tenant.quota.reportable_units - counter_calls.reported_units + reserved_units
        if not self._is_enabled or tenant.plan.quota_rate <= 0 or counter_calls.is_call_in_flight:
            return
        is_due = self._is_report_due(tenant, usage, now_ms)
        if reserved_units or is_forced or (is_due and self._counter_health.may_call(now_ms)):
            self._call(tenant, counter_calls.count_name, counter_calls.take_report_amount(usage), now_ms)

    @staticmethod
    def _is_report_due(tenant: Tenant, usage: float, now_ms: float) -> bool:
        """Return whether usage is due to be reported.

        It is due if the quota would be used up if each gateway had as much to report. Units that are given
        back are always due.
        """
        if not usage:
            return False
        fleet_usage = usage * tenant.quota.gateway_count
        return fleet_usage <= 0 or fleet_usage >= tenant.quota.refill(now_ms)

    def _call(self, tenant: Tenant, count_name: str, amount: float, now_ms: float) -> None:
        tenant.counter_calls.start_call(amount, now_ms)
        self._counter_health.record_call(now_ms)
        self._tenants_by_count[count_name] = tenant
        ttl_ms = min(2 * window_length_ms(tenant.plan), MAX_COUNT_TTL_MS)
        self._actions.append(IncrementCounter(count_name, amount, ttl_ms))

    def record_reply(self, reply: CounterReply, now_ms: float) -> Tenant | None:
        """Record the end of a counter call.

        Returns:
            The tenant of the call, whose waiting requests can now be decided on; None for an outdated reply,
            or while a further call is made for them.
        """
        self._counter_health.record_reply(reply.result, now_ms)
        tenant = self._tenants_by_count.get(reply.name)
        if tenant is None or not tenant.counter_calls.is_call_in_flight:
            return None
        counter_calls = tenant.counter_calls
        counter_calls.is_call_in_flight = False
        is_ok = reply.result is CounterResult.OK
        if reply.name == counter_calls.previous_count_name:
            self._carry_over_debt(tenant, reply.counter_value if is_ok else 0.0, now_ms)
        elif is_ok:
            is_first_report = self._is_first_report_of_window(tenant, reply.counter_value)
            tenant.quota.record_counter_value(reply.counter_value, counter_calls.reported_units, now_ms)
            if is_first_report and self._query_previous_window(tenant, now_ms):
                return None
        elif not reply.result.may_have_been_added:
            counter_calls.undo_call()
        return tenant

    @staticmethod
    def _is_first_report_of_window(tenant: Tenant, counter_value: float) -> bool:
        """Return whether this gateway is the first to report in the current window."""
        amount = tenant.counter_calls.amount_in_call
        return (
            tenant.quota.is_counter_value_unknown
            and amount > 0
            and abs(counter_value - amount) < COUNTER_VALUE_TOLERANCE
        )

    def _query_previous_window(self, tenant: Tenant, now_ms: float) -> bool:
        """Query the counter value of the previous window, as the first gateway to report in the current one.

        Returns:
            Whether a call was made: not if calls are throttled, or if half of the burst, which is the
            maximum debt, has been refilled. The debt then counts as 0, and all of the refill as expired.
        """
        plan = tenant.plan
        refill = plan.quota_rate * (now_ms - tenant.quota.window_started_at_ms) / 1000
        if 2 * refill >= plan.quota_burst or not self._counter_health.may_call(now_ms):
            tenant.counter_calls.expired_refill = refill
            return False
        self._call(tenant, tenant.counter_calls.previous_count_name, 0.0, now_ms)
        return True

    def _carry_over_debt(self, tenant: Tenant, previous_counter_value: float, now_ms: float) -> None:
        debt, tenant.counter_calls.expired_refill = tenant.quota.carry_over_debt(
            previous_counter_value, now_ms
        )
        if debt:
            self.report(tenant, now_ms, is_forced=True)

    def take_waiting_requests(self, tenant: Tenant) -> list[PendingRequest]:
        """Remove and return the waiting requests of a tenant whose clients are still connected."""
        self._waiting_tenants.pop(tenant, None)
        return [p for p in tenant.counter_calls.take_waiting_requests() if self.stop_waiting(p.request_id)]

    def abandon_overdue_calls(self, timeout_ms: float, now_ms: float) -> list[Tenant]:
        """Abandon the calls that requests have waited for longer than a timeout.

        Args:
            timeout_ms: Maximum time since the call, in milliseconds.
            now_ms: The current time, in milliseconds.

        Returns:
            The tenants of these calls, whose requests can be decided on without a reply.
        """
        overdue = [t for t in self._waiting_tenants if now_ms - t.counter_calls.last_call_at_ms > timeout_ms]
        for tenant in overdue:
            tenant.counter_calls.is_call_in_flight = False
        return overdue

    def start_window(self, tenant: Tenant, window: int, started_at_ms: float) -> None:
        """Start a quota window of a tenant.

        Unreported units of the previous window are charged to the new one if the counter responds reliably
        and no window lies between them.

        Args:
            tenant: The tenant.
            window: Number of the window.
            started_at_ms: When it began, in milliseconds.
        """
        is_next = window == tenant.quota.window + 1
        carries_over = self._counter_health.is_reliable and is_next
        unreported_units = tenant.counter_calls.unreported_units if carries_over else 0.0
        tenant.quota.start_window(window, started_at_ms, unreported_units)
        tenant.counter_calls.start_window(window)

    def ignore_replies(self, tenant: Tenant) -> None:
        """Ignore further replies to the calls of a tenant's current and previous window."""
        self._tenants_by_count.pop(tenant.counter_calls.count_name, None)
        self._tenants_by_count.pop(tenant.counter_calls.previous_count_name, None)
