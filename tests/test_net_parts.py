"""Parts of the gateway in this process: what cannot be brought about from outside for certain."""

from __future__ import annotations

import asyncio
import os
import socket
import struct
import time

import pytest
from support.http_fakes import (
    CLASS_SETTINGS,
    LOOPBACK,
    PLAN_SETTINGS,
    FakeServer,
    ReceivedMessage,
    instance,
    response_bytes,
)
from support.program import run_scenario

from api_gateway.configuration import parse
from api_gateway.model.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    IncrementCounter,
    RejectRequest,
    StartAttempt,
)
from api_gateway.model.endpoints import UpdateKind
from api_gateway.model.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterReply,
    EndpointUpdate,
    Event,
    RequestReceived,
    TimerFired,
)
from api_gateway.model.results import AttemptResult, CounterResult
from api_gateway.model.settings import Settings
from api_gateway.network import counter as counter_module
from api_gateway.network import dispatcher as dispatcher_module
from api_gateway.network.counter import CounterClient
from api_gateway.network.discovery import EndpointList, parse_endpoint_list
from api_gateway.network.dispatcher import Dispatcher, InboundRequest


class Script:
    """Stands in for the module: records events and plays actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.events: list[Event] = []
        self.plan: dict[type, list[Action] | Exception] = {}

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        self.events.append(event)
        actions = self.plan.pop(type(event), [])
        if isinstance(actions, Exception):
            raise actions
        return actions

    def outcomes(self) -> list[str]:
        return [e.result for e in self.events if isinstance(e, AttemptEnded)]


class Answers:
    """A client that notes what it is answered."""

    def __init__(self) -> None:
        self.got: asyncio.Queue[int] = asyncio.Queue()
        self.has_left = False

    def has_disconnected(self) -> bool:
        return self.has_left

    def respond(
        self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        self.got.put_nowait(status)


def an_order(deadline_ms: float = 5000) -> InboundRequest:
    an_order.serial += 1
    return InboundRequest(
        b"%d" % an_order.serial,
        "pay",
        "team",
        "0" * 16,
        deadline_ms,
        1,
        1,
        0,
        False,
        time.monotonic(),
        b"POST /api/0 HTTP/1.1\r\nX-Request-Id: a\r\nContent-Length: 0\r\n",
        b"",
    )


an_order.serial = 0


async def core_with(monkeypatch: pytest.MonkeyPatch, host: FakeServer) -> tuple[Dispatcher, Script]:
    """A core whose module is a script and whose one host is `s-0`; discovery does not answer."""
    monkeypatch.setattr(dispatcher_module, "Gateway", Script)
    await host.start()
    config = parse(
        {
            "listen": f"{LOOPBACK}:0",
            "discovery": f"{LOOPBACK}:{host.port}",
            "seed": "1",
            "known": {"generation": 1, "reset": True, "instances": [instance("s-0", host.port)]},
            "settings": {"grades": CLASS_SETTINGS, "packages": PLAN_SETTINGS, "bounds": {"try_limit": 2}},
        }
    )
    dispatcher = Dispatcher(config, asyncio.get_running_loop())
    dispatcher._apply(config.known, UpdateKind.CACHED)
    dispatcher._loop.call_soon(dispatcher._beat)
    return dispatcher, dispatcher._gateway


def test_guard_answers_in_time_and_nothing_follows(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        host = FakeServer(lambda seen: None)
        dispatcher, script = await core_with(monkeypatch, host)
        client, started = Answers(), time.monotonic()
        script.plan[RequestReceived] = [StartAttempt("r1", "s-0", 5000)]  # still out when the guard answers
        dispatcher.submit(client, an_order(300))
        assert await client.got.get() == 504
        assert time.monotonic() - started < 0.3
        assert script.events[-1] == ClientDisconnected("r1")
        assert len(host.received) == 1
        script.plan[TimerFired] = [StartAttempt("r1", "s-0", 100), RejectRequest("r1"), FailRequest("r1")]
        dispatcher._post(TimerFired("late"))
        assert script.outcomes() == [AttemptResult.NOT_STARTED]
        await asyncio.sleep(0.05)
        assert client.got.empty() and len(host.received) == 1
        host.stop()

    run_scenario(scenario)


def test_a_module_that_raises_loses_one_request_only(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        host = FakeServer(lambda seen: response_bytes(b"served"))
        dispatcher, script = await core_with(monkeypatch, host)
        broken, served = Answers(), Answers()
        script.plan[RequestReceived] = RuntimeError("broken")
        dispatcher.submit(broken, an_order())
        assert await broken.got.get() == 500
        script.plan[RequestReceived] = [StartAttempt("r2", "s-0", 1000)]
        dispatcher.submit(served, an_order())
        assert await served.got.get() == 200
        host.stop()

    run_scenario(scenario)


def test_every_send_has_one_outcome(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        host = FakeServer(lambda seen: None)
        dispatcher, script = await core_with(monkeypatch, host)
        client = Answers()
        script.plan[RequestReceived] = [
            StartAttempt("r1", "s-0", 1000),
            StartAttempt("r1", "nowhere", 1000),
            StartAttempt("r1", "s-0", 1000),
        ]  # the third is beyond the limit of two
        dispatcher.submit(client, an_order())
        assert script.outcomes() == [AttemptResult.CONNECT_FAILED, AttemptResult.NOT_STARTED]
        await host.wait_until(lambda fake: bool(fake.received))
        script.plan[TimerFired] = [CancelAttempt("r1", 0), CancelAttempt("r1", 0), FailRequest("r1")]
        dispatcher._post(TimerFired("cancel"))
        await host.wait_until(lambda fake: fake.closed == 1)
        assert script.outcomes() == [
            AttemptResult.CONNECT_FAILED,
            AttemptResult.NOT_STARTED,
            AttemptResult.CANCELLED,
        ]
        assert await client.got.get() == 502
        assert not dispatcher._requests
        host.stop()

    run_scenario(scenario)


class Breaking:
    """A loop whose new connections are broken before anybody can use them."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def __getattr__(self, name: str) -> object:
        return getattr(self._loop, name)

    async def create_connection(self, *args: object) -> tuple[asyncio.Transport, asyncio.Protocol]:
        transport, protocol = await self._loop.create_connection(*args)
        transport.abort()
        return transport, protocol


