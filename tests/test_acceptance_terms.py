"""The users' terms, one test or group each, named after its term; orders are forced, not slept for."""

from __future__ import annotations

import asyncio
import contextlib
import heapq
import itertools
import json
import os
import random
import resource
import socket
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from support.fleet_simulation import FleetSimulation
from support.gateway_driver import KEYED, GatewayDriver, actions_of_type, endpoint
from support.http_fakes import (
    CLASS_SETTINGS,
    LOOPBACK,
    PLAN_SETTINGS,
    FakeServer,
    instance,
    request_bytes,
    response_bytes,
)
from support.program import RunningProgram, run_scenario
from test_net_parts import Answers, Held, an_order, core_with, dialling

from api_gateway.configuration import (
    LEAST_SOCKETS,
    ConfigurationError,
    client_sockets,
    parse,
    upstream_sockets,
)
from api_gateway.model.actions import FailRequest, RejectRequest, StartAttempt
from api_gateway.model.endpoints import UpdateKind
from api_gateway.model.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointUpdate,
    RequestReceived,
    TimerFired,
)
from api_gateway.model.results import AttemptResult
from api_gateway.network.discovery import ROUND_S, DiscoveryWatch, EndpointList, parse_endpoint_list
from api_gateway.network.dispatcher import Dispatcher
from api_gateway.network.downstream.listener import Listener
from api_gateway.network.response_parser import Response
from api_gateway.network.upstream.pool import ConnectionPool

# --- A repeat keeps its window (the rule on duplicates) ----------------------------------------------------


def test_the_window_of_a_repeat_is_carried_by_the_send_and_runs_from_the_first_decision() -> None:
    d = GatewayDriver()
    rid, out = d.ask("put")
    (first,) = actions_of_type(out, StartAttempt)
    assert first.write_timeout_ms == float("inf")  # nothing may have run yet
    (again,) = actions_of_type(d.end(rid, AttemptResult.CONNECTION_RESET, after=700), StartAttempt)
    assert again.write_timeout_ms == KEYED.idempotency_window_ms - 700 - 2 * d.gateway.s.clock_tick_ms
    # One that was proved never to have run does not start the window.
    rid, _ = d.ask("put")
    (again,) = actions_of_type(d.end(rid, AttemptResult.CONNECT_FAILED, after=700), StartAttempt)
    assert again.write_timeout_ms == float("inf")


def test_a_dial_that_comes_up_after_the_window_writes_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """The connection is up, its end not told: the write asks again. The timer that ends a dial is off."""

    async def scenario() -> None:
        host = FakeServer(lambda seen: response_bytes(b"served"))
        monkeypatch.setattr(ConnectionPool, "_watch_write", lambda self, attempt: None)
        dispatcher, script, held, client = await dialling(
            monkeypatch, host, FailRequest, write_timeout_ms=60_000
        )
        await host.wait_until(lambda fake: fake.opened == 1)
        (attempt,) = dispatcher._hosts._dialling
        attempt.write_by = time.monotonic() - 0.001  # the window is over
        held.let_up.set()
        assert await client.got.get() == 502
        assert script.outcomes() == [AttemptResult.WITHDRAWN]
        await host.wait_until(lambda fake: fake.closed == 1)
        assert not host.received
        host.stop()

    run_scenario(scenario, 3)


