"""Simulation of a fleet's quotas, which are compared with an exact token bucket for each tenant."""

from __future__ import annotations

import dataclasses
import random

from api_gateway.decisions.gateway import Gateway
from api_gateway.model.actions import IncrementCounter, RejectRequest, StartAttempt, StartTimer
from api_gateway.model.endpoints import UpdateKind
from api_gateway.model.events import (
    AttemptEnded,
    CounterReply,
    EndpointUpdate,
    Event,
    RequestReceived,
    TimerFired,
)
from api_gateway.model.results import AttemptResult, CounterResult
from api_gateway.model.settings import Plan
from support.event_simulation import EventSimulation
from support.gateway_driver import endpoint, settings

ENDPOINTS = 8
LATENCY_MS = 50.0
COUNTER_LATENCY_MS = 2.0
REQUEST_UNITS = (1, 2, 3)  # Each is equally frequent.


class SimulatedCounter:
    """The counter service that all gateways share; it rejects some of its calls."""

    def __init__(self, rng: random.Random, rejected_fraction: float) -> None:
        """Initialize the counter without any counts.

        Args:
            rng: Source of the draws that decide which calls are rejected.
            rejected_fraction: Fraction of the calls to reject, from 0 to 1.
        """
        self._rng, self._rejected_fraction = rng, rejected_fraction
        self._counts: dict[str, float] = {}

    def increment(self, action: IncrementCounter) -> CounterReply:
        """Add to a count, unless the call is rejected, and return the reply."""
        if self._rng.random() < self._rejected_fraction:
            return CounterReply(action.name, CounterResult.OVERLOADED, 0, COUNTER_LATENCY_MS)
        counter_value = self._counts.get(action.name, 0.0) + action.amount
        self._counts[action.name] = counter_value
        return CounterReply(action.name, CounterResult.OK, counter_value, COUNTER_LATENCY_MS)


@dataclasses.dataclass
class TokenBucket:
    """A tenant's exact token bucket, which is full at the start.

    Attributes:
        capacity: Maximum number of units in the bucket.
        tokens: Units in the bucket.
        units_within_quota: Units of forwarded requests that the bucket covered.
        units_over_quota: Units of forwarded requests that it did not cover.
    """

    capacity: float
    tokens: float = dataclasses.field(init=False)
    units_within_quota: float = 0.0
    units_over_quota: float = 0.0

    def __post_init__(self) -> None:
        self.tokens = self.capacity

    def refill(self, units: float) -> None:
        """Add units, up to the capacity."""
        self.tokens = min(self.capacity, self.tokens + units)

    def take(self, units: float) -> None:
        """Account for a forwarded request."""
        if self.tokens >= units:
            self.tokens -= units
            self.units_within_quota += units
        else:
            self.units_over_quota += units


