"""Samples the load of the back end from the results of attempts, and updates admission control with them."""

from __future__ import annotations

import math

from api_gateway.decisions.admission import (
    MIN_OCCUPANCY_SAMPLES,
    OVERDUE_OBJECTIVE_FRACTION,
    AdmissionController,
)
from api_gateway.decisions.occupancy import MIN_RELIABLE_SAMPLES
from api_gateway.decisions.outlier_detection import OutlierDetector
from api_gateway.decisions.pending_requests import Attempt, PendingRequest, PendingRequests
from api_gateway.decisions.rate_limited_log import RateLimitedLog
from api_gateway.decisions.retry import INTERRUPTED_RESULTS
from api_gateway.decisions.subset import EndpointSubset
from api_gateway.decisions.subset_sizing import OVERLOADED_ADMITTED_FRACTION
from api_gateway.decisions.traffic import TrafficRates
from api_gateway.decisions.uptime import SWEEP_INTERVAL_MS, SweepTimer, Uptime
from api_gateway.model.events import AttemptEnded
from api_gateway.model.results import AttemptResult
from api_gateway.model.settings import Settings

# As in SiRED (see `api_gateway.decisions.admission`), admission is updated after this many samples if no
# sweep has updated it before.
MAX_SAMPLES_PER_UPDATE = 125

# A deviation of the number of attempts in flight from its mean counts as random variation up to this many
# standard deviations.
DELAY_NOISE_STANDARD_DEVIATIONS = 2.0

UNINFORMATIVE_RESULTS = INTERRUPTED_RESULTS | {
    AttemptResult.CANCELLED,
    AttemptResult.MALFORMED_RESPONSE,
    AttemptResult.LOCAL_LIMIT,
    AttemptResult.NOT_STARTED,
}


