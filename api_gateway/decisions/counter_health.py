"""How well the counter service answers, and how many calls it may be sent."""

from __future__ import annotations

from random import Random

from api_gateway.decisions.rate_limited_log import RateLimitedLog
from api_gateway.model.results import CounterResult

REPLY_WEIGHT = 0.35  # weight of one reply in a running ratio of replies
MIN_RELIABLE_RESPONSE_FRACTION = 0.5  # answered ratio below which totals are not relied on
THROTTLE_EXPONENT = 4  # power of the answered ratio that gives the part of the calls that is made
MAX_CONSECUTIVE_LOST_CONNECTIONS = (
    4  # calls in a row lost with their connection, before they count as unanswered
)
RECOVERY_CALL_INTERVAL_MS = 1000.0  # a call is made this often however few are answered

RESULTS_WITH_RESPONSE = frozenset((CounterResult.OK, CounterResult.MALFORMED_RESPONSE))


class CounterHealth:
    """The part of the counter calls that is answered, and the calls that it allows.

    Unanswered calls usually mean that this fleet overloads the counter, so they throttle further calls.

    Args:
        log: Where an unreliable counter is logged.
        rng: Source of the draws that throttle calls.

    Attributes:
        response_fraction: Running ratio of the calls that are answered; a rejected call counts as unanswered.
    """

    def __init__(self, log: RateLimitedLog, rng: Random) -> None:
        self._log = log
        self._rng = rng
        self.response_fraction = 1.0
        self._consecutive_lost_connections = 0
        self._last_call_at_ms = 0.0

    @property
    def is_reliable(self) -> bool:
        """Whether most calls are answered."""
        return self.response_fraction >= MIN_RELIABLE_RESPONSE_FRACTION

    @property
    def call_fraction(self) -> float:
        """Part of the calls that is made."""
        return self.response_fraction**THROTTLE_EXPONENT

    def may_call(self, now_ms: float) -> bool:
        """Decide whether a call may be made now, by one random draw."""
        is_drawn = self._rng.random() < self.call_fraction
        return is_drawn or now_ms > self._last_call_at_ms + RECOVERY_CALL_INTERVAL_MS

    def record_call(self, now_ms: float) -> None:
        """Note that a call is made."""
        self._last_call_at_ms = now_ms

    def record_reply(self, result: CounterResult, now_ms: float) -> None:
        """Note the end of a call.

        A malformed response is an answer all the same. A connection that is lost says nothing of the counter,
        unless several are lost with no answer between them.
        """
        has_response = result in RESULTS_WITH_RESPONSE
        is_connection_lost = result is CounterResult.CONNECTION_LOST
        self._consecutive_lost_connections = (
            0 if has_response else self._consecutive_lost_connections + is_connection_lost
        )
        if not is_connection_lost or self._consecutive_lost_connections > MAX_CONSECUTIVE_LOST_CONNECTIONS:
            self.response_fraction += REPLY_WEIGHT * (has_response - self.response_fraction)
        if not self.is_reliable:
            details = f"answered_ratio={self.response_fraction:.2f} quotas=estimated"
            self._log.write("counter_unreliable", details, now_ms)
