"""Requests with attempts, until they are finished and their last attempt has ended."""

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
        endpoint: The endpoint that it was sent to.
        started_at_ms: When it was decided on.
        latency_block: Block of attempts of its class that its latency is added to.

    Attributes:
        is_in_flight: Whether it has not ended yet.
        may_have_run: Whether it may have run; True until its result proves that it never did.
    """

    def __init__(self, endpoint: EndpointState, started_at_ms: float, latency_block: LatencyBlock) -> None:
        self.endpoint = endpoint
        self.started_at_ms = started_at_ms
        self.latency_block = latency_block
        self.is_in_flight = True
        self.may_have_run = True


class PendingRequest:
    """A request from its receipt until it is finished and its last attempt has ended.

    Args:
        request: The event that it was received with.
        request_class: Its class.
        tenant: The tenant that is charged for it.
        weight_ends_at_ms: When a response loses all weight: at the deadline, or earlier if late responses
            have no weight and the latency objective passes before it.
        deadline_at_ms: Time at which the client stops waiting.

    Attributes:
        work_ms: Typical latency of a request of its class and size, in milliseconds; set when it is admitted.
        attempts: Its attempts, in the order in which they started.
        is_finished: Whether the client has its final response or has disconnected.
        is_streaming: Whether a streamed response has begun.
    """

    def __init__(
        self,
        request: RequestReceived,
        request_class: RequestClass,
        tenant: Tenant,
        weight_ends_at_ms: float,
        deadline_at_ms: float,
    ) -> None:
        self.request = request
        self.request_class = request_class
        self.tenant = tenant
        self.weight_ends_at_ms = weight_ends_at_ms
        self.deadline_at_ms = deadline_at_ms
        self.work_ms = 0.0
        self.attempts: list[Attempt] = []
        self.is_finished = False
        self.is_streaming = False

    @property
    def request_id(self) -> str:
        """Id of the request."""
        return self.request.request_id

    @property
    def class_name(self) -> str:
        """Name of its class."""
        return self.request_class.name

    @property
    def units(self) -> float:
        """Size in quota units, as estimated by the client."""
        return self.request.units

    def has_attempt_in_flight(self) -> bool:
        """Whether any attempt is in flight."""
        return any(attempt.is_in_flight for attempt in self.attempts)

    def any_attempt_may_have_run(self) -> bool:
        """Whether any attempt may have run."""
        return any(attempt.may_have_run for attempt in self.attempts)


class PendingRequests:
    """The requests with attempts, by id.

    Attributes:
        attempts_in_flight: Number of attempts in flight of all requests.
    """

    def __init__(self) -> None:
        self._requests: dict[str, PendingRequest] = {}
        self.attempts_in_flight = 0

    def __len__(self) -> int:
        """Return the number of requests."""
        return len(self._requests)

    def __contains__(self, request_id: str) -> bool:
        """Whether a request with this id is pending."""
        return request_id in self._requests

    def __iter__(self) -> Iterator[PendingRequest]:
        """Iterate over the requests."""
        return iter(self._requests.values())

    def get(self, request_id: str) -> PendingRequest | None:
        """Return the request with this id, or None if it is not pending."""
        return self._requests.get(request_id)

    def add(self, pending: PendingRequest) -> None:
        """Add a request that is about to get its first attempt."""
        self._requests[pending.request_id] = pending

    def remove(self, pending: PendingRequest) -> bool:
        """Remove a request; return whether it was still pending."""
        return self._requests.pop(pending.request_id, None) is not None

    def start_attempt(self, pending: PendingRequest, attempt: Attempt) -> None:
        """Record the start of an attempt."""
        pending.attempts.append(attempt)
        attempt.endpoint.in_flight += 1
        attempt.endpoint.last_attempt_at_ms = attempt.started_at_ms
        self.attempts_in_flight += 1

    def end_attempt(self, attempt: Attempt, never_ran: bool) -> None:
        """Record the end of an attempt that is in flight."""
        attempt.is_in_flight = False
        attempt.may_have_run = not never_ran
        attempt.endpoint.in_flight -= 1
        self.attempts_in_flight -= 1

    def count_overdue(self, objective_fraction: float, now_ms: float) -> int:
        """Return how many attempts have been in flight for more than a fraction of their objective."""
        return sum(
            attempt.is_in_flight
            and now_ms - attempt.started_at_ms
            > objective_fraction * pending.request_class.latency_objective_ms
            for pending in self._requests.values()
            for attempt in pending.attempts
        )
