"""Time since the gateway's start, and the timer of the periodic sweep, which detects stalls."""

from __future__ import annotations

from api_gateway.model.actions import StartTimer

SWEEP_TIMER = "sweep"
SWEEP_INTERVAL_MS = 100.0
STALL_INTERVALS = 2.0  # The process has stalled if a sweep is late by more than this many intervals.


class Uptime:
    """Time since the first event that this gateway handled."""

    def __init__(self) -> None:
        self.started_at_ms: float | None = None

    def start(self, now_ms: float) -> None:
        """Record the time of the first event."""
        self.started_at_ms = now_ms

    @property
    def has_started(self) -> bool:
        """Whether any event has been handled."""
        return self.started_at_ms is not None

    def elapsed_ms(self, now_ms: float) -> float:
        """Return the time since the first event, in milliseconds."""
        return now_ms - (self.started_at_ms or 0.0)


class SweepTimer:
    """Timer of the periodic sweep, which detects stalls of the process by sweeps that are late.

    Attributes:
        stalled_at_ms: When the last stall was detected; negative before the first.
    """

    def __init__(self) -> None:
        self._due_at_ms = 0.0
        self.stalled_at_ms = -1.0

    def restart(self, now_ms: float) -> StartTimer:
        """Schedule the next sweep, and return the action that starts its timer."""
        self._due_at_ms = now_ms + SWEEP_INTERVAL_MS
        return StartTimer(SWEEP_TIMER, SWEEP_INTERVAL_MS)

    def detect_stall(self, now_ms: float) -> None:
        """Record a stall if the sweep is late; attempts in flight during a stall do not measure the load."""
        if now_ms > self._due_at_ms + STALL_INTERVALS * SWEEP_INTERVAL_MS:
            self.stalled_at_ms = now_ms

    def elapsed_ms(self, now_ms: float) -> float:
        """Return the time since the last sweep, at least 1 ms."""
        return max(now_ms - self._due_at_ms + SWEEP_INTERVAL_MS, 1.0)
