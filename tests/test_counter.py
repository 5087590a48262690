"""The client of the counter: results of its calls, and replacement of its connections."""

from __future__ import annotations

import asyncio
import socket
import struct

import pytest
from support.http_fakes import (
    CLASS_SETTINGS,
    LOOPBACK,
    PLAN_SETTINGS,
    FakeServer,
    ReceivedMessage,
    Responder,
    response_bytes,
)
from support.program import run_scenario

from api_gateway.configuration import parse_configuration
from api_gateway.model.actions import IncrementCounter
from api_gateway.model.events import CounterReply
from api_gateway.model.results import CounterResult
from api_gateway.network.counter import CounterClient
from api_gateway.network.counter_connection import CounterProtocol


async def start_client(
    counter: FakeServer, timeout_ms: float, connection_count: int = 1
) -> tuple[CounterClient, asyncio.Queue[CounterReply]]:
    """Start a fake counter, and return a client of it and the queue of its replies."""
    await counter.start()
    replies: asyncio.Queue[CounterReply] = asyncio.Queue()
    loop, address = asyncio.get_running_loop(), (LOOPBACK, counter.port)
    return CounterClient(loop, address, timeout_ms, replies.put_nowait, connection_count), replies


def test_late_response_is_not_matched_to_the_next_call() -> None:
    """The response to a call that has timed out arrives together with that to the next call."""

    async def scenario() -> None:
        counter = FakeServer(lambda request: None)
        client, replies = await start_client(counter, 400)
        client.increment(IncrementCounter("a", 1, 1000))
        assert (await replies.get()).result == CounterResult.TIMED_OUT
        client.increment(IncrementCounter("b", -2.5, 4000.4))
        await counter.wait_until(lambda counter: len(counter.received) == 2)
        assert counter.received[1].start_line == "POST /v1/count/b?add=-2.5&ttl_ms=4000 HTTP/1.1"
        counter.received[0].writer.write(response_bytes(b"7") + response_bytes(b"9"))
        counter_reply = await replies.get()
        assert (counter_reply.name, counter_reply.result, counter_reply.counter_value) == (
            "b",
            CounterResult.OK,
            9,
        )
        assert replies.empty()
        client.stop()
        counter.stop()

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("respond", "result"),
    [
        (
            lambda request: b"",
            CounterResult.CONNECTION_LOST,
        ),  # closed after the write: the counter may have added the amount
        (lambda request: response_bytes(b"", 503), CounterResult.OVERLOADED),
        (lambda request: response_bytes(b"many"), CounterResult.MALFORMED_RESPONSE),
        (lambda request: response_bytes(b"nan"), CounterResult.MALFORMED_RESPONSE),
        (lambda request: response_bytes(b"1_0"), CounterResult.MALFORMED_RESPONSE),
        (lambda request: b"HTTP/1.1 2x0 OK\r\n\r\n", CounterResult.MALFORMED_RESPONSE),
    ],
)
def test_response_determines_the_result_of_a_call(respond: Responder, result: CounterResult) -> None:
    async def scenario() -> None:
        counter = FakeServer(respond)
        client, replies = await start_client(counter, 5000)
        client.increment(IncrementCounter("a", 1, 1000))
        assert (await replies.get()).result == result
        assert replies.empty()
        client.stop()
        counter.stop()

    run_scenario(scenario)


def test_configured_timeout_allows_for_late_responses() -> None:
    """A busy counter may respond after the configured time, and its counter values are still valid."""

    async def scenario() -> None:
        counter = FakeServer(lambda request: None)
        await counter.start()
        config = parse_configuration(
            {
                "listen": f"{LOOPBACK}:0",
                "discovery": f"{LOOPBACK}:{counter.port}",
                "counter": f"{LOOPBACK}:{counter.port}",
                "seed": "1",
                "settings": {
                    "grades": CLASS_SETTINGS,
                    "packages": PLAN_SETTINGS,
                    "family_info": {"may_count": True, "count_wait_ms": 250.0},
                },
            }
        )
        replies: asyncio.Queue[CounterReply] = asyncio.Queue()
        client = CounterClient(
            asyncio.get_running_loop(), config.counter, config.settings.counter_timeout_ms, replies.put_nowait
        )
        client.increment(IncrementCounter("a", 1, 1000))
        await counter.wait_until(lambda counter: len(counter.received) == 1)
        await asyncio.sleep(0.4)
        counter.received[0].writer.write(response_bytes(b"7"))
        counter_reply = await replies.get()
        assert (counter_reply.result, counter_reply.counter_value) == (CounterResult.OK, 7)
        client.stop()
        counter.stop()

    run_scenario(scenario)


