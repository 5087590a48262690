"""Graceful shutdown: what happens after SIGTERM, in this order.

1. At the signal, the gateway drains: it reports that it is not ready, and closes each connection with the
   response to its request. New connections are still accepted, since clients learn of the drain late.
2. After ACCEPT_AFTER_SIGNAL_S, it stops accepting once the backlog is empty, and closes idle connections.
   Both are checked every CHECK_INTERVAL_S. When no connection is left, every request has its response, and
   the shutdown is finished.
3. If requests are still in flight after the longest deadline of a request class
   (MAX_AWAITED_DEADLINE_S at most) and DRAIN_MARGIN_S, they are answered as failed. A killed process could
   not answer them.
4. After FLUSH_DELAY_S more, in which these responses leave, the shutdown is finished in any case.

The process is sent SIGKILL 0.7 s after the longest deadline (MAX_AWAITED_DEADLINE_S at most) or later.
"""

from __future__ import annotations

import asyncio

from api_gateway.logs import lifecycle_log
from api_gateway.network.dispatcher import Dispatcher
from api_gateway.network.downstream.listener import Listener

ACCEPT_AFTER_SIGNAL_S = 0.5  # clients may connect for 0.4 s after the signal
CHECK_INTERVAL_S = 0.02
MAX_AWAITED_DEADLINE_S = 3.0
DRAIN_MARGIN_S = 0.4
FLUSH_DELAY_S = 0.15


class GracefulShutdown:
    """Accepts requests a little longer, finishes those in flight, and reports when that is done.

    Attributes:
        finished: Set when the process may exit.
    """

    def __init__(self, dispatcher: Dispatcher, listener: Listener, loop: asyncio.AbstractEventLoop) -> None:
        self._dispatcher = dispatcher
        self._listener = listener
        self._loop = loop
        self._drain_timeout_s = _drain_timeout_s(dispatcher)
        self.finished = asyncio.Event()

    def start(self) -> None:
        """Start the shutdown, unless it has started already."""
        if self._dispatcher.is_draining:
            return
        lifecycle_log.info("draining timeout_s=%.1f", self._drain_timeout_s)
        self._dispatcher.is_draining = True
        self._loop.call_later(ACCEPT_AFTER_SIGNAL_S, self._close_connections)
        self._loop.call_later(self._drain_timeout_s, self._fail_pending_requests)

    def _close_connections(self) -> None:
        if self._listener.stop_accepting() and self._listener.close_idle():
            self.finished.set()
        else:
            self._loop.call_later(CHECK_INTERVAL_S, self._close_connections)

    def _fail_pending_requests(self) -> None:
        self._dispatcher.fail_pending_requests()
        self._loop.call_later(FLUSH_DELAY_S, self.finished.set)


def _drain_timeout_s(dispatcher: Dispatcher) -> float:
    longest_deadline_ms = max(c.deadline_ms for c in dispatcher.settings.classes)
    return min(longest_deadline_ms / 1000, MAX_AWAITED_DEADLINE_S) + DRAIN_MARGIN_S
