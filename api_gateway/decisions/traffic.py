"""Rates that this gateway observes: completions, attempts, and work admitted and sent."""

from __future__ import annotations

from api_gateway.decisions.occupancy import MIN_RELIABLE_SAMPLES

RATE_TIME_CONSTANT_MS = 1000.0  # memory of the rates of completions and of work on warm endpoints
ATTEMPT_RATE_TIME_CONSTANT_MS = 5000.0  # memory of the rates that the size of the subset follows
MIN_RATE = 1e-9


class TrafficRates:
    """Running rates; work is in milliseconds of typical latency, rates are per millisecond.

    Attributes:
        completion_rate: Successful attempts.
        warm_work_rate: Work sent to a warm endpoint, in the mean over the warm ones.
        attempt_rate: Attempts.
        admitted_work_rate: Work admitted, whether or not an endpoint was free for it.
    """

    def __init__(self) -> None:
        self.completion_rate = 0.0
        self.warm_work_rate = 0.0
        self.attempt_rate = 0.0
        self.admitted_work_rate = 0.0
        self._completions = 0.0  # since the last sweep, like all that follow
        self._warm_work = 0.0
        self._attempts = 0
        self._admitted_work = 0.0

    def record_completion(self) -> None:
        """Note a successful attempt."""
        self._completions += 1

    def record_admitted(self, work: float) -> None:
        """Note an admitted request."""
        self._admitted_work += work

    def record_attempt(self) -> None:
        """Note an attempt."""
        self._attempts += 1

    def record_warm_work(self, work: float) -> None:
        """Note work sent to a warm endpoint."""
        self._warm_work += work

    def sweep_completions(self, elapsed_ms: float, uptime_ms: float) -> float:
        """Take in the completions since the last sweep.

        The memory holds some completions at least: a rate of two a second means nothing over one second.

        Args:
            elapsed_ms: Time since the last sweep.
            uptime_ms: Time since the start.

        Returns:
            Weight of what is remembered in the rates, 0 to 1.
        """
        time_constant_ms = max(
            RATE_TIME_CONSTANT_MS, 3 * MIN_RELIABLE_SAMPLES / max(self.completion_rate, MIN_RATE)
        )
        time_constant_ms = min(time_constant_ms, uptime_ms)
        decay_factor = time_constant_ms / (time_constant_ms + elapsed_ms)
        self.completion_rate = (
            decay_factor * self.completion_rate + (1 - decay_factor) * self._completions / elapsed_ms
        )
        self._completions = 0.0
        return decay_factor

    def sweep_warm_work(self, elapsed_ms: float, decay_factor: float, warm_endpoints: int) -> None:
        """Take in the work sent to warm endpoints since the last sweep; with none the rate stays."""
        if warm_endpoints:
            latest = (1 - decay_factor) * self._warm_work / elapsed_ms / warm_endpoints
            self.warm_work_rate = decay_factor * self.warm_work_rate + latest
        self._warm_work = 0.0

    def sweep_attempts(self, elapsed_ms: float, uptime_ms: float) -> None:
        """Take in the attempts and the admitted work since the last sweep."""
        time_constant_ms = min(ATTEMPT_RATE_TIME_CONSTANT_MS, uptime_ms)
        decay_factor = time_constant_ms / (time_constant_ms + elapsed_ms)
        self.attempt_rate = (
            decay_factor * self.attempt_rate + (1 - decay_factor) * self._attempts / elapsed_ms
        )
        self.admitted_work_rate = (
            decay_factor * self.admitted_work_rate + (1 - decay_factor) * self._admitted_work / elapsed_ms
        )
        self._attempts, self._admitted_work = 0, 0.0
