"""Graceful shutdown, which SIGTERM or SIGINT starts.

1. At the signal, the gateway starts to drain: its readiness check fails, and each connection is closed after
   the response to its request. New connections are still accepted, since clients notice the drain with a
   delay.
2. After ACCEPT_AFTER_SIGNAL_S, the gateway stops accepting as soon as its backlog is empty, and then closes
   idle connections. It repeats both every CHECK_INTERVAL_S. Once all connections are closed, every request
   has its response, and the shutdown is finished.
3. Requests that are open when the drain timeout expires get a 504 response, since a killed process could not
   send any. The drain timeout is the longest deadline of a request class, limited to
   MAX_AWAITED_DEADLINE_S, plus DRAIN_MARGIN_S.
4. The shutdown is finished FLUSH_DELAY_S later in any case. Within this time, the responses are sent.

SIGKILL follows the signal no earlier than after the longest deadline (at most MAX_AWAITED_DEADLINE_S) plus
0.7 s.
"""

from __future__ import annotations

import asyncio

from api_gateway.logs import lifecycle_log
from api_gateway.network.dispatcher import Dispatcher
from api_gateway.network.downstream.listener import Listener

# Clients may still open connections up to 0.4 s after the signal.
ACCEPT_AFTER_SIGNAL_S = 0.5
CHECK_INTERVAL_S = 0.02
# Longer deadlines are cut off: the time until SIGKILL does not grow with them.
MAX_AWAITED_DEADLINE_S = 3.0
DRAIN_MARGIN_S = 0.4
FLUSH_DELAY_S = 0.15


class GracefulShutdown:
    """Drains the gateway after a signal, and reports when the process may exit.

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
        """Start the shutdown; does nothing if it has started already."""
        if self._dispatcher.is_draining:
            return
        lifecycle_log.info("draining timeout_s=%.1f", self._drain_timeout_s)
        self._dispatcher.is_draining = True
        self._loop.call_later(ACCEPT_AFTER_SIGNAL_S, self._close_connections)
        self._loop.call_later(self._drain_timeout_s, self._fail_open_requests)

    def _close_connections(self) -> None:
        if self._listener.stop_accepting() and self._listener.close_idle():
            self.finished.set()
        else:
            self._loop.call_later(CHECK_INTERVAL_S, self._close_connections)

    def _fail_open_requests(self) -> None:
        self._dispatcher.fail_open_requests()
        self._loop.call_later(FLUSH_DELAY_S, self.finished.set)


def _drain_timeout_s(dispatcher: Dispatcher) -> float:
    longest_deadline_ms = max(c.deadline_ms for c in dispatcher.settings.classes)
    return min(longest_deadline_ms / 1000, MAX_AWAITED_DEADLINE_S) + DRAIN_MARGIN_S
