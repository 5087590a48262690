"""State of a socket in the kernel, which the event loop may not have reported yet.

The event loop reports received data and the end of a connection in a later iteration, with more delay under
load, and not at all while reading is paused. So sockets are polled before a write or a close, which cannot be
undone.
"""

from __future__ import annotations

import asyncio
import select


class SocketPoll:
    """Polls the socket of one transport for an event, an error or a hang-up.

    Args:
        transport: The transport; its socket must be open whenever the poll is used.
        events: Event mask of `select.poll`.
    """

    def __init__(self, transport: asyncio.BaseTransport, events: int) -> None:
        self._poll = select.poll()
        self._poll.register(transport.get_extra_info("socket").fileno(), events)

    def is_pending(self) -> bool:
        """Return whether an event is pending."""
        return bool(self._poll.poll(0))


def unread_data_poll(transport: asyncio.BaseTransport) -> SocketPoll:
    """Return a poll for data, or the end of the stream, that waits to be read."""
    return SocketPoll(transport, select.POLLIN)


def peer_close_poll(transport: asyncio.BaseTransport) -> SocketPoll:
    """Return a poll for the end of a connection by the peer, even if unread data precedes it."""
    return SocketPoll(transport, select.POLLRDHUP)
