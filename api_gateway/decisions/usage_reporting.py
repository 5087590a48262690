"""Reports usage to the counter service, and queries totals for requests near the limit of their quota."""

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
    """Makes the counter calls of all tenants, one at a time for each.

    Args:
        settings: The gateway's settings.
        health: How well the counter answers.
        rng: Source of the draws that throttle queries.
        actions: Where calls are added.
    """

    def __init__(self, settings: Settings, health: CounterHealth, rng: Random, actions: list[Action]) -> None:
        self._is_enabled = settings.counter_enabled
        self._health = health
        self._rng = rng
        self._actions = actions
        self._tenants_by_count: dict[str, Tenant] = {}  # by the name of a count that was called
        self._waiting_requests: dict[str, PendingRequest] = {}  # requests that wait for a total, by id
        self._waiting_tenants: dict[Tenant, None] = {}  # whose requests wait, or have left while they waited

    def is_waiting(self, request_id: str) -> bool:
        """Whether a request waits for a total."""
        return request_id in self._waiting_requests

    def stop_waiting(self, request_id: str) -> bool:
        """Take a request out of those that wait; whether it was among them."""
        return self._waiting_requests.pop(request_id, None) is not None

    def needs_counter_value(self, tenant: Tenant, units: float, now_ms: float) -> bool:
        """Decide, by random draws, whether a request waits for a total before it is decided on."""
        if not self._is_enabled or tenant.plan.quota_rate <= 0 or not self._health.may_call(now_ms):
            return False
        is_uncertain = tenant.quota.is_uncertain(units, now_ms)
        if tenant.quota.is_counter_value_unknown:
            return True
        query_probability = max(tenant.report.query_success_fraction, self._health.call_fraction)
        return is_uncertain and self._rng.random() < query_probability

    def wait_for_counter_value(self, pending: PendingRequest, now_ms: float) -> None:
        """Let a request wait for a total, and call for it with its units added."""
        tenant = pending.tenant
        self._waiting_requests[pending.request_id] = pending
        self._waiting_tenants[tenant] = None
        tenant.report.waiting_requests.append(pending)
        self.report(tenant, now_ms, reserved_units=pending.units)

    def report(
        self, tenant: Tenant, now_ms: float, *, reserved_units: float = 0.0, is_forced: bool = False
    ) -> None:
        """Report usage where it is due: in batches that shrink as a tenant nears its limit.

        Args:
            tenant: Whose usage.
            now_ms: The time now.
            reserved_units: Units of a request that waits: queried and reported in one call, and taken back if
                it is rejected.
            is_forced: Whether to report however little there is.
        """
        report = tenant.report
        usage = tenant.quota.local_usage - report.reported_usage + reserved_units
        if not self._is_enabled or tenant.plan.quota_rate <= 0 or report.is_call_in_flight:
            return
        is_due = self._is_report_due(tenant, usage, now_ms)
        if reserved_units or is_forced or (is_due and self._health.may_call(now_ms)):
            self._call(tenant, report.count_name, report.take_report_amount(usage), now_ms)

    @staticmethod
    def _is_report_due(tenant: Tenant, usage: float, now_ms: float) -> bool:
        """Whether all gateways together may have used up what is left, if each has used as much."""
        if not usage:
            return False
        fleet_usage = usage * tenant.quota.gateway_count
        return fleet_usage <= 0 or fleet_usage >= tenant.quota.refill(now_ms)

    def _call(self, tenant: Tenant, count_name: str, amount: float, now_ms: float) -> None:
        tenant.report.start_call(amount, now_ms)
        self._health.record_call(now_ms)
        self._tenants_by_count[count_name] = tenant
        ttl_ms = min(2 * window_length_ms(tenant.plan), MAX_COUNT_TTL_MS)
        self._actions.append(IncrementCounter(count_name, amount, ttl_ms))

    def record_reply(self, reply: CounterReply, now_ms: float) -> Tenant | None:
        """Take in the end of a call.

        Returns:
            The tenant whose waiting requests can now be decided on, if any.
        """
        self._health.record_reply(reply.result, now_ms)
        tenant = self._tenants_by_count.get(reply.name)
        if tenant is None or not tenant.report.is_call_in_flight:
            return None
        report = tenant.report
        report.is_call_in_flight = False
        is_ok = reply.result is CounterResult.OK
        if reply.name == report.previous_count_name:
            self._carry_over_debt(tenant, reply.counter_value if is_ok else 0.0, now_ms)
        elif is_ok:
            is_first_report = self._is_first_report_of_window(tenant, reply.counter_value)
            tenant.quota.record_counter_value(reply.counter_value, report.reported_usage, now_ms)
            if is_first_report and self._query_previous_window(tenant, now_ms):
                return None
        elif not reply.result.may_have_been_added:
            report.undo_call()
        return tenant

    @staticmethod
    def _is_first_report_of_window(tenant: Tenant, counter_value: float) -> bool:
        """Whether this gateway is the first one that reports in this window."""
        amount = tenant.report.amount_in_call
        return (
            tenant.quota.is_counter_value_unknown
            and amount > 0
            and abs(counter_value - amount) < COUNTER_VALUE_TOLERANCE
        )

    def _query_previous_window(self, tenant: Tenant, now_ms: float) -> bool:
        """Query the total of the last window as the first gateway in this one; False if not worth a call."""
        plan = tenant.plan
        refill = plan.quota_rate * (now_ms - tenant.quota.window_started_at_ms) / 1000
        if 2 * refill >= plan.quota_burst or not self._health.may_call(now_ms):
            tenant.report.expired_refill = refill
            return False
        self._call(tenant, tenant.report.previous_count_name, 0.0, now_ms)
        return True

    def _carry_over_debt(self, tenant: Tenant, previous_counter_value: float, now_ms: float) -> None:
        debt, tenant.report.expired_refill = tenant.quota.carry_over_debt(previous_counter_value, now_ms)
        if debt:
            self.report(tenant, now_ms, is_forced=True)

    def take_waiting_requests(self, tenant: Tenant) -> list[PendingRequest]:
        """Return the requests of a tenant that wait for a total and whose clients have not gone."""
        self._waiting_tenants.pop(tenant, None)
        return [p for p in tenant.report.take_waiting_requests() if self.stop_waiting(p.request_id)]

    def abandon_overdue_calls(self, timeout_ms: float, now_ms: float) -> list[Tenant]:
        """Return the tenants whose requests wait for a reply that does not come, and give up their calls."""
        overdue = [t for t in self._waiting_tenants if now_ms - t.report.last_call_at_ms > timeout_ms]
        for tenant in overdue:
            tenant.report.is_call_in_flight = False
        return overdue

    def start_window(self, tenant: Tenant, window: int, started_at_ms: float) -> None:
        """Start a quota window of a tenant; unreported usage of the window just before is charged to it."""
        is_next = window == tenant.quota.window + 1
        carries_over = self._health.is_reliable and is_next
        unreported_usage = tenant.report.unreported_usage if carries_over else 0.0
        tenant.quota.start_window(window, started_at_ms, unreported_usage)
        tenant.report.start_window(window)

    def forget_calls(self, tenant: Tenant) -> None:
        """Forget the calls of a tenant's windows."""
        self._tenants_by_count.pop(tenant.report.count_name, None)
        self._tenants_by_count.pop(tenant.report.previous_count_name, None)
