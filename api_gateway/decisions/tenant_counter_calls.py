"""Counter calls of one tenant: reported usage, the call in flight and the requests that wait for it."""

from __future__ import annotations

from api_gateway.decisions.counter_health import REPLY_WEIGHT
from api_gateway.decisions.pending_requests import PendingRequest
from api_gateway.decisions.quota import TenantQuota


class TenantCounterCalls:
    """Counter calls of one tenant: what was reported, and which requests wait.

    Args:
        quota: Quota of the tenant.
        count_prefix: Prefix of the names of its counts, to which the number of the window is appended.

    Attributes:
        count_name: Name of the count of the current window; empty before the first window.
        previous_count_name: Name of the count of the previous window; empty before the first window.
        reported_units: Units reported in the current window.
        expired_refill: Units of refill that did not fit into the full bucket. They are added to the next
            report, because gateways compute the remaining units as burst + refill - counter value.
        is_call_in_flight: Whether a counter call is in flight.
        last_call_at_ms: When the latest counter call was made, in milliseconds.
        amount_in_call: Units that the latest counter call adds to its count.
        waiting_requests: Requests that wait for a counter value.
        query_success_fraction: Running fraction of queries after which enough units remained for the first
            waiting request, 0 to 1.
    """

    def __init__(self, quota: TenantQuota, count_prefix: str) -> None:
        self._quota = quota
        self._count_prefix = count_prefix
        self.count_name = ""
        self.previous_count_name = ""
        self.reported_units = 0.0
        self.expired_refill = 0.0
        self._expired_refill_in_call = 0.0
        self.is_call_in_flight = False
        self.last_call_at_ms = 0.0
        self.amount_in_call = 0.0
        self.waiting_requests: list[PendingRequest] = []
        self.query_success_fraction = 1.0

    @property
    def unreported_units(self) -> float:
        """Units of the current window that are not reported yet."""
        return self._quota.reportable_units - self.reported_units

    def start_window(self, window: int) -> None:
        """Start a window, which has a count of its own."""
        self.count_name = f"{self._count_prefix}.{window}"
        self.previous_count_name = f"{self._count_prefix}.{window - 1}"
        self.expired_refill = 0.0
        self.reported_units = 0.0
        self.is_call_in_flight = False

    def start_call(self, amount: float, now_ms: float) -> None:
        """Record a counter call that adds an amount of units."""
        self.is_call_in_flight = True
        self.last_call_at_ms = now_ms
        self.amount_in_call = amount

    def take_report_amount(self, usage: float) -> float:
        """Mark usage and the expired refill as reported, and return their sum, the amount to add."""
        amount = usage + self.expired_refill
        self._quota.reportable_units += self.expired_refill
        self._expired_refill_in_call, self.expired_refill = self.expired_refill, 0.0
        self.reported_units += amount
        return amount

    def undo_call(self) -> None:
        """Mark the amount of a call as not reported, because the counter did not add it."""
        self.reported_units -= self.amount_in_call
        self._quota.reportable_units -= self._expired_refill_in_call

    def take_waiting_requests(self) -> list[PendingRequest]:
        """Remove and return the waiting requests, and update the query success fraction.

        While calls are throttled, the fraction limits queries for a tenant that sends far more than its
        quota. Otherwise all gateways would query the counter for each of its requests. It is at least
        1 / gateway count, so that about one gateway of the tenant still queries the counter.
        """
        waiting_requests, self.waiting_requests = self.waiting_requests, []
        if waiting_requests:
            has_remaining_units = self._quota.remaining >= waiting_requests[0].units
            success_fraction = self.query_success_fraction + REPLY_WEIGHT * (
                has_remaining_units - self.query_success_fraction
            )
            self.query_success_fraction = max(success_fraction, 1 / self._quota.gateway_count)
        return waiting_requests
