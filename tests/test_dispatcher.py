"""The dispatcher with scripted decisions: one response for each request, one result for each attempt."""

from __future__ import annotations

import asyncio
import logging
import os
import time

import pytest
from support.dispatcher_driver import ENDPOINT_NAME, RecordingClient, inbound_request, start_dispatcher
from support.http_fakes import FakeServer, response_bytes
from support.program import run_scenario

from api_gateway.model.actions import CancelAttempt, FailRequest, RejectRequest, StartAttempt
from api_gateway.model.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterReply,
    RequestReceived,
    TimerFired,
)
from api_gateway.model.results import AttemptResult, CounterResult, RejectReason


def test_deadline_timer_responds_in_time_and_later_actions_are_ignored(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The decisions may act on a request after the deadline timer has responded with 504.

    The client must not get a second response, and no endpoint another attempt.
    """

    async def scenario() -> None:
        endpoint = FakeServer(lambda request: None)
        dispatcher, decisions = await start_dispatcher(monkeypatch, endpoint)
        client, started = RecordingClient(), time.monotonic()
        decisions.next_actions[RequestReceived] = [
            StartAttempt("r1", ENDPOINT_NAME, 5000)
        ]  # has no response until the deadline
        dispatcher.submit(client, inbound_request(300))
        assert await client.statuses.get() == 504
        assert time.monotonic() - started < 0.3
        assert decisions.events[-1] == ClientDisconnected("r1")
        assert len(endpoint.received) == 1
        decisions.next_actions[TimerFired] = [
            StartAttempt("r1", ENDPOINT_NAME, 100),
            RejectRequest("r1"),
            FailRequest("r1"),
        ]
        dispatcher._post_event(TimerFired("late"))
        assert decisions.attempt_results() == [AttemptResult.NOT_STARTED]
        await asyncio.sleep(0.05)
        assert client.statuses.empty() and len(endpoint.received) == 1
        endpoint.stop()

    run_scenario(scenario)


@pytest.mark.parametrize(("level", "lines"), [(logging.DEBUG, 1), (logging.INFO, 0)])
def test_rejection_is_logged_with_the_x_request_id_at_debug_level(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture, level: int, lines: int
) -> None:
    async def scenario() -> None:
        endpoint = FakeServer(lambda request: None)
        dispatcher, decisions = await start_dispatcher(monkeypatch, endpoint)
        client, inbound = RecordingClient(), inbound_request()
        inbound.x_request_id = b"client-7"
        decisions.next_actions[RequestReceived] = [
            RejectRequest("r1", retry_after_ms=40.0, reason=RejectReason.OVER_QUOTA)
        ]
        with caplog.at_level(level, logger="api_gateway.network.dispatcher"):
            dispatcher.submit(client, inbound)
        assert await client.statuses.get() == 503
        endpoint.stop()

    run_scenario(scenario)
    line = "request_rejected request_id=r1 x_request_id=client-7 reason=REASON retry_after_ms=40"
    expected = line.replace("REASON", RejectReason.OVER_QUOTA.value)
    assert [message for message in caplog.messages if "request_rejected" in message] == [expected] * lines


def test_deadline_timer_logs_the_x_request_id(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario() -> None:
        endpoint = FakeServer(lambda request: None)
        dispatcher, _ = await start_dispatcher(monkeypatch, endpoint)
        client, inbound = RecordingClient(), inbound_request(50)
        inbound.x_request_id = b"client-7"
        dispatcher.submit(client, inbound)
        assert await client.statuses.get() == 504
        endpoint.stop()

    run_scenario(scenario)
    assert caplog.messages == ["request_deadline_reached request_id=r1 x_request_id=client-7 status=504"]


def test_exception_in_the_decisions_fails_one_request_only(monkeypatch: pytest.MonkeyPatch) -> None:
    """A fault of the decisions on one request must not leave it without a response or affect the next one."""

    async def scenario() -> None:
        endpoint = FakeServer(lambda request: response_bytes(b"served"))
        dispatcher, decisions = await start_dispatcher(monkeypatch, endpoint)
        failed, served = RecordingClient(), RecordingClient()
        decisions.next_actions[RequestReceived] = RuntimeError("broken")
        dispatcher.submit(failed, inbound_request())
        assert await failed.statuses.get() == 500
        decisions.next_actions[RequestReceived] = [StartAttempt("r2", ENDPOINT_NAME, 1000)]
        dispatcher.submit(served, inbound_request())
        assert await served.statuses.get() == 200
        endpoint.stop()

    run_scenario(scenario)


def test_each_attempt_has_exactly_one_result(monkeypatch: pytest.MonkeyPatch) -> None:
    """Covers a cancelled attempt, one at an unknown endpoint and one beyond the limit of attempts.

    Without its result, an attempt would stay in flight in the decisions.
    """

    async def scenario() -> None:
        endpoint = FakeServer(lambda request: None)
        dispatcher, decisions = await start_dispatcher(monkeypatch, endpoint)
        client = RecordingClient()
        decisions.next_actions[RequestReceived] = [
            StartAttempt("r1", ENDPOINT_NAME, 1000),
            StartAttempt("r1", "unknown", 1000),
            StartAttempt("r1", ENDPOINT_NAME, 1000),  # above the limit of two
        ]
        dispatcher.submit(client, inbound_request())
        assert decisions.attempt_results() == [AttemptResult.CONNECT_FAILED, AttemptResult.NOT_STARTED]
        await endpoint.wait_until(lambda fake: bool(fake.received))
        decisions.next_actions[TimerFired] = [
            CancelAttempt("r1", 0),
            CancelAttempt("r1", 0),
            FailRequest("r1"),
        ]
        dispatcher._post_event(TimerFired("cancel"))
        await endpoint.wait_until(lambda fake: fake.connections_closed == 1)
        assert decisions.attempt_results() == [
            AttemptResult.CONNECT_FAILED,
            AttemptResult.NOT_STARTED,
            AttemptResult.CANCELLED,
        ]
        assert await client.statuses.get() == 502
        assert not dispatcher._request_handler.requests
        endpoint.stop()

    run_scenario(scenario)


def test_no_attempt_is_started_for_a_client_that_has_disconnected(monkeypatch: pytest.MonkeyPatch) -> None:
    """An event loop under load may report late that a client has disconnected.

    Until then, a counter reply can make the decisions start an attempt for it.
    """

    async def scenario() -> None:
        endpoint = FakeServer(lambda request: response_bytes(b"served"))
        dispatcher, decisions = await start_dispatcher(monkeypatch, endpoint)
        client = RecordingClient()
        request_id = dispatcher.submit(client, inbound_request())
        client.is_disconnected = True
        decisions.next_actions[CounterReply] = [StartAttempt(request_id, ENDPOINT_NAME, 5000)]
        dispatcher._post_event(CounterReply("n", CounterResult.OK, 1))
        assert decisions.attempt_results() == [AttemptResult.NOT_STARTED]
        assert decisions.events[-1].is_final
        assert not dispatcher._request_handler.requests
        await asyncio.sleep(0)
        assert not endpoint.connections_opened
        endpoint.stop()

    run_scenario(scenario, 3)


def test_event_loop_stall_is_not_counted_as_latency_of_the_endpoint(monkeypatch: pytest.MonkeyPatch) -> None:
    """The response arrives in time, but stays unread while the event loop is stalled."""

    async def scenario() -> None:
        endpoint = FakeServer(lambda request: None)
        dispatcher, decisions = await start_dispatcher(monkeypatch, endpoint)
        await asyncio.sleep(0.1)
        decisions.next_actions[RequestReceived] = [StartAttempt("r1", ENDPOINT_NAME, 3000)]
        client = RecordingClient()
        dispatcher.submit(client, inbound_request())
        await endpoint.wait_until(
            lambda fake: any("/api/" in request.start_line for request in fake.received)
        )
        os.write(endpoint.received[-1].writer.get_extra_info("socket").fileno(), response_bytes(b"served"))
        time.sleep(0.6)  # stalls the event loop, so that the response stays unread
        assert await client.statuses.get() == 200
        (ended,) = [event for event in decisions.events if isinstance(event, AttemptEnded)]
        assert ended.duration_ms < 400
        endpoint.stop()

    run_scenario(scenario)
