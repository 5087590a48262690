"""Clock of the decisions, and measurement of the lag of the event loop."""

from __future__ import annotations

import asyncio
import time

# After a stall, the event loop runs an overdue timer before it reads a response that arrived in time. So a
# timeout takes effect this long after its timer has fired, which gives the loop one or two iterations to
# read.
TIMEOUT_READ_DELAY_S = 0.002

LAG_CHECK_INTERVAL_S = 0.05

# A delay below this is ordinary timer jitter and not regarded as lag.
MIN_LAG_MS = 5.0

# After a stall, the measured lag is kept for this long, in which the sockets are read.
LAG_RESET_DELAY_S = 0.001


class Clock:
    """Unix time, which is comparable between gateways, but never goes back while the process runs."""

    def __init__(self) -> None:
        self._offset_s = time.time() - time.monotonic()

    def now_ms(self) -> float:
        """Return the current Unix time in ms."""
        return (self._offset_s + time.monotonic()) * 1000


class EventLoopLag:
    """Measures the lag of the event loop with a timer that is due every `LAG_CHECK_INTERVAL_S`.

    After a stall, the lag is kept until the sockets have been read, since data that is read then may have
    been unread for as long as the stall lasted.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._lag_ms = 0.0
        self._due_at = time.monotonic() + LAG_CHECK_INTERVAL_S

    def start(self) -> None:
        """Start the measurement."""
        self._due_at = time.monotonic() + LAG_CHECK_INTERVAL_S
        self._loop.call_later(LAG_CHECK_INTERVAL_S, self._measure)

    def lag_ms(self, now: float) -> float:
        """Return for how long, in ms, data that is read now may have been unread.

        Args:
            now: Current time in s of `time.monotonic`.
        """
        # A stall within a callback is followed by the overdue timer, which sets `_lag_ms`. If the process was
        # stopped while the loop waited for its sockets, in contrast, the loop reads them before it runs the
        # timer.
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
