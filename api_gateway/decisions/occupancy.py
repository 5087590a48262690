"""Occupancy of the back end: latency over the class's aim, read by each class's own yardstick.

How much of its aim a class takes on hosts that nobody presses belongs to the deployment: a tenth here, a half
there. Where that is more than Q_MIN, occupancy counts from there: no class is pressure by its work alone.

Source: the design's q (latency over the aim, capped at 1; refusals as full, time-outs at 1).
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from api_gateway.model.settings import RequestClass

OUTCOMES_KEPT = 20.0  # outcomes in the memory of q, and requests in a block of one class
FEW = 5.0  # outcomes below which an estimate weighs less
INTERVAL_WEIGHT = 0.3  # most that one interval's mean weighs in q
Q_MIN = 0.2  # occupancy up to which nothing is shed (design page: thresholds are open)
UNPRESSED_MAX = 0.45  # part of the aim above which no answers pass for unpressed ones, even at a start
BLOCK_MS = 1000.0  # time in which the requests of a block are sent, unless there are many: queues last less
BLOCK_MOST = 80.0  # requests that are enough for a block in any time
SPREAD_KEPT = 100.0  # answers in the memory of how much the shares of a class vary
NOISE_BOUND = 3.0  # standard deviations of q that are chance
BLOCK_BOUND = 3.0  # standard errors by which the least of the means of blocks lies too low
RISE_MS = 300000.0  # time in which the unpressed share follows answers that stay slow
PATIENCE = 4.0  # usual latencies: one in 50 exponential answers takes longer
FORETOLD = 0.5  # weight of what the requests out foretell beside what an answer took


class LatencyBlock:
    """Requests of one class in the order in which they were sent: among those answered at any moment the
    quick ones are too many."""

    def __init__(self, began_ms: float) -> None:
        self.began_ms = began_ms
        self.sent = self.waiting = self.answered = 0
        self.total = 0.0

    def is_full(self, now_ms: float) -> bool:
        """Whether it has enough requests, over a time long enough for queues to come and go."""
        least = OUTCOMES_KEPT if now_ms - self.began_ms >= BLOCK_MS else BLOCK_MOST
        return self.sent >= least


class ClassLatency:
    """The part of its aim that one class takes: lately, and while its hosts are not pressed."""

    def __init__(self, latency_objective_ms: float) -> None:
        self.latency_objective_ms = latency_objective_ms
        self.count = 0
        self.mean = 0.0  # of the shares of the last OUTCOMES_KEPT answers or so
        self.variance = 0.0  # of the last SPREAD_KEPT
        self.unpressed: float | None = None  # None until a block is full
        self.error = 0.0  # standard error of a block's mean
        self.block: LatencyBlock | None = None
        self.closed_ms = 0.0  # when the last block was full

    def send(self, now_ms: float) -> LatencyBlock:
        """A request is sent; the block that it belongs to."""
        if self.block is None or self.block.is_full(now_ms):
            self.block = LatencyBlock(now_ms)
        self.block.sent += 1
        self.block.waiting += 1
        return self.block

    def end(self, block: LatencyBlock, share: float | None, now_ms: float) -> None:
        """A request of a block ended, with `share` of its aim taken (None: it tells nothing of that)."""
        block.waiting -= 1
        if share is not None:
            block.answered += 1
            block.total += share
            self._note(share)
        if not block.waiting and block.is_full(now_ms) and 2 * block.answered >= block.sent:
            self._learn(block, now_ms)

    def _note(self, share: float) -> None:
        self.count += 1
        offset = share - self.mean
        self.mean += offset * max(1 / self.count, 1 / OUTCOMES_KEPT)
        self.variance += (offset * offset - self.variance) * max(1 / self.count, 1 / SPREAD_KEPT)

    def _learn(self, block: LatencyBlock, now_ms: float) -> None:
        """The least mean of all blocks is the unpressed share; where answers stay slow it rises in time."""
        if block is self.block:
            self.block = None
        mean = block.total / block.answered
        self.error = self.spread / math.sqrt(block.answered)
        if self.unpressed is None or mean < self.unpressed:
            self.unpressed = mean
        else:
            elapsed = now_ms - self.closed_ms
            self.unpressed += (mean - self.unpressed) * min(elapsed / RISE_MS, 1.0)
        self.closed_ms = now_ms

    @property
    def base(self) -> float:
        """The unpressed share; until a block is full, what answers took so far. The least of some means lies
        a few errors too low, which matters where it is well over Q_MIN."""
        if self.unpressed is None:
            return min(self.mean, UNPRESSED_MAX)
        return min(self.unpressed + self.nearness * BLOCK_BOUND * self.error, UNPRESSED_MAX)

    @property
    def nearness(self) -> float:
        """How far the unpressed share lies from Q_MIN (0) to its double and beyond (1)."""
        if self.unpressed is None:
            return 0.0
        return min(max(self.unpressed / Q_MIN - 1.0, 0.0), 1.0)

    @property
    def spread(self) -> float:
        """Standard deviation of a share; few answers are taken to vary as much as their mean."""
        return math.sqrt((self.variance * self.count + self.mean**2 * FEW) / (self.count + FEW))

    @property
    def reaches_aim(self) -> bool:
        """Whether answers of usual work miss the aim now and then with nothing wrong."""
        return PATIENCE * self.base >= 1.0

    def occupancy(self, share: float) -> float:
        """What it says of the hosts that an answer took `share` of the aim: the part beyond the unpressed
        share, or Q_MIN where that is more, counts from Q_MIN."""
        return share - max(self.base - Q_MIN, 0.0)


class Occupancy:
    """The smoothed occupancy q of the back end, from this gateway's own outcomes."""

    def __init__(self, classes: Iterable[RequestClass]) -> None:
        self.classes = {c.name: ClassLatency(c.latency_objective_ms) for c in classes}
        self.q = 0.0
        self.noise = 0.0  # variance of q that comes of single answers differing
        self.seen = 0  # samples that q holds
        self.good = 0.0  # mean sample of the last good answers
        self.pending = 0  # samples since the last update, their sum and variance
        self.pending_sum = self.pending_variance = 0.0
        self.nearness = 0.0  # of the last answers' classes, in the mean
        self.unpressed_ms = 0.0  # what the last answers take while nothing waits, in the mean
        self.lost = 0.0  # share of the answers that never came beside quick ones

    def note_answer(self, name: str, share: float, wait_ms: float, chance_ms: float, trust: float) -> None:
        """An answer of class `name` took `share` of its aim. The requests out foretell a wait of `wait_ms`
        beyond the unpressed latency, give or take `chance_ms`, which weighs by `trust` (0 to 1)."""
        latency = self.classes[name]
        self.unpressed_ms += (latency.base * latency.latency_objective_ms - self.unpressed_ms) / OUTCOMES_KEPT
        self.nearness += (latency.nearness - self.nearness) / OUTCOMES_KEPT
        sample = latency.occupancy(share)
        weight = 0.0  # departures lag at a start, and what may be chance foretells nothing
        if latency.unpressed is not None and abs(wait_ms) > latency.nearness * chance_ms:
            weight = FORETOLD * trust * (1.0 - latency.nearness * chance_ms / abs(wait_ms))
        variance = latency.spread**2
        self.good += (sample - self.good) / FEW
        self.lost -= self.lost / (4 * FEW)
        foretold = latency.occupancy(min(latency.base + wait_ms / latency.latency_objective_ms, 1.0))
        self._add(sample + weight * (foretold - sample), (1 - weight) ** 2 * variance)

    def note_timeout(self, name: str) -> bool:
        """No answer in time: whether it was late. While others come as usual it is lost on its way, or stuck
        on a single host, unless usual work reaches the aim by itself."""
        latency = self.classes[name]
        if not latency.reaches_aim and self.good < Q_MIN:
            self.lost += (1 - self.lost) / (4 * FEW)
            return False
        self.note_full()
        return True

    def note_full(self) -> None:
        """A host turned a request away, or left it without an answer."""
        self._add(1.0, 0.0)

    def _add(self, sample: float, variance: float) -> None:
        self.pending += 1
        self.pending_sum += sample
        self.pending_variance += variance

    def update(self, fraction: float) -> bool:
        """Take what came since the last update into q, by the requests asked for it; whether any came."""
        count = self.pending
        if not count:
            return False
        self.seen += count
        weight = count / self.seen
        if self.seen > OUTCOMES_KEPT:
            weight = min(INTERVAL_WEIGHT, count / (OUTCOMES_KEPT * fraction))
        mean = self.pending_sum / count
        self.q = min(max((1 - weight) * self.q + weight * mean, 0.0), 1.0)
        variance = self.pending_variance / count**2
        self.noise = (1 - weight) ** 2 * self.noise + weight**2 * variance
        self.pending = 0
        self.pending_sum = self.pending_variance = 0.0
        return True

    @property
    def chance(self) -> float:
        """How far q may lie over Q_MIN with nothing wrong, where classes are near their aims."""
        return self.nearness * NOISE_BOUND * math.sqrt(self.noise)
