"""What the system knows of a connection and the loop has not told yet, asked at the moment it matters.

A loop hands on what has come in its own turn, later under load, and not at all while reading is paused. Where
an action cannot be taken back (a write, a close) the socket itself is asked right before it.
"""

from __future__ import annotations

import asyncio
import select


def has_unread_data(transport: asyncio.BaseTransport) -> bool:
    """Whether anything has come that is unread: data, or the other side's end."""
    return _polled(transport, select.POLLIN)


def is_closed_by_peer(transport: asyncio.BaseTransport) -> bool:
    """Whether the other side has ended or reset the connection, also behind data that is unread."""
    return transport.is_closing() or _polled(transport, select.POLLRDHUP)


def _polled(transport: asyncio.BaseTransport, events: int) -> bool:
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), events)
    return bool(poll.poll(0))
