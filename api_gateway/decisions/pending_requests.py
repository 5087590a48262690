"""Requests with attempts: until they are answered and their last attempt has ended."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from api_gateway.decisions.endpoints import EndpointState
from api_gateway.decisions.occupancy import LatencyBlock
from api_gateway.model.events import RequestReceived
from api_gateway.model.settings import RequestClass

if TYPE_CHECKING:
    from api_gateway.decisions.tenants import Tenant


class Attempt:
    """One attempt of a request.

    Args:
        endpoint: Where it was sent.
        started_at_ms: When the decision was made.
        latency_block: The block of its class that its latency counts in.

    Attributes:
        is_in_flight: Whether its end has not been reported.
        may_have_run: Whether it may have run: so until its result proves that it never did.
    """

    def __init__(self, endpoint: EndpointState, started_at_ms: float, latency_block: LatencyBlock) -> None:
        self.endpoint = endpoint
        self.started_at_ms = started_at_ms
        self.latency_block = latency_block
        self.is_in_flight = True
        self.may_have_run = True


class PendingRequest:
    """A request from its receipt until it is answered and its last attempt has ended.

    Args:
        request: What the client sent.
        request_class: Its class.
        tenant: Who is charged for it.
        objective_at_ms: When an answer stops being worth an attempt.
        deadline_at_ms: When the client stops waiting.

    Attributes:
        work_ms: Its expected latency on an idle endpoint, in milliseconds; set when it is admitted.
        attempts: Its attempts in their order.
        is_finished: Whether the client has its final answer, or has gone.
        is_streaming: Whether its answer has begun.
    """

    def __init__(
        self,
        request: RequestReceived,
        request_class: RequestClass,
        tenant: Tenant,
        objective_at_ms: float,
        deadline_at_ms: float,
    ) -> None:
        self.request = request
        self.request_class = request_class
        self.tenant = tenant
        self.objective_at_ms = objective_at_ms
        self.deadline_at_ms = deadline_at_ms
        self.work_ms = 0.0
        self.attempts: list[Attempt] = []
        self.is_finished = False
        self.is_streaming = False

    @property
    def request_id(self) -> str:
        """The id of the request."""
        return self.request.request_id

    @property
    def class_name(self) -> str:
        """The name of its class."""
        return self.request_class.name

    @property
    def units(self) -> float:
        """Its size in quota units, as estimated by the client."""
        return self.request.units

    def has_attempt_in_flight(self) -> bool:
        """Whether the end of any attempt has not been reported."""
        return any(attempt.is_in_flight for attempt in self.attempts)

    def may_have_run(self) -> bool:
        """Whether any attempt may have run."""
        return any(attempt.may_have_run for attempt in self.attempts)


class PendingRequests:
    """The requests with attempts, by id.

    Attributes:
        attempts_in_flight: Attempts in flight.
    """

    def __init__(self) -> None:
        self._requests: dict[str, PendingRequest] = {}
        self.attempts_in_flight = 0

    def __len__(self) -> int:
        """Return the number of requests."""
        return len(self._requests)

    def __contains__(self, request_id: str) -> bool:
        """Whether a request of this id is pending."""
        return request_id in self._requests

    def __iter__(self) -> Iterator[PendingRequest]:
        """Iterate over the requests."""
        return iter(self._requests.values())

    def get(self, request_id: str) -> PendingRequest | None:
        """Return the request of this id, if it is pending."""
        return self._requests.get(request_id)

    def add(self, pending: PendingRequest) -> None:
        """Add a request that is about to get its first attempt."""
        self._requests[pending.request_id] = pending

    def remove(self, pending: PendingRequest) -> bool:
        """Remove a request; whether it was still there."""
        return self._requests.pop(pending.request_id, None) is not None

    def start_attempt(self, pending: PendingRequest, attempt: Attempt) -> None:
        """Note an attempt that is started."""
        pending.attempts.append(attempt)
        attempt.endpoint.in_flight += 1
        attempt.endpoint.last_attempt_at_ms = attempt.started_at_ms
        self.attempts_in_flight += 1

    def end_attempt(self, attempt: Attempt, never_ran: bool) -> None:
        """Note the end of an attempt that is in flight."""
        attempt.is_in_flight = False
        attempt.may_have_run = not never_ran
        attempt.endpoint.in_flight -= 1
        self.attempts_in_flight -= 1

    def count_overdue(self, objective_fraction: float, now_ms: float) -> int:
        """Return how many attempts in flight have taken over this part of their objective already."""
        return sum(
            attempt.is_in_flight
            and now_ms - attempt.started_at_ms
            > objective_fraction * pending.request_class.latency_objective_ms
            for pending in self._requests.values()
            for attempt in pending.attempts
        )
