"""The watch on the list of hosts: what it asks for, and when it comes again."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable

import pytest
from support.http_fakes import CLASS_SETTINGS, PLAN_SETTINGS

from api_gateway import configuration
from api_gateway.network.discovery import (
    BACKOFF_S,
    CALL_S,
    PROGRESS_S,
    ROUND_S,
    WHOLE_S,
    DiscoveryWatch,
    EndpointList,
)
from api_gateway.network.dispatcher import first_poll_spread_s
from api_gateway.network.response_parser import Response


class Timer:
    def __init__(self, at: float, then: Callable[[], None]) -> None:
        self.at, self.then, self.live = at, then, True

    def cancel(self) -> None:
        self.live = False


class Dial:
    """A dial that has come up at once."""

    def __init__(self, connection: Connection) -> None:
        self.connection = connection

    def add_done_callback(self, then: Callable[[Dial], None]) -> None:
        self.then = then

    def cancelled(self) -> bool:
        return False

    def exception(self) -> None:
        return None

    def result(self) -> tuple[None, Connection]:
        return None, self.connection


class Connection:
    def __init__(self) -> None:
        self.asked: list[str] = []
        self.dropped = self.closed = False

    def write(self, data: bytes) -> None:
        self.asked.append(data.decode().split()[1])

    def drop(self) -> None:
        self.dropped = True


class Loop:
    """A loop whose clock and connections the test moves by hand."""

    def __init__(self) -> None:
        self.now, self.timers, self.dials = 0.0, [], []

    def time(self) -> float:
        return self.now

    def call_later(self, delay: float, then: Callable[[], None]) -> Timer:
        self.timers.append(Timer(self.now + delay, then))
        return self.timers[-1]

    def create_connection(self, make: Callable, host: str, port: int) -> None:
        return None

    def create_task(self, dial: None) -> Dial:
        self.dials.append(Dial(Connection()))
        return self.dials[-1]

    def next_timer(self) -> Timer:
        return min((t for t in self.timers if t.live), key=lambda t: t.at)

    def fire(self) -> float:
        """Run the next timer; how long it took to come."""
        timer = self.next_timer()
        timer.live = False
        waited, self.now = timer.at - self.now, max(timer.at, self.now)
        timer.then()
        return waited

    def up(self, watch: DiscoveryWatch) -> Connection:
        dial = self.dials[-1]
        dial.then(dial)
        return dial.connection


def reply(status: int, body: bytes = b"") -> Response:
    return Response(status, {}, body, True)


def turned_away(loop: Loop, watch: DiscoveryWatch) -> float:
    """One call that is answered 503; how long the watch then rests."""
    connection = loop.up(watch)
    watch.replied(connection, reply(503), True)
    assert connection.dropped
    watch.lost(connection)
    return loop.fire()


def watch(
    loop: Loop, seed: int, told: list[EndpointList], known: int | None = 7, spread_s: float = 8.0
) -> DiscoveryWatch:
    return DiscoveryWatch(loop, ("127.0.0.1", 1), told.append, random.Random(seed), known, spread_s)


def test_a_fleet_that_starts_at_once_asks_spread_over_the_time_its_calls_take() -> None:
    first = []
    for seed in range(40):
        loop = Loop()
        watch(loop, seed, []).start()
        assert not loop.dials
        first.append(loop.fire())
        assert len(loop.dials) == 1
    per_second = [sum(1 for at in first if s <= at < s + 1) for s in range(8)]
    assert sum(per_second) == 40 and max(per_second) <= 12


def test_calls_turned_away_come_again_within_a_round_and_not_in_step() -> None:
    """Spread over all of a round, and no longer: a change counts as told, crowded or not."""
    rests = []
    for seed in range(40):
        loop = Loop()
        it = watch(loop, seed, [])
        it.start()
        loop.fire()
        rests.append([turned_away(loop, it) for _ in range(5)])
    for turn in range(5):
        mine = sorted(r[turn] for r in rests)
        assert max(mine) <= ROUND_S and len({round(x, 3) for x in mine}) > 30
    mean = [sum(r[turn] for r in rests) / 40 for turn in range(5)]
    assert all(abs(m - ROUND_S / 2) < 0.35 for m in mean)


def test_calls_of_a_small_fleet_turned_away_come_again_later_and_later() -> None:
    rests = []
    for seed in range(40):
        loop = Loop()
        it = watch(loop, seed, [], spread_s=0.6)
        it.start()
        loop.fire()
        rests.append([turned_away(loop, it) for _ in range(3)])
    mean = [sum(r[turn] for r in rests) / 40 for turn in range(3)]
    assert mean[1] > 1.5 * mean[0] and mean[2] > 1.5 * mean[1]


def test_what_is_turned_away_asks_again_for_the_changes_only() -> None:
    loop, told = Loop(), []
    it = watch(loop, 1, told)
    it.start()
    loop.fire()
    turned_away(loop, it)
    connection = loop.up(it)
    assert connection.asked == ["/v1/endpoints?after=7&wait_ms=1"]
    watch_on = b'{"generation":9,"reset":false,"instances":[]}'
    it.replied(connection, reply(200, watch_on), True)
    assert connection.asked[1:] == ["/v1/endpoints?after=9&wait_ms=2000"]
    assert [x.generation for x in told] == [9]


def test_an_answer_that_cannot_be_believed_still_brings_the_whole_list() -> None:
    loop, told = Loop(), []
    it = watch(loop, 1, told)
    it.start()
    loop.fire()
    connection = loop.up(it)
    it.replied(connection, reply(200, b"noise"), True)
    it.lost(connection)
    loop.fire()
    assert loop.up(it).asked == ["/v1/endpoints"] and not told


def answered(it: DiscoveryWatch, connection: Connection) -> None:
    it.replied(connection, reply(200, b'{"generation":9,"reset":false,"instances":[]}'), True)


@pytest.mark.parametrize(("spread_s", "most_s"), [(0.0, 6.0), (8.0, 6.0)])
def test_a_watch_that_falls_silent_is_opened_anew_before_it_counts_as_told(
    spread_s: float, most_s: float
) -> None:
    for seed in range(20):
        loop = Loop()
        it = watch(loop, seed, [], 7, spread_s)
        it.start()
        if spread_s:
            loop.fire()
        connection = loop.up(it)
        answered(it, connection)
        began, calls = loop.now, len(connection.asked)  # falls silent at once: the earliest there is
        while not connection.dropped:
            loop.fire()
        it.lost(connection)
        while len(loop.dials) < 2:
            loop.fire()
        fresh = loop.up(it)
        # The agent is given up again and again within its 6 s; discovery at least once within the time.
        assert loop.now - began < most_s / (2 if not spread_s else 1) and len(connection.asked) == calls
        assert fresh.asked == ["/v1/endpoints?after=9&wait_ms=1"]  # and this one's silence shows at once


def test_a_silent_agent_is_asked_again_within_the_grace_of_the_drain_rule() -> None:
    loop = Loop()
    it = watch(loop, 1, [], 7, 0.0)
    it.start()
    for _ in range(8):  # each call and rest: discovery may be back at any time, and what it has counts then
        began, connection = loop.now, loop.up(it)
        while not connection.dropped:
            loop.fire()
        it.lost(connection)
        loop.fire()
        assert loop.now - began <= 0.2 + 0.1 + 0.01


def test_a_watch_that_breaks_as_it_comes_up_is_opened_anew() -> None:
    loop = Loop()
    it = watch(loop, 1, [], 7, 0.0)
    it.start()
    loop.dials[-1].connection.closed = True  # lost before the dial's end was told
    loop.up(it)
    assert loop.fire() <= 2 * BACKOFF_S and len(loop.dials) == 2


def test_who_knows_no_list_or_need_not_ask_does_not_wait() -> None:
    for known, spread_s in ((None, 8.0), (7, 0.0)):
        loop = Loop()
        watch(loop, 1, [], known, spread_s).start()
        assert len(loop.dials) == 1


@pytest.mark.parametrize(
    ("size", "discovery_by_polling", "spread_s"),
    [(40, True, ROUND_S), (3, True, 0.6), (40, False, 0.0), (670, True, ROUND_S)],
)
def test_the_spread_follows_the_fleets_size_and_the_time_to_ask(
    size: int, discovery_by_polling: bool, spread_s: float
) -> None:
    raw = {
        "name": "n0",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "seed": "8c1f",
        "settings": {
            "grades": CLASS_SETTINGS,
            "packages": PLAN_SETTINGS,
            "fleet_size": size,
            "me": 0,
            "rules": {"must_ask_in_ms": 10000.0},
        },
    }
    config = configuration.parse(raw)
    settings = dataclasses.replace(config.settings, discovery_by_polling=discovery_by_polling)
    assert first_poll_spread_s(dataclasses.replace(config, settings=settings)) == pytest.approx(spread_s)


def test_a_whole_list_that_is_coming_in_is_not_given_up_under_its_bytes() -> None:
    loop = Loop()
    it = watch(loop, 1, [], None)
    it.start()
    connection = loop.up(it)
    came = iter([1000, 2000, 3000])
    connection.taken = lambda: next(came, 3000)
    began = loop.now
    while not connection.dropped:
        loop.fire()
    assert CALL_S + 3 * PROGRESS_S <= loop.now - began < CALL_S + 3 * PROGRESS_S + 0.1  # once no more comes


def test_a_whole_list_that_never_ends_is_given_up() -> None:
    loop = Loop()
    it = watch(loop, 1, [], None)
    it.start()
    connection = loop.up(it)
    connection.taken = lambda: int(1000 * loop.now) + 1
    while not connection.dropped:
        loop.fire()
    assert WHOLE_S <= loop.now < WHOLE_S + 2 * PROGRESS_S
