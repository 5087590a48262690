"""Open requests, which have no response yet or an attempt in flight."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Protocol

from api_gateway.network.upstream.attempt import Attempt


class Client(Protocol):
    """The downstream side of one request."""

    def respond(
        self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        """Send the one final response.

        Args:
            status: HTTP status code.
            body: The response body.
            content_type: Value of Content-Type; empty to omit the header.
            retry_after_ms: Time for Retry-After, in milliseconds; 0 to omit the header.
        """

    def abort_if_disconnected(self) -> bool:
        """Abort the connection if the client has closed it, even if the event loop has not reported that yet.

        Returns:
            Whether the client has closed it.
        """


@dataclass(slots=True)
class InboundRequest:
    """A validated request from a client.

    Attributes:
        x_request_id: Value of X-Request-Id.
        class_name: Name of its request class.
        plan_name: Name of its tenant's plan.
        tenant: Id of the tenant whose quota it uses.
        remaining_time_ms: Time until the deadline, counted from when the client sent the request.
        units: Its size in quota units, as estimated by the client.
        gateway_count: Number of gateways over which the tenant's requests are distributed.
        first_gateway: Index of the first of these gateways.
        is_retry: Whether it is a retry by the client.
        received_at_s: When its last byte was read, in s of `time.monotonic`.
        head: Request line and headers for the endpoint, without `X-Deadline` and the empty line; empty once
            the request is closed.
        body: The body; empty once the request is closed.
    """

    x_request_id: bytes
    class_name: str
    plan_name: str
    tenant: str
    remaining_time_ms: float
    units: float
    gateway_count: int
    first_gateway: int
    is_retry: bool
    received_at_s: float
    head: bytes
    body: bytes

    def discard_content(self) -> None:
        """Free head and body, which no further attempt needs."""
        self.head = self.body = b""

    def x_request_id_text(self) -> str:
        """Return the value of X-Request-Id as text for the log."""
        return self.x_request_id.decode("latin-1")


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request from its arrival until it has a response and its last attempt has ended.

    Attributes:
        request_id: Its id within this process.
        inbound: What the client sent.
        client: The client that waits for the response; None once it has a response or has disconnected.
        deadline: When it is failed if it has no response, in s of `time.monotonic`.
        deadline_timer: Timer that fires at `deadline`.
        attempts: Its attempts, indexed by attempt number; None for an attempt that was not started.
        attempts_in_flight: Number of attempts that have not ended.
        may_have_run: Whether an attempt that has ended may have run.
        is_served: Whether the client was sent the response of an endpoint.
    """

    request_id: str
    inbound: InboundRequest
    client: Client | None
    deadline: float
    deadline_timer: asyncio.TimerHandle | None = None
    attempts: list[Attempt | None] = field(default_factory=list)
    attempts_in_flight: int = 0
    may_have_run: bool = False
    is_served: bool = False


class OpenRequests:
    """The table of open requests."""

    def __init__(self) -> None:
        self._by_id: dict[str, OpenRequest] = {}
        self._x_request_ids: set[bytes] = set()
        self._last_request_number = 0

    def __len__(self) -> int:
        """Return the number of open requests."""
        return len(self._by_id)

    def __iter__(self) -> Iterator[OpenRequest]:
        """Iterate over a copy, so that requests may be removed during the iteration."""
        return iter(list(self._by_id.values()))

    def get(self, request_id: str) -> OpenRequest | None:
        """Return an open request, or None if there is none with this id."""
        return self._by_id.get(request_id)

    def has_x_request_id(self, x_request_id: bytes) -> bool:
        """Return whether a request with this X-Request-Id is open."""
        return x_request_id in self._x_request_ids

    def add(self, client: Client, inbound: InboundRequest, deadline: float) -> OpenRequest:
        """Open a request.

        Args:
            client: The client that waits for the response.
            inbound: What the client sent.
            deadline: When the request is failed if it has no response, in s of `time.monotonic`.
        """
        self._x_request_ids.add(inbound.x_request_id)
        self._last_request_number += 1
        request = OpenRequest(
            request_id=f"r{self._last_request_number}", inbound=inbound, client=client, deadline=deadline
        )
        self._by_id[request.request_id] = request
        return request

    def remove_if_finished(self, request: OpenRequest) -> bool:
        """Remove a request if no client waits for its response and no attempt is in flight.

        Returns:
            Whether it was removed.
        """
        if request.client is not None or request.attempts_in_flight:
            return False
        if self._by_id.pop(request.request_id, None) is None:
            return False
        self._x_request_ids.discard(request.inbound.x_request_id)
        return True
