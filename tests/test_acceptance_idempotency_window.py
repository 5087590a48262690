"""An attempt is written only within its idempotency window, and only while its request is open.

An endpoint forgets an idempotency key at the end of the window. An attempt that it receives later could run
the request a second time.
"""

from __future__ import annotations

import asyncio
import math
import time

import pytest
from support.dispatcher_driver import (
    ENDPOINT_NAME,
    BlockedConnectsLoop,
    RecordingClient,
    ScriptedDecisions,
    inbound_request,
    start_dispatcher,
    submit_with_blocked_connect,
)
from support.gateway_driver import PUT_CLASS, GatewayDriver, actions_of_type, endpoint
from support.http_fakes import FakeServer, instance, response_bytes
from support.program import run_scenario

from api_gateway.model.actions import FailRequest, StartAttempt
from api_gateway.model.endpoints import UpdateKind
from api_gateway.model.events import AttemptEnded, EndpointUpdate, RequestReceived, TimerFired
from api_gateway.model.results import AttemptResult
from api_gateway.network.discovery import parse_endpoint_list
from api_gateway.network.dispatcher import Dispatcher
from api_gateway.network.upstream.pool import ConnectionPool


def serve(request: object) -> bytes:
    return response_bytes(b"served")


def test_retry_carries_the_remaining_window() -> None:
    """The window starts with the first attempt that may have run, not with one that certainly has not."""
    driver = GatewayDriver()
    request_id, actions = driver.send_request("put")
    (first,) = actions_of_type(actions, StartAttempt)
    assert first.write_timeout_ms == math.inf
    actions = driver.end_attempt(request_id, AttemptResult.CONNECTION_RESET, after_ms=700)
    (retry,) = actions_of_type(actions, StartAttempt)
    assert (
        retry.write_timeout_ms
        == PUT_CLASS.idempotency_window_ms - 700 - 2 * driver.gateway.settings.clock_tick_ms
    )
    request_id, _ = driver.send_request("put")
    actions = driver.end_attempt(request_id, AttemptResult.CONNECT_FAILED, after_ms=700)
    (retry,) = actions_of_type(actions, StartAttempt)
    assert retry.write_timeout_ms == math.inf


def test_nothing_is_written_after_a_connect_that_outlasts_the_window(monkeypatch: pytest.MonkeyPatch) -> None:
    """The write checks the window itself: the test disables the timer that ends a pending connect."""

    async def scenario() -> None:
        fake = FakeServer(serve)
        monkeypatch.setattr(ConnectionPool, "_start_write_timer", lambda self, attempt: None)
        request = await submit_with_blocked_connect(
            monkeypatch, fake, action_on_end=FailRequest, write_timeout_ms=60_000
        )
        await fake.wait_until(lambda fake: fake.connections_opened == 1)
        (attempt,) = request.dispatcher._pool._pending_connects
        attempt.write_deadline = time.monotonic() - 0.001
        request.connects.release.set()
        assert await request.client.statuses.get() == 502
        assert request.decisions.attempt_results() == [AttemptResult.WITHDRAWN]
        await fake.wait_until(lambda fake: fake.connections_closed == 1)
        assert not fake.received
        fake.stop()

    run_scenario(scenario, 3)


