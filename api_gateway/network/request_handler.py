"""Handles requests from their arrival to their response, with the attempts made for them."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable

from api_gateway.configuration import Configuration
from api_gateway.model.actions import CancelAttempt, StartAttempt
from api_gateway.model.events import AttemptEnded, ClientDisconnected, Event, RequestReceived
from api_gateway.model.results import AttemptResult
from api_gateway.model.settings import Idempotency
from api_gateway.network.clock import EventLoopLag
from api_gateway.network.executed_requests import ExecutedRequests
from api_gateway.network.header_names import BILLED_UNITS_HEADER, CONTENT_TYPE_HEADER
from api_gateway.network.message_memory import MessageMemory
from api_gateway.network.open_requests import Client, InboundRequest, OpenRequest, OpenRequests
from api_gateway.network.response_parser import Response
from api_gateway.network.upstream.attempt import Attempt
from api_gateway.network.upstream.pool import ConnectionPool

log = logging.getLogger(__name__)

# Time reserved for sending the request to this gateway and the response back to the client.
CLIENT_ROUND_TRIP_MS = 4.0

# A request without a response is failed with 504 this long before its remaining time ends.
DEADLINE_MARGIN_MS = 8.0

# The remaining time that the decisions get ends this long before that of the request, and so before the 504
# is sent.
DECISION_MARGIN_MS = 20.0


class RequestHandler:
    """Sends exactly one response to each request, and posts exactly one `AttemptEnded` for each attempt.

    Args:
        configuration: The gateway's configuration.
        loop: The event loop.
        pool_class: Class of the upstream connection pool.
        message_memory: Limits the memory of the messages of all connections.
        lag: Measures the lag of the event loop.
        post_event: Passes an event to the decisions.

    Attributes:
        requests: The open requests.
        pool: The pool that sends the attempts.
    """

    def __init__(
        self,
        *,
        configuration: Configuration,
        loop: asyncio.AbstractEventLoop,
        pool_class: type[ConnectionPool],
        message_memory: MessageMemory,
        lag: EventLoopLag,
        post_event: Callable[[Event], None],
    ) -> None:
        self.requests = OpenRequests()
        self.pool = pool_class(
            loop=loop,
            max_connections=configuration.limits.upstream_connections,
            connect_timeout_ms=configuration.connect_timeout_ms,
            idle_timeout_ms=configuration.idle_timeout_ms,
            message_memory=message_memory,
            on_attempt_ended=self._on_attempt_ended,
            close_if_client_disconnected=self._close_if_client_of_attempt_disconnected,
        )
        self._settings = configuration.settings
        self._idempotency_by_class = {
            request_class.name: request_class.idempotency for request_class in configuration.settings.classes
        }
        self._executed_requests = ExecutedRequests()
        self._loop = loop
        self._lag = lag
        self._post_event = post_event

    # --- Requests -----------------------------------------------------------------------------------------

    def submit(self, client: Client, inbound: InboundRequest) -> str | None:
        """Accept a request.

        Args:
            client: Receives exactly one response, possibly before this method returns. If the result is None,
                it receives none, and the caller must respond.
            inbound: The request.

        Returns:
            The request id for `client_disconnected`, or None if a request with the same X-Request-Id is open,
            or may have run and must not run again: endpoints identify a request by that header alone.
        """
        x_request_id = inbound.x_request_id
        if self.requests.has_x_request_id(x_request_id) or x_request_id in self._executed_requests:
            return None
        # The deadline counts from when the client sent the request. So the time for which the request may
        # have been unread (lag) and the time since it was read are subtracted.
        now = time.monotonic()
        queued_ms = (now - inbound.received_at_s) * 1000
        remaining_time_ms = (
            inbound.remaining_time_ms - CLIENT_ROUND_TRIP_MS - self._lag.lag_ms(now) - queued_ms
        )
        timeout_s = (remaining_time_ms - DEADLINE_MARGIN_MS) / 1000
        request = self.requests.add(client, inbound, now + timeout_s)
        request.deadline_timer = self._loop.call_later(max(timeout_s, 0.0), self._deadline_reached, request)
        self._post_event(
            RequestReceived(
                request_id=request.request_id,
                class_name=inbound.class_name,
                plan_name=inbound.plan_name,
                tenant=inbound.tenant,
                remaining_time_ms=remaining_time_ms - DECISION_MARGIN_MS,
                units=inbound.units,
                gateway_count=inbound.gateway_count,
                first_gateway=inbound.first_gateway,
                is_retry=inbound.is_retry,
            )
        )
        return request.request_id

    def client_disconnected(self, request_id: str) -> None:
        """Close a request whose client has disconnected, and withdraw its attempts with unsent bytes."""
        request = self.requests.get(request_id)
        if request is not None and request.client is not None:
            self._close_request(request)
            self._post_event(ClientDisconnected(request_id))
            self._withdraw_unsent_attempts(request)

    def respond(self, request_id: str, status: int, *, retry_after_ms: float = 0.0) -> None:
        """Send a response that comes from no endpoint, unless the request already has a response.

        Args:
            request_id: Id of the request.
            status: HTTP status code.
            retry_after_ms: Time after which the client may retry, in milliseconds; 0 omits Retry-After.
        """
        request = self.requests.get(request_id)
        if request is None or request.client is None:
            return
        client = self._close_request(request)
        client.respond(status, retry_after_ms=retry_after_ms)
        self._withdraw_unsent_attempts(request)

    def fail_open_requests(self) -> None:
        """Respond to all open requests with 504."""
        for request in self.requests:
            self._respond_with_timeout(request)

    def _forward_response(self, request: OpenRequest, response: Response) -> None:
        """Forward an endpoint's response, unless the request already has a response."""
        if request.client is None:
            return
        request.is_served = True
        client = self._close_request(request)
        client.respond(200, response.body, response.headers.get(CONTENT_TYPE_HEADER, b""))
        self._withdraw_unsent_attempts(request)

    def _close_if_client_disconnected(self, request: OpenRequest | None) -> bool:
        """Close a request if its client has disconnected.

        The client's socket is polled, since the event loop may report the end of the connection much later.

        Returns:
            Whether no client waits for a response.
        """
        if request is None or request.client is None:
            return True
        if request.client.abort_if_disconnected():
            self.client_disconnected(request.request_id)
        return request.client is None

    def _deadline_reached(self, request: OpenRequest) -> None:
        """Log a request that has no response at its deadline, and respond with 504."""
        log.warning(
            "request_deadline_reached request_id=%s x_request_id=%s status=504",
            request.request_id,
            request.inbound.x_request_id_text(),
        )
        self._respond_with_timeout(request)

    def _respond_with_timeout(self, request: OpenRequest) -> None:
        if request.client is not None:
            self.respond(request.request_id, 504)
            # For the decisions, a request with a 504 response is closed like one whose client has
            # disconnected.
            self._post_event(ClientDisconnected(request.request_id))

    def _close_request(self, request: OpenRequest) -> Client:
        """Detach the client from its request and return it, and cancel the deadline timer.

        No further attempt starts, so the request's content is freed: an attempt that cannot be cancelled may
        outlast its client by far.
        """
        client, request.client = request.client, None
        request.inbound.discard_content()
        request.deadline_timer.cancel()
        self._remove_if_finished(request)
        return client

    def _remove_if_finished(self, request: OpenRequest) -> None:
        """Remove a request that nobody waits for any more; remember it if it must not run again."""
        if self.requests.remove_if_finished(request) and self._must_not_run_again(request):
            self._executed_requests.add(request.inbound.x_request_id, time.monotonic())

    def _must_not_run_again(self, request: OpenRequest) -> bool:
        """Return whether a closed request may have run and its class does not allow that it runs again.

        Endpoints recognize the idempotency key of a request that they have served.
        """
        if not request.may_have_run:
            return False
        idempotency = self._idempotency_by_class[request.inbound.class_name]
        return idempotency is Idempotency.NOT_IDEMPOTENT or (
            idempotency is Idempotency.WITH_KEY and not request.is_served
        )

    def _withdraw_unsent_attempts(self, request: OpenRequest) -> None:
        """Withdraw attempts with unsent bytes, which their endpoints would run after the response."""
        if request.attempts_in_flight:
            for attempt in request.attempts:
                if attempt is not None:
                    self.pool.withdraw(attempt)

    # --- Attempts -----------------------------------------------------------------------------------------

    def start_attempt(self, action: StartAttempt) -> None:
        """Send an attempt.

        If no client waits, the deadline has passed or `max_attempts` is reached, post its result NOT_STARTED
        instead.
        """
        request = self.requests.get(action.request_id)
        number = len(request.attempts) if request is not None else 0
        remaining_s = request.deadline - time.monotonic() if request is not None else 0.0
        is_closed = self._close_if_client_disconnected(request)
        if is_closed or remaining_s <= 0 or number >= self._settings.max_attempts:
            if request is not None:
                request.attempts.append(None)
            self._post_attempt_not_started(action, number, is_final=is_closed)
            return
        timeout_s = min(action.timeout_ms / 1000, remaining_s) if action.timeout_ms else remaining_s
        now = time.monotonic()
        attempt = Attempt(
            request_id=action.request_id,
            number=number,
            endpoint_name=action.endpoint,
            head=request.inbound.head,
            body=request.inbound.body,
            started_at=now,
            deadline=now + timeout_s,
            write_deadline=now + action.write_timeout_ms / 1000,
        )
        request.attempts.append(attempt)
        request.attempts_in_flight += 1
        self.pool.send(attempt)

    def cancel_attempt(self, action: CancelAttempt) -> None:
        """Cancel an attempt that is in flight; do nothing if it has ended."""
        request = self.requests.get(action.request_id)
        if request is not None and action.attempt < len(request.attempts):
            attempt = request.attempts[action.attempt]
            if attempt is not None:
                self.pool.cancel(attempt)

    def _post_attempt_not_started(self, action: StartAttempt, number: int, *, is_final: bool) -> None:
        self._post_event(
            AttemptEnded(
                request_id=action.request_id,
                attempt=number,
                endpoint=action.endpoint,
                result=AttemptResult.NOT_STARTED,
                duration_ms=0.0,
                is_final=is_final,
            )
        )

    def _close_if_client_of_attempt_disconnected(self, attempt: Attempt) -> bool:
        return self._close_if_client_disconnected(self.requests.get(attempt.request_id))

    def _on_attempt_ended(self, attempt: Attempt, result: AttemptResult, response: Response | None) -> None:
        request = self.requests.get(attempt.request_id)
        request.attempts_in_flight -= 1
        if attempt.is_sent and not result.never_ran:
            request.may_have_run = True
        now = time.monotonic()
        duration_ms = (now - attempt.started_at) * 1000
        if response is not None:
            # The time for which the response was unread is not latency of the endpoint.
            duration_ms = max(duration_ms - self._lag.lag_ms(now), 0.0)
        units = 0.0
        if result == AttemptResult.OK:
            units = response.positive_header_value(BILLED_UNITS_HEADER, self._settings.max_request_units)
            self._forward_response(request, response)
        is_final = request.client is None
        self._remove_if_finished(request)
        self._post_event(
            AttemptEnded(
                request_id=attempt.request_id,
                attempt=attempt.number,
                endpoint=attempt.endpoint_name,
                result=result,
                duration_ms=duration_ms,
                is_final=is_final,
                actual_units=units,
            )
        )
