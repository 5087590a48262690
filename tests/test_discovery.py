"""The discovery watch: what its polls request, when they are retried, and when they time out."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable

import pytest
from support.http_fakes import CLASS_SETTINGS, PLAN_SETTINGS

from api_gateway import configuration
from api_gateway.network.discovery import DiscoveryWatch, EndpointList
from api_gateway.network.discovery_policy import (
    BACKOFF_BASE_S,
    FULL_LIST_TIMEOUT_S,
    MAX_POLL_CYCLE_S,
    PROGRESS_TIMEOUT_S,
    RESPONSE_TIMEOUT_S,
    PollPolicy,
)
from api_gateway.network.response_parser import Response


class FakeTimer:
    def __init__(self, due_at: float, callback: Callable[[], None]) -> None:
        self.due_at, self.callback, self.is_pending = due_at, callback, True

    def cancel(self) -> None:
        self.is_pending = False


class FakeConnectTask:
    """A task of `create_connection` that succeeds when the test completes it."""

    def __init__(self, connection: FakeConnection) -> None:
        self.connection = connection

    def add_done_callback(self, callback: Callable[[FakeConnectTask], None]) -> None:
        self.callback = callback

    def cancelled(self) -> bool:
        return False

    def exception(self) -> None:
        return None

    def result(self) -> tuple[None, FakeConnection]:
        return None, self.connection


class FakeConnection:
    """A connection that records the targets of its polls, and whether the watch has aborted it."""

    def __init__(self) -> None:
        self.polls: list[str] = []
        self.is_aborted = self.is_closed = False

    def write(self, data: bytes) -> None:
        self.polls.append(data.decode().split()[1])

    def abort(self) -> None:
        self.is_aborted = True


class FakeLoop:
    """An event loop whose timers and connects run when the test says so."""

    def __init__(self) -> None:
        self.now = 0.0
        self.timers: list[FakeTimer] = []
        self.connect_tasks: list[FakeConnectTask] = []

    def time(self) -> float:
        return self.now

    def call_later(self, delay: float, callback: Callable[[], None]) -> FakeTimer:
        self.timers.append(FakeTimer(self.now + delay, callback))
        return self.timers[-1]

    def create_connection(self, protocol_factory: Callable, host: str, port: int) -> None:
        return None

    def create_task(self, coroutine: None) -> FakeConnectTask:
        self.connect_tasks.append(FakeConnectTask(FakeConnection()))
        return self.connect_tasks[-1]

    def next_timer(self) -> FakeTimer:
        return min((t for t in self.timers if t.is_pending), key=lambda t: t.due_at)

    def fire(self) -> float:
        """Run the next timer, and return the time in s until it was due."""
        timer = self.next_timer()
        timer.is_pending = False
        delay, self.now = timer.due_at - self.now, max(timer.due_at, self.now)
        timer.callback()
        return delay

    def complete_connect(self) -> FakeConnection:
        task = self.connect_tasks[-1]
        task.callback(task)
        return task.connection


def response(status: int, body: bytes = b"") -> Response:
    return Response(status, {}, body, True)


def reject_poll(loop: FakeLoop, watch: DiscoveryWatch) -> float:
    """Respond to one poll with 503, and return the backoff after it in s."""
    connection = loop.complete_connect()
    watch.handle_response(connection, response(503), True)
    assert connection.is_aborted
    watch.handle_disconnect(connection)
    return loop.fire()


def create_watch(
    loop: FakeLoop,
    seed: int = 1,
    updates: list[EndpointList] | None = None,
    known_generation: int | None = 7,
    spread_s: float = 8.0,
) -> DiscoveryWatch:
    on_update = [].append if updates is None else updates.append
    policy = PollPolicy(spread_s)
    return DiscoveryWatch(loop, ("127.0.0.1", 1), on_update, random.Random(seed), known_generation, policy)


def test_first_polls_of_a_fleet_are_spread_over_the_time_they_take() -> None:
    """If a whole fleet polled at once, polls would time out in the queue of discovery."""
    delays_s = []
    for seed in range(40):
        loop = FakeLoop()
        create_watch(loop, seed).start()
        assert not loop.connect_tasks
        delays_s.append(loop.fire())
        assert len(loop.connect_tasks) == 1
    per_second = [sum(1 for at in delays_s if s <= at < s + 1) for s in range(8)]
    assert sum(per_second) == 40 and max(per_second) <= 12


def test_rejected_polls_are_retried_within_a_cycle_and_with_jitter() -> None:
    """The delays are spread over one whole cycle and never longer.

    Otherwise, a change would be known too late while discovery is overloaded.
    """
    delays = []
    for seed in range(40):
        loop = FakeLoop()
        watch = create_watch(loop, seed)
        watch.start()
        loop.fire()
        delays.append([reject_poll(loop, watch) for _ in range(5)])
    for turn in range(5):
        delays_of_turn = sorted(d[turn] for d in delays)
        assert max(delays_of_turn) <= MAX_POLL_CYCLE_S and len({round(x, 3) for x in delays_of_turn}) > 30
    mean = [sum(d[turn] for d in delays) / 40 for turn in range(5)]
    assert all(abs(m - MAX_POLL_CYCLE_S / 2) < 0.35 for m in mean)


def test_rejected_polls_of_a_small_fleet_back_off_exponentially() -> None:
    delays = []
    for seed in range(40):
        loop = FakeLoop()
        watch = create_watch(loop, seed, spread_s=0.6)
        watch.start()
        loop.fire()
        delays.append([reject_poll(loop, watch) for _ in range(3)])
    mean = [sum(d[turn] for d in delays) / 40 for turn in range(3)]
    assert mean[1] > 1.5 * mean[0] and mean[2] > 1.5 * mean[1]


def test_retry_of_a_rejected_poll_asks_for_changes_only() -> None:
    """Full lists would be the largest load for a discovery that rejects polls because it is overloaded."""
    loop, updates = FakeLoop(), []
    watch = create_watch(loop, 1, updates)
    watch.start()
    loop.fire()
    reject_poll(loop, watch)
    connection = loop.complete_connect()
    assert connection.polls == ["/v1/endpoints?after=7&wait_ms=1"]
    no_changes = b'{"generation":9,"reset":false,"instances":[]}'
    watch.handle_response(connection, response(200, no_changes), True)
    assert connection.polls[1:] == ["/v1/endpoints?after=9&wait_ms=2000"]
    assert [update.generation for update in updates] == [9]


def test_malformed_response_is_followed_by_a_poll_for_the_full_list() -> None:
    """The malformed response may have held changes; the full list includes them."""
    loop, updates = FakeLoop(), []
    watch = create_watch(loop, 1, updates)
    watch.start()
    loop.fire()
    connection = loop.complete_connect()
    watch.handle_response(connection, response(200, b"noise"), True)
    watch.handle_disconnect(connection)
    loop.fire()
    assert loop.complete_connect().polls == ["/v1/endpoints"] and not updates


def respond_to_poll(watch: DiscoveryWatch, connection: FakeConnection) -> None:
    body = b'{"generation":9,"reset":false,"instances":[]}'
    watch.handle_response(connection, response(200, body), True)


@pytest.mark.parametrize(("spread_s", "limit_s"), [(0.0, 6.0), (8.0, 6.0)])
def test_silent_connection_is_replaced_before_a_change_must_be_known(spread_s: float, limit_s: float) -> None:
    """Discovery responds once and then no more, on a connection that stays open."""
    for seed in range(20):
        loop = FakeLoop()
        watch = create_watch(loop, seed, spread_s=spread_s)
        watch.start()
        if spread_s:
            loop.fire()
        connection = loop.complete_connect()
        respond_to_poll(watch, connection)
        silent_since, polls = loop.now, len(connection.polls)
        while not connection.is_aborted:
            loop.fire()
        watch.handle_disconnect(connection)
        while len(loop.connect_tasks) < 2:
            loop.fire()
        new_connection = loop.complete_connect()
        # An agent is polled several times within the limit, a service at least once.
        assert loop.now - silent_since < limit_s / (2 if not spread_s else 1)
        assert len(connection.polls) == polls
        assert new_connection.polls == ["/v1/endpoints?after=9&wait_ms=1"]


def test_silent_agent_is_polled_again_within_its_timeout_and_backoff() -> None:
    """The bound is the sum of the timeout of an agent, the limit of its backoff, and a margin."""
    loop = FakeLoop()
    watch = create_watch(loop, spread_s=0.0)
    watch.start()
    for _ in range(8):
        started_at, connection = loop.now, loop.complete_connect()
        while not connection.is_aborted:
            loop.fire()
        watch.handle_disconnect(connection)
        loop.fire()
        assert loop.now - started_at <= 0.2 + 0.1 + 0.01


def test_connection_that_ends_as_it_is_established_is_replaced() -> None:
    loop = FakeLoop()
    watch = create_watch(loop, spread_s=0.0)
    watch.start()
    loop.connect_tasks[-1].connection.is_closed = True  # reported before the task is done
    loop.complete_connect()
    assert loop.fire() <= 2 * BACKOFF_BASE_S and len(loop.connect_tasks) == 2


@pytest.mark.parametrize(("known_generation", "spread_s"), [(None, 8.0), (7, 0.0)])
def test_first_poll_is_sent_at_once_without_a_known_list_or_to_an_agent(
    known_generation: int | None, spread_s: float
) -> None:
    loop = FakeLoop()
    create_watch(loop, known_generation=known_generation, spread_s=spread_s).start()
    assert len(loop.connect_tasks) == 1


@pytest.mark.parametrize(
    ("fleet_size", "discovery_by_polling", "spread_s"),
    [(40, True, MAX_POLL_CYCLE_S), (3, True, 0.6), (40, False, 0.0), (670, True, MAX_POLL_CYCLE_S)],
)
def test_spread_follows_the_size_of_the_fleet_and_the_poll_interval(
    fleet_size: int, discovery_by_polling: bool, spread_s: float
) -> None:
    raw = {
        "name": "n0",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "seed": "8c1f",
        "settings": {
            "grades": CLASS_SETTINGS,
            "packages": PLAN_SETTINGS,
            "fleet_size": fleet_size,
            "me": 0,
            "rules": {"must_ask_in_ms": 10000.0},
        },
    }
    config = configuration.parse_configuration(raw)
    settings = dataclasses.replace(config.settings, discovery_by_polling=discovery_by_polling)
    policy = PollPolicy.for_settings(settings, config.max_poll_interval_ms)
    assert policy.spread_s == pytest.approx(spread_s)


def test_full_list_does_not_time_out_while_more_of_it_arrives() -> None:
    loop = FakeLoop()
    create_watch(loop, known_generation=None).start()
    connection = loop.complete_connect()
    received_bytes = iter([1000, 2000, 3000])
    connection.received_bytes = lambda: next(received_bytes, 3000)
    started_at = loop.now
    while not connection.is_aborted:
        loop.fire()
    timeout_s = RESPONSE_TIMEOUT_S + 3 * PROGRESS_TIMEOUT_S
    assert timeout_s <= loop.now - started_at < timeout_s + 0.1


def test_full_list_that_never_ends_times_out() -> None:
    loop = FakeLoop()
    create_watch(loop, known_generation=None).start()
    connection = loop.complete_connect()
    connection.received_bytes = lambda: int(1000 * loop.now) + 1
    while not connection.is_aborted:
        loop.fire()
    assert FULL_LIST_TIMEOUT_S <= loop.now < FULL_LIST_TIMEOUT_S + 2 * PROGRESS_TIMEOUT_S
