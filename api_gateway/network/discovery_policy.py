"""Timeouts and backoff of the polls to discovery.

Discovery is either an agent on this machine, which responds at once, or a service that the whole fleet polls
and that processes its requests one after another.

A gateway must know a change within 6 s after discovery knows it and can be reached, whatever failed before.
In the worst case, the change comes right after a poll has started: the next poll starts up to
MAX_POLL_CYCLE_S plus MIN_BACKOFF_LIMIT_S later, and takes up to CONNECT_TIMEOUT_S plus RESPONSE_TIMEOUT_S.
The sum is 5.7 s, whatever the size of the fleet.

A fleet of N gateways sends N / 2 long polls per second while there are no changes. After an outage, discovery
must respond to N polls within 5.6 s; otherwise, some gateways learn of a change too late.
"""

from __future__ import annotations

from dataclasses import dataclass

from api_gateway.model.settings import Settings

# A failed poll is retried within this time after its start or, if that has passed, within MIN_BACKOFF_LIMIT_S
# after its failure.
MAX_POLL_CYCLE_S = 2.8
CONNECT_TIMEOUT_S = 0.6

# Response timeout of a poll that does not wait for a change, but may be queued behind those of other
# gateways.
RESPONSE_TIMEOUT_S = 2.2

# How long discovery holds a long poll while there is no change.
LONG_POLL_WAIT_MS = 2000

# Time for the response to a long poll beyond LONG_POLL_WAIT_MS. It is shorter than RESPONSE_TIMEOUT_S because
# a long poll leaves the queue of discovery before its wait begins.
LONG_POLL_MARGIN_S = 0.6

# The first poll, a poll after a timeout and, for an agent, a poll after a disconnect do not wait for a
# change, so that a missing response is detected at once.
CATCH_UP_WAIT_MS = 1

# Connect timeout of an agent, and the time for its response to a poll beyond the wait of the poll.
AGENT_TIMEOUT_S = 0.2

# Timeout of a full list of which more keeps arriving.
FULL_LIST_TIMEOUT_S = 30.0

# Maximum time without more data of a full list, once the response timeout has passed.
PROGRESS_TIMEOUT_S = 0.6

BACKOFF_BASE_S = 0.05

# Limit of the backoff after a poll that took a whole MAX_POLL_CYCLE_S, and of each backoff for an agent.
MIN_BACKOFF_LIMIT_S = 0.1
MAX_BACKOFF_DOUBLINGS = 10

# Time that the service may take to process one poll.
POLL_SERVICE_TIME_S = 0.2

# The first polls of a fleet are spread over at most this fraction of the maximum poll interval.
MAX_SPREAD_FRACTION = 0.8


@dataclass(slots=True, frozen=True)
class PollPolicy:
    """When discovery is polled, and how long each step may take.

    Attributes:
        spread_s: Time over which the first polls of the fleet and its retries of rejected polls are spread at
            random; 0 if discovery is an agent on this machine.
    """

    spread_s: float = 0.0

    @classmethod
    def for_settings(cls, settings: Settings, max_poll_interval_ms: float) -> PollPolicy:
        """Return the policy of one gateway.

        The service also processes polls that have timed out at the gateway. If the whole fleet polled at
        once, most of the polls that it processes would have timed out already. So the first polls are spread,
        but over at most MAX_POLL_CYCLE_S.

        Args:
            settings: The settings of the gateway.
            max_poll_interval_ms: Longest time that may pass between two polls of a gateway.
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
        """Return the time in s within which a connection must be established."""
        return AGENT_TIMEOUT_S if self.is_agent else CONNECT_TIMEOUT_S

    def wait_ms(self, is_up_to_date: bool) -> int:
        """Return how long the next poll waits for a change, in ms.

        Args:
            is_up_to_date: Whether the poll may wait for a change: discovery has responded, and since then no
                poll has timed out and no connection to an agent was lost.
        """
        return LONG_POLL_WAIT_MS if is_up_to_date else CATCH_UP_WAIT_MS

    def response_timeout_s(self, wait_ms: float) -> float:
        """Return the time in s within which the response to a poll must arrive.

        Args:
            wait_ms: How long the poll waits for a change, in ms.
        """
        if self.is_agent:
            return wait_ms / 1000 + AGENT_TIMEOUT_S
        if wait_ms > CATCH_UP_WAIT_MS:
            return wait_ms / 1000 + LONG_POLL_MARGIN_S
        return RESPONSE_TIMEOUT_S

    def progress_timeout_s(self) -> float:
        """Return the time in s within which more of a full list must arrive."""
        return PROGRESS_TIMEOUT_S

    def full_list_timeout_s(self) -> float:
        """Return the time in s within which a full list must arrive completely."""
        return FULL_LIST_TIMEOUT_S

    def backoff_limit_s(
        self, *, consecutive_failures: int, consecutive_rejections: int, started_at: float, now: float
    ) -> float:
        """Return the upper limit, in s, of the random delay before the next poll (full jitter).

        Args:
            consecutive_failures: Number of failed polls since the last success, rejected ones included.
            consecutive_rejections: Number of polls since the last success whose response has a status other
                than 200.
            started_at: When the last poll started, in s of event-loop time.
            now: Current event-loop time in s.
        """
        limit_s = BACKOFF_BASE_S * 2 ** min(consecutive_failures, MAX_BACKOFF_DOUBLINGS)
        if consecutive_rejections and self.spread_s:
            limit_s = self.spread_s * 2 ** min(consecutive_rejections - 1, MAX_BACKOFF_DOUBLINGS)
        remaining_cycle_s = 0.0 if self.is_agent else started_at + MAX_POLL_CYCLE_S - now
        return min(limit_s, max(remaining_cycle_s, MIN_BACKOFF_LIMIT_S))
