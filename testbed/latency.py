"""Histograms of latency that are recorded in several processes and merged."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@dataclass(frozen=True, slots=True)
class LatencyPercentiles:
    """Percentiles of latency.

    Attributes:
        p50: Median in milliseconds.
        p99: 99th percentile in milliseconds.
        p999: 99.9th percentile in milliseconds.
        count: Number of recorded latencies.
    """

    p50: float
    p99: float
    p999: float
    count: int


class LatencyRecorder:
    """Records latencies between 1 microsecond and 60 seconds with three significant digits."""

    def __init__(self) -> None:
        self._histogram = _new_histogram()

    def record(self, latency_s: float) -> None:
        """Record a latency; one that is out of range is recorded as the nearest bound.

        Args:
            latency_s: The latency in seconds.
        """
        self._histogram.record_value(min(max(int(latency_s * 1e6), MIN_LATENCY_US), MAX_LATENCY_US))

    def count(self) -> int:
        """Return the number of recorded latencies."""
        return self._histogram.get_total_count()

    def encode(self) -> str:
        """Return the histogram encoded as text, for `merge_percentiles`."""
        return self._histogram.encode().decode()


def merge_percentiles(encoded_histograms: Iterable[str]) -> LatencyPercentiles | None:
    """Merge the histograms of several processes, and compute the percentiles.

    Args:
        encoded_histograms: Results of `LatencyRecorder.encode`.

    Returns:
        The percentiles over all recorded latencies; None if there are none.
    """
    merged = _new_histogram()
    for encoded in encoded_histograms:
        merged.decode_and_add(encoded.encode())
    if not merged.get_total_count():
        return None
    p50, p99, p999 = (merged.get_value_at_percentile(percent) / 1000 for percent in (50, 99, 99.9))
    return LatencyPercentiles(p50, p99, p999, merged.get_total_count())
