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
# Usage is uneven over the gateways. While no load is shed, a gateway that lacks reliable counter values may
# therefore use this multiple of an even share.
ESTIMATE_HEADROOM = 1.5
# Minimum time constant of the other gateways' usage rate, and minimum time over which the first counter value
# is averaged.
MIN_PEER_USAGE_TIME_CONSTANT_MS = 1000.0
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
        """Whether at least about half of the recent counter calls got a response other than a rejection."""
        return self._counter_health.is_reliable

    @property
    def headroom(self) -> float:
        """Multiple of an even share of the quota that a gateway may use without reliable counter values."""
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
        gateway_count: Maximum number of gateways named by a request of this window or the previous one.
        window: Number of the current window; -1 before the first.
        window_started_at_ms: When the current window began, in milliseconds.
        is_counter_value_unknown: Whether no plausible counter value of the current window has been read.
        reportable_units: Units that this gateway has reported or has to report in the current window: its
            usage, unreported units of the previous window, debt and expired refill.
        remaining: Estimate of the remaining units at `remaining_at_ms`.
        remaining_at_ms: When `remaining` was last updated, in milliseconds.
        remaining_upper_bound: Remaining units if no other gateway used any since the latest counter value.
        peer_usage_rate: Estimated usage of all other gateways, in units per millisecond.
        last_counter_value: Latest counter value read, 0 after a new window has begun; None if there was none.
        last_counter_value_at_ms: When it was read, or when the window began if none has been read in it, in
            milliseconds.
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
        self.reportable_units = 0.0
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

    def start_window(self, window: int, started_at_ms: float, unreported_units: float) -> None:
        """Start a window; the estimate of the remaining units carries over.

        Args:
            window: Number of the window.
            started_at_ms: When it began, in milliseconds.
            unreported_units: Unreported units of the previous window that are charged to this one.
        """
        self.reportable_units = unreported_units
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
        gateway's share of the refill, an even share times the headroom.

        Returns:
            Estimate of the remaining units.
        """
        elapsed_ms = max(now_ms - self.remaining_at_ms, 0.0)
        burst, rate = self.plan.quota_burst, self.plan.quota_rate / 1000
        share = min(1.0, self._conditions.headroom / self.gateway_count)
        self.remaining_upper_bound = min(burst, self.remaining_upper_bound + rate * elapsed_ms)
        if self.last_counter_value is None:
            net_refill_rate, capacity = 0.0, burst * share
        else:
            net_refill_rate, capacity = rate - self.peer_usage_rate, burst
        if self._lacks_reliable_counter_values:
            net_refill_rate = max(net_refill_rate, rate * share)
        self.remaining = min(capacity, self.remaining + net_refill_rate * elapsed_ms)
        self.remaining_at_ms += elapsed_ms
        return self.remaining

    @property
    def _lacks_reliable_counter_values(self) -> bool:
        return self.last_counter_value is None or not self._conditions.is_counter_reliable

    def admits(self, units: float, now_ms: float) -> bool:
        """Refill, and return whether a request of this size is within the quota; without one it always is.

        Before the first counter value, a request is admitted if there is nothing to report in the window yet:
        it costs little, and the report of its usage may return a counter value. Without a counter value, or
        while the counter is unreliable, an estimate that is less than the request is rounded by a random
        draw.

        Args:
            units: Size of the request.
            now_ms: The current time, in milliseconds.
        """
        if self.plan.quota_rate <= 0 or (self.last_counter_value is None and self.reportable_units == 0):
            return True
        self.refill(now_ms)
        if self._lacks_reliable_counter_values:
            self.remaining = round_randomly(self.remaining, units, self._conditions.rng)
        return self.remaining >= units - ROUNDING_TOLERANCE

    def is_uncertain(self, units: float, now_ms: float) -> bool:
        """Refill, and return whether only a new counter value can show if enough units remain.

        That is so if the estimate may be too low for the request, but the latest counter value leaves enough.

        Args:
            units: Size of the request.
            now_ms: The current time, in milliseconds.
        """
        peer_usage = max(self.peer_usage_rate, 0.0) * (now_ms - self.last_counter_value_at_ms)
        # The number of independent requests varies by about its square root; each counts as one unit here.
        uncertainty: float = peer_usage**0.5
        return self.refill(now_ms) - uncertainty < units <= self.remaining_upper_bound

    def spend(self, units: float) -> None:
        """Charge units to the quota; a negative number gives them back."""
        self.reportable_units += units
        self.remaining -= units
        self.remaining_upper_bound -= units

    def record_counter_value(self, counter_value: float, reported_units: float, now_ms: float) -> None:
        """Record a counter value of the current window.

        Args:
            counter_value: Units that all gateways have reported in the window: usage, the debt carried over
                to it, and expired refill.
            reported_units: Units that this gateway has reported in the window.
            now_ms: The current time, in milliseconds.
        """
        peer_usage = (
            counter_value
            - (self.last_counter_value or 0.0)
            - (reported_units - self._reported_at_last_counter_value)
        )
        self.refill(now_ms)
        # After a restart of the counter, its value is too low, and only the base of the next difference.
        if (
            counter_value >= reported_units - COUNTER_VALUE_TOLERANCE
            and peer_usage >= -COUNTER_VALUE_TOLERANCE
        ):
            self._set_remaining(counter_value, peer_usage, reported_units, now_ms)
            self._estimate_peer_usage(peer_usage, now_ms)
            self.is_counter_value_unknown = False
        self.last_counter_value, self._reported_at_last_counter_value = counter_value, reported_units
        self.last_counter_value_at_ms = now_ms

    def _set_remaining(
        self, counter_value: float, peer_usage: float, reported_units: float, now_ms: float
    ) -> None:
        """Set the remaining units, at least 0: usage beyond the quota does not use up later refill."""
        remaining = self.remaining_upper_bound - peer_usage
        if self.is_counter_value_unknown:
            refill = self.plan.quota_rate * (now_ms - self.window_started_at_ms) / 1000
            remaining = self.plan.quota_burst + refill - counter_value
            remaining = min(remaining - (self.reportable_units - reported_units), self.remaining_upper_bound)
        self.remaining = self.remaining_upper_bound = max(remaining, 0.0)

    def _estimate_peer_usage(self, peer_usage: float, now_ms: float) -> None:
        """Update the estimated usage rate of the other gateways."""
        if self.last_counter_value is None:
            # The first counter value includes all usage since the start of the window.
            elapsed_ms = max(now_ms - self.window_started_at_ms, MIN_PEER_USAGE_TIME_CONSTANT_MS)
            self.peer_usage_rate = min(peer_usage / elapsed_ms, self.plan.quota_rate / 1000)
        elif not self.is_counter_value_unknown:
            elapsed_ms = max(now_ms - self.last_counter_value_at_ms, 1.0)
            time_constant_ms = max(
                MIN_PEER_USAGE_TIME_CONSTANT_MS, 1000 * self.plan.quota_burst / self.plan.quota_rate
            )
            decay_factor = time_constant_ms / (time_constant_ms + elapsed_ms)
            self.peer_usage_rate = (
                decay_factor * self.peer_usage_rate + (1 - decay_factor) * peer_usage / elapsed_ms
            )

    def carry_over_debt(self, previous_counter_value: float, now_ms: float) -> tuple[float, float]:
        """Charge usage beyond the refill of the previous window to the current one, at most the burst.

        With this debt in the count, one counter value shows any gateway what remains in the bucket.

        Args:
            previous_counter_value: Final counter value of the previous window.
            now_ms: The current time, in milliseconds.

        Returns:
            The debt, and by how much the refill of this window up to now exceeds it; this excess did not fit
            into the full bucket. Both are in units.
        """
        rate = self.plan.quota_rate / 1000
        refill_of_window = rate * window_length_ms(self.plan)
        debt = min(max(previous_counter_value - refill_of_window, 0.0), self.plan.quota_burst)
        refill = rate * (now_ms - self.window_started_at_ms)
        if debt:
            self.spend(debt)
        return debt, max(refill - debt, 0.0)
