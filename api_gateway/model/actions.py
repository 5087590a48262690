"""What a gateway does: the outputs of its decisions."""

from __future__ import annotations

import math
from dataclasses import dataclass

from api_gateway.model.results import RejectReason


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Send a request to an endpoint; the attempts of a request are numbered 0, 1, 2... in their order.

    Attributes:
        request_id: The request.
        endpoint: Where it goes.
        timeout_ms: When the answer is no longer waited for.
        write_timeout_ms: Its last byte must be written within this time, or not at all.
    """

    request_id: str
    endpoint: str
    timeout_ms: float
    write_timeout_ms: float = math.inf


@dataclass(slots=True, frozen=True)
class RejectRequest:
    """Answer that the request was not served and never ran: sending it again does no harm.

    Attributes:
        request_id: The request.
        retry_after_ms: When the client should come again; 0 for no hint.
        reason: Why it is rejected.
    """

    request_id: str
    retry_after_ms: float = 0.0
    reason: RejectReason = RejectReason.UNSPECIFIED


@dataclass(slots=True, frozen=True)
class FailRequest:
    """Answer that the request failed; whether it ran is not known."""

    request_id: str


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Stop waiting for one attempt."""

    request_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class StartTimer:
    """Ask for a `TimerFired`."""

    name: str
    delay_ms: float


@dataclass(slots=True, frozen=True)
class IncrementCounter:
    """Add an amount to a count of the counter service, and learn its total.

    Attributes:
        name: The count.
        amount: What is added; 0 only reads the total.
        ttl_ms: How long the counter keeps the count.
    """

    name: str
    amount: float
    ttl_ms: float


@dataclass(slots=True, frozen=True)
class SubscribeToEndpoints:
    """Ask discovery for the endpoint list and its changes."""


@dataclass(slots=True, frozen=True)
class WriteLog:
    """Write a line for the people on call."""

    text: str


Action = (
    StartAttempt
    | RejectRequest
    | FailRequest
    | CancelAttempt
    | StartTimer
    | IncrementCounter
    | SubscribeToEndpoints
    | WriteLog
)
