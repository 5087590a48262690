"""The users' terms, one test or group each, named after its term; orders are forced, not slept for."""

from __future__ import annotations

import asyncio
import time

import pytest
from conftest import KEYED, Driver, Fake, instance, of, on_loop, reply, server
from test_net_parts import Answers, Held, an_order, core_with

from yewstage import interface as api
from yewstage.net.core import Core
from yewstage.net.discovery import parse_listing

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
