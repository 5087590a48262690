"""A tenant's quota: this gateway's estimate of what remains in the token bucket that all gateways share.

Usage is counted in windows. Each gateway adds its own usage to a count at the counter service, and the
counter value that it gets back shows the usage of all others. Between two counter values, and while the
counter does not respond, a gateway estimates the others' usage.
"""

from __future__ import annotations

from random import Random

from api_gateway.decisions.admission import AdmissionController
from api_gateway.decisions.counter_health import CounterHealth
from api_gateway.decisions.random_rounding import round_randomly
from api_gateway.model.settings import Plan

REFILLS_PER_WINDOW = 2.0  # An empty bucket could be refilled this many times in one window.
MAX_COUNT_TTL_MS = 60000.0  # Maximum time to live of a count at the counter service.
MIN_WINDOW_MS = 1.0
# Usage is uneven over the gateways: while there is no overload, each may use this multiple of an even share.
ESTIMATE_HEADROOM = 1.5
PEER_USAGE_TIME_CONSTANT_MS = 1000.0  # Minimum time constant of the other gateways' usage rate.
ROUNDING_TOLERANCE = 1e-9
COUNTER_VALUE_TOLERANCE = 1e-6


def window_length_ms(plan: Plan) -> float:
    """Return the length of a quota window, in milliseconds; the plan must have a quota."""
    length_ms = max(REFILLS_PER_WINDOW * 1000.0 * plan.quota_burst / plan.quota_rate, MIN_WINDOW_MS)
    # A count must outlive its window by one more window, in which its final value is queried.
    return min(length_ms, MAX_COUNT_TTL_MS / 2)


class QuotaConditions:
    """Conditions that the quota estimates of all tenants depend on.

    Args:
        admission: Admission control, which shows whether the back end is overloaded.
        counter_health: Shows whether the counter responds reliably.
        rng: Source of the random draws that round estimates below the size of one request.
    """

    def __init__(self, admission: AdmissionController, counter_health: CounterHealth, rng: Random) -> None:
        self._admission = admission
        self._counter_health = counter_health
        self.rng = rng

    @property
    def is_counter_reliable(self) -> bool:
        """Whether most counter calls get a response."""
        return self._counter_health.is_reliable

    @property
    def headroom(self) -> float:
        """Multiple of an even share of the quota that one gateway may use."""
        return ESTIMATE_HEADROOM if self._admission.admitted_fraction >= 1 else 1.0


