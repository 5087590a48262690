"""The users' terms, one test or group each, named after its term; orders are forced, not slept for."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import json
import random
import time
from collections.abc import Callable, Iterator

import pytest
from conftest import KEYED, Driver, Fake, instance, of, on_loop, reply, server
from test_net_parts import Answers, Held, an_order, core_with

from yewstage import interface as api
from yewstage.net.core import Core
from yewstage.net.discovery import ROUND_S, Discovery, Listing, parse_listing
from yewstage.net.http1 import Reply

# --- A repeat keeps its window (the rule on duplicates) ----------------------------------------------------


def test_the_window_of_a_repeat_is_carried_by_the_send_and_runs_from_the_first_decision() -> None:
    d = Driver()
    rid, out = d.ask("put")
    first, = of(out, api.Send)
    assert first.write_by_ms == float("inf")  # nothing may have run yet
    again, = of(d.end(rid, api.RESET, after=700), api.Send)
    assert again.write_by_ms == KEYED.window_ms - 700 - 2 * d.gateway.s.tick_ms
    # One that was proved never to have run does not start the window.
    rid, _ = d.ask("put")
    again, = of(d.end(rid, api.CONNECT_FAILED, after=700), api.Send)
    assert again.write_by_ms == float("inf")


def test_a_dial_that_comes_up_after_the_window_writes_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """The connection is up, its end not told: the write asks again. The timer that ends a dial is off."""
    async def scenario() -> None:
        host = Fake(lambda seen: reply(b"served"))
        core, script = await core_with(monkeypatch, host)
        core._hosts._loop = held = Held(core._loop)
        monkeypatch.setattr(core._hosts, "_watch_write", lambda attempt: None)
        client = Answers()
        script.plan[api.Request] = [api.Send("r1", "s-0", 5000, write_by_ms=60_000)]
        script.plan[api.Outcome] = [api.Fail("r1")]
        core.request(client, an_order())
        await host.until(lambda fake: fake.opened == 1)
        attempt, = core._hosts._dialling
        attempt.write_by = time.monotonic() - 0.001  # the window is over
        held.let_up.set()
        assert await client.got.get() == 502
        assert script.outcomes() == [api.WITHDRAWN]
        await host.until(lambda fake: fake.closed == 1)
        assert not host.seen
        host.stop()
    on_loop(scenario, 3)


def test_a_dial_under_way_ends_with_the_window_and_its_request_is_answered_then(
        monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        host = Fake(lambda seen: reply(b"served"))
        core, script = await core_with(monkeypatch, host)
        core._hosts._loop = Held(core._loop)  # never comes up
        core._hosts._dial_s = 60.0
        client, began = Answers(), time.monotonic()
        script.plan[api.Request] = [api.Send("r1", "s-0", 5000, write_by_ms=30)]
        script.plan[api.Outcome] = [api.Fail("r1")]
        core.request(client, an_order())
        assert await client.got.get() == 502
        assert script.outcomes() == [api.WITHDRAWN] and time.monotonic() - began < 1
        host.stop()
    on_loop(scenario, 3)


def test_a_window_that_is_over_at_the_send_writes_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        host = Fake(lambda seen: reply(b"served"))
        core, script = await core_with(monkeypatch, host)
        client = Answers()
        script.plan[api.Request] = [api.Send("r1", "s-0", 5000, write_by_ms=-1)]
        core.request(client, an_order())
        assert script.outcomes() == [api.WITHDRAWN] and not host.opened
        host.stop()
    on_loop(scenario, 3)


async def half_written(monkeypatch: pytest.MonkeyPatch, core: Core, script: object, client: Answers,
                       **send: float) -> str:
    """A request whose attempt stands in our buffer, since its host reads nothing."""
    order = an_order()
    order.body = b"x" * 16_000_000
    script.plan[api.Request] = [api.Send("r1", "s-0", 5000, **send)]
    rid = core.request(client, order)
    while not any(c.unsent for c in core._hosts._connections):
        await asyncio.sleep(0)
    return rid


class Deaf(Fake):
    """A host that accepts and reads nothing until it is told to."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.transport.pause_reading()
        self.opened += 1
        self.connection = writer.transport
        self.changed.set()


