"""Occupancy of the back end: latency as a part of the class's objective, against the class's own baseline.

How much of its objective a class takes on idle endpoints differs between deployments. Where that baseline is
above `MIN_SHED_OCCUPANCY`, occupancy counts from the baseline: no class is overload by its work alone.

Source: q of SiRED, with latency over the objective (capped at 1; rejections and timeouts as 1) in place of
the queue of one server.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from api_gateway.model.settings import RequestClass

MIN_SHED_OCCUPANCY = 0.2  # Qmin of SiRED: occupancy up to which all is admitted
SMOOTHING_SAMPLES = 20.0  # memory of the smoothed occupancy, and requests in a block of one class
MIN_RELIABLE_SAMPLES = 5.0  # below so many an estimate weighs less
MAX_INTERVAL_WEIGHT = 0.3  # most that the mean of one interval weighs in the smoothed occupancy
MAX_BASELINE = 0.45  # part of the objective above which no answers count as a baseline
MIN_BLOCK_DURATION_MS = (
    1000.0  # over which the requests of a block are sent, so that queues come and go within it
)
MAX_BLOCK_REQUESTS = 80.0  # requests that are enough for a block in any time
VARIANCE_SMOOTHING_SAMPLES = 100.0  # memory of how much the latencies of a class vary
NOISE_STANDARD_DEVIATIONS = 3.0  # distance from the baseline within which occupancy is taken for chance
BASELINE_STANDARD_ERRORS = 3.0  # by which the least of several means lies too low
BASELINE_RISE_TIME_MS = 300000.0  # time in which the baseline follows answers that stay slow
LOST_RESPONSE_LATENCY_MULTIPLE = 4.0  # after so many typical latencies an answer is taken for lost
MAX_PREDICTION_WEIGHT = 0.5  # weight of the predicted queueing delay beside the latency of an answer


class LatencyBlock:
    """Requests of one class in the order in which they were sent.

    A baseline is learned from whole blocks: among the requests answered at any moment the fast ones are
    over-represented.

    Args:
        started_at_ms: When its first request was sent.
    """

    def __init__(self, started_at_ms: float) -> None:
        self.started_at_ms = started_at_ms
        self.sent_count = 0
        self.in_flight = 0
        self.response_count = 0
        self.latency_sum = 0.0  # in parts of the objective

    def is_full(self, now_ms: float) -> bool:
        """Whether it has enough requests, over a time long enough for queues to come and go."""
        elapsed_ms = now_ms - self.started_at_ms
        min_requests = SMOOTHING_SAMPLES if elapsed_ms >= MIN_BLOCK_DURATION_MS else MAX_BLOCK_REQUESTS
        return self.sent_count >= min_requests


class ClassLatency:
    """Latency of one request class in parts of its objective: recent, and on idle endpoints.

    Args:
        latency_objective_ms: The objective of the class.
    """

    def __init__(self, latency_objective_ms: float) -> None:
        self.latency_objective_ms = latency_objective_ms
        self.sample_count = 0
        self.mean = 0.0
        self.variance = 0.0
        self.learned_baseline: float | None = None  # None until a block is complete
        self.standard_error = 0.0  # of the mean of a block
        self._current_block: LatencyBlock | None = None
        self._block_completed_at_ms = 0.0

    def start_attempt(self, now_ms: float) -> LatencyBlock:
        """Note an attempt, and return the block that it belongs to."""
        if self._current_block is None or self._current_block.is_full(now_ms):
            self._current_block = LatencyBlock(now_ms)
        self._current_block.sent_count += 1
        self._current_block.in_flight += 1
        return self._current_block

    def end_attempt(self, block: LatencyBlock, latency: float | None, now_ms: float) -> None:
        """Note the end of an attempt.

        Args:
            block: What `start_attempt` returned.
            latency: Its latency in parts of the objective; None if it tells nothing.
            now_ms: The time of its end.
        """
        block.in_flight -= 1
        if latency is not None:
            block.response_count += 1
            block.latency_sum += latency
            self._record_latency(latency)
        if not block.in_flight and block.is_full(now_ms) and 2 * block.response_count >= block.sent_count:
            self._learn_baseline(block, now_ms)

    def _record_latency(self, latency: float) -> None:
        self.sample_count += 1
        deviation = latency - self.mean
        self.mean += deviation * max(1 / self.sample_count, 1 / SMOOTHING_SAMPLES)
        self.variance += (deviation * deviation - self.variance) * max(
            1 / self.sample_count, 1 / VARIANCE_SMOOTHING_SAMPLES
        )

    def _learn_baseline(self, block: LatencyBlock, now_ms: float) -> None:
        """Lower the baseline to the least mean of all blocks; raise it slowly where answers stay slow."""
        if block is self._current_block:
            self._current_block = None
        mean = block.latency_sum / block.response_count
        self.standard_error = self.standard_deviation / math.sqrt(block.response_count)
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
        """Latency on idle endpoints, in parts of the objective; until a block is complete the recent mean.

        The least of several means lies some standard errors too low, which matters for a high baseline only.
        """
        if self.learned_baseline is None:
            return min(self.mean, MAX_BASELINE)
        correction = self.baseline_excess * BASELINE_STANDARD_ERRORS * self.standard_error
        return min(self.learned_baseline + correction, MAX_BASELINE)

    @property
    def baseline_excess(self) -> float:
        """How far the baseline lies above `MIN_SHED_OCCUPANCY`: 0 up to it, 1 from its double on."""
        if self.learned_baseline is None:
            return 0.0
        return min(max(self.learned_baseline / MIN_SHED_OCCUPANCY - 1.0, 0.0), 1.0)

    @property
    def standard_deviation(self) -> float:
        """Standard deviation of a latency; few answers are taken to vary as much as their mean."""
        weighted_sum = self.variance * self.sample_count + self.mean**2 * MIN_RELIABLE_SAMPLES
        return math.sqrt(weighted_sum / (self.sample_count + MIN_RELIABLE_SAMPLES))

    @property
    def may_miss_objective_when_idle(self) -> bool:
        """Whether answers of typical work miss the objective now and then on idle endpoints."""
        return LOST_RESPONSE_LATENCY_MULTIPLE * self.baseline >= 1.0

    def occupancy(self, latency: float) -> float:
        """Return the occupancy that a latency shows: what lies above the baseline counts."""
        return latency - max(self.baseline - MIN_SHED_OCCUPANCY, 0.0)


class Occupancy:
    """The smoothed occupancy of the back end, from this gateway's own attempts.

    Args:
        classes: The request classes.
    """

    def __init__(self, classes: Iterable[RequestClass]) -> None:
        self.classes = {c.name: ClassLatency(c.latency_objective_ms) for c in classes}
        self.smoothed = 0.0  # q of SiRED
        self.sample_count = 0
        self.pending_samples = 0  # since the last update
        self.recent_response_occupancy = 0.0  # mean of the last answers in time
        self.lost_response_fraction = 0.0  # responses that never came while others were fast
        self.baseline_ms = 0.0  # latency of the last answers' classes on idle endpoints, in the mean
        self._pending_occupancy_sum = 0.0
        self._pending_variance_sum = 0.0
        self._noise_variance = 0.0  # of the smoothed occupancy, by single answers that differ
        self._baseline_excess = 0.0  # of the last answers' classes, in the mean

    def record_response(
        self,
        class_name: str,
        latency: float,
        predicted_delay_ms: float,
        delay_noise_ms: float,
        confidence: float,
    ) -> None:
        """Take in an answer.

        Args:
            class_name: Its request class.
            latency: Its latency in parts of the objective.
            predicted_delay_ms: Queueing delay beyond the baseline that the attempts in flight predict for a
                new one; below 0 for less than the baseline.
            delay_noise_ms: How much of that may be chance.
            confidence: Weight of the prediction, 0 to 1.
        """
        class_latency = self.classes[class_name]
        baseline = class_latency.baseline
        excess = class_latency.baseline_excess
        self.baseline_ms += (
            baseline * class_latency.latency_objective_ms - self.baseline_ms
        ) / SMOOTHING_SAMPLES
        self._baseline_excess += (excess - self._baseline_excess) / SMOOTHING_SAMPLES
        sample = class_latency.occupancy(latency)
        weight = 0.0  # answers lag behind at a start, and what may be chance predicts nothing
        if class_latency.learned_baseline is not None and abs(predicted_delay_ms) > excess * delay_noise_ms:
            weight = (
                MAX_PREDICTION_WEIGHT * confidence * (1.0 - excess * delay_noise_ms / abs(predicted_delay_ms))
            )
        variance = class_latency.standard_deviation**2
        self.recent_response_occupancy += (sample - self.recent_response_occupancy) / MIN_RELIABLE_SAMPLES
        self.lost_response_fraction -= self.lost_response_fraction / (4 * MIN_RELIABLE_SAMPLES)
        predicted_latency = min(baseline + predicted_delay_ms / class_latency.latency_objective_ms, 1.0)
        predicted = class_latency.occupancy(predicted_latency)
        self._add_sample(sample + weight * (predicted - sample), (1 - weight) ** 2 * variance)

    def record_timeout(self, class_name: str) -> bool:
        """Take in an attempt with no answer in time.

        While others are answered as usual its response was lost, or a single endpoint hangs, unless typical
        work of the class misses the objective by itself.

        Returns:
            Whether it counts as overload.
        """
        class_latency = self.classes[class_name]
        if (
            not class_latency.may_miss_objective_when_idle
            and self.recent_response_occupancy < MIN_SHED_OCCUPANCY
        ):
            self.lost_response_fraction += (1 - self.lost_response_fraction) / (4 * MIN_RELIABLE_SAMPLES)
            return False
        self.record_overload()
        return True

    def record_overload(self) -> None:
        """Take in an attempt that an endpoint rejected or left without an answer."""
        self._add_sample(1.0, 0.0)

    def _add_sample(self, sample: float, variance: float) -> None:
        self.pending_samples += 1
        self._pending_occupancy_sum += sample
        self._pending_variance_sum += variance

    def update(self, admitted_fraction: float) -> bool:
        """Take the samples since the last update into the smoothed occupancy.

        Args:
            admitted_fraction: Part of the requests that was admitted: the memory counts requests received.

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
        """Lower the smoothed occupancy while no samples come, so that the end of an overload is noticed."""
        self.smoothed *= factor

    @property
    def noise(self) -> float:
        """How far the smoothed occupancy may lie above the baseline with nothing wrong."""
        return self._baseline_excess * NOISE_STANDARD_DEVIATIONS * math.sqrt(self._noise_variance)