def test_a_connection_that_breaks_as_it_comes_up_never_ran(monkeypatch: pytest.MonkeyPatch) -> None:
    """Nothing may be written to it: the attempt would hang until its time-out."""

    async def scenario() -> None:
        host = FakeServer(lambda seen: response_bytes(b"served"))
        dispatcher, script = await core_with(monkeypatch, host)
        dispatcher._hosts._loop = Breaking(dispatcher._loop)
        client = Answers()
        script.plan[RequestReceived] = [StartAttempt("r1", "s-0", 5000)]
        script.plan[AttemptEnded] = [RejectRequest("r1")]
        dispatcher.submit(client, an_order())
        assert await client.got.get() == 503
        assert script.outcomes() == [AttemptResult.NOT_SENT]
        host.stop()

    run_scenario(scenario, 3)


class Held:
    """A loop whose dials come up when the test says so."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop, self.begun, self.let_up = loop, asyncio.Event(), asyncio.Event()
        self.ended = asyncio.Event()

    def __getattr__(self, name: str) -> object:
        return getattr(self._loop, name)

    async def create_connection(self, *args: object) -> object:
        self.begun.set()
        try:
            made = await self._loop.create_connection(*args)
            try:
                await self.let_up.wait()
            except asyncio.CancelledError:
                made[0].abort()  # as the loop closes the socket of a dial that is called off
                raise
            return made
        finally:
            self.ended.set()


async def dialling(
    monkeypatch: pytest.MonkeyPatch,
    host: FakeServer,
    then: type[RejectRequest] | type[FailRequest] = RejectRequest,
    **send: float,
) -> tuple[Dispatcher, Script, Held, Answers]:
    """A request whose dial is under way until the test lets it up; `then` answers its outcome."""
    dispatcher, script = await core_with(monkeypatch, host)
    dispatcher._hosts._loop = held = Held(dispatcher._loop)
    client = Answers()
    script.plan[RequestReceived] = [StartAttempt("r1", "s-0", 5000, **send)]
    script.plan[AttemptEnded] = [then("r1")]
    dispatcher.submit(client, an_order())
    return dispatcher, script, held, client


def the_list(host: FakeServer, lifecycle: str) -> EndpointList:
    gone = lifecycle == "gone"
    left = [] if gone else [instance("s-0", host.port, lifecycle)]
    return parse_endpoint_list({"generation": 2, "reset": gone, "instances": left})


@pytest.mark.parametrize("lifecycle", ["draining", "gone"])
def test_a_dial_that_is_up_after_its_host_began_to_leave_writes_nothing(
    monkeypatch: pytest.MonkeyPatch, lifecycle: str
) -> None:
    """The connection is up and its end not told yet when the list comes: the worst order there is."""

    async def scenario() -> None:
        host = FakeServer(lambda seen: response_bytes(b"served"))
        dispatcher, script, held, client = await dialling(monkeypatch, host)
        monkeypatch.setattr(
            dispatcher._hosts, "recall", lambda: None
        )  # only the check at the moment of writing
        await held.begun.wait()
        await host.wait_until(lambda fake: fake.opened == 1)
        held.let_up.set()
        dispatcher._listed(the_list(host, lifecycle))
        assert await client.got.get() == 503
        assert script.outcomes() == [AttemptResult.WITHDRAWN]
        await host.wait_until(lambda fake: fake.closed == 1)
        assert not [s for s in host.received if "/api/" in s.start_line]
        host.stop()

    run_scenario(scenario, 3)


@pytest.mark.parametrize("lifecycle", ["draining", "gone"])
def test_a_dial_to_a_host_that_begins_to_leave_is_ended_at_once(
    monkeypatch: pytest.MonkeyPatch, lifecycle: str
) -> None:
    async def scenario() -> None:
        host = FakeServer(lambda seen: response_bytes(b"served"))
        dispatcher, script, held, client = await dialling(monkeypatch, host)
        await held.begun.wait()
        dispatcher._listed(the_list(host, lifecycle))
        assert client.got.get_nowait() == 503  # not when the dial is over
        kinds = [type(e) for e in script.events]
        assert kinds[-2:] == [EndpointUpdate, AttemptEnded]  # the list first: it must not be chosen again
        await held.ended.wait()
        assert script.outcomes() == [AttemptResult.WITHDRAWN]
        host.stop()

    run_scenario(scenario, 3)


def test_nothing_is_written_to_a_draining_host_whoever_asks_for_it(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        host = FakeServer(lambda seen: response_bytes(b"served"))
        dispatcher, script = await core_with(monkeypatch, host)
        dispatcher._listed(the_list(host, "draining"))
        client = Answers()
        script.plan[RequestReceived] = [StartAttempt("r1", "s-0", 5000)]
        script.plan[AttemptEnded] = [RejectRequest("r1")]
        dispatcher.submit(client, an_order())
        assert client.got.get_nowait() == 503
        assert script.outcomes() == [AttemptResult.WITHDRAWN] and not host.opened
        host.stop()

    run_scenario(scenario, 3)


@pytest.mark.parametrize("told", [True, False])
def test_a_dial_that_comes_up_after_its_client_left_writes_nothing(
    monkeypatch: pytest.MonkeyPatch, told: bool
) -> None:
    """Also where the settings allow no cancelling, and where the client's end is still unread."""

    async def scenario() -> None:
        host = FakeServer(lambda seen: response_bytes(b"served"))
        dispatcher, script = await core_with(monkeypatch, host)
        dispatcher._hosts._loop = held = Held(dispatcher._loop)
        client = Answers()
        script.plan[RequestReceived] = [StartAttempt("r1", "s-0", 5000)]
        rid = dispatcher.submit(client, an_order())
        await host.wait_until(lambda fake: fake.opened == 1)
        client.has_left = True
        if told:
            dispatcher.client_disconnected(rid)
        held.let_up.set()
        await host.wait_until(lambda fake: fake.closed == 1)
        assert not host.received and client.got.empty()
        assert script.outcomes() == [AttemptResult.WITHDRAWN] and script.events[-1].is_final
        assert (
            ClientDisconnected(rid) in script.events and not dispatcher._requests and not dispatcher._wire_ids
        )
        host.stop()

    run_scenario(scenario, 3)


