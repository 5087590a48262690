"""Actions: the outputs of the decisions, which the caller carries out."""

from __future__ import annotations

import math
from dataclasses import dataclass

from api_gateway.model.results import RejectReason


@dataclass(slots=True, frozen=True)
class StartAttempt:
    """Send a request to an endpoint.

    The attempts of a request are numbered 0, 1, 2... in the order of these actions.

    Attributes:
        request_id: Id of the request.
        endpoint: Name of the endpoint.
        timeout_ms: Time from this action after which the attempt ends if it has no response; 0 for the
            remaining time of the request.
        write_timeout_ms: Time within which the last byte must be written; afterwards the attempt must be
            withdrawn. Infinite for no limit.
    """

    request_id: str
    endpoint: str
    timeout_ms: float
    write_timeout_ms: float = math.inf


@dataclass(slots=True, frozen=True)
class RejectRequest:
    """Respond that a request was rejected without being run, so that the client may safely retry it.

    Attributes:
        request_id: Id of the request.
        retry_after_ms: Time after which the client should retry; 0 for no Retry-After.
        reason: Why the request is rejected.
    """

    request_id: str
    retry_after_ms: float = 0.0
    reason: RejectReason = RejectReason.UNSPECIFIED


@dataclass(slots=True, frozen=True)
class FailRequest:
    """Respond that a request failed; it may have run."""

    request_id: str


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Cancel one attempt of a request, by its number; its `AttemptEnded` still follows."""

    request_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class StartTimer:
    """Start a timer; a `TimerFired` of the same name follows after the delay."""

    name: str
    delay_ms: float


@dataclass(slots=True, frozen=True)
class IncrementCounter:
    """Add an amount to a count of the counter service; its value comes back in a `CounterReply`.

    Attributes:
        name: Name of the count.
        amount: Units to add; 0 only reads the counter value.
        ttl_ms: How long the counter keeps the count.
    """

    name: str
    amount: float
    ttl_ms: float


@dataclass(slots=True, frozen=True)
class SubscribeToEndpoints:
    """Request the endpoint list and its changes from discovery."""


@dataclass(slots=True, frozen=True)
class WriteLog:
    """Write a log line for operators."""

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
