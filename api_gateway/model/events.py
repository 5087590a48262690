"""What happens to a gateway: the inputs of its decisions."""

from __future__ import annotations

from dataclasses import dataclass, field

from api_gateway.model.endpoints import Endpoint, UpdateKind
from api_gateway.model.results import AttemptResult, CounterResult


@dataclass(slots=True, frozen=True)
class EndpointUpdate:
    """Occurs at the start with the cached list, and then with each answer of discovery."""

    kind: UpdateKind
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(slots=True, frozen=True)
class RequestReceived:
    """Occurs when a client's request is complete; it is owed exactly one final answer.

    Attributes:
        request_id: Unique among the requests in flight.
        class_name: Its request class.
        plan_name: Its tenant's plan.
        tenant: Who is charged for it.
        time_left_ms: How long the client still waits.
        units: Its size in quota units, as estimated by the client.
        gateway_count: Gateways that this tenant's requests may come through.
        first_gateway: Number of the first of them.
        is_retry: Whether the client has sent it before.
    """

    request_id: str
    class_name: str
    plan_name: str
    tenant: str
    time_left_ms: float
    units: float = 1.0
    gateway_count: int = 1
    first_gateway: int = 0
    is_retry: bool = False


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """Occurs exactly once for each `StartAttempt`.

    Attributes:
        request_id: The request that it was made for.
        attempt: Its number within the request, from 0.
        endpoint: Where it was sent.
        result: How it ended.
        duration_ms: From its start to its end.
        is_final: Whether the request has its final answer.
        metered_usage_percent: 1 + the tenant's metered usage; 0 if not reported.
        actual_units: Units that the request used; 0 if not reported.
        load_report: What the endpoint reported of its load, by name.
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
    """Occurs when a streamed answer begins: from then on the request belongs to this attempt."""

    request_id: str
    attempt: int


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """Occurs when the client has gone, or was answered without the decisions; nothing more is owed."""

    request_id: str


@dataclass(slots=True, frozen=True)
class TimerFired:
    """Occurs when the time of a `StartTimer` is over."""

    name: str


@dataclass(slots=True, frozen=True)
class CounterReply:
    """Occurs exactly once for each `IncrementCounter`.

    Attributes:
        name: The count.
        result: How the call ended.
        counter_value: The count's total after the increment, if `result` is OK.
        duration_ms: From the call to its end.
    """

    name: str
    result: CounterResult
    counter_value: float
    duration_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class HealthCheckEnded:
    """Occurs when a health check ends."""

    endpoint: str
    result: AttemptResult
    duration_ms: float
    load_report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class GossipReceived:
    """Occurs when another gateway has sent a message."""

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
