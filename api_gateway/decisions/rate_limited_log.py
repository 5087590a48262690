"""Log lines of the decisions, rate limited by event name."""

from __future__ import annotations

from api_gateway.model.actions import Action, WriteLog

MIN_INTERVAL_MS = 5000.0
NEVER_MS = -1e9


class RateLimitedLog:
    """Writes at most one line for each event name in `MIN_INTERVAL_MS`.

    Args:
        actions: List that actions are added to.
    """

    def __init__(self, actions: list[Action]) -> None:
        self._actions = actions
        self._written_at_ms: dict[str, float] = {}

    def write(self, event: str, details: str, now_ms: float) -> None:
        """Write a line `event details`, unless a line of this event was written within `MIN_INTERVAL_MS`.

        Args:
            event: Name of the log event.
            details: `key=value` pairs, with units in the keys.
            now_ms: The current time.
        """
        if now_ms - self._written_at_ms.get(event, NEVER_MS) >= MIN_INTERVAL_MS:
            self._written_at_ms[event] = now_ms
            self._actions.append(WriteLog(f"{event} {details}"))
