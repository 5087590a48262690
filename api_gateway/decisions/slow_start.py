"""Slow start: limits the work sent to an endpoint that has just started to what it can serve.

Work is measured in milliseconds of typical latency. Each gateway has a token bucket of work for each endpoint
in slow start. Its refill rate follows the rate of work that this gateway sends to a warm endpoint, times the
fraction of capacity that the endpoint already has; so the budgets of all gateways add up to at most that
fraction of what the fleet sends to a warm endpoint.

In its first `RATE_TIME_CONSTANT_MS`, a gateway that has not measured a rate yet sends single requests in time
slots, which the gateways use round robin by their common clock.
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

# The budgets reach at most this fraction of the load that overloads an endpoint: capacity is an estimate, and
# other gateways may send more.
BUDGET_SAFETY_FACTOR = 0.5
MIN_CAPACITY_FRACTION = 0.01


class SlowStart:
    """Decides whether an endpoint in slow start may be sent a request.

    Args:
        settings: The gateway's settings.
        endpoint_table: All endpoints.
        subset: Endpoints of this gateway's subset.
        traffic: Rates of the gateway's traffic.
        latency: Typical latencies of the classes.
        uptime: Time since the gateway's start.
        rng: Source of the random draws that round budgets below one request.
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
        """Return the fraction of its full capacity that an endpoint is assumed to have now, from 0 to 1.

        It rises linearly during the slow start.
        """
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
        """Refill the budget of an endpoint, and return whether it may be sent a request.

        If the budget is less than the request's work, a random draw sets it to either 0 or that work. Where
        time slots apply, the current slot is used up.

        Args:
            endpoint: The endpoint, in slow start or not.
            work_ms: Typical latency of the request, in milliseconds.
            now_ms: The current time.
        """
        fraction = self.capacity_fraction(endpoint, now_ms)
        if fraction >= 1:
            return True
        if self._traffic.warm_work_rate <= 0 and self._uptime.elapsed_ms(now_ms) < RATE_TIME_CONSTANT_MS:
            return endpoint.in_flight == 0 and self._claim_time_slot(endpoint, fraction, now_ms)
        self._refill(endpoint, fraction, now_ms)
        endpoint.slow_start_budget = round_randomly(endpoint.slow_start_budget, work_ms, self._rng)
        return endpoint.slow_start_budget >= work_ms

    def record_attempt(self, endpoint: EndpointState, work_ms: float, now_ms: float) -> None:
        """Charge an attempt to the endpoint's budget, or add it to the work of the warm endpoints."""
        if self.capacity_fraction(endpoint, now_ms) < 1:
            endpoint.slow_start_budget -= work_ms
        else:
            self._traffic.record_warm_work(work_ms)

    def _refill(self, endpoint: EndpointState, fraction: float, now_ms: float) -> None:
        """Refill the budget of an endpoint.

        While most endpoints are in slow start, the warm ones are sent more than an endpoint can serve, until
        their latency shows it. The refill rate is therefore limited to the work that each endpoint of the
        subset would get if all were warm: an equal share of the admitted work, whether or not it was sent.
        """
        safety_factor = BUDGET_SAFETY_FACTOR * self._settings.overload_multiple
        rate = safety_factor * self._traffic.admitted_work_rate / max(len(self._subset), 1)
        if self._subset.warm and self._traffic.warm_work_rate > 0:
            rate = min(rate, min(safety_factor, 1.0) * self._traffic.warm_work_rate)
        rate *= fraction
        elapsed_ms = now_ms - max(endpoint.slow_start_budget_at_ms, endpoint.slow_start_began_at_ms)
        budget = endpoint.slow_start_budget + rate * elapsed_ms
        # A saved budget may be used at once. Together with the refill, an endpoint thus gets up to about 1.5
        # times the refill of an overload window in one such window.
        endpoint.slow_start_budget = min(budget, rate * self._settings.overload_window_ms / 2)
        endpoint.slow_start_budget_at_ms = now_ms

    def _claim_time_slot(self, endpoint: EndpointState, fraction: float, now_ms: float) -> bool:
        """Use up the current time slot of an endpoint if it is this gateway's; return whether that succeeded.

        Any endpoint can serve one request at a time, so a slot lasts as long as a request at the endpoint's
        current capacity. Its length is rounded up to a power of two, so that gateways with similar latencies
        use the same length: slots of different lengths overlap.
        """
        longest_latency_ms = max(self._latency.slowest_ms() / max(fraction, MIN_CAPACITY_FRACTION), 1.0)
        slot_length_ms = 2.0 ** math.ceil(math.log2(longest_latency_ms))
        slot = int(now_ms / slot_length_ms) + stable_hash(endpoint.name)
        coverage = self._settings.fleet_size * len(self._subset) / max(len(self._endpoint_table.ring), 1)
        gateways_per_endpoint = max(round(coverage), 1)
        is_own = slot % gateways_per_endpoint == self._settings.gateway_index % gateways_per_endpoint
        if slot == endpoint.last_time_slot or not is_own:
            return False
        endpoint.last_time_slot = slot
        return True