class QuotaSimulation(EventSimulation):
    """Gateways, the shared counter and each tenant's exact token bucket.

    Attributes:
        requests: Number of requests so far.
        rejected_within_quota: Number of requests rejected although their token bucket was at least half full
            and covered their units.
    """

    def __init__(
        self,
        seed: int,
        plan: Plan,
        *,
        fleet_size: int,
        gateways_per_tenant: int,
        load_factors: tuple[float, ...],
        first_gateway_fraction: float = 0.0,
    ) -> None:
        """Start all gateways with the full endpoint list.

        Args:
            seed: Seed of all random draws.
            plan: Plan of all tenants.
            fleet_size: Number of gateways.
            gateways_per_tenant: Number of gateways that each tenant's requests go to.
            load_factors: Requested units of each tenant, as a multiple of its quota.
            first_gateway_fraction: Fraction of each tenant's requests that go to its first gateway without a
                draw. Each other request goes to a random one of its gateways, including the first.
        """
        super().__init__(random.Random(seed), 1e6 + 1e4 * seed)
        self.requests = 0
        self.rejected_within_quota = 0
        self._plan, self._load_factors = plan, load_factors
        self._gateways_per_tenant = gateways_per_tenant
        self._first_gateway_fraction = first_gateway_fraction
        common_settings = settings(
            plans=(plan,),
            fleet_size=fleet_size,
            counter_timeout_ms=240.0,
            max_request_units=max(REQUEST_UNITS),
        )
        self._gateways = [Gateway(common_settings, 1000 * seed + index) for index in range(fleet_size)]
        self._counter = SimulatedCounter(self.rng, rejected_fraction=0.0)
        self._buckets = [TokenBucket(plan.quota_burst) for _ in load_factors]
        self._refilled_at_ms = [self.now_ms] * len(load_factors)  # By tenant.
        self._first_gateway = [self.rng.randrange(fleet_size) for _ in load_factors]  # By tenant.
        self._pending: dict[str, tuple[int, float]] = {}  # Tenant and units by request id.
        update = EndpointUpdate(UpdateKind.CACHED, tuple(endpoint(i) for i in range(ENDPOINTS)))
        for index in range(fleet_size):
            self._deliver(index, update)

    def run(self, seconds: float) -> QuotaSimulation:
        """Run the open-loop load of all tenants for some simulated seconds, and return this simulation."""
        mean_units = sum(REQUEST_UNITS) / len(REQUEST_UNITS)
        requests_per_ms = [
            load_factor * self._plan.quota_rate / mean_units / 1000 for load_factor in self._load_factors
        ]
        tenants = range(len(requests_per_ms))
        self._run_open_loop(
            seconds,
            sum(requests_per_ms),
            lambda: self._send_request(self.rng.choices(tenants, requests_per_ms)[0]),
        )
        return self

    @property
    def units_within_quota(self) -> float:
        """Units of forwarded requests within the quotas."""
        return sum(bucket.units_within_quota for bucket in self._buckets)

    @property
    def units_over_quota(self) -> float:
        """Units of forwarded requests beyond the quotas."""
        return sum(bucket.units_over_quota for bucket in self._buckets)

    @property
    def units_allowed(self) -> float:
        """Units within the quotas: each tenant's mean requested units, at most its refill plus the burst."""
        elapsed_s = (self.now_ms - self.started_at_ms) / 1000
        rate, burst = self._plan.quota_rate, self._plan.quota_burst
        return sum(
            min(load_factor * rate * elapsed_s, rate * elapsed_s + burst)
            for load_factor in self._load_factors
        )

    def _send_request(self, tenant: int) -> None:
        request_id = f"r{self._next_serial()}"
        units = float(self.rng.choice(REQUEST_UNITS))
        self.requests += 1
        self._pending[request_id] = tenant, units
        self._deliver(
            self._draw_gateway(tenant),
            RequestReceived(
                request_id,
                "read",
                self._plan.name,
                f"c{tenant}",
                4000,
                units,
                self._gateways_per_tenant,
                self._first_gateway[tenant],
            ),
        )

    def _draw_gateway(self, tenant: int) -> int:
        offset = 0
        if self.rng.random() >= self._first_gateway_fraction:
            offset = self.rng.randrange(self._gateways_per_tenant)
        return (self._first_gateway[tenant] + offset) % len(self._gateways)

    def _deliver(self, gateway_index: int, event: Event) -> None:
        for action in self._gateways[gateway_index].handle(self.now_ms, event):
            match action:
                case IncrementCounter():
                    self._schedule(COUNTER_LATENCY_MS, gateway_index, self._counter.increment(action))
                case StartAttempt():
                    self._start_attempt(gateway_index, action)
                case RejectRequest():
                    self._count_rejection(action)
                case StartTimer():
                    self._schedule(action.delay_ms, gateway_index, TimerFired(action.name))

    def _start_attempt(self, gateway_index: int, action: StartAttempt) -> None:
        tenant, units = self._pending.pop(action.request_id)
        self._refilled_bucket(tenant).take(units)
        attempt_ended = AttemptEnded(
            action.request_id, 0, action.endpoint, AttemptResult.OK, LATENCY_MS, True
        )
        self._schedule(LATENCY_MS, gateway_index, attempt_ended)

    def _count_rejection(self, action: RejectRequest) -> None:
        tenant, units = self._pending.pop(action.request_id)
        tokens = self._refilled_bucket(tenant).tokens
        self.rejected_within_quota += tokens >= max(self._plan.quota_burst / 2, units)

    def _refilled_bucket(self, tenant: int) -> TokenBucket:
        """Return the token bucket of a tenant, refilled up to now."""
        elapsed_s = (self.now_ms - self._refilled_at_ms[tenant]) / 1000
        self._refilled_at_ms[tenant] = self.now_ms
        bucket = self._buckets[tenant]
        bucket.refill(self._plan.quota_rate * elapsed_s)
        return bucket