class TenantQuota:
    """The remaining quota of one tenant, as estimated by this gateway.

    Args:
        plan: Plan of the tenant, with a quota or without.
        gateway_count: Number of gateways over which the tenant's requests are distributed.
        now_ms: The current time, in milliseconds.
        uptime_ms: Time since the start of this gateway, in milliseconds. Its usage before a restart is
            unknown, so that it begins with its share of the refill since the start.
        conditions: Conditions that the estimates depend on.

    Attributes:
        gateway_count: Maximum number of gateways named by a request of this window or the last.
        window: Number of the current window; -1 before the first.
        window_started_at_ms: When the current window began, in milliseconds.
        is_counter_value_unknown: Whether no counter value of the current window has been read.
        local_usage: Units that this gateway has reported or has to report in the current window: its usage,
            unreported usage of the last window, debt and expired refill.
        remaining: Estimate of the remaining units at `remaining_at_ms`.
        remaining_at_ms: When `remaining` was last updated, in milliseconds.
        remaining_upper_bound: Remaining units if no other gateway used any since the last counter value.
        peer_usage_rate: Estimated usage of all other gateways, in units per millisecond.
        last_counter_value: Last counter value read, 0 after a new window has begun; None if there was none.
        last_counter_value_at_ms: When it was read, in milliseconds.
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

    def record_gateway_count(self, gateway_count: int) -> None:
        """Record how many gateways a request names; the maximum applies to this window and the next."""
        self._gateway_count_in_window = max(self._gateway_count_in_window, gateway_count)
        self.gateway_count = max(self.gateway_count, gateway_count)

    def start_window(self, window: int, started_at_ms: float, unreported_usage: float) -> None:
        """Start a window; the estimate of the remaining units carries over.

        Args:
            window: Number of the window.
            started_at_ms: When it began, in milliseconds.
            unreported_usage: Units used in the last window that are charged to this one.
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
        """Update the estimate by the refill, less the estimated usage of the other gateways.

        Without a counter value, or while the counter is unreliable, the estimate rises at least by this
        gateway's even share of the refill.

        Returns:
            Estimate of the remaining units.
        """
        elapsed_ms = max(now_ms - self.remaining_at_ms, 0.0)
        burst, rate = self.plan.quota_burst, self.plan.quota_rate / 1000
        even_share = min(1.0, self._conditions.headroom / self.gateway_count)
        self.remaining_upper_bound = min(burst, self.remaining_upper_bound + rate * elapsed_ms)
        if self.last_counter_value is None:
            net_refill_rate, capacity = 0.0, burst * even_share
        else:
            net_refill_rate, capacity = rate - self.peer_usage_rate, burst
        if self._is_estimated:
            net_refill_rate = max(net_refill_rate, rate * even_share)
        self.remaining = min(capacity, self.remaining + net_refill_rate * elapsed_ms)
        self.remaining_at_ms += elapsed_ms
        return self.remaining

    @property
    def _is_estimated(self) -> bool:
        return self.last_counter_value is None or not self._conditions.is_counter_reliable

    def admits(self, units: float, now_ms: float) -> bool:
        """Refill, and return whether a request of this size is within the quota.

        Before the first counter value, a request is admitted if there is no usage in the window yet: it costs
        little, and its counter call returns a counter value. An estimate that is less than the request is
        rounded by a random draw.

        Args:
            units: Size of the request.
            now_ms: The current time, in milliseconds.
        """
        if self.plan.quota_rate <= 0 or (self.last_counter_value is None and self.local_usage == 0):
            return True
        self.refill(now_ms)
        if self._is_estimated:
            self.remaining = round_randomly(self.remaining, units, self._conditions.rng)
        return self.remaining >= units - ROUNDING_TOLERANCE

    def is_uncertain(self, units: float, now_ms: float) -> bool:
        """Refill, and return whether only a new counter value can show if enough units remain.

        That is so if the estimate may be too low for the request, but the last counter value leaves enough.

        Args:
            units: Size of the request.
            now_ms: The current time, in milliseconds.
        """
        peer_usage = max(self.peer_usage_rate, 0.0) * (now_ms - self.last_counter_value_at_ms)
        # The usage of independent requests varies by about its square root.
        uncertainty: float = peer_usage**0.5
        return self.refill(now_ms) - uncertainty < units <= self.remaining_upper_bound

    def spend(self, units: float) -> None:
        """Charge units to the quota; a negative number gives them back."""
        self.local_usage += units
        self.remaining -= units
        self.remaining_upper_bound -= units

    def record_counter_value(self, counter_value: float, reported_usage: float, now_ms: float) -> None:
        """Record a counter value of the current window.

        Args:
            counter_value: Units that all gateways used in the window, and the debt carried over to it.
            reported_usage: Units that this gateway has reported in the window.
            now_ms: The current time, in milliseconds.
        """
        peer_usage = (
            counter_value
            - (self.last_counter_value or 0.0)
            - (reported_usage - self._reported_at_last_counter_value)
        )
        self.refill(now_ms)
        # After a restart of the counter its value is less than what was reported, and is not used.
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
        """Set the remaining units, at least 0: usage beyond the quota is not charged permanently."""
        remaining = self.remaining_upper_bound - peer_usage
        if self.is_counter_value_unknown:
            refill = self.plan.quota_rate * (now_ms - self.window_started_at_ms) / 1000
            remaining = self.plan.quota_burst + refill - counter_value
            remaining = min(remaining - (self.local_usage - reported_usage), self.remaining_upper_bound)
        self.remaining = self.remaining_upper_bound = max(remaining, 0.0)

    def _estimate_peer_usage(self, peer_usage: float, now_ms: float) -> None:
        """Update the estimated usage rate of the other gateways."""
        if self.last_counter_value is None:
            # The first counter value includes all usage since the start of the window.
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
        """Charge the usage beyond the refill of the last window to the current one.

        With this debt in the count, one counter value shows any gateway what remains in the bucket.

        Args:
            previous_counter_value: Final counter value of the last window.
            now_ms: The current time, in milliseconds.

        Returns:
            The debt in units, and the units of refill in this window that exceed it and so did not fit into
            the full bucket.
        """
        rate = self.plan.quota_rate / 1000
        refill_of_window = rate * window_length_ms(self.plan)
        debt = min(max(previous_counter_value - refill_of_window, 0.0), self.plan.quota_burst)
        refill = rate * (now_ms - self.window_started_at_ms)
        if debt:
            self.spend(debt)
        return debt, max(refill - debt, 0.0)
