"""A tenant's quota: what this gateway takes to be left of the token bucket that all gateways share.

Usage is counted in windows. Each gateway reports its own usage to the counter service, and reads from the
total what the others used; between two totals, and while the counter is silent, it estimates.
"""

from __future__ import annotations

from random import Random

from api_gateway.decisions.admission import AdmissionController
from api_gateway.decisions.counter_health import CounterHealth
from api_gateway.decisions.random_rounding import round_randomly
from api_gateway.model.settings import Plan

REFILLS_PER_WINDOW = 2.0  # a window lasts so many times burst / rate
MAX_COUNT_TTL_MS = 60000.0  # longest life of a count at the counter
MIN_WINDOW_MS = 1.0
ESTIMATE_HEADROOM = 1.5  # share of an even split while nothing is overloaded: usage is uneven
PEER_USAGE_TIME_CONSTANT_MS = 1000.0  # memory of the other gateways' rate of usage
ROUNDING_TOLERANCE = 1e-9
COUNTER_VALUE_TOLERANCE = 1e-6


def window_length_ms(plan: Plan) -> float:
    """Return the length of a quota window, in milliseconds; the plan must have a quota."""
    length_ms = max(REFILLS_PER_WINDOW * 1000.0 * plan.quota_burst / plan.quota_rate, MIN_WINDOW_MS)
    return min(length_ms, MAX_COUNT_TTL_MS / 2)


class QuotaConditions:
    """What the estimates of all tenants depend on.

    Args:
        admission: Knows whether the back end is overloaded.
        counter_health: Knows whether totals can be relied on.
        rng: Source of the draws that round estimates below one request.
    """

    def __init__(self, admission: AdmissionController, counter_health: CounterHealth, rng: Random) -> None:
        self._admission = admission
        self._counter_health = counter_health
        self.rng = rng

    @property
    def is_counter_reliable(self) -> bool:
        """Whether most counter calls are answered."""
        return self._counter_health.is_reliable

    @property
    def headroom(self) -> float:
        """Factor on an even split of the quota over its gateways."""
        return ESTIMATE_HEADROOM if self._admission.admitted_fraction >= 1 else 1.0