def test_silent_connection_is_replaced() -> None:
    """If the network to the counter fails, its connection stays open; no more calls may be written to it."""

    async def scenario() -> None:
        counter = FakeServer(lambda request: None)
        client, replies = await start_client(counter, 30)
        client.increment(IncrementCounter("a", 1, 1000))
        assert (await replies.get()).result == CounterResult.TIMED_OUT
        await counter.wait_until(lambda counter: counter.connections_closed == 1)
        counter.respond = lambda request: response_bytes(b"1")
        client.increment(IncrementCounter("a", 1, 1000))
        await counter.wait_until(lambda counter: len(counter.received) == 2)
        assert counter.received[0].writer is not counter.received[1].writer
        client.stop()
        counter.stop()

    run_scenario(scenario, 10)


def test_connection_that_is_reset_as_it_is_established_is_replaced(monkeypatch: pytest.MonkeyPatch) -> None:
    """The end of the connection is reported before the task that establishes it is done."""

    async def scenario() -> None:
        listener = socket.create_server((LOOPBACK, 0))
        connection_made = CounterProtocol.connection_made
        ended = asyncio.Event()

        def connection_made_and_reset(protocol: CounterProtocol, transport: asyncio.BaseTransport) -> None:
            accepted, _ = listener.accept()
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            accepted.close()
            monkeypatch.setattr(CounterProtocol, "connection_made", connection_made)
            connection_made(protocol, transport)

        def connection_lost(protocol: CounterProtocol, exc: Exception | None) -> None:
            protocol.connection_closed()
            ended.set()

        monkeypatch.setattr(CounterProtocol, "connection_made", connection_made_and_reset)
        monkeypatch.setattr(CounterProtocol, "connection_lost", connection_lost)
        replies: asyncio.Queue[CounterReply] = asyncio.Queue()
        client = CounterClient(
            asyncio.get_running_loop(), listener.getsockname(), 5000, replies.put_nowait, 1
        )
        client.start()
        await ended.wait()
        await asyncio.sleep(0.01)  # lets the task that established the connection end, too
        counter = FakeServer(lambda request: response_bytes(b"1"))
        counter.asyncio_server = await asyncio.start_server(counter._serve, sock=listener)
        client.increment(IncrementCounter("a", 1, 1000))
        assert (await replies.get()).result == CounterResult.OK
        client.stop()
        counter.stop()

    run_scenario(scenario, 3)


def test_call_made_while_a_connection_closes_goes_to_another() -> None:
    """A malformed response closes the connection, and its result leads to the next call at once.

    On the closing connection, that call would fail.
    """

    async def scenario() -> None:
        counter = FakeServer(lambda request: response_bytes(b"many" if len(counter.received) == 1 else b"1"))
        await counter.start()
        replies: asyncio.Queue[CounterReply] = asyncio.Queue()

        def on_reply(counter_reply: CounterReply) -> None:
            replies.put_nowait(counter_reply)
            if counter_reply.result == CounterResult.MALFORMED_RESPONSE:
                client.increment(IncrementCounter("a", 1, 1000))

        client = CounterClient(asyncio.get_running_loop(), (LOOPBACK, counter.port), 5000, on_reply, 2)
        client.increment(IncrementCounter("a", 1, 1000))
        assert [(await replies.get()).result, (await replies.get()).result] == [
            CounterResult.MALFORMED_RESPONSE,
            CounterResult.OK,
        ]
        client.stop()
        counter.stop()

    run_scenario(scenario, 3)