class LoadSampler:
    """Turns the results of attempts into samples of occupancy.

    Args:
        settings: Settings of the gateway.
        admission: Admission control, which is updated from the samples.
        pending_requests: The pending requests.
        subset: Subset of the endpoints that the gateway uses.
        outlier_detector: Detects outliers, whose latencies say nothing about the load of the back end.
        traffic: Request rates of the gateway.
        uptime: Time since the gateway started.
        sweep_timer: Detects stalls of this process.
        log: Log to which load shedding is written while the admitted fraction is below
            `OVERLOADED_ADMITTED_FRACTION`.
    """

    def __init__(
        self,
        settings: Settings,
        admission: AdmissionController,
        pending_requests: PendingRequests,
        subset: EndpointSubset,
        outlier_detector: OutlierDetector,
        traffic: TrafficRates,
        uptime: Uptime,
        sweep_timer: SweepTimer,
        log: RateLimitedLog,
    ) -> None:
        self._longest_objective_ms = max(c.latency_objective_ms for c in settings.classes)
        self._admission = admission
        self._pending_requests = pending_requests
        self._subset = subset
        self._outlier_detector = outlier_detector
        self._traffic = traffic
        self._uptime = uptime
        self._sweep_timer = sweep_timer
        self._log = log

    def record_attempt_result(
        self, pending: PendingRequest, attempt: Attempt, event: AttemptEnded, now_ms: float
    ) -> None:
        """Record the end of an attempt.

        Args:
            pending: The request of the attempt.
            attempt: The attempt.
            event: How it ended.
            now_ms: The current time, in milliseconds.
        """
        occupancy = self._admission.occupancy
        latency_fraction = self._record_sample(pending, attempt, event, now_ms)
        occupancy.class_latencies[pending.class_name].end_attempt(
            attempt.latency_block, latency_fraction, now_ms
        )
        if occupancy.pending_samples >= MAX_SAMPLES_PER_UPDATE:
            self.update_admission(now_ms)

    def _record_sample(
        self, pending: PendingRequest, attempt: Attempt, event: AttemptEnded, now_ms: float
    ) -> float | None:
        """Record a sample of occupancy, if the result shows anything about the load.

        Returns:
            Latency as a fraction of the objective; None if the result does not show it.
        """
        if attempt.started_at_ms < self._sweep_timer.stalled_at_ms or event.result in UNINFORMATIVE_RESULTS:
            return None
        if self._outlier_detector.is_outlier(attempt.endpoint):
            # An outlier's latency says nothing about the others, but would cause their load to be shed, too.
            return None
        occupancy, class_name = self._admission.occupancy, pending.class_name
        if event.result in (AttemptResult.OK, AttemptResult.ERROR):
            latency_fraction = min(event.duration_ms / pending.request_class.latency_objective_ms, 1.0)
            self._record_response(class_name, latency_fraction, now_ms)
            return latency_fraction
        if event.result is AttemptResult.TIMED_OUT:
            is_overload = occupancy.record_timeout(class_name)
            if is_overload and occupancy.class_latencies[class_name].may_miss_objective_when_idle:
                self._traffic.record_completion()
            return 1.0 if is_overload else None
        occupancy.record_overload()
        return None

    def _record_response(self, class_name: str, latency_fraction: float, now_ms: float) -> None:
        """Record a response, with the queueing delay that the attempts in flight predict by Little's law.

        Args:
            class_name: Name of the request class.
            latency_fraction: Latency as a fraction of the objective, at most 1.
            now_ms: The current time, in milliseconds.
        """
        occupancy = self._admission.occupancy
        completions = self._traffic.completion_rate * self._uptime.elapsed_ms(now_ms)
        # A rate that was measured over few completions predicts little.
        confidence = min(completions / (3 * MIN_RELIABLE_SAMPLES), 1.0)
        predicted_delay_ms, delay_noise_ms = self._predicted_delay_ms()
        occupancy.record_response(
            class_name, latency_fraction, predicted_delay_ms, delay_noise_ms, confidence
        )

    def _predicted_delay_ms(self) -> tuple[float, float]:
        """Return the predicted queueing delay of a new attempt, and its random variation.

        Returns:
            Delay beyond the baseline (negative for a latency below it) and random variation, in milliseconds.
        """
        completion_rate, baseline_ms = self._traffic.completion_rate, self._admission.occupancy.baseline_ms
        if completion_rate <= 0:
            return 0.0, 0.0
        # Attempts at ejected endpoints say nothing about the queues of the others.
        in_flight = self._pending_requests.attempts_in_flight - sum(e.in_flight for e in self._subset.ejected)
        # By Little's law, completion_rate * baseline_ms attempts are in flight on idle endpoints. The
        # standard deviation of their number is about its square root; divided by the rate, it is a delay.
        delay_noise_ms = DELAY_NOISE_STANDARD_DEVIATIONS * math.sqrt(baseline_ms / completion_rate)
        return in_flight / completion_rate - baseline_ms, delay_noise_ms

    def update_admission(self, now_ms: float) -> None:
        """Update the admitted fraction from the samples since the last update."""
        occupancy = self._admission.occupancy
        if not occupancy.update(self._admission.admitted_fraction) and not self._pending_requests:
            # Otherwise the occupancy would stay high long after an overload: near the minimum of the admitted
            # fraction, few requests give new samples.
            occupancy.decay(1 - SWEEP_INTERVAL_MS / self._longest_objective_ms)
        overdue_attempts = 0
        if occupancy.sample_count < MIN_OCCUPANCY_SAMPLES:
            overdue_attempts = self._pending_requests.count_overdue(OVERDUE_OBJECTIVE_FRACTION, now_ms)
        self._admission.update(overdue_attempts)
        admitted_fraction = self._admission.admitted_fraction
        if admitted_fraction < OVERLOADED_ADMITTED_FRACTION:
            details = f"occupancy={occupancy.smoothed:.2f} admitted_fraction={admitted_fraction:.2f}"
            self._log.write("load_shedding", details, now_ms)
