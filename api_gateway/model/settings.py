"""Settings of the decisions: request classes, plans, limits of the fleet and of its endpoints."""

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
    """Whether a request that may have run may be sent again (RFC 9110, section 9.2.2)."""

    IDEMPOTENT = "idempotent"
    WITH_KEY = "with an idempotency key"  # again only while the key is remembered, and within its scope
    NOT_IDEMPOTENT = "not idempotent"  # never again once it may have run


class KeyScope(Enum):
    """Which endpoints share the memory of an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    FAILURE_DOMAIN = "failure domain"  # of the same zone


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests: its latency objective, its priority, and whether it may run again.

    Attributes:
        name: As requests name it.
        latency_objective_ms: Time within which an answer earns its full weight.
        deadline_ms: Longest time for which a client waits.
        priority_weight: Value of a response within the objective, for one unit.
        late_priority_weight: Value of a later response.
        idempotency: Whether a request may be sent again after it may have run.
        idempotency_key_scope: Which endpoints know a key that one of them has seen.
        idempotency_window_ms: How long endpoints remember a key.
        streamed: Whether answers are streamed.
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
    """A tenant's plan: a token bucket for its quota and one for its ceiling, over all gateways together.

    Attributes:
        name: As requests name it.
        quota_rate: Units a second; 0 for no quota.
        quota_burst: Units that the quota's bucket holds.
        priority_weight: Factor on the weight of the request's class.
        over_quota_weight: Part of the weight that an answer beyond the quota still earns.
        over_quota_cost: Part of the weight that a request beyond the quota costs.
        ceiling_rate: Units a second that are never passed; 0 for no ceiling.
        ceiling_burst: Units that the ceiling's bucket holds.
        ceiling_tolerance: Part by which the ceiling may be passed.
        max_concurrent_requests: Requests in flight at once; 0 for no such limit.
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
    """Settings of one gateway, given at its start.

    Attributes:
        classes: The request classes.
        plans: The plans that tenants buy.
        gateway_index: This gateway's number in the fleet, from 0.
        fleet_size: Gateways in the fleet.
        zone: Where this gateway stands.
        max_attempts: Attempts for one request, the first one included.
        hedging_allowed: Whether two attempts of a request may be in flight at once.
        cancellation_supported: Whether an attempt can be cancelled.
        max_retry_after_ms: Longest Retry-After allowed; 0 for none.
        health_checks_allowed: Whether endpoints may be asked for their health.
        gossip_allowed: Whether gateways may talk to each other.
        discovery_by_polling: Whether the endpoint list comes only on request.
        counter_enabled: Whether the counter service may be called.
        max_request_units: Units of the largest request.
        counter_timeout_ms: How long the answer to a counter call is waited for.
        actual_units_reported: Whether responses report the units that were used.
        usage_report_period_ms: Spacing of the usage figures that endpoints report.
        idle_connection_timeout_ms: Endpoints close connections that are idle for so long.
        clock_tick_ms: Resolution of the clock.
        response_slack_ms: How late a final answer may be.
        drain_grace_ms: How long after the update an endpoint that drains may still be sent requests.
        slow_start_min_weight: Part of its capacity that an endpoint has when it starts.
        slow_start_ms: Time after which a started endpoint has its whole capacity.
        overload_multiple: Multiple of its capacity that topples an endpoint that is warming up.
        overload_window_ms: Time for which that load topples it.
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
        """Check that the settings make sense.

        Raises:
            ValueError: The text names the field that does not.
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
