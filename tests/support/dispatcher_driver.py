"""A dispatcher with scripted decisions, one fake endpoint, and clients that record their responses."""

from __future__ import annotations

import asyncio
import itertools
import math
import time
from dataclasses import dataclass

import pytest

from api_gateway.configuration import parse_configuration
from api_gateway.model.actions import Action, FailRequest, RejectRequest, StartAttempt
from api_gateway.model.endpoints import UpdateKind
from api_gateway.model.events import AttemptEnded, Event, RequestReceived
from api_gateway.model.results import AttemptResult
from api_gateway.model.settings import Settings
from api_gateway.network import dispatcher as dispatcher_module
from api_gateway.network.discovery import EndpointList, parse_endpoint_list
from api_gateway.network.dispatcher import Dispatcher, InboundRequest
from support.http_fakes import CLASS_SETTINGS, LOOPBACK, PLAN_SETTINGS, FakeServer, instance

ENDPOINT_NAME = "s-0"
_serial_numbers = itertools.count(1)


class ScriptedDecisions:
    """Takes the place of the decisions: records events, and returns the actions that a test has set.

    Attributes:
        events: All events, in their order.
        next_actions: Actions to return on the next event of a type, once; an exception is raised instead.
    """

    def __init__(self, settings: Settings, seed: int, max_tenants: int) -> None:
        self.events: list[Event] = []
        self.next_actions: dict[type[Event], list[Action] | Exception] = {}

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Record an event and return the actions set for its type."""
        self.events.append(event)
        actions = self.next_actions.pop(type(event), [])
        if isinstance(actions, Exception):
            raise actions
        return actions

    def attempt_results(self) -> list[AttemptResult]:
        """Return the results of all attempts that have ended, in their order."""
        return [event.result for event in self.events if isinstance(event, AttemptEnded)]


class RecordingClient:
    """A client that records the status of each response.

    Attributes:
        statuses: Status codes of its responses; more than one response is a fault.
        is_disconnected: Set by a test to close its connection without telling the event loop.
    """

    def __init__(self) -> None:
        self.statuses: asyncio.Queue[int] = asyncio.Queue()
        self.is_disconnected = False

    def abort_if_disconnected(self) -> bool:
        """Return whether a test has closed its connection; there is nothing to abort."""
        return self.is_disconnected

    def respond(
        self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        """Record a response."""
        self.statuses.put_nowait(status)


def inbound_request(deadline_ms: float = 5000, body: bytes = b"") -> InboundRequest:
    """Return a valid request with a unique X-Request-Id."""
    return InboundRequest(
        x_request_id=b"%d" % next(_serial_numbers),
        class_name="pay",
        plan_name="team",
        tenant="0" * 16,
        remaining_time_ms=deadline_ms,
        units=1,
        gateway_count=1,
        first_gateway=0,
        is_retry=False,
        received_at_s=time.monotonic(),
        head=b"POST /api/0 HTTP/1.1\r\nX-Request-Id: a\r\nContent-Length: 0\r\n",
        body=body,
    )


async def start_dispatcher(
    monkeypatch: pytest.MonkeyPatch, endpoint: FakeServer
) -> tuple[Dispatcher, ScriptedDecisions]:
    """Start an endpoint, and a dispatcher that knows it as `ENDPOINT_NAME`; discovery is not polled."""
    monkeypatch.setattr(dispatcher_module, "Gateway", ScriptedDecisions)
    await endpoint.start()
    configuration = parse_configuration(
        {
            "listen": f"{LOOPBACK}:0",
            "discovery": f"{LOOPBACK}:{endpoint.port}",
            "seed": "1",
            "known": {"generation": 1, "reset": True, "instances": [instance(ENDPOINT_NAME, endpoint.port)]},
            "settings": {"grades": CLASS_SETTINGS, "packages": PLAN_SETTINGS, "bounds": {"try_limit": 2}},
        }
    )
    dispatcher = Dispatcher(configuration, asyncio.get_running_loop())
    dispatcher._apply_endpoint_list(configuration.cached_endpoints, UpdateKind.CACHED)
    # Starts the lag measurement without `Dispatcher.start`, which would start to poll discovery, too.
    dispatcher._loop.call_soon(dispatcher._lag._measure)
    return dispatcher, dispatcher._gateway


def endpoint_list(endpoint: FakeServer, lifecycle: str) -> EndpointList:
    """Return an endpoint list of the next generation.

    Args:
        endpoint: The endpoint.
        lifecycle: Lifecycle of the endpoint in a list of changes; "gone" for an empty full list instead.
    """
    removed = lifecycle == "gone"
    instances = [] if removed else [instance(ENDPOINT_NAME, endpoint.port, lifecycle)]
    return parse_endpoint_list({"generation": 2, "reset": removed, "instances": instances})


class BlockedConnectsLoop:
    """An event loop whose connects end only when a test releases them.

    Attributes:
        started: Set when a connect has been started.
        release: Set by a test to let all connects end.
        ended: Set when a connect has succeeded or has been cancelled.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self.started = asyncio.Event()
        self.release = asyncio.Event()
        self.ended = asyncio.Event()

    def __getattr__(self, name: str) -> object:
        """Pass all else to the real event loop."""
        return getattr(self._loop, name)

    async def create_connection(self, *args: object) -> tuple[asyncio.Transport, asyncio.Protocol]:
        """Connect, then wait for the release."""
        self.started.set()
        try:
            transport, protocol = await self._loop.create_connection(*args)
            try:
                await self.release.wait()
            except asyncio.CancelledError:
                transport.abort()  # as the event loop closes the socket of a cancelled connect
                raise
            return transport, protocol
        finally:
            self.ended.set()


