"""No attempt is started for a client that has disconnected, even if the event loop has not reported that yet.

The tests run the real listener and dispatcher with scripted decisions, an endpoint, and clients on real
connections. The event loop does not run between two awaits of a test, so when a client closes its connection,
the end of the stream stays unread in the kernel.
"""

from __future__ import annotations

import asyncio
import socket

import pytest
from support.dispatcher_driver import ENDPOINT_NAME, BlockedConnectsLoop, ScriptedDecisions, start_dispatcher
from support.http_fakes import LOOPBACK, FakeServer, request_bytes
from support.program import run_scenario

from api_gateway.model.actions import RejectRequest, StartAttempt
from api_gateway.model.events import AttemptEnded, ClientDisconnected, RequestReceived, TimerFired
from api_gateway.model.results import AttemptResult
from api_gateway.network.dispatcher import Dispatcher
from api_gateway.network.downstream.listener import Listener

FIRST_REQUEST = request_bytes(x_request_id=b"0000000000000001")
SECOND_REQUEST = request_bytes(x_request_id=b"0000000000000002")

MUCH_INPUT_BYTES = 800_000  # more than the kernel keeps for a connection that is not read
MUCH_INPUT = MUCH_INPUT_BYTES // 4000 * request_bytes(extra_headers=f"Filler: {4000 * 'x'}\r\n")


class Frontend:
    """A listener in front of a dispatcher, and the connections of its clients."""

    def __init__(self, dispatcher: Dispatcher, decisions: ScriptedDecisions, endpoint: FakeServer) -> None:
        self.dispatcher, self.decisions, self.endpoint = dispatcher, decisions, endpoint
        self.listener = Listener(dispatcher, asyncio.get_running_loop(), 1024)
        self.address = self.listener.start((LOOPBACK, 0))

    def connect(self, data: bytes) -> socket.socket:
        """Connect a client, and send `data`."""
        client = socket.create_connection(self.address)
        client.sendall(data)
        return client

    async def request_received(self) -> str:
        """Wait until a request has been received; return the id of the last one."""
        while True:
            received = [event for event in self.decisions.events if isinstance(event, RequestReceived)]
            if received:
                return received[-1].request_id
            await asyncio.sleep(0)

    async def assert_requests_at_endpoint(self, count: int) -> None:
        """Run the event loop for a while, and check that the endpoint has received `count` requests."""
        for _ in range(50):
            await asyncio.sleep(0.001)
        assert len(self.endpoint.received) == count, [
            request.start_line for request in self.endpoint.received
        ]


@pytest.mark.parametrize(
    ("response", "timeout_ms", "result"),
    [
        pytest.param(b"", 5000, AttemptResult.CONNECTION_RESET, id="reset"),
        pytest.param(None, 30, AttemptResult.TIMED_OUT, id="timeout"),
        pytest.param(None, 5000, AttemptResult.CONNECTION_RESET, id="idle connection closed"),
    ],
)
def test_no_retry_for_a_client_that_has_closed(
    monkeypatch: pytest.MonkeyPatch, response: bytes | None, timeout_ms: float, result: AttemptResult
) -> None:
    """The result of the attempt is handled while the client's disconnect is unread.

    A retry that starts then would run a request whose client is gone.
    """

    async def scenario() -> None:
        endpoint = FakeServer(lambda request: response)
        dispatcher, decisions = await start_dispatcher(monkeypatch, endpoint)
        frontend = Frontend(dispatcher, decisions, endpoint)
        decisions.next_actions[RequestReceived] = [StartAttempt("r1", ENDPOINT_NAME, timeout_ms)]
        client = frontend.connect(FIRST_REQUEST)
        request_id = await frontend.request_received()
        await endpoint.wait_until(lambda fake: len(fake.received) == 1)
        client.close()
        attempt = dispatcher._request_handler.requests.get(request_id).attempts[0]
        decisions.next_actions[AttemptEnded] = [StartAttempt(request_id, ENDPOINT_NAME, 5000)]
        dispatcher._pool._abort_attempt(attempt, result)
        assert decisions.attempt_results()[-1] == AttemptResult.NOT_STARTED
        assert ClientDisconnected(request_id) in decisions.events
        await frontend.assert_requests_at_endpoint(1)
        assert not dispatcher._request_handler.requests
        endpoint.stop()

    run_scenario(scenario, 5)


