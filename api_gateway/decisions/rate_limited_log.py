"""Log lines of the decisions, limited for each event name."""

from __future__ import annotations

from api_gateway.model.actions import Action, WriteLog

MIN_INTERVAL_MS = 5000.0
NEVER_MS = -1e9


class RateLimitedLog:
    """Writes at most one line for each event name in `MIN_INTERVAL_MS`.

    Args:
        actions: Where log lines are added.
    """

    def __init__(self, actions: list[Action]) -> None:
        self._actions = actions
        self._written_at_ms: dict[str, float] = {}

    def write(self, event: str, details: str, now_ms: float) -> None:
        """Write a line `event details`, unless one of this event was written a short time ago.

        Args:
            event: Name of the event.
            details: `key=value` pairs with units.
            now_ms: The time of the line.
        """
        if now_ms - self._written_at_ms.get(event, NEVER_MS) >= MIN_INTERVAL_MS:
            self._written_at_ms[event] = now_ms
            self._actions.append(WriteLog(f"{event} {details}"))
