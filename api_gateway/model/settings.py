"""Settings of the decisions: request classes, plans, and properties of the fleet and its endpoints."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

NON_NEGATIVE_PLAN_FIELDS = (
    "quota_rate",
    "quota_burst",
    "ceiling_rate",
    "ceiling_burst",
    "ceiling_tolerance",
    "max_concurrent_requests",
)
NON_NEGATIVE_FIELDS = (
    "slow_start_ms",
    "overload_multiple",
    "overload_window_ms",
    "clock_tick_ms",
    "max_attempts",
)


class Idempotency(Enum):
    """Whether a request may be retried after it may have run (RFC 9110, section 9.2.2)."""

    IDEMPOTENT = "idempotent"
    WITH_KEY = "with an idempotency key"  # retried only while the key is remembered, and within its scope
    NOT_IDEMPOTENT = "not idempotent"  # never retried once it may have run


class KeyScope(Enum):
    """Which endpoints remember an idempotency key that one of them has received."""

    ALL = "all"
    ZONE = "zone"
    FAILURE_DOMAIN = "failure domain"  # within the same zone


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests: its latency objective, priority and idempotency.

    Attributes:
        name: Name of the class in requests.
        latency_objective_ms: Time within which a response has its full weight.
        deadline_ms: Longest time for which a client waits.
        priority_weight: Weight of a response within the objective, for one unit.
        late_priority_weight: Weight of a later response, for one unit.
        idempotency: Whether a request may be retried after it may have run.
        idempotency_key_scope: Which endpoints remember a key that one of them has received.
        idempotency_window_ms: How long endpoints remember a key.
        streamed: Whether responses are streamed.
    """

    name: str
    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    idempotency_key_scope: KeyScope = KeyScope.ALL
    idempotency_window_ms: float = 0.0
    streamed: bool = False


@dataclass(slots=True, frozen=True)
class Plan:
    """A tenant's plan: one token bucket for its quota and one for its ceiling, shared by all gateways.

    Attributes:
        name: Name of the plan in requests.
        quota_rate: Refill rate of the quota, in units per second; 0 for no quota.
        quota_burst: Capacity of the quota's token bucket, in units.
        priority_weight: Factor on the weight of the request class.
        over_quota_weight: Fraction of the weight that a response over the quota has.
        over_quota_cost: Cost of serving a request over the quota, as a fraction of the weight; it is only
            served if `over_quota_weight` is higher.
        ceiling_rate: Refill rate of the hard ceiling, in units per second; 0 for no ceiling.
        ceiling_burst: Capacity of the ceiling's token bucket, in units.
        ceiling_tolerance: Usage beyond the ceiling that is tolerated, as a multiple of the ceiling. Not used
            by the decisions, which keep to the ceiling.
        max_concurrent_requests: Maximum number of requests in flight at once, over all gateways; 0 for no
            limit.
    """

    name: str
    quota_rate: float = 0.0
    quota_burst: float = 0.0
    priority_weight: float = 1.0
    over_quota_weight: float = 0.0
    over_quota_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_tolerance: float = 0.0
    max_concurrent_requests: int = 0


@dataclass(slots=True, frozen=True)
class Settings:
    """Settings of one gateway, fixed at startup.

    Attributes:
        classes: The request classes.
        plans: The plans of the tenants.
        gateway_index: Index of this gateway in the fleet, from 0.
        fleet_size: Number of gateways in the fleet.
        zone: Zone that this gateway runs in.
        max_attempts: Maximum number of attempts for one request, including the first one.
        hedging_allowed: Whether two attempts of a request may be in flight at once.
        cancellation_supported: Whether an attempt can be cancelled.
        max_retry_after_ms: Longest Retry-After allowed; 0 for none.
        health_checks_allowed: Whether endpoints may be sent health checks.
        gossip_allowed: Whether gateways may send each other gossip messages.
        discovery_by_polling: Whether the whole fleet polls one discovery service for the endpoint list;
            otherwise it comes from an agent on each gateway's machine.
        counter_enabled: Whether the counter service may be called.
        max_request_units: Units of the largest request.
        counter_timeout_ms: Timeout of a call to the counter service.
        actual_units_reported: Whether responses report the units that were used.
        usage_report_period_ms: Interval of the usage figures that endpoints report.
        idle_connection_timeout_ms: Time after which endpoints close idle connections.
        clock_tick_ms: Resolution of the clock.
        response_slack_ms: How long after the deadline a final response may still be sent.
        drain_grace_ms: How long an endpoint may still be sent requests after the update that it is draining.
        slow_start_min_weight: Fraction of its capacity that an endpoint has when it starts.
        slow_start_ms: Time from its start after which an endpoint has its full capacity.
        overload_multiple: Load that overloads an endpoint in slow start, as a multiple of its capacity.
        overload_window_ms: How long that load must last to overload the endpoint.
    """

    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...] = ()
    gateway_index: int = 0
    fleet_size: int = 1
    zone: str = ""
    max_attempts: int = 1
    hedging_allowed: bool = False
    cancellation_supported: bool = False
    max_retry_after_ms: float = 0.0
    health_checks_allowed: bool = False
    gossip_allowed: bool = False
    discovery_by_polling: bool = False
    counter_enabled: bool = False
    max_request_units: float = math.inf
    counter_timeout_ms: float = 50.0
    actual_units_reported: bool = False
    usage_report_period_ms: float = 0.0
    idle_connection_timeout_ms: float = 30000.0
    clock_tick_ms: float = 1.0
    response_slack_ms: float = 0.0
    drain_grace_ms: float = 0.0
    slow_start_min_weight: float = 1.0
    slow_start_ms: float = 0.0
    overload_multiple: float = 1.0
    overload_window_ms: float = 0.0

    def check(self) -> None:
        """Check that the settings are valid.

        Raises:
            ValueError: A field is invalid; the message is `field: requirement`.
        """
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        if self.fleet_size < 1:
            raise ValueError("fleet_size: must be 1 or more")
        if not 0 <= self.gateway_index < self.fleet_size:
            raise ValueError("gateway_index: must lie in 0 .. fleet_size - 1")
        for request_class in self.classes:
            if request_class.latency_objective_ms <= 0 or request_class.deadline_ms <= 0:
                raise ValueError(
                    f"classes[{request_class.name}].latency_objective_ms, deadline_ms: must be above 0"
                )
        for plan in self.plans:
            _check_not_negative(plan, NON_NEGATIVE_PLAN_FIELDS, f"plans[{plan.name}].")
        _check_not_negative(self, NON_NEGATIVE_FIELDS, "")


def _check_not_negative(owner: Plan | Settings, names: tuple[str, ...], prefix: str) -> None:
    for name in names:
        if getattr(owner, name) < 0:
            raise ValueError(f"{prefix}{name}: must not be negative")
