"""Whether the counter service responds reliably, and how many calls may be sent to it."""

from __future__ import annotations

from random import Random

from api_gateway.decisions.rate_limited_log import RateLimitedLog
from api_gateway.model.results import CounterResult

REPLY_WEIGHT = 0.35  # Weight of one reply in a running fraction of replies.
MIN_RELIABLE_RESPONSE_FRACTION = 0.5  # Below this fraction, quotas are estimated.
THROTTLE_EXPONENT = 4  # The fraction of calls made is the response fraction raised to this power.
MAX_CONSECUTIVE_LOST_CONNECTIONS = 4  # Further lost connections count as calls without a response.
RECOVERY_CALL_INTERVAL_MS = 1000.0  # A call is allowed this often even if no call gets a response.

RESULTS_WITH_RESPONSE = frozenset((CounterResult.OK, CounterResult.MALFORMED_RESPONSE))


class CounterHealth:
    """Tracks which fraction of the counter calls gets a response, and throttles calls accordingly.

    Calls without a response usually mean that this fleet overloads the counter.

    Args:
        log: Log to which an unreliable counter is written.
        rng: Source of the random draws that throttle calls.

    Attributes:
        response_fraction: Running fraction of calls with the result OK or MALFORMED_RESPONSE, 0 to 1.
            Rejections and failures do not count as responses.
    """

    def __init__(self, log: RateLimitedLog, rng: Random) -> None:
        self._log = log
        self._rng = rng
        self.response_fraction = 1.0
        self._consecutive_lost_connections = 0
        self._last_call_at_ms = 0.0

    @property
    def is_reliable(self) -> bool:
        """Whether at least about half of the recent calls got a response other than a rejection."""
        return self.response_fraction >= MIN_RELIABLE_RESPONSE_FRACTION

    @property
    def call_fraction(self) -> float:
        """Fraction of calls to make, 0 to 1."""
        return self.response_fraction**THROTTLE_EXPONENT

    def may_call(self, now_ms: float) -> bool:
        """Decide by one random draw whether a call may be made now."""
        is_drawn = self._rng.random() < self.call_fraction
        return is_drawn or now_ms > self._last_call_at_ms + RECOVERY_CALL_INTERVAL_MS

    def record_call(self, now_ms: float) -> None:
        """Record that a call is made."""
        self._last_call_at_ms = now_ms

    def record_reply(self, result: CounterResult, now_ms: float) -> None:
        """Record the end of a call.

        A malformed response counts as a response. A lost connection is ignored, because it says nothing about
        the load of the counter, unless several are lost without a response between them.
        """
        has_response = result in RESULTS_WITH_RESPONSE
        is_connection_lost = result is CounterResult.CONNECTION_LOST
        self._consecutive_lost_connections = (
            0 if has_response else self._consecutive_lost_connections + is_connection_lost
        )
        if not is_connection_lost or self._consecutive_lost_connections > MAX_CONSECUTIVE_LOST_CONNECTIONS:
            self.response_fraction += REPLY_WEIGHT * (has_response - self.response_fraction)
        if not self.is_reliable:
            details = f"response_fraction={self.response_fraction:.2f} quotas=estimated"
            self._log.write("counter_unreliable", details, now_ms)
