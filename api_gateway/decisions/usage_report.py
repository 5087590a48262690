"""What one gateway has reported of one tenant's usage, and what it asked the counter."""

from __future__ import annotations

from api_gateway.decisions.counter_health import REPLY_WEIGHT
from api_gateway.decisions.pending_requests import PendingRequest
from api_gateway.decisions.quota import TenantQuota


class UsageReport:
    """One tenant's usage as reported to the counter.

    Args:
        quota: The tenant's quota.
        count_prefix: Start of the names of its counts, which end with the window's number.

    Attributes:
        count_name: Name of the count of this window; empty before the first window.
        previous_count_name: Name of the count of the last window.
        reported_usage: Units reported in this window.
        expired_refill: Refill that found the bucket full, to be reported next.
        is_call_in_flight: Whether a call is in flight.
        last_call_at_ms: When the last call was made.
        amount_in_call: What it adds.
        waiting_requests: Requests that wait for a total.
        query_success_fraction: Part of the queries of a total that found units left.
    """

    def __init__(self, quota: TenantQuota, count_prefix: str) -> None:
        self._quota = quota
        self._count_prefix = count_prefix
        self.count_name = ""
        self.previous_count_name = ""
        self.reported_usage = 0.0
        self.expired_refill = 0.0
        self._expired_refill_in_call = 0.0
        self.is_call_in_flight = False
        self.last_call_at_ms = 0.0
        self.amount_in_call = 0.0
        self.waiting_requests: list[PendingRequest] = []
        self.query_success_fraction = 1.0

    @property
    def unreported_usage(self) -> float:
        """Units used in this window and not reported."""
        return self._quota.local_usage - self.reported_usage

    def start_window(self, window: int) -> None:
        """Start a window with a count of its own."""
        self.count_name = f"{self._count_prefix}.{window}"
        self.previous_count_name = f"{self._count_prefix}.{window - 1}"
        self.expired_refill = 0.0
        self.reported_usage = 0.0
        self.is_call_in_flight = False

    def start_call(self, amount: float, now_ms: float) -> None:
        """Note a call that adds an amount."""
        self.is_call_in_flight = True
        self.last_call_at_ms = now_ms
        self.amount_in_call = amount

    def take_report_amount(self, usage: float) -> float:
        """Mark usage as reported, together with the expired refill; return the amount to add."""
        amount = usage + self.expired_refill
        self._quota.local_usage += self.expired_refill
        self._expired_refill_in_call, self.expired_refill = self.expired_refill, 0.0
        self.reported_usage += amount
        return amount

    def undo_call(self) -> None:
        """Take back the amount of a call that was not added."""
        self.reported_usage -= self.amount_in_call
        self._quota.local_usage -= self._expired_refill_in_call

    def take_waiting_requests(self) -> list[PendingRequest]:
        """Return the requests that wait for a total, and note whether the query found units left.

        All gateways would query again and again for a tenant that sends far more than its quota.
        """
        waiting_requests, self.waiting_requests = self.waiting_requests, []
        if waiting_requests:
            has_remaining_units = self._quota.remaining >= waiting_requests[0].units
            success_fraction = self.query_success_fraction + REPLY_WEIGHT * (
                has_remaining_units - self.query_success_fraction
            )
            self.query_success_fraction = max(success_fraction, 1 / self._quota.gateway_count)
        return waiting_requests
