"""Slow start: an endpoint that has just started gets no more work than it can bear while it warms up.

Its budget is a token bucket of work. The measure is what this gateway itself sends to a warm endpoint, so
that the budgets of all gateways add up to what the fleet sends to one, times the capacity that the endpoint
has.
Gateways with no such measure yet send single requests in time slots, in turn by the clock that all share.
"""

from __future__ import annotations

import math
from random import Random

from api_gateway.decisions.endpoints import EndpointState, EndpointTable
from api_gateway.decisions.latency import TypicalLatency
from api_gateway.decisions.random_rounding import round_randomly
from api_gateway.decisions.ring import stable_hash
from api_gateway.decisions.subset import EndpointSubset
from api_gateway.decisions.traffic import RATE_TIME_CONSTANT_MS, TrafficRates
from api_gateway.decisions.uptime import Uptime
from api_gateway.model.settings import Settings

BUDGET_SAFETY_FACTOR = (
    0.5  # part of the budget in use: capacity is estimated, and other gateways may send more
)
MIN_CAPACITY_FRACTION = 0.01


class SlowStart:
    """Decides what an endpoint that is warming up may be sent.

    Args:
        settings: The gateway's settings.
        endpoint_table: All endpoints.
        subset: Those that the gateway works with.
        traffic: The gateway's rates.
        latency: Typical latencies of the classes.
        uptime: How long the gateway has been up.
        rng: Source of the draws that round budgets below one request.
    """

    def __init__(
        self,
        settings: Settings,
        endpoint_table: EndpointTable,
        subset: EndpointSubset,
        traffic: TrafficRates,
        latency: TypicalLatency,
        uptime: Uptime,
        rng: Random,
    ) -> None:
        self._settings = settings
        self._endpoint_table = endpoint_table
        self._subset = subset
        self._traffic = traffic
        self._latency = latency
        self._uptime = uptime
        self._rng = rng

    def capacity_fraction(self, endpoint: EndpointState, now_ms: float) -> float:
        """Return the least part of its capacity that an endpoint has by now, 0 to 1."""
        settings = self._settings
        age_ms = now_ms - endpoint.slow_start_began_at_ms
        if (
            not endpoint.slow_start_began_at_ms
            or age_ms >= settings.slow_start_ms
            or settings.slow_start_ms <= 0
        ):
            return 1.0
        min_fraction = settings.slow_start_min_weight
        return min_fraction + (1 - min_fraction) * max(age_ms, 0.0) / settings.slow_start_ms

    def admits(self, endpoint: EndpointState, work_ms: float, now_ms: float) -> bool:
        """Refill the budget of an endpoint, and decide whether it may be sent a request.

        A budget below the request is rounded by a random draw; a time slot that is used is taken.

        Args:
            endpoint: The endpoint, warming up or not.
            work_ms: Typical latency of the request, in milliseconds.
            now_ms: The time now.
        """
        fraction = self.capacity_fraction(endpoint, now_ms)
        if fraction >= 1:
            return True
        if self._traffic.warm_work_rate <= 0 and self._uptime.age_ms(now_ms) < RATE_TIME_CONSTANT_MS:
            return endpoint.in_flight == 0 and self._claim_time_slot(endpoint, fraction, now_ms)
        self._refill(endpoint, fraction, now_ms)
        endpoint.slow_start_budget = round_randomly(endpoint.slow_start_budget, work_ms, self._rng)
        return endpoint.slow_start_budget >= work_ms

    def record_attempt(self, endpoint: EndpointState, work_ms: float, now_ms: float) -> None:
        """Charge an attempt to the budget of an endpoint, or to the rate of the warm ones."""
        if self.capacity_fraction(endpoint, now_ms) < 1:
            endpoint.slow_start_budget -= work_ms
        else:
            self._traffic.record_warm_work(work_ms)

    def _refill(self, endpoint: EndpointState, fraction: float, now_ms: float) -> None:
        """Refill the budget of an endpoint up to now.

        Where most endpoints are warming up, the warm ones are sent more than any can bear until their latency
        shows it. So the budget is bounded by what an endpoint would get if all were warm: its part of the
        work admitted, whether or not it was sent.
        """
        safety_factor = BUDGET_SAFETY_FACTOR * self._settings.overload_multiple
        rate = safety_factor * self._traffic.admitted_work_rate / max(len(self._subset), 1)
        if self._subset.warm and self._traffic.warm_work_rate > 0:
            rate = min(rate, min(safety_factor, 1.0) * self._traffic.warm_work_rate)
        rate *= fraction
        elapsed_ms = now_ms - max(endpoint.slow_start_budget_at_ms, endpoint.slow_start_began_at_ms)
        budget = endpoint.slow_start_budget + rate * elapsed_ms
        endpoint.slow_start_budget = min(budget, rate * self._settings.overload_window_ms / 2)
        endpoint.slow_start_budget_at_ms = now_ms

    def _claim_time_slot(self, endpoint: EndpointState, fraction: float, now_ms: float) -> bool:
        """Take the time slot of an endpoint, if it is this gateway's and was not taken before.

        One request at a time is what any endpoint can bear, so a slot is as long as it takes at its present
        capacity. Lengths are powers of two: with other lengths the slots of the gateways would overlap.
        """
        longest_latency_ms = max(self._latency.slowest_ms() / max(fraction, MIN_CAPACITY_FRACTION), 1.0)
        slot_length_ms = 2.0 ** math.ceil(math.log2(longest_latency_ms))
        slot = int(now_ms / slot_length_ms) + stable_hash(endpoint.name)
        coverage = self._settings.fleet_size * len(self._subset) / max(len(self._endpoint_table.ring), 1)
        gateway_count = max(round(coverage), 1)
        is_own = slot % gateway_count == self._settings.gateway_index % gateway_count
        if slot == endpoint.last_time_slot or not is_own:
            return False
        endpoint.last_time_slot = slot
        return True
