"""Remembers which requests may have run, so that none of them runs again under the same X-Request-Id."""

from __future__ import annotations

# Two generations are kept. An id is remembered for at least one, unless very many follow it, and is forgotten
# as others follow.
GENERATION_S = 30.0
MAX_IDS_PER_GENERATION = 8192


class ExecutedRequests:
    """Ids of requests that are closed, may have run and must not run again.

    Endpoints identify a request by its X-Request-Id. A request that is not idempotent may have run although
    its client disconnected before the response, and may come again.
    """

    def __init__(self) -> None:
        # Hashes of the ids, since an id may be long. A collision, which is very improbable with 64 bits,
        # rejects a request.
        self._current: set[int] = set()
        self._previous: set[int] = set()
        self._generation_ends_at = 0.0

    def add(self, x_request_id: bytes, now: float) -> None:
        """Remember an id.

        Args:
            x_request_id: The id.
            now: Time of any monotonic clock, in seconds.
        """
        self._start_generation_if_due(now)
        self._current.add(hash(x_request_id))

    def __contains__(self, x_request_id: bytes) -> bool:
        """Return whether an id is remembered."""
        key = hash(x_request_id)
        return key in self._current or key in self._previous

    def _start_generation_if_due(self, now: float) -> None:
        if now >= self._generation_ends_at or len(self._current) >= MAX_IDS_PER_GENERATION:
            self._previous, self._current = self._current, set()
            self._generation_ends_at = now + GENERATION_S