@pytest.mark.parametrize("how", ["left", "window", "answered"])
def test_what_is_half_written_is_ended_when_nobody_waits_or_its_window_is_over(
        monkeypatch: pytest.MonkeyPatch, how: str) -> None:
    """Its last byte would make it begin, long after; where the settings allow no cancelling, too."""
    async def scenario() -> None:
        host = Deaf(lambda seen: None)
        core, script = await core_with(monkeypatch, host)
        client = Answers()
        rid = await half_written(monkeypatch, core, script, client,
                                 write_by_ms=50 if how == "window" else float("inf"))
        if how == "left":
            core.left(rid)
        elif how == "answered":
            script.plan[api.TimerDue] = [api.Fail(rid)]
            core._post(api.TimerDue("x"))
        while not script.outcomes():
            await asyncio.sleep(0)
        assert script.outcomes() == [api.WITHDRAWN]
        while core._hosts._connections:  # ended, with what it still held
            await asyncio.sleep(0)
        host.stop()
    on_loop(scenario, 3)  # before the guard would end it


def test_the_time_told_to_a_host_is_what_is_left_at_the_write(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        host = Fake(lambda seen: reply(b"served"))
        core, script = await core_with(monkeypatch, host)
        core._hosts._loop = held = Held(core._loop)
        script.plan[api.Request] = [api.Send("r1", "s-0", 2000)]
        client = Answers()
        core.request(client, an_order())
        attempt, = core._hosts._dialling
        attempt.until, attempt.sent_at = attempt.until - 1.5, attempt.sent_at - 1.5  # a slow dial
        held.let_up.set()
        assert await client.got.get() == 200
        assert int(host.seen[0].headers["x-deadline"].removesuffix("m")) <= 500
        host.stop()
    on_loop(scenario, 3)


def test_a_dial_begun_for_the_process_before_writes_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """Same id, same address, a later start: its budget is a cold one's, and the module has to decide anew."""
    async def scenario() -> None:
        host = Fake(lambda seen: reply(b"served"))
        core, script = await core_with(monkeypatch, host)
        core._hosts._loop = Held(core._loop)
        client = Answers()
        script.plan[api.Request] = [api.Send("r1", "s-0", 5000)]
        script.plan[api.Outcome] = [api.Refuse("r1")]
        core.request(client, an_order())
        await host.until(lambda fake: fake.opened == 1)
        anew = {**instance("s-0", host.port), "startedAtMs": 1e12}
        core._listed(parse_listing({"generation": 2, "reset": False, "instances": [anew]}))
        assert client.got.get_nowait() == 503 and script.outcomes() == [api.WITHDRAWN]
        host.stop()
    on_loop(scenario, 3)


def test_what_an_earlier_start_left_of_its_budget_is_not_the_next_ones() -> None:
    d = Driver()
    host = d.gateway.hosts["h0"]
    host.credit = 5.0
    d.give(api.ServerList("changes", (server(0, up_since_ms=d.now),)))
    assert host.credit == 0


# --- Told within 6 s ---------------------------------------------------------------------------------------

TOLD_S = 6.0
WAYS = ("silent", "refused", "reset", "away", "slow")


class Timer:
    def __init__(self, then: Callable[[], None]) -> None:
        self.then, self.live = then, True

    def cancel(self) -> None:
        self.live = False


class Dial:
    """A dial as asyncio's task of it, ended by the world."""

    def __init__(self, world: World) -> None:
        self.world, self.made, self.done = world, None, False

    def add_done_callback(self, then: Callable[[Dial], None]) -> None:
        self.then = then

    def end(self, made: Line | None) -> None:
        if not self.done:
            self.done, self.made = True, made
            self.then(self)

    def cancel(self) -> None:
        self.world.call_later(0, lambda: self.end(None))

    def cancelled(self) -> bool:
        return self.made is None

    def exception(self) -> None:
        return None

    def result(self) -> tuple[None, Line]:
        return None, self.made


class Line:
    """A connection to discovery."""

    def __init__(self, world: World) -> None:
        self.world, self.closed = world, False

    def write(self, data: bytes) -> None:
        self.world.called(self, data.decode().split()[1])

    def drop(self) -> None:
        self.world.call_later(0, self.end)

    def end(self) -> None:
        if not self.closed:
            self.closed = True
            self.world.it.lost(self)

    def taken(self) -> int:
        return 0


class World:
    """A loop with a clock of its own, and a discovery that treats each dial and call as it is told.

    The last of the `ways` meets what is begun right before discovery has its change and can be reached; what
    is begun later comes up and is answered, if only just in time.
    """

    def __init__(self, ways: tuple[str, ...], luck: random.Random, spread_s: float) -> None:
        self.now, self.serial, self.timers = 0.0, 0, []
        self.ways: Iterator[str] = iter(ways)
        self.left = len(ways)
        self.reached: float | None = None
        self.told: float | None = None
        self.begins: list[float] = []
        self.it = Discovery(self, ("127.0.0.1", 1), self._heard, luck, 7, spread_s)
        self.it.start()

    def time(self) -> float:
        return self.now

    def call_later(self, delay: float, then: Callable, *args: object) -> Timer:
        timer = Timer(lambda: then(*args))
        self.serial += 1
        heapq.heappush(self.timers, (self.now + delay, self.serial, timer))
        return timer

    def create_connection(self, make: Callable, *address: object) -> None:
        return None

    def create_task(self, dial: None) -> Dial:
        dial, way = Dial(self), self._way()
        self.begins.append(self.now)
        if way == "refused":
            self.call_later(0.001, dial.end, None)
        elif way != "silent":
            self.call_later(0.5 if way in ("slow", "reached") else 0.001, lambda: dial.end(Line(self)))
        return dial

    def called(self, line: Line, url: str) -> None:
        wait = float(url.split("wait_ms=")[1]) / 1000 if "wait_ms" in url else 0.0
        way = self._way()
        match way:
            case "refused" | "reset":
                self.call_later(0.001, line.end)
            case "away":  # late: the whole of our patience but a little
                self.call_later(2.1, self._answer, line, 503, 7)
            case "slow":  # no news, as late as may be
                self.call_later(wait + 0.5, self._answer, line, 200, 7)
            case "reached":
                self.call_later(2.1, self._answer, line, 200, 9)

    def _way(self) -> str:
        way = next(self.ways, "reached")
        if way == "reached" and self.reached is None:
            self.reached = self.now  # not yet begun before: the moment after the last way began
        elif way != "reached":
            self.left -= 1
            if not self.left:
                self.reached = self.now
        return way

    def _answer(self, line: Line, status: int, generation: int) -> None:
        if not line.closed:
            body = json.dumps({"generation": generation, "reset": False, "instances": []}).encode()
            self.it.replied(line, Reply(status, {}, body, True), True)

    def _heard(self, listing: Listing) -> None:
        if listing.generation == 9 and self.told is None:
            self.told = self.now

    def play(self) -> float:
        """How long after discovery could be reached the change was told."""
        while self.told is None and self.now < 600:
            self.now, _, timer = heapq.heappop(self.timers)
            if timer.live:
                timer.then()
        return self.told - self.reached


class Worst(random.Random):
    """Every rest and spread at its longest."""

    def random(self) -> float:
        return 1.0


@pytest.mark.parametrize("fleet", [3, 200, 670])
def test_told_within_6_s_after_every_order_of_failures(fleet: int) -> None:
    """All orders of up to four ends of a dial or call, each with its change at the worst moment."""
    spread_s = min(0.2 * fleet, ROUND_S)
    for length in (1, 2, 3, 4):
        for ways in itertools.product(WAYS, repeat=length):
            assert World(ways, Worst(), spread_s).play() <= TOLD_S, ways
    chance = random.Random(fleet)
    for seed in range(300):
        ways = tuple(chance.choices(WAYS, k=chance.randint(5, 14)))
        assert World(ways, random.Random(seed), spread_s).play() <= TOLD_S, ways


def test_told_within_6_s_of_the_start_at_the_latest() -> None:
    for fleet in (3, 200, 670):
        world = World((), Worst(), min(0.2 * fleet, ROUND_S))
        world.reached = 0.0
        assert world.play() <= TOLD_S


def test_a_fleet_asks_no_more_than_the_bound_that_is_written_down() -> None:
    """Turned away for good, a gateway makes a call in 1.4 s in the mean: 480 a second for 670 gateways; a
    watch with no news makes one in 2 s. `Discovery` names what that wants of it."""
    world = World(("refused", "refused") * 400, random.Random(1), ROUND_S)
    while world.now < 300:
        world.now, _, timer = heapq.heappop(world.timers)
        if timer.live:
            timer.then()
    assert len(world.begins) / 300 < 1 / 1.2
    world = World(("reset", *("slow",) * 140), random.Random(1), ROUND_S)
    world.play()
    assert 140 / world.reached < 1 / 2.0
