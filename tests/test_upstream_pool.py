"""The upstream connection pool: connects that break, or whose attempts must no longer be sent."""

from __future__ import annotations

import pytest
from support.dispatcher_driver import (
    ENDPOINT_NAME,
    BrokenConnectsLoop,
    RecordingClient,
    endpoint_list,
    inbound_request,
    start_dispatcher,
    submit_with_blocked_connect,
)
from support.http_fakes import FakeServer, response_bytes
from support.program import run_scenario

from api_gateway.model.actions import RejectRequest, StartAttempt
from api_gateway.model.events import AttemptEnded, ClientDisconnected, EndpointUpdate, RequestReceived
from api_gateway.model.results import AttemptResult


def serve(seen: object) -> bytes:
    return response_bytes(b"served")


def test_connection_that_breaks_right_after_the_connect_ends_as_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An attempt written to the broken connection would wait until its timeout."""

    async def scenario() -> None:
        endpoint = FakeServer(serve)
        dispatcher, decisions = await start_dispatcher(monkeypatch, endpoint)
        dispatcher._pool._loop = BrokenConnectsLoop(dispatcher._loop)
        client = RecordingClient()
        decisions.next_actions[RequestReceived] = [StartAttempt("r1", ENDPOINT_NAME, 5000)]
        decisions.next_actions[AttemptEnded] = [RejectRequest("r1")]
        dispatcher.submit(client, inbound_request())
        assert await client.statuses.get() == 503
        assert decisions.attempt_results() == [AttemptResult.NOT_SENT]
        endpoint.stop()

    run_scenario(scenario, 3)


@pytest.mark.parametrize("lifecycle", ["draining", "gone"])
def test_nothing_is_written_after_a_connect_to_an_endpoint_that_drains_or_is_removed(
    monkeypatch: pytest.MonkeyPatch, lifecycle: str
) -> None:
    """The endpoint list changes when the connect has succeeded, but its task has not ended."""

    async def scenario() -> None:
        endpoint = FakeServer(serve)
        request = await submit_with_blocked_connect(monkeypatch, endpoint)
        # Without this method, only the check before the write withdraws the attempt.
        monkeypatch.setattr(request.dispatcher._pool, "withdraw_pending_connects", lambda: None)
        await request.connects.started.wait()
        await endpoint.wait_until(lambda fake: fake.connections_opened == 1)
        request.connects.release.set()
        request.dispatcher._endpoints_updated(endpoint_list(endpoint, lifecycle))
        assert await request.client.statuses.get() == 503
        assert request.decisions.attempt_results() == [AttemptResult.WITHDRAWN]
        await endpoint.wait_until(lambda fake: fake.connections_closed == 1)
        assert not [request for request in endpoint.received if "/api/" in request.start_line]
        endpoint.stop()

    run_scenario(scenario, 3)


@pytest.mark.parametrize("lifecycle", ["draining", "gone"])
def test_pending_connect_is_withdrawn_at_once_when_its_endpoint_drains_or_is_removed(
    monkeypatch: pytest.MonkeyPatch, lifecycle: str
) -> None:
    """The decisions must receive the list before the result, or they would choose the endpoint again."""

    async def scenario() -> None:
        endpoint = FakeServer(serve)
        request = await submit_with_blocked_connect(monkeypatch, endpoint)
        await request.connects.started.wait()
        request.dispatcher._endpoints_updated(endpoint_list(endpoint, lifecycle))
        assert request.client.statuses.get_nowait() == 503
        last_events = [type(event) for event in request.decisions.events[-2:]]
        assert last_events == [EndpointUpdate, AttemptEnded]
        await request.connects.ended.wait()
        assert request.decisions.attempt_results() == [AttemptResult.WITHDRAWN]
        endpoint.stop()

    run_scenario(scenario, 3)


def test_attempt_at_a_draining_endpoint_is_withdrawn(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        endpoint = FakeServer(serve)
        dispatcher, decisions = await start_dispatcher(monkeypatch, endpoint)
        dispatcher._endpoints_updated(endpoint_list(endpoint, "draining"))
        client = RecordingClient()
        decisions.next_actions[RequestReceived] = [StartAttempt("r1", ENDPOINT_NAME, 5000)]
        decisions.next_actions[AttemptEnded] = [RejectRequest("r1")]
        dispatcher.submit(client, inbound_request())
        assert client.statuses.get_nowait() == 503
        assert decisions.attempt_results() == [AttemptResult.WITHDRAWN]
        assert not endpoint.connections_opened
        endpoint.stop()

    run_scenario(scenario, 3)


@pytest.mark.parametrize("reported", [True, False])
def test_nothing_is_written_after_a_connect_for_a_client_that_has_disconnected(
    monkeypatch: pytest.MonkeyPatch, reported: bool
) -> None:
    """The pool withdraws the attempt without an action of the decisions.

    It does so even if the event loop has not reported yet that the client has disconnected.
    """

    async def scenario() -> None:
        endpoint = FakeServer(serve)
        request = await submit_with_blocked_connect(monkeypatch, endpoint, action_on_end=None)
        dispatcher, decisions = request.dispatcher, request.decisions
        await endpoint.wait_until(lambda fake: fake.connections_opened == 1)
        request.client.is_disconnected = True
        if reported:
            dispatcher.client_disconnected(request.request_id)
        request.connects.release.set()
        await endpoint.wait_until(lambda fake: fake.connections_closed == 1)
        assert not endpoint.received and request.client.statuses.empty()
        assert decisions.attempt_results() == [AttemptResult.WITHDRAWN]
        assert decisions.events[-1].is_final
        assert ClientDisconnected(request.request_id) in decisions.events
        assert not dispatcher._request_handler.requests
        assert not dispatcher._request_handler.requests._x_request_ids
        endpoint.stop()

    run_scenario(scenario, 3)
