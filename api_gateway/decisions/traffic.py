"""Rates at which this gateway completes attempts, starts them, and admits and sends work."""

from __future__ import annotations

from api_gateway.decisions.occupancy import MIN_RELIABLE_SAMPLES

# The rates of completions and of work on warm endpoints are smoothed with this time constant.
RATE_TIME_CONSTANT_MS = 1000.0
# Time constant of the rate of attempts, which the size of the subset follows, and of the rate of admitted
# work, which limits the slow-start budgets.
ATTEMPT_RATE_TIME_CONSTANT_MS = 5000.0
MIN_RATE = 1e-9


class TrafficRates:
    """Exponentially smoothed rates. The unit of work is a millisecond of typical latency.

    Attributes:
        completion_rate: Completed attempts per millisecond: successful ones, and timeouts of classes that may
            miss their objective even on idle endpoints.
        warm_work_rate: Work sent to a warm endpoint per millisecond, as the mean over the warm endpoints.
        attempt_rate: Attempts per millisecond.
        admitted_work_rate: Work of requests that may be forwarded, per millisecond, whether or not an
            endpoint was available for it.
    """

    def __init__(self) -> None:
        self.completion_rate = 0.0
        self.warm_work_rate = 0.0
        self.attempt_rate = 0.0
        self.admitted_work_rate = 0.0
        # Since the last sweep:
        self._completions = 0.0
        self._warm_work = 0.0
        self._attempts = 0
        self._admitted_work = 0.0

    def record_completion(self) -> None:
        """Record a completed attempt."""
        self._completions += 1

    def record_admitted(self, work_ms: float) -> None:
        """Record the work of a request that may be forwarded."""
        self._admitted_work += work_ms

    def record_attempt(self) -> None:
        """Record the start of an attempt."""
        self._attempts += 1

    def record_warm_work(self, work_ms: float) -> None:
        """Record work sent to a warm endpoint."""
        self._warm_work += work_ms

    def sweep_completions(self, elapsed_ms: float, uptime_ms: float) -> float:
        """Update the completion rate.

        The time constant is long enough for several completions: a rate of two per second cannot be measured
        over one second.

        Args:
            elapsed_ms: Time since the last sweep, in milliseconds, above 0.
            uptime_ms: Time since the start of the gateway, in milliseconds.

        Returns:
            Weight of the previous value in the rates, 0 to 1.
        """
        time_constant_ms = max(
            RATE_TIME_CONSTANT_MS, 3 * MIN_RELIABLE_SAMPLES / max(self.completion_rate, MIN_RATE)
        )
        # Until the gateway has run for the time constant, the rate is about the mean since the start.
        time_constant_ms = min(time_constant_ms, uptime_ms)
        decay_factor = time_constant_ms / (time_constant_ms + elapsed_ms)
        self.completion_rate = (
            decay_factor * self.completion_rate + (1 - decay_factor) * self._completions / elapsed_ms
        )
        self._completions = 0.0
        return decay_factor

    def sweep_warm_work(self, elapsed_ms: float, decay_factor: float, warm_endpoints: int) -> None:
        """Update the rate of work on warm endpoints; without any, it is unchanged.

        Args:
            elapsed_ms: Time since the last sweep, in milliseconds, above 0.
            decay_factor: Weight of the previous value, 0 to 1.
            warm_endpoints: Number of warm endpoints.
        """
        if warm_endpoints:
            latest = (1 - decay_factor) * self._warm_work / elapsed_ms / warm_endpoints
            self.warm_work_rate = decay_factor * self.warm_work_rate + latest
        self._warm_work = 0.0

    def sweep_attempts(self, elapsed_ms: float, uptime_ms: float) -> None:
        """Update the rates of attempts and of admitted work.

        Args:
            elapsed_ms: Time since the last sweep, in milliseconds, above 0.
            uptime_ms: Time since the start of the gateway, in milliseconds.
        """
        # As in `sweep_completions`, the rates are at first about the means since the start.
        time_constant_ms = min(ATTEMPT_RATE_TIME_CONSTANT_MS, uptime_ms)
        decay_factor = time_constant_ms / (time_constant_ms + elapsed_ms)
        self.attempt_rate = (
            decay_factor * self.attempt_rate + (1 - decay_factor) * self._attempts / elapsed_ms
        )
        self.admitted_work_rate = (
            decay_factor * self.admitted_work_rate + (1 - decay_factor) * self._admitted_work / elapsed_ms
        )
        self._attempts, self._admitted_work = 0, 0.0