class TenantQuota:
    """What is left of one tenant's quota.

    Args:
        plan: The tenant's plan.
        gateway_count: Gateways that the tenant's requests come through.
        now_ms: The time now.
        uptime_ms: How long this gateway has been up. Its usage before a restart is unknown, so it starts with
            the refill since then.
        conditions: What the estimates depend on.

    Attributes:
        gateway_count: Gateways named in this window or the last.
        window: Number of the window; -1 before the first.
        window_started_at_ms: When it began.
        is_counter_value_unknown: Whether no total of this window was read.
        local_usage: Units that this gateway used in the window, and those that it charged to it.
        remaining: Units taken to be left, as of `remaining_at_ms`.
        remaining_upper_bound: Units left if no other gateway uses any.
        peer_usage_rate: Estimate of the other gateways' usage, in units per millisecond.
        last_counter_value: The last total read; None if none was.
        last_counter_value_at_ms: When it was read.
    """

    def __init__(
        self, plan: Plan, gateway_count: int, now_ms: float, uptime_ms: float, conditions: QuotaConditions
    ) -> None:
        self.plan = plan
        self._conditions = conditions
        self.gateway_count = gateway_count
        self._gateway_count_in_window = gateway_count
        self.window = -1
        self.window_started_at_ms = now_ms
        self.is_counter_value_unknown = True
        self.local_usage = 0.0
        self.remaining = min(plan.quota_burst, plan.quota_rate * uptime_ms / 1000) / gateway_count
        self.remaining_at_ms = now_ms
        self.remaining_upper_bound = plan.quota_burst
        self.peer_usage_rate = plan.quota_rate / 1000 * (1 - 1 / gateway_count)
        self.last_counter_value: float | None = None
        self.last_counter_value_at_ms = 0.0
        self._reported_at_last_counter_value = 0.0

    def note_gateway_count(self, gateway_count: int) -> None:
        """Note how many gateways a request names; the largest number holds for this window and the next."""
        self._gateway_count_in_window = max(self._gateway_count_in_window, gateway_count)
        self.gateway_count = max(self.gateway_count, gateway_count)

    def start_window(self, window: int, started_at_ms: float, unreported_usage: float) -> None:
        """Start a window; what is taken to be left goes on.

        Args:
            window: Its number.
            started_at_ms: When it began.
            unreported_usage: Usage of the last window that is charged to this one.
        """
        self.local_usage = unreported_usage
        self.window = window
        self.window_started_at_ms = started_at_ms
        self.gateway_count, self._gateway_count_in_window = self._gateway_count_in_window, 1
        self.is_counter_value_unknown = True
        self._reported_at_last_counter_value = 0.0
        self.last_counter_value_at_ms = started_at_ms
        self.last_counter_value = None if self.last_counter_value is None else 0.0

    def refill(self, now_ms: float) -> float:
        """Bring the estimate up to date: refill less the other gateways' estimated usage.

        Without a total, or with a counter that does not answer, this gateway keeps to its share of an even
        split at least.

        Returns:
            Units taken to be left.
        """
        elapsed_ms = max(now_ms - self.remaining_at_ms, 0.0)
        burst, rate = self.plan.quota_burst, self.plan.quota_rate / 1000
        even_split = min(1.0, self._conditions.headroom / self.gateway_count)
        self.remaining_upper_bound = min(burst, self.remaining_upper_bound + rate * elapsed_ms)
        if self.last_counter_value is None:
            net_refill_rate, capacity = 0.0, burst * even_split
        else:
            net_refill_rate, capacity = rate - self.peer_usage_rate, burst
        if self._is_estimated:
            net_refill_rate = max(net_refill_rate, rate * even_split)
        self.remaining = min(capacity, self.remaining + net_refill_rate * elapsed_ms)
        self.remaining_at_ms += elapsed_ms
        return self.remaining

    @property
    def _is_estimated(self) -> bool:
        return self.last_counter_value is None or not self._conditions.is_counter_reliable

    def admits(self, units: float, now_ms: float) -> bool:
        """Refill, and return whether a request of so many units is within the quota.

        Where only an estimate is known, one that is below the request is rounded by a random draw.

        The first request of a tenant with no known total is admitted: it costs little, and its counter call
        tells the total.
        """
        if self.plan.quota_rate <= 0 or (self.last_counter_value is None and self.local_usage == 0):
            return True
        self.refill(now_ms)
        if self._is_estimated:
            self.remaining = round_randomly(self.remaining, units, self._conditions.rng)
        return self.remaining >= units - ROUNDING_TOLERANCE

    def is_uncertain(self, units: float, now_ms: float) -> bool:
        """Refill, and return whether the estimate may not allow so many units while the last total does."""
        peer_usage = max(self.peer_usage_rate, 0.0) * (now_ms - self.last_counter_value_at_ms)
        uncertainty: float = peer_usage**0.5  # usage by independent requests varies by its square root
        return self.refill(now_ms) - uncertainty < units <= self.remaining_upper_bound

    def spend(self, units: float) -> None:
        """Charge so many units; negative ones are given back."""
        self.local_usage += units
        self.remaining -= units
        self.remaining_upper_bound -= units

    def record_counter_value(self, counter_value: float, reported_usage: float, now_ms: float) -> None:
        """Take in a total: what all gateways used in this window, and the debt carried over to it.

        Args:
            counter_value: The total of this window.
            reported_usage: What this gateway has reported in this window.
            now_ms: The time now.
        """
        peer_usage = (
            counter_value
            - (self.last_counter_value or 0.0)
            - (reported_usage - self._reported_at_last_counter_value)
        )
        self.refill(now_ms)
        # A counter that has restarted has less than was reported to it: its total is not used.
        if (
            counter_value >= reported_usage - COUNTER_VALUE_TOLERANCE
            and peer_usage >= -COUNTER_VALUE_TOLERANCE
        ):
            self._set_remaining(counter_value, peer_usage, reported_usage, now_ms)
            self._estimate_peer_usage(peer_usage, now_ms)
            self.is_counter_value_unknown = False
        self.last_counter_value, self._reported_at_last_counter_value = counter_value, reported_usage
        self.last_counter_value_at_ms = now_ms

    def _set_remaining(
        self, counter_value: float, peer_usage: float, reported_usage: float, now_ms: float
    ) -> None:
        """Set what is left; usage beyond the quota takes nothing from the bucket for ever."""
        remaining = self.remaining_upper_bound - peer_usage
        if self.is_counter_value_unknown:
            refill = self.plan.quota_rate * (now_ms - self.window_started_at_ms) / 1000
            remaining = self.plan.quota_burst + refill - counter_value
            remaining = min(remaining - (self.local_usage - reported_usage), self.remaining_upper_bound)
        self.remaining = self.remaining_upper_bound = max(remaining, 0.0)

    def _estimate_peer_usage(self, peer_usage: float, now_ms: float) -> None:
        """Update the estimate of the other gateways' rate of usage."""
        if self.last_counter_value is None:
            # The first total holds what was used since the window's start.
            elapsed_ms = max(now_ms - self.window_started_at_ms, PEER_USAGE_TIME_CONSTANT_MS)
            self.peer_usage_rate = min(peer_usage / elapsed_ms, self.plan.quota_rate / 1000)
        elif not self.is_counter_value_unknown:
            elapsed_ms = max(now_ms - self.last_counter_value_at_ms, 1.0)
            time_constant_ms = max(
                PEER_USAGE_TIME_CONSTANT_MS, 1000 * self.plan.quota_burst / self.plan.quota_rate
            )
            decay_factor = time_constant_ms / (time_constant_ms + elapsed_ms)
            self.peer_usage_rate = (
                decay_factor * self.peer_usage_rate + (1 - decay_factor) * peer_usage / elapsed_ms
            )

    def carry_over_debt(self, previous_counter_value: float, now_ms: float) -> tuple[float, float]:
        """Charge to this window what was used beyond the last window's refill.

        So any gateway reads from one total what is left of the bucket, whoever used it.

        Args:
            previous_counter_value: The total of the last window.
            now_ms: The time now.

        Returns:
            The units charged, and the refill of this window that found the bucket full.
        """
        rate = self.plan.quota_rate / 1000
        refill_of_window = rate * window_length_ms(self.plan)
        debt = min(max(previous_counter_value - refill_of_window, 0.0), self.plan.quota_burst)
        refill = rate * (now_ms - self.window_started_at_ms)
        if debt:
            self.spend(debt)
        return debt, max(refill - debt, 0.0)
