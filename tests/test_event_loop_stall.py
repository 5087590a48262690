"""Data that arrives while the event loop is stalled, for example since the scheduler has paused the process.

After a stall within the callback of a socket, the event loop runs overdue timers before it reads the other
sockets.
"""

from __future__ import annotations

import asyncio
import os
import random
import socket
import time
from collections.abc import Callable

import pytest
from support.dispatcher_driver import (
    ENDPOINT_NAME,
    RecordingClient,
    inbound_request,
    start_dispatcher,
    submit_with_blocked_connect,
)
from support.http_fakes import LOOPBACK, FakeServer, response_bytes, stay_silent
from support.program import async_test, run_scenario

from api_gateway.model.actions import IncrementCounter, StartAttempt
from api_gateway.model.events import AttemptEnded, CounterReply, RequestReceived
from api_gateway.model.results import AttemptResult, CounterResult
from api_gateway.network.counter import CounterClient
from api_gateway.network.discovery import DiscoveryWatch, EndpointList
from api_gateway.network.upstream.pool import MIN_IDLE_BEFORE_REUSE_S

ENDPOINT_LIST_BODY = b'{"generation": 7, "reset": true, "instances": []}'


async def stall(duration_s: float, during: Callable[[], object] = lambda: None) -> None:
    """Stall the event loop within the callback of a socket.

    Args:
        duration_s: For how long, in seconds.
        during: Called at the beginning of the stall.
    """
    loop = asyncio.get_running_loop()
    reading, writing = socket.socketpair()
    is_over = asyncio.Event()

    def block() -> None:
        loop.remove_reader(reading)
        during()
        time.sleep(duration_s)
        is_over.set()

    loop.add_reader(reading, block)
    writing.send(b"x")
    await is_over.wait()
    reading.close()
    writing.close()


def write_from_endpoint(endpoint: FakeServer, data: bytes) -> None:
    """Write to the connection of the last request at once, without the event loop."""
    os.write(endpoint.received[-1].writer.get_extra_info("socket").fileno(), data)


def test_response_that_is_unread_at_its_timeout_is_not_timed_out(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        endpoint = FakeServer(stay_silent)
        dispatcher, decisions = await start_dispatcher(monkeypatch, endpoint)
        decisions.next_actions[RequestReceived] = [StartAttempt("r1", ENDPOINT_NAME, 300)]
        client = RecordingClient()
        dispatcher.submit(client, inbound_request())
        await endpoint.wait_for_requests(1)
        await stall(0.5, lambda: write_from_endpoint(endpoint, response_bytes(b"served")))
        assert await client.statuses.get() == 200
        assert decisions.attempt_results() == [AttemptResult.OK]
        endpoint.stop()

    run_scenario(scenario, 5)


def test_connect_that_is_unreported_at_its_timeout_has_not_failed(monkeypatch: pytest.MonkeyPatch) -> None:
    """A failed connect ejects an endpoint at once."""

    async def scenario() -> None:
        endpoint = FakeServer(lambda _: response_bytes(b"served"))
        request = await submit_with_blocked_connect(monkeypatch, endpoint, action_on_end=None)
        await endpoint.wait_until(lambda fake: fake.connections_opened == 1)
        await stall(0.5, request.connects.release.set)
        assert await request.client.statuses.get() == 200
        assert request.decisions.attempt_results() == [AttemptResult.OK]
        endpoint.stop()

    run_scenario(scenario, 5)


def test_response_read_after_the_lag_timer_has_run_does_not_count_the_stall(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The latency of the endpoint must not contain the stall, or the gateway would shed load."""

    async def scenario() -> None:
        endpoint = FakeServer(stay_silent)
        dispatcher, decisions = await start_dispatcher(monkeypatch, endpoint)
        await asyncio.sleep(0.1)  # lets the lag measurement begin
        decisions.next_actions[RequestReceived] = [StartAttempt("r1", ENDPOINT_NAME, 3000)]
        client = RecordingClient()
        dispatcher.submit(client, inbound_request())
        await endpoint.wait_for_requests(1)
        await stall(0.6, lambda: write_from_endpoint(endpoint, response_bytes(b"served")))
        assert await client.statuses.get() == 200
        (ended,) = [event for event in decisions.events if isinstance(event, AttemptEnded)]
        assert ended.duration_ms < 400
        endpoint.stop()

    run_scenario(scenario, 5)


def test_time_in_an_unread_socket_is_subtracted_from_the_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    """The client counts its deadline from when it sent the request, which was before the stall."""

    async def scenario() -> None:
        endpoint = FakeServer(stay_silent)
        dispatcher, decisions = await start_dispatcher(monkeypatch, endpoint)
        await asyncio.sleep(0.1)  # lets the lag measurement begin
        time.sleep(0.5)
        dispatcher.submit(RecordingClient(), inbound_request(deadline_ms=5000))
        (received,) = [event for event in decisions.events if isinstance(event, RequestReceived)]
        assert received.remaining_time_ms < 5000 - 400
        endpoint.stop()

    run_scenario(scenario, 5)


def test_connection_with_unread_data_is_not_reused(monkeypatch: pytest.MonkeyPatch) -> None:
    """Unread data would be parsed as the response to the next request."""

    async def scenario() -> None:
        endpoint = FakeServer(lambda _: response_bytes(b"served"))
        dispatcher, decisions = await start_dispatcher(monkeypatch, endpoint)
        client = RecordingClient()
        decisions.next_actions[RequestReceived] = [StartAttempt("r1", ENDPOINT_NAME, 3000)]
        dispatcher.submit(client, inbound_request())
        assert await client.statuses.get() == 200
        await asyncio.sleep(2 * MIN_IDLE_BEFORE_REUSE_S)
        write_from_endpoint(endpoint, response_bytes(b"a second response"))
        decisions.next_actions[RequestReceived] = [StartAttempt("r2", ENDPOINT_NAME, 3000)]
        dispatcher.submit(client, inbound_request())
        assert await client.statuses.get() == 200
        assert endpoint.connections_opened == 2
        endpoint.stop()

    run_scenario(scenario, 5)


@async_test(limit_s=5)
async def test_counter_response_that_is_unread_at_its_timeout_is_not_timed_out() -> None:
    counter = await FakeServer(stay_silent).start()
    replies: asyncio.Queue[CounterReply] = asyncio.Queue()
    client = CounterClient(
        asyncio.get_running_loop(), (LOOPBACK, counter.port), timeout_ms=200, on_reply=replies.put_nowait
    )
    client.increment(IncrementCounter("tenant", 1.0, 4000.0))
    await counter.wait_for_requests(1)
    await stall(0.4, lambda: write_from_endpoint(counter, response_bytes(b"3")))
    assert (await replies.get()).result is CounterResult.OK
    client.stop()
    counter.stop()


@async_test(limit_s=5)
async def test_endpoint_list_that_is_unread_at_its_timeout_is_used() -> None:
    discovery = await FakeServer(stay_silent).start()
    updates: asyncio.Queue[EndpointList] = asyncio.Queue()
    watch = DiscoveryWatch(
        asyncio.get_running_loop(), (LOOPBACK, discovery.port), updates.put_nowait, random.Random(1)
    )
    watch.start()
    await discovery.wait_for_requests(1)
    await stall(1.0, lambda: write_from_endpoint(discovery, response_bytes(ENDPOINT_LIST_BODY)))
    assert (await updates.get()).generation == 7
    assert discovery.connections_opened == 1
    watch.stop()
    discovery.stop()