def test_a_dial_under_way_ends_with_the_window_and_its_request_is_answered_then(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        host = FakeServer(lambda seen: response_bytes(b"served"))
        dispatcher, script = await core_with(monkeypatch, host)
        dispatcher._hosts._loop = Held(dispatcher._loop)  # never comes up
        dispatcher._hosts._dial_s = 60.0
        client, began = Answers(), time.monotonic()
        script.plan[RequestReceived] = [StartAttempt("r1", "s-0", 5000, write_timeout_ms=30)]
        script.plan[AttemptEnded] = [FailRequest("r1")]
        dispatcher.submit(client, an_order())
        assert await client.got.get() == 502
        assert script.outcomes() == [AttemptResult.WITHDRAWN] and time.monotonic() - began < 1
        host.stop()

    run_scenario(scenario, 3)


def test_a_window_that_is_over_at_the_send_writes_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        host = FakeServer(lambda seen: response_bytes(b"served"))
        dispatcher, script = await core_with(monkeypatch, host)
        client = Answers()
        script.plan[RequestReceived] = [StartAttempt("r1", "s-0", 5000, write_timeout_ms=-1)]
        dispatcher.submit(client, an_order())
        assert script.outcomes() == [AttemptResult.WITHDRAWN] and not host.opened
        host.stop()

    run_scenario(scenario, 3)


async def half_written(
    monkeypatch: pytest.MonkeyPatch, dispatcher: Dispatcher, script: object, client: Answers, **send: float
) -> str:
    """A request whose attempt stands in our buffer, since its host reads nothing."""
    order = an_order()
    order.body = b"x" * 16_000_000
    script.plan[RequestReceived] = [StartAttempt("r1", "s-0", 5000, **send)]
    rid = dispatcher.submit(client, order)
    while not any(c.unsent for c in dispatcher._hosts._connections):
        await asyncio.sleep(0)
    return rid


class Deaf(FakeServer):
    """A host that accepts and reads nothing until it is told to."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.transport.pause_reading()
        self.opened += 1
        self.connection = writer.transport
        self.changed.set()


@pytest.mark.parametrize("how", ["left", "window", "answered"])
def test_what_is_half_written_is_ended_when_nobody_waits_or_its_window_is_over(
    monkeypatch: pytest.MonkeyPatch, how: str
) -> None:
    """Its last byte would make it begin, long after; where the settings allow no cancelling, too."""

    async def scenario() -> None:
        host = Deaf(lambda seen: None)
        dispatcher, script = await core_with(monkeypatch, host)
        client = Answers()
        rid = await half_written(
            monkeypatch, dispatcher, script, client, write_timeout_ms=50 if how == "window" else float("inf")
        )
        if how == "left":
            dispatcher.client_disconnected(rid)
        elif how == "answered":
            script.plan[TimerFired] = [FailRequest(rid)]
            dispatcher._post(TimerFired("x"))
        while not script.outcomes():
            await asyncio.sleep(0)
        assert script.outcomes() == [AttemptResult.WITHDRAWN]
        while dispatcher._hosts._connections:  # ended, with what it still held
            await asyncio.sleep(0)
        host.stop()

    run_scenario(scenario, 3)  # before the guard would end it


def test_the_time_told_to_a_host_is_what_is_left_at_the_write(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        host = FakeServer(lambda seen: response_bytes(b"served"))
        dispatcher, script = await core_with(monkeypatch, host)
        dispatcher._hosts._loop = held = Held(dispatcher._loop)
        script.plan[RequestReceived] = [StartAttempt("r1", "s-0", 2000)]
        client = Answers()
        dispatcher.submit(client, an_order())
        (attempt,) = dispatcher._hosts._dialling
        attempt.until, attempt.sent_at = attempt.until - 1.5, attempt.sent_at - 1.5  # a slow dial
        held.let_up.set()
        assert await client.got.get() == 200
        assert int(host.received[0].headers["x-deadline"].removesuffix("m")) <= 500
        host.stop()

    run_scenario(scenario, 3)


def test_a_dial_begun_for_the_process_before_writes_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """Same id, same address, a later start: its budget is a cold one's, and the module has to decide anew."""

    async def scenario() -> None:
        host = FakeServer(lambda seen: response_bytes(b"served"))
        dispatcher, script, _, client = await dialling(monkeypatch, host)
        await host.wait_until(lambda fake: fake.opened == 1)
        anew = {**instance("s-0", host.port), "startedAtMs": 1e12}
        dispatcher._listed(parse_endpoint_list({"generation": 2, "reset": False, "instances": [anew]}))
        assert client.got.get_nowait() == 503 and script.outcomes() == [AttemptResult.WITHDRAWN]
        host.stop()

    run_scenario(scenario, 3)


def test_what_an_earlier_start_left_of_its_budget_is_not_the_next_ones() -> None:
    d = GatewayDriver()
    host = d.gateway.hosts["h0"]
    host.credit = 5.0
    d.give(EndpointUpdate(UpdateKind.CHANGES, (endpoint(0, started_at_ms=d.now),)))
    assert host.credit == 0


READY_S = 5.0  # of the 10 s: a machine that starts many at once takes longer for each

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
        self.it = DiscoveryWatch(self, ("127.0.0.1", 1), self._heard, luck, 7, spread_s)
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
            self.it.replied(line, Response(status, {}, body, True), True)

    def _heard(self, listing: EndpointList) -> None:
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


# --- A client that closes its connection has gone ----------------------------------------------------------


class Front:
    """The real server and core with a scripted module, a host, and clients on real connections.

    What a test does between two awaits gives the loop no turn: a client's end is in the kernel, and unread.
    """

    def __init__(self, dispatcher: Dispatcher, script: object, host: FakeServer) -> None:
        self.dispatcher, self.script, self.host = dispatcher, script, host
        self.endpoint = Listener(dispatcher, asyncio.get_running_loop(), 1024)
        self.address = self.endpoint.start((LOOPBACK, 0))

    def client(self, *sent: bytes) -> socket.socket:
        client = socket.create_connection(self.address)
        for data in sent:
            client.sendall(data)
        return client

    async def asked(self, count: int = 1) -> str:
        """The id of the request that came last, once so many have."""
        while len(asked := [e for e in self.script.events if isinstance(e, RequestReceived)]) < count:
            await asyncio.sleep(0)
        return asked[-1].request_id

    async def nothing_more(self, begun: int) -> None:
        """Nothing is begun at the host, however long the loop runs on: each of its steps is taken."""
        for _ in range(50):
            await asyncio.sleep(0.001)
        assert len(self.host.received) == begun, [s.start_line for s in self.host.received]


ONE = request_bytes(request_id=b"0000000000000001")
TWO = request_bytes(request_id=b"0000000000000002")
WAYS_TO_A_WRITE = (
    "waits for a total",
    "after a reset",
    "after a time-out",
    "behind unread bytes",
    "after a kept connection ended",
    "to another host",
)


@pytest.mark.parametrize("way", WAYS_TO_A_WRITE)
def test_a_client_that_has_closed_has_gone_whatever_leads_to_the_write(
    monkeypatch: pytest.MonkeyPatch, way: str
) -> None:
    """Its end is in the kernel and nobody has read it when the module sends: nothing may be written."""

    async def scenario() -> None:
        host = FakeServer(lambda seen: b"" if way == "after a reset" else None)
        dispatcher, script = await core_with(monkeypatch, host)
        front = Front(dispatcher, script, host)
        begun = 0
        if way in ("after a reset", "after a time-out", "after a kept connection ended"):
            script.plan[RequestReceived] = [
                StartAttempt("r1", "s-0", 30 if way == "after a time-out" else 5000)
            ]
        client = front.client(ONE)
        rid = await front.asked()
        if way in ("after a reset", "after a time-out", "after a kept connection ended"):
            await host.wait_until(lambda fake: len(fake.received) == 1)
            begun = 1
        if way == "behind unread bytes":
            client.sendall(TWO)  # the second one waits, and the end behind it is not read
            client.sendall(b"GET /api/")
        client.close()
        if begun:
            # The outcome and the client's end lie unread together, and the outcome is handled first.
            attempt = dispatcher._requests[rid].attempts[0]
            dispatcher._hosts._abandon(attempt)
            script.plan[AttemptEnded] = [StartAttempt(rid, "s-0", 5000)]
            dispatcher._hosts._end(
                attempt,
                AttemptResult.TIMED_OUT if way == "after a time-out" else AttemptResult.CONNECTION_RESET,
            )
        else:
            script.plan[TimerFired] = [StartAttempt(rid, "s-0", 5000)]
            dispatcher._post(TimerFired("x"))
        assert script.outcomes()[-1] == AttemptResult.NOT_STARTED and ClientDisconnected(rid) in script.events
        await front.nothing_more(begun)
        assert not dispatcher._requests
        host.stop()

    run_scenario(scenario, 5)


def test_a_pipelined_request_is_not_sent_on_for_who_has_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    """The answer to the first one and the client's end cross: the second one begins nothing."""

    async def scenario() -> None:
        host = FakeServer(lambda seen: None)
        dispatcher, script = await core_with(monkeypatch, host)
        front = Front(dispatcher, script, host)
        client = front.client(ONE + TWO)
        rid = await front.asked()
        client.close()
        script.plan[RequestReceived] = [StartAttempt("r2", "s-0", 5000)]
        script.plan[TimerFired] = [RejectRequest(rid)]  # answered, so the second one is taken, in one turn
        dispatcher._post(TimerFired("x"))
        await front.nothing_more(0)
        assert AttemptResult.OK not in script.outcomes() and not dispatcher._requests
        host.stop()

    run_scenario(scenario, 5)


def test_a_dial_is_called_off_with_its_client(monkeypatch: pytest.MonkeyPatch) -> None:
    """The end is read while the dial is under way, or lies unread when it has come up."""
    for read in (True, False):

        async def scenario(read: bool = read) -> None:
            host = FakeServer(lambda seen: None)
            dispatcher, script = await core_with(monkeypatch, host)
            dispatcher._hosts._loop = held = Held(dispatcher._loop)
            front = Front(dispatcher, script, host)
            script.plan[RequestReceived] = [StartAttempt("r1", "s-0", 5000)]
            client = front.client(ONE)
            await front.asked()
            await host.wait_until(lambda fake: fake.opened == 1)
            if not read:
                held.let_up.set()  # its end is told in the next turn
            client.close()
            await host.wait_until(lambda fake: fake.closed == 1)
            assert (
                script.outcomes() == [AttemptResult.WITHDRAWN]
                and not host.received
                and not dispatcher._requests
            )
            host.stop()

        run_scenario(scenario, 5)


# --- Idle clients may fill the descriptors while discovery is down -----------------------------------------


@pytest.mark.parametrize("sockets", [LEAST_SOCKETS, 256])
def test_idle_clients_that_fill_the_descriptors_leave_room_for_all_else(tmp_path: Path, sockets: int) -> None:
    """The real program at the system's own limit: discovery, the counter and the hosts find a descriptor."""

    async def scenario() -> None:
        async with RunningProgram(tmp_path, lambda seen: response_bytes(b"served"), sockets=sockets) as rig:
            folder = f"/proc/{rig.process.pid}/fd"
            # Discovery and the counter go down, and clients come that hold their connections and say nothing.
            rig.discovery.server.stop()
            rig.counter.stop()
            for fake in (rig.discovery.server, rig.counter):
                for writer in list(fake.writers):
                    writer.transport.abort()

            async def hold() -> None:
                while True:  # one that is shut comes again
                    with contextlib.suppress(ConnectionError):
                        reader, writer = await rig.connect()
                        await reader.read()
                        writer.close()
                    await asyncio.sleep(0.05)

            async def served(number: int) -> None:
                """A request, again on a new connection if its own had to make room unread."""
                while True:
                    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                        if await rig.request_status(request_bytes(request_id=b"%016x" % number)) == 200:
                            return
                    number += 1

            idle = [asyncio.create_task(hold()) for _ in range(2 * sockets)]
            # What is full keeps its share of the descriptors for clients, and answers those who ask.
            full = client_sockets(sockets)
            while len(os.listdir(folder)) < full + 10:
                await asyncio.sleep(0.01)
            await served(0x100)
            # Back at the same addresses: the dials must find descriptors though clients still hold theirs.
            for fake in (rig.discovery.server, rig.counter):
                opened = fake.opened
                fake.asyncio_server = await asyncio.start_server(fake._serve, LOOPBACK, fake.port)
                await fake.wait_until(lambda fake, opened=opened: fake.opened > opened)
                while len(os.listdir(folder)) < full + 10:  # and are as many again
                    await asyncio.sleep(0.01)
            await served(0x10000)
            assert not [line for line in rig.log if "accept_failed" in line or "Too many open" in line]
            for task in idle:
                task.cancel()

    run_scenario(scenario, 30)


def test_every_share_of_the_descriptors_at_once_stays_under_the_least_limit(tmp_path: Path) -> None:
    """What the program holds beside clients and hosts is read off the real one; SIGHUP holds the connections
    to the counter and to discovery twice while it moves them, and one client is being accepted."""

    async def scenario() -> None:
        async with RunningProgram(
            tmp_path, lambda seen: response_bytes(b"served"), sockets=LEAST_SOCKETS
        ) as rig:
            await rig.counter.wait_until(lambda fake: fake.opened == 4)
            own = LEAST_SOCKETS
            for _ in range(30):  # until the connection that asked whether it is ready is gone
                own = min(own, len(os.listdir(f"/proc/{rig.process.pid}/fd")))
                await asyncio.sleep(0.01)
            for sockets in (LEAST_SOCKETS, 200, 256, 576, 1024):
                assert client_sockets(sockets) + upstream_sockets(sockets) + own + (4 + 1) + 1 <= sockets

    run_scenario(scenario)


def test_a_system_limit_under_the_least_is_told_in_a_plain_line(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(resource, "getrlimit", lambda which: (64, 64))
    with pytest.raises(ConfigurationError, match="the system allows 64 descriptors, 128 are needed"):
        parse(
            {
                "listen": f"{LOOPBACK}:1",
                "discovery": f"{LOOPBACK}:2",
                "seed": "1",
                "settings": {"grades": CLASS_SETTINGS, "packages": PLAN_SETTINGS},
            }
        )


# --- Nine in ten restarted processes are ready within 10 s -------------------------------------------------


@pytest.mark.parametrize("asked", [False, True])
@pytest.mark.parametrize("discovery", ["silent", "refusing", "turning away", "resetting"])
def test_a_restarted_process_is_ready_soon_however_discovery_fares(
    tmp_path: Path, asked: bool, discovery: str
) -> None:
    """From the exec on, with the list it was configured with: its own waits count, not discovery's."""

    async def scenario() -> None:
        async with RunningProgram(
            tmp_path, lambda seen: response_bytes(b"served"), polls_discovery=asked, fleet_size=200
        ) as rig:
            rig.cached_list = {"generation": 1, "reset": True, "instances": rig.discovery.instances}
            rig.process.kill()
            await rig.process.wait()
            if discovery == "refusing":
                rig.discovery.server.stop()
            answers = {"silent": None, "turning away": response_bytes(b"", 503), "resetting": b""}
            rig.discovery.server.respond = lambda seen: answers.get(discovery)
            began = time.monotonic()
            await rig.launch()  # returns once it is ready
            assert time.monotonic() - began < READY_S
            assert await rig.request_status(request_bytes(request_id=b"restarted")) == 200

    run_scenario(scenario, 30)


# --- Cold hosts fall under the sum of what all processes send ----------------------------------------------

FLEETS = [  # gateways, hosts, part of them replaced at once, which gateways are fresh
    (30, 50, 1.0, "all"),
    (30, 50, 1.0, "none"),
    (30, 50, 0.6, "all"),
    (30, 50, 0.6, "half"),
    (30, 50, 0.1, "none"),
    (30, 50, 0.1, "all"),
    (20, 20, 0.8, "half"),
    (200, 50, 1.0, "half"),
    (200, 120, 0.6, "none"),
]
RAMPS = [(1.2, 10, 15), (1.2, 5, 20), (2.5, 18, 12), (2.5, 5, 2), (4.0, 10, 20)]  # multiple, seconds, calls


@pytest.mark.parametrize(("gateways", "hosts", "part", "fresh"), FLEETS)
@pytest.mark.parametrize(("multiple", "cold_s", "rate"), RAMPS)
def test_no_cold_host_falls_under_the_sum_of_what_all_send(
    gateways: int, hosts: int, part: float, fresh: str, multiple: float, cold_s: float, rate: float
) -> None:
    """A tight and a wide multiple, a short and a long ramp, thin and thick traffic, uneven over gateways."""
    play = FleetSimulation(
        gateways=gateways,
        hosts=hosts,
        rate=rate,
        multiple=multiple,
        cold_s=cold_s,
        skew=1.0,
        seed=gateways + hosts,
    )
    if fresh != "all":
        play.run(4)
    born = play.replace(list(play.endpoints)[: round(part * hosts)])
    if fresh == "half":
        for i in range(0, gateways, 2):
            play.restart(i)
    play.run(cold_s + 1)
    assert play.fallen() == []
    sent = sum(len(play.sent.get(name, [])) for name in born)
    assert sent > 0.2 * rate * cold_s * len(born) * min(part, 1 - part), "and they are not left idle"


def test_the_fleet_does_not_run_onto_the_hosts_that_become_warm() -> None:
    """Five of fifty become warm in one moment: what all sent to them while cold makes no favourite."""
    for seed in (1, 2, 3):
        play = FleetSimulation(rate=15, multiple=2.5, cold_s=5, seed=seed)
        play.run(6)
        born = play.replace(list(play.endpoints)[:5])
        warm_at = play.now + 5000
        play.run(9)
        each = play.per_host(warm_at, warm_at + 2000)
        assert max(each[name] for name in born) < 2 * play.rate
        assert sum(each[name] for name in born) / 5 < 1.5 * play.rate
        assert sum(each[name] for name in born) / 5 > 0.5 * play.rate
