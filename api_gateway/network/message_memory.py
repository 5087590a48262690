"""Limits the memory of the messages that all connections of the process hold together."""

from __future__ import annotations

import logging
from typing import Protocol

log = logging.getLogger(__name__)

# Messages of a connection up to this size are not counted, and so never rejected for lack of memory. The
# limit on the connections limits their sum.
UNCOUNTED_BYTES = 4 * 1024
# That the limit is reached is logged once, until less than this fraction of it is held.
LOG_AGAIN_FRACTION = 0.5


class MessageHolder(Protocol):
    """A connection, which holds requests and responses that are incomplete, in flight or unsent."""

    def reject_partial_request(self) -> None:
        """Reject the request that is being read and free its memory; do nothing if there is none."""

    def abort_if_response_unread(self) -> None:
        """Abort the connection and free its memory if the peer has left a response unread."""


class MessageMemory:
    """The limit on the messages of all connections together, and what each connection holds.

    At the limit, memory is freed in this order, which spares clients that do not stop in the middle of a
    message: the requests that have been incomplete for longest are rejected, and then connections are aborted
    whose clients have left a response unread for longest.

    Args:
        limit_bytes: Limit on the size of the counted messages together.

    Attributes:
        held_bytes: Size of the counted messages together.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.held_bytes = 0
        self._limit_bytes = limit_bytes
        # In the order in which the messages of a connection became large enough to be counted.
        self._bytes_by_holder: dict[MessageHolder, int] = {}
        self._is_logged = False

    def update(self, holder: MessageHolder, size_bytes: int) -> bool:
        """Record the size of all messages that a connection holds now.

        Args:
            holder: The connection.
            size_bytes: Their size.

        Returns:
            Whether it is within the limit. If not, the previous size stays recorded, and the connection must
            free what it has received since.
        """
        if size_bytes <= UNCOUNTED_BYTES:
            self.remove(holder)
            return True
        growth_bytes = size_bytes - self._bytes_by_holder.get(holder, 0)
        if not self._make_room(holder, growth_bytes):
            return False
        self._bytes_by_holder[holder] = size_bytes
        self.held_bytes += growth_bytes
        return True

    def remove(self, holder: MessageHolder) -> None:
        """Record that a connection holds no messages, or small ones only."""
        self.held_bytes -= self._bytes_by_holder.pop(holder, 0)
        if self._is_logged and self.held_bytes < LOG_AGAIN_FRACTION * self._limit_bytes:
            self._is_logged = False

    def _make_room(self, holder: MessageHolder, growth_bytes: int) -> bool:
        """Free memory of other connections until the growth is within the limit; return whether it is."""
        if self._has_room(growth_bytes):
            return True
        self._log_limit_reached()
        others = [other for other in self._bytes_by_holder if other is not holder]
        for other in others:
            other.reject_partial_request()
            if self._has_room(growth_bytes):
                return True
        for other in others:
            other.abort_if_response_unread()
            if self._has_room(growth_bytes):
                return True
        return False

    def _log_limit_reached(self) -> None:
        if not self._is_logged:
            self._is_logged = True
            log.warning(
                "message_memory_full limit_bytes=%d connections=%d",
                self._limit_bytes,
                len(self._bytes_by_holder),
            )

    def _has_room(self, growth_bytes: int) -> bool:
        return growth_bytes <= 0 or self.held_bytes + growth_bytes <= self._limit_bytes
