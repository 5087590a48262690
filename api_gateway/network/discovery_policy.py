"""Timeouts and backoff of the polls to discovery.

Discovery is either an agent on this machine, which answers at once, or a service that the whole fleet polls
and that serves its requests one after another.

A change must be known within 6 s after discovery has it and can be reached, whatever failed before. The worst
case is a change right after a poll has started: MAX_POLL_CYCLE_S and MIN_BACKOFF_LIMIT_S pass until the next
poll starts, which takes CONNECT_TIMEOUT_S and RESPONSE_TIMEOUT_S at most. The sum is 5.7 s, whatever the size
of the fleet.

A fleet of N gateways makes N / 2 long polls a second where nothing changes. After an outage, discovery must
answer N polls within 5.6 s; if it serves fewer, not every gateway learns of a change in time.
"""

from __future__ import annotations

from dataclasses import dataclass

from api_gateway.model.settings import Settings

MAX_POLL_CYCLE_S = 2.8  # from the start of one poll to the start of the next, unless it was answered
CONNECT_TIMEOUT_S = 0.6
RESPONSE_TIMEOUT_S = 2.2  # of a poll that does not wait for a change, queued behind other gateways' polls
LONG_POLL_WAIT_MS = 2000  # how long a poll waits for a change
LONG_POLL_MARGIN_S = 0.6  # beyond LONG_POLL_WAIT_MS; discovery has served the poll before it waited
CATCH_UP_WAIT_MS = 1  # the first poll after a failure does not wait: a missing response is detected at once
AGENT_TIMEOUT_S = 0.2  # to connect, and beyond the wait of a poll
FULL_LIST_TIMEOUT_S = 30.0  # of a full list while more of it arrives
PROGRESS_TIMEOUT_S = 0.6  # between two parts of it

BACKOFF_BASE_S = 0.05
MIN_BACKOFF_LIMIT_S = 0.1  # a poll that used up its cycle is retried within this time; an agent always
MAX_BACKOFF_DOUBLINGS = 10

POLL_SERVICE_TIME_S = 0.2  # that the service may take for one poll
MAX_SPREAD_FRACTION = 0.8  # of the interval in which a gateway must poll


@dataclass(slots=True, frozen=True)
class PollPolicy:
    """When discovery is polled, and how long each step may take.

    Attributes:
        spread_s: Time over which the fleet's first polls and its rejected ones are spread at random; 0 if
            discovery is an agent on this machine.
    """

    spread_s: float = 0.0

    @classmethod
    def for_settings(cls, settings: Settings, max_poll_interval_ms: float) -> PollPolicy:
        """Return the policy of one gateway.

        The service also serves polls that have timed out. If the whole fleet polled at once, it would serve
        mostly those, so the first polls are spread, but over no more than a cycle.

        Args:
            settings: The settings of the gateway.
            max_poll_interval_ms: A gateway must poll at least this often.
        """
        if not settings.discovery_by_polling:
            return cls()
        return cls(
            min(
                POLL_SERVICE_TIME_S * settings.fleet_size,
                MAX_SPREAD_FRACTION * max_poll_interval_ms / 1000,
                MAX_POLL_CYCLE_S,
            )
        )

    @property
    def is_agent(self) -> bool:
        """Whether discovery is an agent on this machine."""
        return not self.spread_s

    def connect_timeout_s(self) -> float:
        """Return the time within which a connection must be established."""
        return AGENT_TIMEOUT_S if self.is_agent else CONNECT_TIMEOUT_S

    def wait_ms(self, is_up_to_date: bool) -> int:
        """Return how long the next poll waits for a change.

        Args:
            is_up_to_date: Whether the last poll was answered.
        """
        return LONG_POLL_WAIT_MS if is_up_to_date else CATCH_UP_WAIT_MS

    def response_timeout_s(self, wait_ms: float) -> float:
        """Return the time within which the response to a poll must arrive.

        Args:
            wait_ms: How long the poll waits for a change.
        """
        if self.is_agent:
            return wait_ms / 1000 + AGENT_TIMEOUT_S
        if wait_ms > CATCH_UP_WAIT_MS:
            return wait_ms / 1000 + LONG_POLL_MARGIN_S
        return RESPONSE_TIMEOUT_S

    def progress_timeout_s(self) -> float:
        """Return the time within which more of a full list must arrive."""
        return PROGRESS_TIMEOUT_S

    def full_list_timeout_s(self) -> float:
        """Return the time within which the whole of a full list must arrive."""
        return FULL_LIST_TIMEOUT_S

    def backoff_limit_s(
        self, *, consecutive_failures: int, consecutive_rejections: int, started_at: float, now: float
    ) -> float:
        """Return the upper limit of the random delay before the next poll (full jitter).

        Args:
            consecutive_failures: Polls in a row that failed, the rejected ones included.
            consecutive_rejections: Polls in a row that were rejected with a status.
            started_at: When the last poll started, in seconds of the loop's clock.
            now: The time now, by the same clock.
        """
        limit_s = BACKOFF_BASE_S * 2 ** min(consecutive_failures, MAX_BACKOFF_DOUBLINGS)
        if consecutive_rejections and self.spread_s:
            limit_s = self.spread_s * 2 ** min(consecutive_rejections - 1, MAX_BACKOFF_DOUBLINGS)
        remaining_cycle_s = 0.0 if self.is_agent else started_at + MAX_POLL_CYCLE_S - now
        return min(limit_s, max(remaining_cycle_s, MIN_BACKOFF_LIMIT_S))
