"""How well the counter service answers, and how many calls it may be sent."""

from __future__ import annotations

from random import Random

from api_gateway.decisions.rate_limited_log import RateLimitedLog
from api_gateway.model.results import CounterResult

REPLY_WEIGHT = 0.35  # weight of one reply in a running ratio of replies
MIN_RELIABLE_RATIO = 0.5  # answered ratio below which totals are not relied on
THROTTLE_EXPONENT = 4  # power of the answered ratio that gives the part of the calls that is made
MAX_LOST_CONNECTIONS = 4  # calls in a row lost with their connection, before they count as unanswered
RECOVERY_CALL_INTERVAL_MS = 1000.0  # a call is made this often however few are answered

ANSWERED = frozenset((CounterResult.OK, CounterResult.MALFORMED_RESPONSE))


class CounterHealth:
    """The part of the counter calls that is answered, and the calls that it allows.

    Unanswered calls usually mean that this fleet overloads the counter, so they throttle further calls.

    Args:
        log: Where an unreliable counter is logged.
        rng: Source of the draws that throttle calls.

    Attributes:
        answered_ratio: Running ratio of the calls that are answered; a rejected call counts as unanswered.
    """

    def __init__(self, log: RateLimitedLog, rng: Random) -> None:
        self._log = log
        self._rng = rng
        self.answered_ratio = 1.0
        self._lost_in_a_row = 0
        self._called_at_ms = 0.0

    @property
    def is_reliable(self) -> bool:
        """Whether most calls are answered."""
        return self.answered_ratio >= MIN_RELIABLE_RATIO

    @property
    def call_ratio(self) -> float:
        """Part of the calls that is made."""
        return self.answered_ratio**THROTTLE_EXPONENT

    def may_call(self, now_ms: float) -> bool:
        """Decide whether a call may be made now, by one random draw."""
        is_drawn = self._rng.random() < self.call_ratio
        return is_drawn or now_ms > self._called_at_ms + RECOVERY_CALL_INTERVAL_MS

    def record_call(self, now_ms: float) -> None:
        """Note that a call is made."""
        self._called_at_ms = now_ms

    def record_reply(self, result: CounterResult, now_ms: float) -> None:
        """Note the end of a call.

        A malformed response is an answer all the same. A connection that is lost says nothing of the counter,
        unless several are lost with no answer between them.
        """
        is_answered = result in ANSWERED
        is_lost = result is CounterResult.CONNECTION_LOST
        self._lost_in_a_row = 0 if is_answered else self._lost_in_a_row + is_lost
        if not is_lost or self._lost_in_a_row > MAX_LOST_CONNECTIONS:
            self.answered_ratio += REPLY_WEIGHT * (is_answered - self.answered_ratio)
        if not self.is_reliable:
            details = f"answered_ratio={self.answered_ratio:.2f} quotas=estimated"
            self._log.write("counter_unreliable", details, now_ms)
