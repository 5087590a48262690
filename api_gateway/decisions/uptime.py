"""How long a gateway has been up, and the periodic sweep that shows whether it was stalled."""

from __future__ import annotations

from api_gateway.model.actions import StartTimer

SWEEP_TIMER = "sweep"
SWEEP_INTERVAL_MS = 100.0
STALL_INTERVALS = 2.0  # a sweep that is overdue by so many intervals shows that the process was stalled


class Uptime:
    """When this gateway made its first decision."""

    def __init__(self) -> None:
        self.started_at_ms: float | None = None

    def start(self, now_ms: float) -> None:
        """Note the time of the first event."""
        self.started_at_ms = now_ms

    @property
    def has_started(self) -> bool:
        """Whether any event has come."""
        return self.started_at_ms is not None

    def age_ms(self, now_ms: float) -> float:
        """Return the time since the first event, in milliseconds."""
        return now_ms - (self.started_at_ms or 0.0)


class SweepTimer:
    """Schedule of the periodic sweep; a sweep that comes late shows a stall of this process."""

    def __init__(self) -> None:
        self._due_at_ms = 0.0
        self.stalled_at_ms = -1.0  # when the last stall was noticed

    def restart(self, now_ms: float) -> StartTimer:
        """Schedule the next sweep."""
        self._due_at_ms = now_ms + SWEEP_INTERVAL_MS
        return StartTimer(SWEEP_TIMER, SWEEP_INTERVAL_MS)

    def detect_stall(self, now_ms: float) -> None:
        """Note whether the process was stalled: attempts in flight meanwhile tell nothing of the load."""
        if now_ms > self._due_at_ms + STALL_INTERVALS * SWEEP_INTERVAL_MS:
            self.stalled_at_ms = now_ms

    def elapsed_ms(self, now_ms: float) -> float:
        """Return the time since the last sweep, 1 ms at least."""
        return max(now_ms - self._due_at_ms + SWEEP_INTERVAL_MS, 1.0)