def test_what_the_module_sends_on_late_is_not_sent_for_who_has_left(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        host = FakeServer(lambda seen: response_bytes(b"served"))
        dispatcher, script = await core_with(monkeypatch, host)
        client = Answers()
        rid = dispatcher.submit(client, an_order())
        client.has_left = True  # while the module waits for the counter
        script.plan[CounterReply] = [StartAttempt(rid, "s-0", 5000)]
        dispatcher._post(CounterReply("n", CounterResult.OK, 1))
        assert (
            script.outcomes() == [AttemptResult.NOT_STARTED]
            and script.events[-1].is_final
            and not dispatcher._requests
        )
        await asyncio.sleep(0)
        assert not host.opened
        host.stop()

    run_scenario(scenario, 3)


def test_a_stall_is_not_told_as_the_hosts_latency(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        host = FakeServer(lambda seen: None)
        dispatcher, script = await core_with(monkeypatch, host)
        await asyncio.sleep(0.1)
        script.plan[RequestReceived] = [StartAttempt("r1", "s-0", 3000)]
        client = Answers()
        dispatcher.submit(client, an_order())
        await host.wait_until(lambda fake: any("/api/" in s.start_line for s in fake.received))
        os.write(host.received[-1].writer.get_extra_info("socket").fileno(), response_bytes(b"served"))
        time.sleep(0.6)  # the answer lies unread meanwhile
        assert await client.got.get() == 200
        (outcome,) = [e for e in script.events if isinstance(e, AttemptEnded)]
        assert outcome.duration_ms < 400
        host.stop()

    run_scenario(scenario)


async def counter_with(
    monkeypatch: pytest.MonkeyPatch, fake: FakeServer, wait_ms: float
) -> tuple[CounterClient, asyncio.Queue[CounterReply]]:
    monkeypatch.setattr(counter_module, "CONNECTIONS", 1)
    await fake.start()
    got: asyncio.Queue[CounterReply] = asyncio.Queue()
    counter = CounterClient(asyncio.get_running_loop(), (LOOPBACK, fake.port), wait_ms, got.put_nowait)
    return counter, got


def test_a_late_answer_is_not_taken_for_the_next_calls(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        fake = FakeServer(lambda seen: None)
        counter, got = await counter_with(monkeypatch, fake, 400)
        counter.call(IncrementCounter("a", 1, 1000))
        assert (await got.get()).result == CounterResult.TIMED_OUT
        counter.call(IncrementCounter("b", -2.5, 4000.4))
        await fake.wait_until(lambda fake: len(fake.received) == 2)
        assert fake.received[1].start_line == "POST /v1/count/b?add=-2.5&ttl_ms=4000 HTTP/1.1"
        fake.received[0].writer.write(response_bytes(b"7") + response_bytes(b"9"))
        answer = await got.get()
        assert (answer.name, answer.result, answer.total) == ("b", CounterResult.OK, 9)
        assert got.empty()
        counter.stop()
        fake.stop()

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("behave", "result"),
    [
        (
            lambda seen: b"",
            CounterResult.CONNECTION_LOST,
        ),  # broken after the call was written: it may have been added
        (lambda seen: response_bytes(b"", 503), CounterResult.OVERLOADED),
        (lambda seen: response_bytes(b"many"), CounterResult.MALFORMED_RESPONSE),
        (lambda seen: response_bytes(b"nan"), CounterResult.MALFORMED_RESPONSE),
        (lambda seen: response_bytes(b"1_0"), CounterResult.MALFORMED_RESPONSE),
        (lambda seen: b"HTTP/1.1 2x0 OK\r\n\r\n", CounterResult.MALFORMED_RESPONSE),
    ],
)
def test_what_a_counter_call_comes_to(monkeypatch: pytest.MonkeyPatch, behave, result: CounterResult) -> None:
    async def scenario() -> None:
        fake = FakeServer(behave)
        counter, got = await counter_with(monkeypatch, fake, 5000)
        counter.call(IncrementCounter("a", 1, 1000))
        assert (await got.get()).result == result
        assert got.empty()
        counter.stop()
        fake.stop()

    run_scenario(scenario)


def test_a_counter_that_answers_late_is_still_heard(monkeypatch: pytest.MonkeyPatch) -> None:
    """A busy counter answers after the bound that the settings give; its totals are true all the same."""

    async def scenario() -> None:
        fake = FakeServer(lambda seen: None)
        await fake.start()
        config = parse(
            {
                "listen": f"{LOOPBACK}:0",
                "discovery": f"{LOOPBACK}:{fake.port}",
                "counter": f"{LOOPBACK}:{fake.port}",
                "seed": "1",
                "settings": {
                    "grades": CLASS_SETTINGS,
                    "packages": PLAN_SETTINGS,
                    "family_info": {"may_count": True, "count_wait_ms": 250.0},
                },
            }
        )
        got: asyncio.Queue[CounterReply] = asyncio.Queue()
        counter = CounterClient(
            asyncio.get_running_loop(), config.counter, config.settings.counter_timeout_ms, got.put_nowait
        )
        counter.call(IncrementCounter("a", 1, 1000))
        await fake.wait_until(lambda fake: len(fake.received) == 1)
        await asyncio.sleep(0.4)
        fake.received[0].writer.write(response_bytes(b"7"))
        answer = await got.get()
        assert (answer.result, answer.total) == (CounterResult.OK, 7)
        counter.stop()
        fake.stop()

    run_scenario(scenario)


def test_a_silent_counter_is_dialled_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """A counter that is cut off leaves its connection open; the calls must not go there for ever."""

    async def scenario() -> None:
        fake = FakeServer(lambda seen: None)
        counter, got = await counter_with(monkeypatch, fake, 30)
        counter.call(IncrementCounter("a", 1, 1000))
        assert (await got.get()).result == CounterResult.TIMED_OUT
        await fake.wait_until(lambda fake: fake.closed == 1)
        fake.respond = lambda seen: response_bytes(b"1")
        counter.call(IncrementCounter("a", 1, 1000))
        await fake.wait_until(lambda fake: len(fake.received) == 2)
        assert fake.received[0].writer is not fake.received[1].writer
        counter.stop()
        fake.stop()

    run_scenario(scenario, 10)


def test_a_counter_connection_that_is_reset_as_it_comes_up_is_dialled_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its loss is told before its dial is over; it must not stand for the slot's connection from then on."""

    async def scenario() -> None:
        monkeypatch.setattr(counter_module, "CONNECTIONS", 1)
        listener = socket.create_server((LOOPBACK, 0))
        made = counter_module._Connection.connection_made
        ended = asyncio.Event()

        def made_and_reset(connection, transport: asyncio.BaseTransport) -> None:
            accepted, _ = listener.accept()
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            accepted.close()
            monkeypatch.setattr(counter_module._Connection, "connection_made", made)
            made(connection, transport)

        def lost(connection, exc: Exception | None) -> None:
            connection.lost()
            ended.set()

        monkeypatch.setattr(counter_module._Connection, "connection_made", made_and_reset)
        monkeypatch.setattr(counter_module._Connection, "connection_lost", lost)
        got: asyncio.Queue[CounterReply] = asyncio.Queue()
        counter = CounterClient(asyncio.get_running_loop(), listener.getsockname(), 5000, got.put_nowait)
        counter.start()
        await ended.wait()
        await asyncio.sleep(0.01)  # the dial's task has ended, too
        fake = FakeServer(lambda seen: response_bytes(b"1"))
        fake.asyncio_server = await asyncio.start_server(fake._serve, sock=listener)
        counter.call(IncrementCounter("a", 1, 1000))
        assert (await got.get()).result == CounterResult.OK
        counter.stop()
        fake.stop()

    run_scenario(scenario, 3)


def test_a_call_made_while_a_counter_connection_ends_goes_to_another(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(counter_module, "CONNECTIONS", 2)
        fake = FakeServer(lambda seen: response_bytes(b"many" if len(fake.received) == 1 else b"1"))
        await fake.start()
        got: asyncio.Queue[CounterReply] = asyncio.Queue()

        def replied(answer: CounterReply) -> None:
            got.put_nowait(answer)
            if answer.result == CounterResult.MALFORMED_RESPONSE:
                counter.call(IncrementCounter("a", 1, 1000))

        counter = CounterClient(asyncio.get_running_loop(), (LOOPBACK, fake.port), 5000, replied)
        counter.call(IncrementCounter("a", 1, 1000))
        assert [(await got.get()).result, (await got.get()).result] == [
            CounterResult.MALFORMED_RESPONSE,
            CounterResult.OK,
        ]
        counter.stop()
        fake.stop()

    run_scenario(scenario, 3)


@pytest.mark.parametrize(
    ("stuck", "results"),
    [
        (1, {CounterResult.CONNECTION_LOST}),  # what waits behind the call that ran out is cut with it
        (2, {CounterResult.TIMED_OUT}),  # on more than one connection it is the counter that is slow
    ],
)
def test_one_silent_counter_connection_is_given_up(
    monkeypatch: pytest.MonkeyPatch, stuck: int, results: set[str]
) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(counter_module, "CONNECTIONS", 3)
        silent: list[asyncio.StreamWriter] = []

        def behave(seen: ReceivedMessage) -> bytes | None:
            if "/stuck" in seen.start_line:
                silent.append(seen.writer)
            return None if seen.writer in silent else response_bytes(b"1")

        fake = FakeServer(behave)
        await fake.start()
        got: asyncio.Queue[CounterReply] = asyncio.Queue()
        counter = CounterClient(asyncio.get_running_loop(), (LOOPBACK, fake.port), 200, got.put_nowait)
        counter.start()
        while not all(slot._connection for slot in counter._slots):
            await asyncio.sleep(0.01)
        for i in range(stuck):
            counter.call(IncrementCounter(f"stuck{i}", 1, 1000))
        await fake.wait_until(lambda fake: len(silent) == stuck)
        counter.call(IncrementCounter("well", 1, 1000))
        assert (await got.get()).result == CounterResult.OK
        ends = [await got.get() for _ in range(stuck)]
        assert {end.result for end in ends} == results
        counter.stop()
        fake.stop()

    run_scenario(scenario, 5)


def test_a_lost_counter_connection_is_dialled_before_a_call_needs_it(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        fake = FakeServer(lambda seen: b"" if len(fake.received) == 1 else None)
        counter, got = await counter_with(monkeypatch, fake, 5000)
        counter.call(IncrementCounter("a", 1, 1000))
        assert (await got.get()).result == CounterResult.CONNECTION_LOST
        await fake.wait_until(lambda fake: fake.opened == 2)
        counter.stop()
        await fake.wait_until(lambda fake: fake.closed == 1)
        await asyncio.sleep(0.2)  # longer than the rests so far
        assert fake.opened == 2  # what is stopped dials no more
        fake.stop()

    run_scenario(scenario, 5)


def test_a_counter_that_refuses_added_nothing_and_comes_back(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        def behave(seen: ReceivedMessage) -> bytes:
            return response_bytes(b"1")

        fake = FakeServer(behave)
        counter, got = await counter_with(monkeypatch, fake, 5000)
        fake.stop()
        await fake.asyncio_server.wait_closed()
        counter.call(IncrementCounter("a", 1, 1000))
        assert (await got.get()).result == CounterResult.CONNECT_FAILED
        fake.asyncio_server = await asyncio.start_server(fake._serve, LOOPBACK, fake.port)
        while True:  # calls in its rest fail at once; then it dials again
            counter.call(IncrementCounter("a", 1, 1000))
            if (await got.get()).result == CounterResult.OK:
                break
            await asyncio.sleep(0.01)
        counter.stop()
        fake.stop()

    run_scenario(scenario)


def test_a_total_of_the_counter_that_was_left_is_not_the_new_ones(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        old, new = FakeServer(lambda seen: None), FakeServer(lambda seen: response_bytes(b"2"))
        counter, got = await counter_with(monkeypatch, old, 2000)
        await new.start()
        counter.call(IncrementCounter("a", 1, 1000))
        await old.wait_until(lambda fake: len(fake.received) == 1)
        counter.move((LOOPBACK, new.port))
        old.received[0].writer.write(response_bytes(b"70"))  # late, and true of the old one alone
        assert (await got.get()).result == CounterResult.MALFORMED_RESPONSE
        counter.call(IncrementCounter("a", 1, 1000))
        answer = await got.get()
        assert (answer.result, answer.total) == (CounterResult.OK, 2)
        old.stop()
        new.stop()

    run_scenario(scenario, 5)