@pytest.mark.parametrize(
    ("silent_count", "results"),
    [
        (1, {CounterResult.CONNECTION_LOST}),  # the silent connection is closed
        (2, {CounterResult.TIMED_OUT}),  # more than one connection is silent: the counter is slow
    ],
)
def test_single_silent_connection_is_closed_but_not_several(
    silent_count: int, results: set[CounterResult]
) -> None:
    """A network path may fail for a single connection, while the counter responds on the others.

    Calls on it must not be reported as timed out, as those to a slow counter are.
    """

    async def scenario() -> None:
        silent: list[asyncio.StreamWriter] = []

        def respond(request: ReceivedMessage) -> bytes | None:
            if "/stuck" in request.start_line:
                silent.append(request.writer)
            return None if request.writer in silent else response_bytes(b"1")

        counter = FakeServer(respond)
        client, replies = await start_client(counter, 200, connection_count=3)
        client.start()
        while not all(connection.is_connected for connection in client._connections):
            await asyncio.sleep(0.01)
        for i in range(silent_count):
            client.increment(IncrementCounter(f"stuck{i}", 1, 1000))
        await counter.wait_until(lambda counter: len(silent) == silent_count)
        client.increment(IncrementCounter("well", 1, 1000))
        assert (await replies.get()).result == CounterResult.OK
        late_replies = [await replies.get() for _ in range(silent_count)]
        assert {reply.result for reply in late_replies} == results
        client.stop()
        counter.stop()

    run_scenario(scenario, 5)


def test_lost_connection_is_replaced_before_a_call_needs_it() -> None:
    async def scenario() -> None:
        counter = FakeServer(lambda request: b"" if len(counter.received) == 1 else None)
        client, replies = await start_client(counter, 5000)
        client.increment(IncrementCounter("a", 1, 1000))
        assert (await replies.get()).result == CounterResult.CONNECTION_LOST
        await counter.wait_until(lambda counter: counter.connections_opened == 2)
        client.stop()
        await counter.wait_until(lambda counter: counter.connections_closed == 1)
        await asyncio.sleep(0.2)  # longer than any backoff so far
        assert counter.connections_opened == 2  # a stopped client does not connect
        counter.stop()

    run_scenario(scenario, 5)


def test_counter_that_refuses_connections_is_used_again_once_it_accepts_them() -> None:
    async def scenario() -> None:
        def respond(request: ReceivedMessage) -> bytes:
            return response_bytes(b"1")

        counter = FakeServer(respond)
        client, replies = await start_client(counter, 5000)
        counter.stop()
        await counter.asyncio_server.wait_closed()
        client.increment(IncrementCounter("a", 1, 1000))
        assert (await replies.get()).result == CounterResult.CONNECT_FAILED
        counter.asyncio_server = await asyncio.start_server(counter._serve, LOOPBACK, counter.port)
        while True:  # calls during the backoff fail at once
            client.increment(IncrementCounter("a", 1, 1000))
            if (await replies.get()).result == CounterResult.OK:
                break
            await asyncio.sleep(0.01)
        client.stop()
        counter.stop()

    run_scenario(scenario)


def test_counter_value_of_the_old_counter_is_not_reported_after_a_change_of_address() -> None:
    """The values of two counters cannot be compared, so a late value of the old one must not be used."""

    async def scenario() -> None:
        old, new = FakeServer(lambda request: None), FakeServer(lambda request: response_bytes(b"2"))
        client, replies = await start_client(old, 2000)
        await new.start()
        client.increment(IncrementCounter("a", 1, 1000))
        await old.wait_until(lambda counter: len(counter.received) == 1)
        client.change_address((LOOPBACK, new.port))
        old.received[0].writer.write(response_bytes(b"70"))  # late, and a value of the old counter only
        assert (await replies.get()).result == CounterResult.MALFORMED_RESPONSE
        client.increment(IncrementCounter("a", 1, 1000))
        counter_reply = await replies.get()
        assert (counter_reply.result, counter_reply.counter_value) == (CounterResult.OK, 2)
        old.stop()
        new.stop()

    run_scenario(scenario, 5)
