"""The steps of a graceful shutdown and their times."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
from collections.abc import Callable

import pytest
from support.gateway_driver import READ_CLASS, settings

from api_gateway.shutdown import GracefulShutdown


class FakeLoop:
    """An event loop whose clock jumps to the time of the next callback."""

    def __init__(self) -> None:
        self.now = 0.0
        self._serial = itertools.count()
        self._callbacks: list[tuple[float, int, Callable[[], None]]] = []

    def call_later(self, delay: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self._callbacks, (self.now + delay, next(self._serial), callback))

    def run_until(self, is_done: Callable[[], bool]) -> None:
        while not is_done():
            self.now, _, callback = heapq.heappop(self._callbacks)
            callback()


class FakeDispatcher:
    """A dispatcher that records when it is told to fail its open requests."""

    def __init__(self, loop: FakeLoop, deadline_ms: float) -> None:
        self.settings = settings(classes=(dataclasses.replace(READ_CLASS, deadline_ms=deadline_ms),))
        self.is_draining = False
        self.failed_at: list[float] = []
        self._loop = loop

    def fail_open_requests(self) -> None:
        self.failed_at.append(self._loop.now)


class FakeListener:
    """A listener whose methods report success after a number of calls.

    Args:
        loop: The event loop.
        accept_calls: Calls of `stop_accepting` before the backlog is empty.
        idle_calls: Calls of `close_idle` before all connections are closed.
    """

    def __init__(self, loop: FakeLoop, accept_calls: int = 0, idle_calls: int = 0) -> None:
        self.accept_calls, self.idle_calls = accept_calls, idle_calls
        self.called_at: list[float] = []
        self._loop = loop

    def stop_accepting(self) -> bool:
        self.called_at.append(self._loop.now)
        self.accept_calls -= 1
        return self.accept_calls < 0

    def close_idle(self) -> bool:
        self.idle_calls -= 1
        return self.idle_calls < 0


def start_shutdown(
    accept_calls: int = 0, idle_calls: int = 0, deadline_ms: float = 4000
) -> tuple[FakeLoop, FakeDispatcher, FakeListener, GracefulShutdown]:
    loop = FakeLoop()
    dispatcher = FakeDispatcher(loop, deadline_ms)
    listener = FakeListener(loop, accept_calls, idle_calls)
    shutdown = GracefulShutdown(dispatcher, listener, loop)
    shutdown.start()
    return loop, dispatcher, listener, shutdown


def test_connections_are_accepted_after_the_signal_and_then_closed() -> None:
    loop, dispatcher, listener, shutdown = start_shutdown()
    assert dispatcher.is_draining and not shutdown.finished.is_set()
    loop.run_until(shutdown.finished.is_set)
    assert listener.called_at == [0.5] and loop.now == 0.5 and not dispatcher.failed_at


def test_backlog_and_connections_are_checked_until_none_is_left() -> None:
    loop, _, listener, shutdown = start_shutdown(accept_calls=2, idle_calls=3)
    loop.run_until(shutdown.finished.is_set)
    assert listener.called_at == pytest.approx([0.5 + 0.02 * i for i in range(6)])


@pytest.mark.parametrize(("deadline_ms", "timeout_s"), [(1200, 1.6), (4000, 3.4)])
def test_pending_requests_are_failed_after_the_longest_deadline(deadline_ms: float, timeout_s: float) -> None:
    loop, dispatcher, _, shutdown = start_shutdown(accept_calls=10**6, deadline_ms=deadline_ms)
    loop.run_until(shutdown.finished.is_set)
    assert dispatcher.failed_at == pytest.approx([timeout_s])
    assert loop.now == pytest.approx(timeout_s + 0.15)


def test_second_signal_changes_nothing() -> None:
    loop, _, listener, shutdown = start_shutdown()
    loop.now = 0.3
    shutdown.start()
    loop.run_until(shutdown.finished.is_set)
    assert listener.called_at == [0.5]
