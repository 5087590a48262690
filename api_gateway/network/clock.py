"""The clock of the decisions, and the measurement of how far the event loop runs behind."""

from __future__ import annotations

import asyncio
import time

# After a stall, the event loop runs an overdue timer before it reads a response that arrived in time. So a
# timeout is acted on this long after its timer, which is a turn or two of the loop.
TIMEOUT_READ_DELAY_S = 0.002

LAG_CHECK_INTERVAL_S = 0.05
MIN_LAG_MS = 5.0  # less than this is ordinary jitter
LAG_RESET_DELAY_S = 0.001


class Clock:
    """Unix time, which all gateways share, but never set back while the process runs."""

    def __init__(self) -> None:
        self._offset_s = time.time() - time.monotonic()

    def now_ms(self) -> float:
        """Return the time in ms of Unix time."""
        return (self._offset_s + time.monotonic()) * 1000


class EventLoopLag:
    """Measures the lag of the event loop with a timer that is due every `LAG_CHECK_INTERVAL_S`.

    After a stall the lag is kept until the sockets have been read: data read then may have been unread for as
    long.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._lag_ms = 0.0
        self._due_at = time.monotonic() + LAG_CHECK_INTERVAL_S

    def start(self) -> None:
        """Begin to measure."""
        self._due_at = time.monotonic() + LAG_CHECK_INTERVAL_S
        self._loop.call_later(LAG_CHECK_INTERVAL_S, self._measure)

    def lag_ms(self, now: float) -> float:
        """Return how long, at most, data that is read now has been unread, in ms.

        Args:
            now: The time by `time.monotonic`.
        """
        # A loop that was stopped in its poll reads sockets before it runs the timer that is overdue.
        overdue_ms = (now - self._due_at) * 1000
        return overdue_ms if overdue_ms > MIN_LAG_MS else self._lag_ms

    def _measure(self) -> None:
        now = time.monotonic()
        overdue_ms = (now - self._due_at) * 1000
        if overdue_ms > MIN_LAG_MS:
            self._lag_ms = overdue_ms
            self._loop.call_later(LAG_RESET_DELAY_S, self._reset)
        self._due_at = now + LAG_CHECK_INTERVAL_S
        self._loop.call_later(LAG_CHECK_INTERVAL_S, self._measure)

    def _reset(self) -> None:
        self._lag_ms = 0.0
