"""Occupancy of the back end, estimated from the latencies of this gateway's own attempts.

The occupancy that a response shows is its latency as a fraction of the latency objective of its class, at
most 1. Rejections and timeouts count as 1.

The baseline is the fraction of its objective that a class takes on idle endpoints. It differs between
deployments. A baseline above `MIN_SHED_OCCUPANCY` is subtracted as far as it exceeds that threshold, so that
a class whose work takes long does not count as overload.

Source: the queue occupancy q of SiRED (see `api_gateway.decisions.admission`), with latency in place of the
queue of a single server.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from api_gateway.model.settings import RequestClass

MIN_SHED_OCCUPANCY = 0.2  # Qmin of SiRED: up to this occupancy all requests are admitted.

# Samples over which occupancies and latencies are smoothed, and the minimum number of attempts in a block.
SMOOTHING_SAMPLES = 20.0
MIN_RELIABLE_SAMPLES = 5.0  # An estimate from fewer samples has less weight.
MAX_INTERVAL_WEIGHT = 0.3  # Limits how far the samples of one update move the smoothed occupancy.
MAX_BASELINE = 0.45  # A latency above this fraction of the objective never counts as a baseline.
MIN_BLOCK_DURATION_MS = 1000.0  # Long enough for queues to build up and drain within one block.
MAX_BLOCK_ATTEMPTS = 80.0  # A block with this many attempts is full whatever its duration.
VARIANCE_SMOOTHING_SAMPLES = 100.0  # Samples over which the variance of latencies is smoothed.
NOISE_STANDARD_DEVIATIONS = 3.0  # A smaller deviation from the baseline is attributed to random variation.
BASELINE_STANDARD_ERRORS = 3.0  # The minimum of several block means is too low by about this much.
BASELINE_RISE_TIME_MS = 300000.0  # Time in which the baseline rises to latencies that stay higher.
LOST_RESPONSE_LATENCY_MULTIPLE = 4.0  # A response is assumed lost after this many typical latencies.
MAX_PREDICTION_WEIGHT = 0.5  # Weight of a reliable prediction in a sample; the measurement has the rest.


class LatencyBlock:
    """Consecutive attempts of one request class.

    The baseline is learned from whole blocks, because fast attempts are over-represented among those that
    have a response at any given time.

    Args:
        started_at_ms: When the first attempt was sent, in milliseconds.

    Attributes:
        sent_count: Number of attempts.
        in_flight: Number of attempts in flight.
        latency_count: Number of attempts with a latency, including timeouts that count as overload.
        latency_fraction_sum: Sum of these latencies as fractions of the objective; 1 for a timeout.
    """

    def __init__(self, started_at_ms: float) -> None:
        self.started_at_ms = started_at_ms
        self.sent_count = 0
        self.in_flight = 0
        self.latency_count = 0
        self.latency_fraction_sum = 0.0

    def is_full(self, now_ms: float) -> bool:
        """Whether the block has enough attempts for its duration.

        It needs `MAX_BLOCK_ATTEMPTS`, or `SMOOTHING_SAMPLES` once `MIN_BLOCK_DURATION_MS` have passed.
        """
        elapsed_ms = now_ms - self.started_at_ms
        min_attempts = SMOOTHING_SAMPLES if elapsed_ms >= MIN_BLOCK_DURATION_MS else MAX_BLOCK_ATTEMPTS
        return self.sent_count >= min_attempts


class ClassLatency:
    """Latencies of one request class, recent and on idle endpoints, as fractions of its objective.

    Args:
        latency_objective_ms: The latency objective of the class, in milliseconds.

    Attributes:
        sample_count: Number of latencies so far.
        mean: Smoothed mean of the latencies.
        variance: Smoothed variance of the latencies.
        learned_baseline: Baseline learned from whole blocks; None until the first block is complete.
        standard_error: Standard error of the mean latency of the last complete block.
    """

    def __init__(self, latency_objective_ms: float) -> None:
        self.latency_objective_ms = latency_objective_ms
        self.sample_count = 0
        self.mean = 0.0
        self.variance = 0.0
        self.learned_baseline: float | None = None
        self.standard_error = 0.0
        self._current_block: LatencyBlock | None = None
        self._block_completed_at_ms = 0.0

    def start_attempt(self, now_ms: float) -> LatencyBlock:
        """Record the start of an attempt, and return the block that it belongs to."""
        if self._current_block is None or self._current_block.is_full(now_ms):
            self._current_block = LatencyBlock(now_ms)
        self._current_block.sent_count += 1
        self._current_block.in_flight += 1
        return self._current_block

    def end_attempt(self, block: LatencyBlock, latency_fraction: float | None, now_ms: float) -> None:
        """Record the end of an attempt.

        Args:
            block: The block that `start_attempt` returned.
            latency_fraction: Latency as a fraction of the objective; None if the result does not show it.
            now_ms: When the attempt ended, in milliseconds.
        """
        block.in_flight -= 1
        if latency_fraction is not None:
            block.latency_count += 1
            block.latency_fraction_sum += latency_fraction
            self._record_latency(latency_fraction)
        if not block.in_flight and block.is_full(now_ms) and 2 * block.latency_count >= block.sent_count:
            self._learn_baseline(block, now_ms)

    def _record_latency(self, latency_fraction: float) -> None:
        self.sample_count += 1
        deviation = latency_fraction - self.mean
        self.mean += deviation * max(1 / self.sample_count, 1 / SMOOTHING_SAMPLES)
        self.variance += (deviation * deviation - self.variance) * max(
            1 / self.sample_count, 1 / VARIANCE_SMOOTHING_SAMPLES
        )

    def _learn_baseline(self, block: LatencyBlock, now_ms: float) -> None:
        """Lower the baseline to the mean of a faster block; raise it slowly towards that of a slower one."""
        if block is self._current_block:
            self._current_block = None
        mean = block.latency_fraction_sum / block.latency_count
        self.standard_error = self.standard_deviation / math.sqrt(block.latency_count)
        if self.learned_baseline is None or mean < self.learned_baseline:
            self.learned_baseline = mean
        else:
            elapsed_ms = now_ms - self._block_completed_at_ms
            self.learned_baseline += (mean - self.learned_baseline) * min(
                elapsed_ms / BASELINE_RISE_TIME_MS, 1.0
            )
        self._block_completed_at_ms = now_ms

    @property
    def baseline(self) -> float:
        """Latency on idle endpoints, as a fraction of the objective.

        Until a block is complete, this is the recent mean. After that it follows the minimum of the block
        means. This minimum is too low by some standard errors, which matters for a high baseline only.
        """
        if self.learned_baseline is None:
            return min(self.mean, MAX_BASELINE)
        correction = self.baseline_excess * BASELINE_STANDARD_ERRORS * self.standard_error
        return min(self.learned_baseline + correction, MAX_BASELINE)

    @property
    def baseline_excess(self) -> float:
        """How far the baseline exceeds `MIN_SHED_OCCUPANCY`, from 0 (not at all) to 1 (twice as high)."""
        if self.learned_baseline is None:
            return 0.0
        return min(max(self.learned_baseline / MIN_SHED_OCCUPANCY - 1.0, 0.0), 1.0)

    @property
    def standard_deviation(self) -> float:
        """Standard deviation of the latencies; with few samples it tends towards their mean."""
        weighted_sum = self.variance * self.sample_count + self.mean**2 * MIN_RELIABLE_SAMPLES
        return math.sqrt(weighted_sum / (self.sample_count + MIN_RELIABLE_SAMPLES))

    @property
    def may_miss_objective_when_idle(self) -> bool:
        """Whether some responses miss the objective even on idle endpoints."""
        return LOST_RESPONSE_LATENCY_MULTIPLE * self.baseline >= 1.0

    def occupancy(self, latency_fraction: float) -> float:
        """Return the occupancy that a latency shows, which may be negative.

        It is the latency less the difference by which the baseline exceeds `MIN_SHED_OCCUPANCY`.

        Args:
            latency_fraction: Latency as a fraction of the objective.
        """
        return latency_fraction - max(self.baseline - MIN_SHED_OCCUPANCY, 0.0)


class Occupancy:
    """The smoothed occupancy of the back end, from this gateway's own attempts.

    Args:
        classes: The request classes.

    Attributes:
        class_latencies: Latencies of each request class, by name.
        smoothed: The smoothed occupancy, 0 to 1 (q of SiRED).
        sample_count: Samples since the start.
        pending_samples: Samples since the last update.
        recent_response_occupancy: Mean occupancy shown by the last responses, without predictions.
        lost_response_fraction: Fraction of responses that were lost while other responses were fast.
        baseline_ms: Running mean, over the last responses, of the baseline of their class, in milliseconds.
    """

    def __init__(self, classes: Iterable[RequestClass]) -> None:
        self.class_latencies = {c.name: ClassLatency(c.latency_objective_ms) for c in classes}
        self.smoothed = 0.0
        self.sample_count = 0
        self.pending_samples = 0
        self.recent_response_occupancy = 0.0
        self.lost_response_fraction = 0.0
        self.baseline_ms = 0.0
        self._pending_occupancy_sum = 0.0
        self._pending_variance_sum = 0.0
        self._noise_variance = 0.0  # Variance of the smoothed occupancy caused by that of single latencies.
        self._baseline_excess = 0.0  # Mean over the classes of the last responses.

    def record_response(
        self,
        class_name: str,
        latency_fraction: float,
        predicted_delay_ms: float,
        delay_noise_ms: float,
        confidence: float,
    ) -> None:
        """Record a response.

        Args:
            class_name: Name of the request class.
            latency_fraction: Latency as a fraction of the objective, at most 1.
            predicted_delay_ms: Queueing delay beyond the baseline that the attempts in flight predict for a
                new attempt, in milliseconds; negative for a latency below the baseline.
            delay_noise_ms: Random variation of the predicted delay, in milliseconds.
            confidence: How reliable the prediction is, 0 to 1.
        """
        class_latency = self.class_latencies[class_name]
        baseline = class_latency.baseline
        excess = class_latency.baseline_excess
        self.baseline_ms += (
            baseline * class_latency.latency_objective_ms - self.baseline_ms
        ) / SMOOTHING_SAMPLES
        self._baseline_excess += (excess - self._baseline_excess) / SMOOTHING_SAMPLES
        sample = class_latency.occupancy(latency_fraction)
        # At a start, responses lag behind the attempts in flight, so that no prediction is used before the
        # baseline is known. A predicted delay within its random variation is not used, either.
        weight = 0.0
        if class_latency.learned_baseline is not None and abs(predicted_delay_ms) > excess * delay_noise_ms:
            weight = (
                MAX_PREDICTION_WEIGHT * confidence * (1.0 - excess * delay_noise_ms / abs(predicted_delay_ms))
            )
        variance = class_latency.standard_deviation**2
        self.recent_response_occupancy += (sample - self.recent_response_occupancy) / MIN_RELIABLE_SAMPLES
        self.lost_response_fraction -= self.lost_response_fraction / (4 * MIN_RELIABLE_SAMPLES)
        predicted_latency_fraction = min(
            baseline + predicted_delay_ms / class_latency.latency_objective_ms, 1.0
        )
        predicted = class_latency.occupancy(predicted_latency_fraction)
        self._add_sample(sample + weight * (predicted - sample), (1 - weight) ** 2 * variance)

    def record_timeout(self, class_name: str) -> bool:
        """Record an attempt that had no response in time.

        While other responses are fast, the response was lost or a single endpoint hangs, which is no
        overload. For a class that may miss its objective even on idle endpoints, a lost response cannot be
        told apart, so that each timeout counts as overload.

        Args:
            class_name: Name of the request class.

        Returns:
            Whether the timeout counts as overload.
        """
        class_latency = self.class_latencies[class_name]
        if (
            not class_latency.may_miss_objective_when_idle
            and self.recent_response_occupancy < MIN_SHED_OCCUPANCY
        ):
            self.lost_response_fraction += (1 - self.lost_response_fraction) / (4 * MIN_RELIABLE_SAMPLES)
            return False
        self.record_overload()
        return True

    def record_overload(self) -> None:
        """Record an attempt that an endpoint rejected or did not respond to."""
        self._add_sample(1.0, 0.0)

    def _add_sample(self, sample: float, variance: float) -> None:
        self.pending_samples += 1
        self._pending_occupancy_sum += sample
        self._pending_variance_sum += variance

    def update(self, admitted_fraction: float) -> bool:
        """Update the smoothed occupancy with the samples since the last update.

        Args:
            admitted_fraction: Fraction of requests admitted since then, above 0. The smoothing period is a
                number of received requests, not of admitted ones, so that load shedding does not slow
                smoothing down.

        Returns:
            Whether there were any samples.
        """
        new_samples = self.pending_samples
        if not new_samples:
            return False
        self.sample_count += new_samples
        weight = new_samples / self.sample_count
        if self.sample_count > SMOOTHING_SAMPLES:
            weight = min(MAX_INTERVAL_WEIGHT, new_samples / (SMOOTHING_SAMPLES * admitted_fraction))
        mean = self._pending_occupancy_sum / new_samples
        self.smoothed = min(max((1 - weight) * self.smoothed + weight * mean, 0.0), 1.0)
        variance = self._pending_variance_sum / new_samples**2
        self._noise_variance = (1 - weight) ** 2 * self._noise_variance + weight**2 * variance
        self.pending_samples = 0
        self._pending_occupancy_sum = self._pending_variance_sum = 0.0
        return True

    def decay(self, factor: float) -> None:
        """Multiply the smoothed occupancy by a factor, so that an overload ends even without samples."""
        self.smoothed *= factor

    @property
    def noise(self) -> float:
        """How far random variation alone may raise the smoothed occupancy."""
        return self._baseline_excess * NOISE_STANDARD_DEVIATIONS * math.sqrt(self._noise_variance)
