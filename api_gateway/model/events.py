"""Events: the inputs of the decisions."""

from __future__ import annotations

from dataclasses import dataclass, field

from api_gateway.model.endpoints import Endpoint, UpdateKind
from api_gateway.model.results import AttemptResult, CounterResult


@dataclass(slots=True, frozen=True)
class EndpointUpdate:
    """Occurs at startup with the cached endpoint list, and then with each full list or change from discovery.

    May also occur when a call to discovery has failed.
    """

    kind: UpdateKind
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(slots=True, frozen=True)
class RequestReceived:
    """Occurs when a request has been read completely; it must get exactly one final response.

    Attributes:
        request_id: Id that no other pending request has; a request with the id of a pending one is ignored.
        class_name: Name of its request class.
        plan_name: Name of its tenant's plan.
        tenant: Name of the tenant that is charged for it.
        remaining_time_ms: Remaining time until the client's deadline.
        units: Its size in quota units, as estimated by the client.
        gateway_count: Number of gateways over which the tenant's requests are distributed.
        first_gateway: Index of the first of these gateways. Not used by the decisions.
        is_retry: Whether the client has sent the same request before. Not used by the decisions.
    """

    request_id: str
    class_name: str
    plan_name: str
    tenant: str
    remaining_time_ms: float
    units: float = 1.0
    gateway_count: int = 1
    first_gateway: int = 0
    is_retry: bool = False


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """Occurs exactly once for each `StartAttempt`.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt within the request, from 0.
        endpoint: Name of the endpoint that it was sent to.
        result: How it ended.
        duration_ms: Time from its start to its end; if it has a response, without the time for which that was
            unread.
        is_final: Whether the request needs no response any more: it has its final response, or its client has
            disconnected.
        metered_usage_percent: The tenant's metered usage in percent, plus 1, so that 0 stands for no report.
            Not used by the decisions.
        actual_units: Units that the request used; 0 if not reported.
        load_report: Load figures that the endpoint reported, by name.
    """

    request_id: str
    attempt: int
    endpoint: str
    result: AttemptResult
    duration_ms: float
    is_final: bool
    metered_usage_percent: float = 0.0
    actual_units: float = 0.0
    load_report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class ResponseStarted:
    """Occurs when a streamed response begins; from then on, no other attempt may serve the request."""

    request_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """Occurs when the client has disconnected, or the caller has responded with 504 without an action."""

    request_id: str


@dataclass(slots=True, frozen=True)
class TimerFired:
    """Occurs when the delay of a `StartTimer` has passed."""

    name: str


@dataclass(slots=True, frozen=True)
class CounterReply:
    """Occurs exactly once for each `IncrementCounter`.

    Attributes:
        name: Name of the count.
        result: How the call ended.
        counter_value: Value of the count after the increment; only valid if `result` is OK.
        duration_ms: Time from the start of the call to its end.
    """

    name: str
    result: CounterResult
    counter_value: float
    duration_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class HealthCheckEnded:
    """Occurs when a health check ends. The decisions ignore it."""

    endpoint: str
    result: AttemptResult
    duration_ms: float
    load_report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class GossipReceived:
    """Occurs when a gossip message of another gateway arrives. The decisions ignore it."""

    sender: int
    payload: bytes


Event = (
    EndpointUpdate
    | RequestReceived
    | AttemptEnded
    | ResponseStarted
    | ClientDisconnected
    | TimerFired
    | CounterReply
    | HealthCheckEnded
    | GossipReceived
)