@pytest.mark.parametrize(
    ("first_endpoint", "unread"),
    [
        pytest.param(None, b"", id="waits for the counter"),
        pytest.param(None, SECOND_REQUEST + b"GET /api/", id="end behind unread bytes"),
        pytest.param("unknown", b"", id="to another endpoint"),
    ],
)
def test_no_attempt_for_a_client_that_has_closed(
    monkeypatch: pytest.MonkeyPatch, first_endpoint: str | None, unread: bytes
) -> None:
    """The decisions start an attempt while the client's disconnect is unread."""

    async def scenario() -> None:
        endpoint = FakeServer(lambda request: None)
        dispatcher, decisions = await start_dispatcher(monkeypatch, endpoint)
        frontend = Frontend(dispatcher, decisions, endpoint)
        if first_endpoint is not None:
            decisions.next_actions[RequestReceived] = [StartAttempt("r1", first_endpoint, 5000)]
        client = frontend.connect(FIRST_REQUEST)
        request_id = await frontend.request_received()
        if unread:
            client.sendall(unread)
        client.close()
        decisions.next_actions[TimerFired] = [StartAttempt(request_id, ENDPOINT_NAME, 5000)]
        dispatcher._post_event(TimerFired("x"))
        assert decisions.attempt_results()[-1] == AttemptResult.NOT_STARTED
        assert ClientDisconnected(request_id) in decisions.events
        await frontend.assert_requests_at_endpoint(0)
        assert not dispatcher._request_handler.requests
        endpoint.stop()

    run_scenario(scenario, 5)


def test_pipelined_request_of_a_client_that_has_closed_is_not_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    """The client disconnects just before the first response; its second request must not be sent."""

    async def scenario() -> None:
        endpoint = FakeServer(lambda request: None)
        dispatcher, decisions = await start_dispatcher(monkeypatch, endpoint)
        frontend = Frontend(dispatcher, decisions, endpoint)
        client = frontend.connect(FIRST_REQUEST + SECOND_REQUEST)
        request_id = await frontend.request_received()
        client.close()
        decisions.next_actions[RequestReceived] = [StartAttempt("r2", ENDPOINT_NAME, 5000)]
        decisions.next_actions[TimerFired] = [RejectRequest(request_id)]  # the second request is served next
        dispatcher._post_event(TimerFired("x"))
        await frontend.assert_requests_at_endpoint(0)
        assert AttemptResult.OK not in decisions.attempt_results()
        assert not dispatcher._request_handler.requests
        endpoint.stop()

    run_scenario(scenario, 5)


def test_end_of_a_client_behind_much_unread_input_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against lost requests: input that was not read hid the end, and attempts started after it.
    async def scenario() -> None:
        endpoint = FakeServer(lambda request: None)
        dispatcher, decisions = await start_dispatcher(monkeypatch, endpoint)
        frontend = Frontend(dispatcher, decisions, endpoint)
        decisions.next_actions[RequestReceived] = [StartAttempt("r1", ENDPOINT_NAME, 500)]
        client = frontend.connect(FIRST_REQUEST)
        await frontend.request_received()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, MUCH_INPUT_BYTES)
        client.setblocking(False)
        await asyncio.get_running_loop().sock_sendall(client, MUCH_INPUT)
        client.close()
        decisions.next_actions[AttemptEnded] = [StartAttempt("r1", ENDPOINT_NAME, 500)]
        while AttemptResult.TIMED_OUT not in decisions.attempt_results():
            await asyncio.sleep(0.01)
        assert decisions.attempt_results()[-1] == AttemptResult.NOT_STARTED
        await frontend.assert_requests_at_endpoint(1)
        endpoint.stop()

    run_scenario(scenario, 5)


@pytest.mark.parametrize("connected", [False, True])
def test_pending_connect_is_withdrawn_when_its_client_closes(
    monkeypatch: pytest.MonkeyPatch, connected: bool
) -> None:
    """The disconnect is read before the connection is established, or is unread when it is established."""

    async def scenario() -> None:
        endpoint = FakeServer(lambda request: None)
        dispatcher, decisions = await start_dispatcher(monkeypatch, endpoint)
        dispatcher._pool._loop = connects = BlockedConnectsLoop(dispatcher._loop)
        frontend = Frontend(dispatcher, decisions, endpoint)
        decisions.next_actions[RequestReceived] = [StartAttempt("r1", ENDPOINT_NAME, 5000)]
        client = frontend.connect(FIRST_REQUEST)
        await frontend.request_received()
        await endpoint.wait_until(lambda fake: fake.connections_opened == 1)
        if connected:
            connects.release.set()  # the connect is reported in the next iteration of the event loop
        client.close()
        await endpoint.wait_until(lambda fake: fake.connections_closed == 1)
        assert decisions.attempt_results() == [AttemptResult.WITHDRAWN]
        assert not endpoint.received
        assert not dispatcher._request_handler.requests
        endpoint.stop()

    run_scenario(scenario, 5)
