"""Quotas of a fleet of 200 gateways compared with exact token buckets; the counter rejects some calls."""

from __future__ import annotations

import random
from typing import NamedTuple

import pytest
from support.gateway_driver import endpoint, settings
from support.quota_simulation import ENDPOINTS, REQUEST_UNITS, SimulatedCounter, TokenBucket

from api_gateway.decisions.gateway import Gateway
from api_gateway.model.actions import IncrementCounter, StartAttempt
from api_gateway.model.endpoints import UpdateKind
from api_gateway.model.events import AttemptEnded, EndpointUpdate, Event, RequestReceived, TimerFired
from api_gateway.model.results import AttemptResult
from api_gateway.model.settings import Plan

FLEET_SIZE = 200
PLAN = Plan("team", quota_rate=5, quota_burst=20, over_quota_cost=1.0)
REJECTED_CALL_FRACTION = 0.15  # Fraction of the counter calls that is rejected.
# Requested units of each tenant, as a multiple of its quota.
LOAD_FACTORS = (0.2, 0.3, 0.3, 0.4, 0.5, 0.5, 0.9, 4.0)
SWEEP_INTERVAL_MS = 100.0
START_MS = 1e6
DURATION_S = 30


class Arrival(NamedTuple):
    """Arrival of a request, in milliseconds after the start of the simulation."""

    at_ms: float
    tenant: int


class ImmediateQuotaSimulation:
    """A fleet whose counter and endpoints respond immediately, with a fixed number of requests.

    Unlike `QuotaSimulation` it has no event queue: no reply takes time, and all gateways sweep together.
    """

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._counter = SimulatedCounter(self._rng, REJECTED_CALL_FRACTION)
        self._pending: dict[str, tuple[int, float]] = {}  # Tenant and units by request id.
        self.buckets = [TokenBucket(PLAN.quota_burst) for _ in LOAD_FACTORS]
        fleet_settings = settings(plans=(PLAN,), fleet_size=FLEET_SIZE, counter_timeout_ms=240.0)
        self._gateways = [Gateway(fleet_settings, index) for index in range(FLEET_SIZE)]
        update = EndpointUpdate(UpdateKind.CACHED, tuple(endpoint(i) for i in range(ENDPOINTS)))
        for gateway in self._gateways:
            gateway.handle(START_MS, update)

    def run(self, seconds: float) -> None:
        """Run the load for some simulated seconds."""
        refilled_at_ms = sweep_at_ms = 0.0
        for serial, arrival in enumerate(self._draw_arrivals(seconds)):
            while sweep_at_ms < arrival.at_ms:
                for gateway in self._gateways:
                    self._deliver(gateway, sweep_at_ms, TimerFired("sweep"))
                sweep_at_ms += SWEEP_INTERVAL_MS
            for bucket in self.buckets:
                bucket.refill(PLAN.quota_rate * (arrival.at_ms - refilled_at_ms) / 1000)
            refilled_at_ms = arrival.at_ms
            self._send_request(f"r{serial}", arrival)

    def _draw_arrivals(self, seconds: float) -> list[Arrival]:
        mean_units = sum(REQUEST_UNITS) / len(REQUEST_UNITS)
        return sorted(
            Arrival(self._rng.random() * seconds * 1000, tenant)
            for tenant, load_factor in enumerate(LOAD_FACTORS)
            for _ in range(round(seconds * load_factor * PLAN.quota_rate / mean_units))
        )

    def _send_request(self, request_id: str, arrival: Arrival) -> None:
        units = self._rng.choice(REQUEST_UNITS)
        self._pending[request_id] = arrival.tenant, float(units)
        gateway = self._rng.choice(self._gateways)
        request = RequestReceived(
            request_id, "read", PLAN.name, f"c{arrival.tenant}", 4000, units, FLEET_SIZE, 0
        )
        self._deliver(gateway, arrival.at_ms, request)

    def _deliver(self, gateway: Gateway, at_ms: float, event: Event) -> None:
        events = [event]
        while events:
            for action in gateway.handle(START_MS + at_ms, events.pop(0)):
                if isinstance(action, IncrementCounter):
                    events.append(self._counter.increment(action))
                elif isinstance(action, StartAttempt):
                    tenant, units = self._pending.pop(action.request_id)
                    self.buckets[tenant].take(units)
                    events.append(
                        AttemptEnded(action.request_id, 0, action.endpoint, AttemptResult.OK, 50, True)
                    )


@pytest.mark.parametrize("seed", [1, 2])
def test_a_fleet_forwards_little_over_quota_and_most_within_quota(seed: int) -> None:
    """The units over quota must cost less than 0.1 of the value of the units that the quotas allow."""
    simulation = ImmediateQuotaSimulation(seed)
    simulation.run(DURATION_S)
    units_allowed = (
        sum(min(load_factor, 1.0) for load_factor in LOAD_FACTORS) * PLAN.quota_rate * DURATION_S
        + PLAN.quota_burst
    )
    units_over_quota = sum(bucket.units_over_quota for bucket in simulation.buckets)
    units_within_quota = sum(bucket.units_within_quota for bucket in simulation.buckets)
    assert PLAN.over_quota_cost * units_over_quota / units_allowed < 0.1
    assert units_within_quota / units_allowed > 0.85
