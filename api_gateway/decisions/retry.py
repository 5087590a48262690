"""When a request may be attempted, and whether a further attempt is worth its cost."""

from __future__ import annotations

import math

from api_gateway.decisions.endpoints import EndpointState
from api_gateway.decisions.latency import TypicalLatency
from api_gateway.decisions.occupancy import LOST_RESPONSE_LATENCY_MULTIPLE, Occupancy
from api_gateway.decisions.pending_requests import Attempt, PendingRequest
from api_gateway.model.actions import StartAttempt
from api_gateway.model.events import AttemptEnded
from api_gateway.model.results import AttemptResult
from api_gateway.model.settings import Idempotency, KeyScope, Settings

RETRIES_PER_REQUEST = 0.2  # retries earned by each admitted request
MAX_SAVED_RETRIES = 10.0
MAX_LOST_RESPONSE_RATIO = 0.06  # above which an attempt that may be repeated gets a shorter timeout
MIN_TIMEOUT_MS = 1.0
MIN_EXPECTED_LATENCY_MS = 1e-6

CONNECTION_FAILURES = frozenset(
    (
        AttemptResult.CONNECT_FAILED,
        AttemptResult.CONNECTION_RESET,
        AttemptResult.STALE_CONNECTION,
        AttemptResult.NOT_SENT,
        AttemptResult.WITHDRAWN,
    )
)


class RetryBudget:
    """Token bucket of retries, so that retries cannot multiply an overload."""

    def __init__(self) -> None:
        self.tokens = MAX_SAVED_RETRIES

    def earn(self) -> None:
        """Add what one admitted request earns."""
        self.tokens = min(self.tokens + RETRIES_PER_REQUEST, MAX_SAVED_RETRIES)

    def covers(self, cost: float) -> bool:
        """Whether a retry of this cost may be made."""
        return self.tokens >= cost

    def spend(self, cost: float) -> None:
        """Take the cost of a retry."""
        self.tokens -= cost


class RetryPolicy:
    """The rules on attempts: where one is allowed, how long it may take, and when another one follows.

    Args:
        settings: The gateway's settings.
        latency: Typical latencies of the classes.
        occupancy: The occupancy of the back end, which knows of lost responses.
    """

    def __init__(self, settings: Settings, latency: TypicalLatency, occupancy: Occupancy) -> None:
        self._settings = settings
        self._latency = latency
        self._occupancy = occupancy
        self.budget = RetryBudget()

    def is_attempt_allowed(self, pending: PendingRequest, endpoint: EndpointState, now_ms: float) -> bool:
        """Whether a request may be sent to an endpoint now.

        Not to one that drains, not beyond the number of attempts, not beside an attempt in flight unless
        hedging is allowed, and not again after it may have run unless its class allows that there and then.
        """
        settings = self._settings
        if not endpoint.is_up or len(pending.attempts) >= settings.max_attempts:
            return False
        if pending.is_finished or pending.is_streaming:
            return False
        if not pending.attempts:
            return True
        if not settings.hedging_allowed and pending.has_attempt_in_flight():
            return False
        return self._may_run_again(pending, endpoint, now_ms)

    def _may_run_again(self, pending: PendingRequest, endpoint: EndpointState, now_ms: float) -> bool:
        """Whether the class allows another attempt at an endpoint (RFC 9110, section 9.2.2)."""
        request_class = pending.request_class
        earlier = [attempt for attempt in pending.attempts if attempt.may_have_run]
        if not earlier or request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        if (
            request_class.idempotency is Idempotency.NOT_IDEMPOTENT
            or self.write_timeout_ms(pending, now_ms) < 0
        ):
            return False
        scope = request_class.idempotency_key_scope
        return all(_is_in_key_scope(endpoint, attempt, scope) for attempt in earlier)

    def write_timeout_ms(self, pending: PendingRequest, now_ms: float) -> float:
        """Return how long an attempt of a request may still be written.

        The idempotency window runs from the decision on the first attempt that may have run.

        Returns:
            Milliseconds from now; infinite where no window binds, negative where it is over.
        """
        request_class = pending.request_class
        if request_class.idempotency is not Idempotency.WITH_KEY:
            return math.inf
        for attempt in pending.attempts:
            if attempt.may_have_run:
                window_end_ms = attempt.started_at_ms + request_class.idempotency_window_ms
                return window_end_ms - 2 * self._settings.clock_tick_ms - now_ms
        return math.inf

    def attempt_action(self, pending: PendingRequest, endpoint: EndpointState, now_ms: float) -> StartAttempt:
        """Return the action that sends a request to an endpoint."""
        return StartAttempt(
            request_id=pending.request_id,
            endpoint=endpoint.name,
            timeout_ms=self._timeout_ms(pending, now_ms),
            write_timeout_ms=self.write_timeout_ms(pending, now_ms),
        )

    def _timeout_ms(self, pending: PendingRequest, now_ms: float) -> float:
        """Return how long an attempt may take: until its answer is worthless, less if responses get lost."""
        tick_ms = self._settings.clock_tick_ms
        timeout_ms = max(
            pending.objective_at_ms - now_ms - tick_ms, min(MIN_TIMEOUT_MS, pending.deadline_at_ms - now_ms)
        )
        if (
            self._occupancy.lost_response_fraction <= MAX_LOST_RESPONSE_RATIO
            or not self._may_retry_next_attempt(pending)
        ):
            return timeout_ms
        expected_latency_ms = self._expected_latency_ms(pending)
        short_timeout_ms = max(timeout_ms / 2, LOST_RESPONSE_LATENCY_MULTIPLE * expected_latency_ms)
        return short_timeout_ms if short_timeout_ms + expected_latency_ms < timeout_ms else timeout_ms

    def _may_retry_next_attempt(self, pending: PendingRequest) -> bool:
        """Whether a further attempt after the next one is allowed and paid for."""
        return (
            pending.request_class.idempotency is not Idempotency.NOT_IDEMPOTENT
            and self.budget.covers(1)
            and len(pending.attempts) + 1 < self._settings.max_attempts
        )

    def retry_cost(self, pending: PendingRequest, event: AttemptEnded) -> float:
        """Return what a retry costs: the part of a request's work that the last attempt has used up."""
        if event.result not in CONNECTION_FAILURES:
            return 1.0
        return min(event.duration_ms / max(self._expected_latency_ms(pending), MIN_EXPECTED_LATENCY_MS), 1.0)

    def is_retry_worthwhile(self, pending: PendingRequest, cost: float, now_ms: float) -> bool:
        """Whether a retry is paid for and can be answered in time."""
        needed_ms = max(self._expected_latency_ms(pending), 2 * self._settings.clock_tick_ms)
        return self.budget.covers(cost) and pending.objective_at_ms - now_ms > needed_ms

    def _expected_latency_ms(self, pending: PendingRequest) -> float:
        return self._latency.expected_ms(pending.class_name, pending.units)


def _is_in_key_scope(endpoint: EndpointState, attempt: Attempt, scope: KeyScope) -> bool:
    """Whether an endpoint shares the memory of idempotency keys with that of an earlier attempt."""
    if scope is KeyScope.ALL:
        return True
    if attempt.endpoint.zone != endpoint.zone:
        return False
    return scope is KeyScope.ZONE or attempt.endpoint.failure_domain == endpoint.failure_domain
