"""Rules on attempts: whether one is allowed, how long it may take, and whether a retry is worthwhile."""

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

RETRIES_PER_REQUEST = 0.2  # Tokens that each forwarded request adds to the retry budget.
MAX_SAVED_RETRIES = 10.0
# With a higher fraction of lost responses, attempts that may be retried get a shorter timeout.
MAX_LOST_RESPONSE_FRACTION = 0.06
MIN_TIMEOUT_MS = 1.0
MIN_EXPECTED_LATENCY_MS = 1e-6

# Results of attempts that ended early. They show nothing about the load, and a retry costs only the duration
# of the attempt as a fraction of the expected latency.
INTERRUPTED_RESULTS = frozenset(
    (
        AttemptResult.CONNECT_FAILED,
        AttemptResult.CONNECTION_RESET,
        AttemptResult.STALE_CONNECTION,
        AttemptResult.NOT_SENT,
        AttemptResult.WITHDRAWN,
    )
)


class RetryBudget:
    """Token bucket of retries, which keeps retries from amplifying an overload."""

    def __init__(self) -> None:
        self.tokens = MAX_SAVED_RETRIES

    def earn(self) -> None:
        """Add the tokens for one forwarded request."""
        self.tokens = min(self.tokens + RETRIES_PER_REQUEST, MAX_SAVED_RETRIES)

    def covers(self, cost: float) -> bool:
        """Whether there are enough tokens for a retry of this cost."""
        return self.tokens >= cost

    def spend(self, cost: float) -> None:
        """Remove the tokens for a retry."""
        self.tokens -= cost


class RetryPolicy:
    """Decides whether and where a request may be attempted, and with which timeouts.

    Args:
        settings: The gateway's settings.
        latency: Typical latencies of the classes.
        occupancy: Occupancy of the back end, with the fraction of lost responses.
    """

    def __init__(self, settings: Settings, latency: TypicalLatency, occupancy: Occupancy) -> None:
        self._settings = settings
        self._latency = latency
        self._occupancy = occupancy
        self.budget = RetryBudget()

    def is_attempt_allowed(self, pending: PendingRequest, endpoint: EndpointState, now_ms: float) -> bool:
        """Whether a request may be sent to an endpoint now.

        The endpoint must be up. The request must be unfinished, with fewer attempts than the maximum, and
        without a streamed response that has begun. Without hedging, no other attempt may be in flight. After
        an attempt that may have run, the class must allow a retry at this endpoint and time.
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
        """Whether the class allows a further attempt at this endpoint (RFC 9110, section 9.2.2)."""
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
        """Return the remaining time in which an attempt of a request may be written.

        The idempotency window starts with the decision on the first attempt that may have run.

        Returns:
            Milliseconds from now; infinite if no window applies, negative if it has ended.
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
        """Return the action that starts an attempt of a request at an endpoint."""
        return StartAttempt(
            request_id=pending.request_id,
            endpoint=endpoint.name,
            timeout_ms=self._timeout_ms(pending, now_ms),
            write_timeout_ms=self.write_timeout_ms(pending, now_ms),
        )

    def _timeout_ms(self, pending: PendingRequest, now_ms: float) -> float:
        """Return the time until a response loses all weight, less a clock tick.

        It is at least `MIN_TIMEOUT_MS`, unless the deadline is earlier. While responses get lost, it is
        shorter if that leaves time for a retry.
        """
        tick_ms = self._settings.clock_tick_ms
        timeout_ms = max(
            pending.weight_ends_at_ms - now_ms - tick_ms, min(MIN_TIMEOUT_MS, pending.deadline_at_ms - now_ms)
        )
        if (
            self._occupancy.lost_response_fraction <= MAX_LOST_RESPONSE_FRACTION
            or not self._may_retry_after_next_attempt(pending)
        ):
            return timeout_ms
        expected_latency_ms = self._expected_latency_ms(pending)
        short_timeout_ms = max(timeout_ms / 2, LOST_RESPONSE_LATENCY_MULTIPLE * expected_latency_ms)
        return short_timeout_ms if short_timeout_ms + expected_latency_ms < timeout_ms else timeout_ms

    def _may_retry_after_next_attempt(self, pending: PendingRequest) -> bool:
        """Whether the class, the retry budget and the limit on attempts allow one more after the next."""
        return (
            pending.request_class.idempotency is not Idempotency.NOT_IDEMPOTENT
            and self.budget.covers(1)
            and len(pending.attempts) + 1 < self._settings.max_attempts
        )

    def retry_cost(self, pending: PendingRequest, event: AttemptEnded) -> float:
        """Return the cost of a retry.

        It is 1; after an interrupted attempt, it is that attempt's duration as a fraction of the expected
        latency, at most 1.
        """
        if event.result not in INTERRUPTED_RESULTS:
            return 1.0
        return min(event.duration_ms / max(self._expected_latency_ms(pending), MIN_EXPECTED_LATENCY_MS), 1.0)

    def is_retry_worthwhile(self, pending: PendingRequest, cost: float, now_ms: float) -> bool:
        """Whether a retry is within the budget and can get a response in time."""
        needed_ms = max(self._expected_latency_ms(pending), 2 * self._settings.clock_tick_ms)
        return self.budget.covers(cost) and pending.weight_ends_at_ms - now_ms > needed_ms

    def _expected_latency_ms(self, pending: PendingRequest) -> float:
        return self._latency.expected_ms(pending.class_name, pending.units)


def _is_in_key_scope(endpoint: EndpointState, attempt: Attempt, scope: KeyScope) -> bool:
    """Whether an endpoint remembers the idempotency key that an earlier attempt sent."""
    if scope is KeyScope.ALL:
        return True
    if attempt.endpoint.zone != endpoint.zone:
        return False
    return scope is KeyScope.ZONE or attempt.endpoint.failure_domain == endpoint.failure_domain
