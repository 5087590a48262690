"""State of a socket in the kernel, which the event loop may not have reported yet.

The event loop reports received data and the end of a connection in a later iteration, with more delay under
load, and not at all while reading is paused. So sockets are polled before a write or a close, which cannot be
undone.
"""

from __future__ import annotations

import asyncio
import select


def has_unread_data(transport: asyncio.BaseTransport) -> bool:
    """Return whether the socket is readable: data, or the end of the stream, is waiting to be read."""
    return _poll(transport, select.POLLIN)


def is_closed_by_peer(transport: asyncio.BaseTransport) -> bool:
    """Return whether the peer has closed or reset the connection, even if unread data precedes the end."""
    return transport.is_closing() or _poll(transport, select.POLLRDHUP)


def _poll(transport: asyncio.BaseTransport, events: int) -> bool:
    """Return whether one of `events`, an error or a hang-up is pending on the socket."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), events)
    return bool(poll.poll(0))
