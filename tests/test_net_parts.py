"""Parts of the gateway in this process: what cannot be brought about from outside for certain."""

from __future__ import annotations

import asyncio
import socket
import struct

import pytest
from support.http_fakes import CLASS_SETTINGS, LOOP, PLAN_SETTINGS, FakeServer, ReceivedMessage, reply
from support.program import run_scenario

from api_gateway.configuration import parse
from api_gateway.model.actions import IncrementCounter
from api_gateway.model.events import CounterReply
from api_gateway.model.results import CounterResult
from api_gateway.network import counter as counter_module
from api_gateway.network.counter import CounterClient


async def counter_with(
    monkeypatch: pytest.MonkeyPatch, fake: FakeServer, wait_ms: float
) -> tuple[CounterClient, asyncio.Queue[CounterReply]]:
    monkeypatch.setattr(counter_module, "CONNECTIONS", 1)
    await fake.start()
    got: asyncio.Queue[CounterReply] = asyncio.Queue()
    counter = CounterClient(asyncio.get_running_loop(), (LOOP, fake.port), wait_ms, got.put_nowait)
    return counter, got


def test_a_late_answer_is_not_taken_for_the_next_calls(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        fake = FakeServer(lambda seen: None)
        counter, got = await counter_with(monkeypatch, fake, 400)
        counter.call(IncrementCounter("a", 1, 1000))
        assert (await got.get()).result == CounterResult.TIMED_OUT
        counter.call(IncrementCounter("b", -2.5, 4000.4))
        await fake.until(lambda fake: len(fake.seen) == 2)
        assert fake.seen[1].line == "POST /v1/count/b?add=-2.5&ttl_ms=4000 HTTP/1.1"
        fake.seen[0].writer.write(reply(b"7") + reply(b"9"))
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
        (lambda seen: reply(b"", 503), CounterResult.OVERLOADED),
        (lambda seen: reply(b"many"), CounterResult.MALFORMED_RESPONSE),
        (lambda seen: reply(b"nan"), CounterResult.MALFORMED_RESPONSE),
        (lambda seen: reply(b"1_0"), CounterResult.MALFORMED_RESPONSE),
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
                "listen": f"{LOOP}:0",
                "discovery": f"{LOOP}:{fake.port}",
                "counter": f"{LOOP}:{fake.port}",
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
        await fake.until(lambda fake: len(fake.seen) == 1)
        await asyncio.sleep(0.4)
        fake.seen[0].writer.write(reply(b"7"))
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
        await fake.until(lambda fake: fake.closed == 1)
        fake.behave = lambda seen: reply(b"1")
        counter.call(IncrementCounter("a", 1, 1000))
        await fake.until(lambda fake: len(fake.seen) == 2)
        assert fake.seen[0].writer is not fake.seen[1].writer
        counter.stop()
        fake.stop()

    run_scenario(scenario, 10)


def test_a_counter_connection_that_is_reset_as_it_comes_up_is_dialled_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its loss is told before its dial is over; it must not stand for the slot's connection from then on."""

    async def scenario() -> None:
        monkeypatch.setattr(counter_module, "CONNECTIONS", 1)
        listener = socket.create_server((LOOP, 0))
        made = counter_module._Connection.connection_made
        ended = asyncio.Event()

        def made_and_reset(connection, transport: asyncio.BaseTransport) -> None:
            accepted, _ = listener.accept()
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            accepted.close()
            monkeypatch.setattr(counter_module._Connection, "connection_made", made)
            made(connection, transport)

        def lost(connection, exc: Exception | None) -> None:
            connection.connection_closed()
            ended.set()

        monkeypatch.setattr(counter_module._Connection, "connection_made", made_and_reset)
        monkeypatch.setattr(counter_module._Connection, "connection_lost", lost)
        got: asyncio.Queue[CounterReply] = asyncio.Queue()
        counter = CounterClient(asyncio.get_running_loop(), listener.getsockname(), 5000, got.put_nowait)
        counter.start()
        await ended.wait()
        await asyncio.sleep(0.01)  # the dial's task has ended, too
        fake = FakeServer(lambda seen: reply(b"1"))
        fake.endpoint = await asyncio.start_server(fake._serve, sock=listener)
        counter.call(IncrementCounter("a", 1, 1000))
        assert (await got.get()).result == CounterResult.OK
        counter.stop()
        fake.stop()

    run_scenario(scenario, 3)


def test_a_call_made_while_a_counter_connection_ends_goes_to_another(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        monkeypatch.setattr(counter_module, "CONNECTIONS", 2)
        fake = FakeServer(lambda seen: reply(b"many" if len(fake.seen) == 1 else b"1"))
        await fake.start()
        got: asyncio.Queue[CounterReply] = asyncio.Queue()

        def replied(answer: CounterReply) -> None:
            got.put_nowait(answer)
            if answer.result == CounterResult.MALFORMED_RESPONSE:
                counter.call(IncrementCounter("a", 1, 1000))

        counter = CounterClient(asyncio.get_running_loop(), (LOOP, fake.port), 5000, replied)
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
            if "/stuck" in seen.line:
                silent.append(seen.writer)
            return None if seen.writer in silent else reply(b"1")

        fake = FakeServer(behave)
        await fake.start()
        got: asyncio.Queue[CounterReply] = asyncio.Queue()
        counter = CounterClient(asyncio.get_running_loop(), (LOOP, fake.port), 200, got.put_nowait)
        counter.start()
        while not all(slot._connection for slot in counter._slots):
            await asyncio.sleep(0.01)
        for i in range(stuck):
            counter.call(IncrementCounter(f"stuck{i}", 1, 1000))
        await fake.until(lambda fake: len(silent) == stuck)
        counter.call(IncrementCounter("well", 1, 1000))
        assert (await got.get()).result == CounterResult.OK
        ends = [await got.get() for _ in range(stuck)]
        assert {end.result for end in ends} == results
        counter.stop()
        fake.stop()

    run_scenario(scenario, 5)


def test_a_lost_counter_connection_is_dialled_before_a_call_needs_it(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        fake = FakeServer(lambda seen: b"" if len(fake.seen) == 1 else None)
        counter, got = await counter_with(monkeypatch, fake, 5000)
        counter.call(IncrementCounter("a", 1, 1000))
        assert (await got.get()).result == CounterResult.CONNECTION_LOST
        await fake.until(lambda fake: fake.opened == 2)
        counter.stop()
        await fake.until(lambda fake: fake.closed == 1)
        await asyncio.sleep(0.2)  # longer than the rests so far
        assert fake.opened == 2  # what is stopped dials no more
        fake.stop()

    run_scenario(scenario, 5)


def test_a_counter_that_refuses_added_nothing_and_comes_back(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        def behave(seen: ReceivedMessage) -> bytes:
            return reply(b"1")

        fake = FakeServer(behave)
        counter, got = await counter_with(monkeypatch, fake, 5000)
        fake.stop()
        await fake.endpoint.wait_closed()
        counter.call(IncrementCounter("a", 1, 1000))
        assert (await got.get()).result == CounterResult.CONNECT_FAILED
        fake.endpoint = await asyncio.start_server(fake._serve, LOOP, fake.port)
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
        old, new = FakeServer(lambda seen: None), FakeServer(lambda seen: reply(b"2"))
        counter, got = await counter_with(monkeypatch, old, 2000)
        await new.start()
        counter.call(IncrementCounter("a", 1, 1000))
        await old.until(lambda fake: len(fake.seen) == 1)
        counter.move((LOOP, new.port))
        old.seen[0].writer.write(reply(b"70"))  # late, and true of the old one alone
        assert (await got.get()).result == CounterResult.MALFORMED_RESPONSE
        counter.call(IncrementCounter("a", 1, 1000))
        answer = await got.get()
        assert (answer.result, answer.total) == (CounterResult.OK, 2)
        old.stop()
        new.stop()

    run_scenario(scenario, 5)
