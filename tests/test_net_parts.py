"""Parts of the gateway in this process: what cannot be brought about from outside for certain."""

from __future__ import annotations

import asyncio
import os
import time

import pytest
from support.http_fakes import (
    CLASS_SETTINGS,
    LOOP,
    PLAN_SETTINGS,
    FakeServer,
    instance,
    reply,
)
from support.program import run_scenario

from api_gateway.configuration import parse
from api_gateway.model.actions import (
    Action,
    CancelAttempt,
    FailRequest,
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
from api_gateway.network import dispatcher as dispatcher_module
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
            "listen": f"{LOOP}:0",
            "discovery": f"{LOOP}:{host.port}",
            "seed": "1",
            "known": {"generation": 1, "reset": True, "instances": [instance("s-0", host.port)]},
            "settings": {"grades": CLASS_SETTINGS, "packages": PLAN_SETTINGS, "bounds": {"try_limit": 2}},
        }
    )
    dispatcher = Dispatcher(config, asyncio.get_running_loop())
    dispatcher._apply(config.cached_endpoints, UpdateKind.CACHED)
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
        assert len(host.seen) == 1
        script.plan[TimerFired] = [StartAttempt("r1", "s-0", 100), RejectRequest("r1"), FailRequest("r1")]
        dispatcher._post(TimerFired("late"))
        assert script.outcomes() == [AttemptResult.NOT_STARTED]
        await asyncio.sleep(0.05)
        assert client.got.empty() and len(host.seen) == 1
        host.stop()

    run_scenario(scenario)


def test_a_module_that_raises_loses_one_request_only(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        host = FakeServer(lambda seen: reply(b"served"))
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
        await host.until(lambda fake: bool(fake.seen))
        script.plan[TimerFired] = [CancelAttempt("r1", 0), CancelAttempt("r1", 0), FailRequest("r1")]
        dispatcher._post(TimerFired("cancel"))
        await host.until(lambda fake: fake.closed == 1)
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
        host = FakeServer(lambda seen: reply(b"served"))
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
        host = FakeServer(lambda seen: reply(b"served"))
        dispatcher, script, held, client = await dialling(monkeypatch, host)
        monkeypatch.setattr(
            dispatcher._hosts, "recall", lambda: None
        )  # only the check at the moment of writing
        await held.begun.wait()
        await host.until(lambda fake: fake.opened == 1)
        held.let_up.set()
        dispatcher._listed(the_list(host, lifecycle))
        assert await client.got.get() == 503
        assert script.outcomes() == [AttemptResult.WITHDRAWN]
        await host.until(lambda fake: fake.closed == 1)
        assert not [s for s in host.seen if "/api/" in s.line]
        host.stop()

    run_scenario(scenario, 3)


@pytest.mark.parametrize("lifecycle", ["draining", "gone"])
def test_a_dial_to_a_host_that_begins_to_leave_is_ended_at_once(
    monkeypatch: pytest.MonkeyPatch, lifecycle: str
) -> None:
    async def scenario() -> None:
        host = FakeServer(lambda seen: reply(b"served"))
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
        host = FakeServer(lambda seen: reply(b"served"))
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
        host = FakeServer(lambda seen: reply(b"served"))
        dispatcher, script = await core_with(monkeypatch, host)
        dispatcher._hosts._loop = held = Held(dispatcher._loop)
        client = Answers()
        script.plan[RequestReceived] = [StartAttempt("r1", "s-0", 5000)]
        rid = dispatcher.submit(client, an_order())
        await host.until(lambda fake: fake.opened == 1)
        client.has_left = True
        if told:
            dispatcher.client_disconnected(rid)
        held.let_up.set()
        await host.until(lambda fake: fake.closed == 1)
        assert not host.seen and client.got.empty()
        assert script.outcomes() == [AttemptResult.WITHDRAWN] and script.events[-1].is_final
        assert (
            ClientDisconnected(rid) in script.events and not dispatcher._requests and not dispatcher._wire_ids
        )
        host.stop()

    run_scenario(scenario, 3)


def test_what_the_module_sends_on_late_is_not_sent_for_who_has_left(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        host = FakeServer(lambda seen: reply(b"served"))
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
        await host.until(lambda fake: any("/api/" in s.line for s in fake.seen))
        os.write(host.seen[-1].writer.get_extra_info("socket").fileno(), reply(b"served"))
        time.sleep(0.6)  # the answer lies unread meanwhile
        assert await client.got.get() == 200
        (outcome,) = [e for e in script.events if isinstance(e, AttemptEnded)]
        assert outcome.duration_ms < 400
        host.stop()

    run_scenario(scenario)