class BrokenConnectsLoop:
    """An event loop whose new connections are aborted before they can be used."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def __getattr__(self, name: str) -> object:
        """Pass all else to the real event loop."""
        return getattr(self._loop, name)

    async def create_connection(self, *args: object) -> tuple[asyncio.Transport, asyncio.Protocol]:
        """Connect, and abort the connection."""
        transport, protocol = await self._loop.create_connection(*args)
        transport.abort()
        return transport, protocol


@dataclass
class ConnectingRequest:
    """A request with one attempt whose connect is blocked, and the dispatcher that it was submitted to."""

    dispatcher: Dispatcher
    decisions: ScriptedDecisions
    client: RecordingClient
    connects: BlockedConnectsLoop
    request_id: str


async def submit_with_blocked_connect(
    monkeypatch: pytest.MonkeyPatch,
    endpoint: FakeServer,
    *,
    action_on_end: type[RejectRequest] | type[FailRequest] | None = RejectRequest,
    timeout_ms: float = 5000,
    write_timeout_ms: float = math.inf,
) -> ConnectingRequest:
    """Submit a request with an attempt whose connect ends only when the test releases it.

    Args:
        monkeypatch: Replaces the decisions by the scripted ones.
        endpoint: The endpoint, which is started.
        action_on_end: Action that the decisions return when the attempt ends; None for no action.
        timeout_ms: Timeout of the attempt.
        write_timeout_ms: Time within which the attempt must be written.
    """
    dispatcher, decisions = await start_dispatcher(monkeypatch, endpoint)
    dispatcher._pool._loop = connects = BlockedConnectsLoop(dispatcher._loop)
    client = RecordingClient()
    decisions.next_actions[RequestReceived] = [
        StartAttempt("r1", ENDPOINT_NAME, timeout_ms, write_timeout_ms)
    ]
    if action_on_end is not None:
        decisions.next_actions[AttemptEnded] = [action_on_end("r1")]
    request_id = dispatcher.submit(client, inbound_request())
    return ConnectingRequest(dispatcher, decisions, client, connects, request_id)