def test_pending_connect_ends_with_the_window_and_its_request_gets_a_response(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        fake = FakeServer(serve)
        dispatcher, decisions = await start_dispatcher(monkeypatch, fake)
        dispatcher._pool._loop = BlockedConnectsLoop(dispatcher._loop)  # never released
        dispatcher._pool._connect_timeout_s = 60.0
        client, started = RecordingClient(), time.monotonic()
        decisions.next_actions[RequestReceived] = [
            StartAttempt("r1", ENDPOINT_NAME, 5000, write_timeout_ms=30)
        ]
        decisions.next_actions[AttemptEnded] = [FailRequest("r1")]
        dispatcher.submit(client, inbound_request())
        assert await client.statuses.get() == 502
        assert decisions.attempt_results() == [AttemptResult.WITHDRAWN]
        assert time.monotonic() - started < 1
        fake.stop()

    run_scenario(scenario, 3)


def test_nothing_is_written_when_the_window_is_over_at_the_start(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        fake = FakeServer(serve)
        dispatcher, decisions = await start_dispatcher(monkeypatch, fake)
        decisions.next_actions[RequestReceived] = [
            StartAttempt("r1", ENDPOINT_NAME, 5000, write_timeout_ms=-1)
        ]
        dispatcher.submit(RecordingClient(), inbound_request())
        assert decisions.attempt_results() == [AttemptResult.WITHDRAWN]
        assert not fake.connections_opened
        fake.stop()

    run_scenario(scenario, 3)


class PausedServer(FakeServer):
    """An endpoint that accepts connections and reads nothing."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.transport.pause_reading()
        self.connections_opened += 1
        self.connection = writer.transport
        self.changed.set()


async def submit_with_unsent_bytes(
    dispatcher: Dispatcher, decisions: ScriptedDecisions, *, write_timeout_ms: float
) -> str:
    """Submit a request whose last bytes stay unsent, since its endpoint reads nothing; return its id."""
    decisions.next_actions[RequestReceived] = [StartAttempt("r1", ENDPOINT_NAME, 5000, write_timeout_ms)]
    request_id = dispatcher.submit(RecordingClient(), inbound_request(body=b"x" * 16_000_000))
    while not any(connection.has_unsent_data for connection in dispatcher._pool._connections):
        await asyncio.sleep(0)
    return request_id


@pytest.mark.parametrize("reason", ["client disconnected", "window over", "request answered"])
def test_attempt_with_unsent_bytes_is_withdrawn_when_it_is_no_longer_needed(
    monkeypatch: pytest.MonkeyPatch, reason: str
) -> None:
    """If the last bytes were sent later, the endpoint would run a request that nobody waits for.

    The network code withdraws the attempt itself, without a cancel action of the decisions.
    """

    async def scenario() -> None:
        fake = PausedServer(lambda request: None)
        dispatcher, decisions = await start_dispatcher(monkeypatch, fake)
        request_id = await submit_with_unsent_bytes(
            dispatcher, decisions, write_timeout_ms=50 if reason == "window over" else math.inf
        )
        if reason == "client disconnected":
            dispatcher.client_disconnected(request_id)
        elif reason == "request answered":
            decisions.next_actions[TimerFired] = [FailRequest(request_id)]
            dispatcher._post_event(TimerFired("x"))
        while not decisions.attempt_results():
            await asyncio.sleep(0)
        assert decisions.attempt_results() == [AttemptResult.WITHDRAWN]
        while dispatcher._pool._connections:  # the connection is closed, and its unsent bytes are dropped
            await asyncio.sleep(0)
        fake.stop()

    run_scenario(scenario, 3)  # less than the deadline, which would end the attempt, too


def test_deadline_sent_to_an_endpoint_is_the_time_remaining_at_the_write(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> None:
        fake = FakeServer(serve)
        request = await submit_with_blocked_connect(monkeypatch, fake, action_on_end=None, timeout_ms=2000)
        (attempt,) = request.dispatcher._pool._pending_connects
        attempt.deadline -= 1.5  # simulates a connect that took 1.5 s
        attempt.started_at -= 1.5
        request.connects.release.set()
        assert await request.client.statuses.get() == 200
        assert int(fake.received[0].headers["x-deadline"].removesuffix("m")) <= 500
        fake.stop()

    run_scenario(scenario, 3)


def test_connect_to_an_earlier_process_of_an_endpoint_is_withdrawn(monkeypatch: pytest.MonkeyPatch) -> None:
    """An endpoint with the same id and address but a later start time is another process.

    It is in slow start, so the attempt, which was decided for the earlier process, may be too much for it.
    """

    async def scenario() -> None:
        fake = FakeServer(serve)
        request = await submit_with_blocked_connect(monkeypatch, fake)
        await fake.wait_until(lambda fake: fake.connections_opened == 1)
        restarted = {**instance(ENDPOINT_NAME, fake.port), "startedAtMs": 1e12}
        request.dispatcher._endpoints_updated(
            parse_endpoint_list({"generation": 2, "reset": False, "instances": [restarted]})
        )
        assert request.client.statuses.get_nowait() == 503
        assert request.decisions.attempt_results() == [AttemptResult.WITHDRAWN]
        fake.stop()

    run_scenario(scenario, 3)


def test_slow_start_budget_of_an_earlier_process_is_not_inherited() -> None:
    driver = GatewayDriver()
    state = driver.gateway.endpoints["h0"]
    state.slow_start_budget = 5.0
    driver.deliver(EndpointUpdate(UpdateKind.CHANGES, (endpoint(0, started_at_ms=driver.now_ms),)))
    assert state.slow_start_budget == 0
