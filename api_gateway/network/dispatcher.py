"""Connects the gateway's decisions to the network.

Network events are passed to the decisions, and the actions that they return are executed.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections import deque

from api_gateway.configuration import Configuration
from api_gateway.decisions.gateway import Gateway
from api_gateway.model.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    IncrementCounter,
    RejectRequest,
    StartAttempt,
    StartTimer,
    SubscribeToEndpoints,
    WriteLog,
)
from api_gateway.model.endpoints import EndpointStatus, UpdateKind
from api_gateway.model.events import CounterReply, EndpointUpdate, Event, RequestReceived, TimerFired
from api_gateway.model.results import CounterResult
from api_gateway.network.clock import Clock, EventLoopLag
from api_gateway.network.counter import CounterClient
from api_gateway.network.discovery import DiscoveryWatch
from api_gateway.network.discovery_codec import EndpointList
from api_gateway.network.discovery_policy import PollPolicy
from api_gateway.network.endpoint_addresses import EndpointAddresses
from api_gateway.network.message_memory import MessageMemory
from api_gateway.network.open_requests import Client, InboundRequest
from api_gateway.network.request_handler import RequestHandler
from api_gateway.network.upstream.pool import ConnectionPool

log = logging.getLogger(__name__)

# If discovery sends no endpoint list within this time after the start, the gateway is ready with the endpoint
# list of the configuration, unless that is empty. If discovery is an agent, clients are not accepted before
# its list has arrived or this time has passed.
INITIAL_ENDPOINT_LIST_TIMEOUT_S = 1.0


class Dispatcher:
    """Passes events to the decisions and executes the actions that they return.

    Args:
        configuration: The gateway's configuration.
        loop: The event loop.
        pool_class: Class of the upstream connection pool, which may be a simulated one.

    Attributes:
        settings: The settings from the configuration.
        message_memory: Limits the memory of the messages of all connections.
        startup_complete: Set when clients may be accepted: discovery has sent an endpoint list, or the time
            to wait for it has passed.
        is_draining: Whether a graceful shutdown has begun; set by the code that shuts the process down.
        is_terminated: Whether all open requests have been failed and no new ones are accepted.
    """

    def __init__(
        self,
        configuration: Configuration,
        loop: asyncio.AbstractEventLoop,
        pool_class: type[ConnectionPool] = ConnectionPool,
    ) -> None:
        self.settings = configuration.settings
        self.startup_complete = asyncio.Event()
        self.message_memory = MessageMemory(configuration.limits.message_bytes)
        self.is_draining = False
        self.is_terminated = False
        self._loop = loop
        self._clock = Clock()
        self._gateway = Gateway(configuration.settings, configuration.seed, configuration.limits.tenants)
        self._lag = EventLoopLag(loop)
        self._request_handler = RequestHandler(
            configuration=configuration,
            loop=loop,
            pool_class=pool_class,
            message_memory=self.message_memory,
            lag=self._lag,
            post_event=self._post_event,
        )
        self._pool = self._request_handler.pool
        self._cached_endpoint_list = configuration.cached_endpoints
        self._discovery = self._create_discovery_watch(configuration)
        self._counter = self._create_counter_client(configuration)
        self._endpoint_addresses = EndpointAddresses()
        self._events: deque[Event] = deque()
        self._is_handling_event = False
        self._started_at = 0.0
        self._has_discovery_response = False

    def _create_discovery_watch(self, configuration: Configuration) -> DiscoveryWatch:
        cached = configuration.cached_endpoints
        return DiscoveryWatch(
            loop=self._loop,
            address=configuration.discovery,
            on_update=self._endpoints_updated,
            # A generator of its own, since the draws of the decisions must depend on their events only.
            rng=random.Random(configuration.seed ^ 1),
            known_generation=cached.generation if cached.endpoints else None,
            policy=PollPolicy.for_settings(configuration.settings, configuration.max_poll_interval_ms),
        )

    def _create_counter_client(self, configuration: Configuration) -> CounterClient | None:
        if configuration.counter is None:
            return None
        return CounterClient(
            loop=self._loop,
            address=configuration.counter,
            timeout_ms=configuration.settings.counter_timeout_ms,
            on_reply=self._post_event,
        )

    # --- Startup and shutdown -----------------------------------------------------------------------------

    def start(self) -> None:
        """Apply the configured endpoint list, then watch discovery and connect to the counter."""
        self._started_at = time.monotonic()
        self._apply_endpoint_list(self._cached_endpoint_list, UpdateKind.CACHED)
        self._pool.start()
        self._discovery.start()
        if self._counter is not None:
            self._counter.start()
        self._lag.start()
        # A discovery agent on this machine responds at once. A discovery service that the whole fleet polls
        # may take long to respond, so clients are accepted without waiting for it.
        timeout_s = 0.0 if self.settings.discovery_by_polling else INITIAL_ENDPOINT_LIST_TIMEOUT_S
        self._loop.call_later(timeout_s, self.startup_complete.set)

    def stop(self) -> None:
        """Close all connections to discovery, the endpoints and the counter."""
        self._discovery.stop()
        self._pool.stop()
        if self._counter is not None:
            self._counter.stop()

    def reload(self, configuration: Configuration) -> None:
        """Use the discovery and counter addresses of a new configuration; everything else stays unchanged."""
        self._discovery.change_address(configuration.discovery)
        if self._counter is not None and configuration.counter is not None:
            self._counter.change_address(configuration.counter)

    def is_ready(self) -> bool:
        """Return whether the gateway can serve requests.

        It must know at least one endpoint and not be draining. Without a response from discovery, it is ready
        `INITIAL_ENDPOINT_LIST_TIMEOUT_S` after the start.
        """
        if self.is_draining or not self._pool.endpoint_names():
            return False
        return (
            self._has_discovery_response
            or time.monotonic() - self._started_at > INITIAL_ENDPOINT_LIST_TIMEOUT_S
        )

    def fail_open_requests(self) -> None:
        """Respond to all open requests with 504 and accept no new ones, as the process is about to exit."""
        self.is_terminated = True
        self._request_handler.fail_open_requests()

    # --- Requests -----------------------------------------------------------------------------------------

    def submit(self, client: Client, inbound: InboundRequest) -> str | None:
        """Accept a request.

        Args:
            client: Receives exactly one response, possibly before this method returns. If the result is None,
                it receives none, and the caller must respond.
            inbound: The request.

        Returns:
            The request id for `client_disconnected`, or None if a request with the same X-Request-Id is open.
        """
        return self._request_handler.submit(client, inbound)

    def client_disconnected(self, request_id: str) -> None:
        """Close a request whose client has disconnected."""
        self._request_handler.client_disconnected(request_id)

    # --- Endpoints ----------------------------------------------------------------------------------------

    def _endpoints_updated(self, endpoint_list: EndpointList) -> None:
        self._has_discovery_response = True
        self.startup_complete.set()
        kind = UpdateKind.FULL if endpoint_list.is_full else UpdateKind.CHANGES
        self._apply_endpoint_list(endpoint_list, kind)

    def _apply_endpoint_list(self, endpoint_list: EndpointList, kind: UpdateKind) -> None:
        is_full = kind is not UpdateKind.CHANGES
        endpoint_list = self._endpoint_addresses.remove_superseded(endpoint_list, is_full=is_full)
        endpoints = endpoint_list.endpoints
        removed = {e.name for e in endpoints if e.status is EndpointStatus.REMOVED}
        if is_full:  # it replaces the previous one
            removed |= self._pool.endpoint_names() - {e.name for e in endpoints}
        self._pool.update_endpoints(
            addresses=endpoint_list.addresses,
            removed=removed,
            draining={e.name for e in endpoints if e.status is not EndpointStatus.UP},
            started_at_ms={e.name: e.started_at_ms for e in endpoints},
        )
        # An empty list of changes, which ends a long poll, is not passed to the decisions.
        if endpoints or is_full:
            self._post_event(EndpointUpdate(kind, endpoints))
        self._pool.withdraw_pending_connects()  # after the decisions have received the list

    # --- Decisions ----------------------------------------------------------------------------------------

    def _post_event(self, event: Event) -> None:
        """Queue an event, and handle all queued events unless that is under way already.

        Events that are posted while an action is executed are handled after the current event.
        """
        self._events.append(event)
        if self._is_handling_event:
            return
        self._is_handling_event = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._is_handling_event = False

    def _handle(self, event: Event) -> None:
        """Pass an event to the decisions and execute the actions that they return.

        An exception is logged. If the decisions raise it on a new request, that request fails with 500.
        """
        try:
            actions = self._gateway.handle(self._clock.now_ms(), event)
        except Exception:
            log.exception("event_failed event=%s", type(event).__name__)
            if isinstance(event, RequestReceived):
                self._request_handler.respond(event.request_id, 500)
            return
        for action in actions:
            try:
                self._execute(action)
            except Exception:
                log.exception("action_failed action=%s", type(action).__name__)

    def _execute(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self._request_handler.start_attempt(action)
            case RejectRequest():
                self._reject_request(action)
            case FailRequest():
                self._request_handler.respond(action.request_id, 502)
            case CancelAttempt():
                self._request_handler.cancel_attempt(action)
            case StartTimer():
                delay_s = max(action.delay_ms, 0.0) / 1000
                self._loop.call_later(delay_s, self._post_event, TimerFired(action.name))
            case IncrementCounter():
                self._increment_counter(action)
            case SubscribeToEndpoints():
                pass  # the discovery watch runs from the start
            case WriteLog():
                log.info("%s", action.text)

    def _reject_request(self, action: RejectRequest) -> None:
        if log.isEnabledFor(logging.DEBUG):
            self._log_rejection(action)
        self._request_handler.respond(action.request_id, 503, retry_after_ms=action.retry_after_ms)

    def _log_rejection(self, action: RejectRequest) -> None:
        request = self._request_handler.requests.get(action.request_id)
        log.debug(
            "request_rejected request_id=%s x_request_id=%s reason=%s retry_after_ms=%.0f",
            action.request_id,
            request.inbound.x_request_id_text() if request is not None else "",
            action.reason.value,
            action.retry_after_ms,
        )

    def _increment_counter(self, action: IncrementCounter) -> None:
        if self._counter is None:
            self._post_event(CounterReply(action.name, CounterResult.CONNECT_FAILED, 0.0))
        else:
            self._counter.increment(action)
