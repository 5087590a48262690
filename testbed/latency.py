"""Histograms of the time that gateways add, recorded in one process and read over all of them."""

from __future__ import annotations

from collections.abc import Iterable

from hdrh.histogram import HdrHistogram

from testbed.plan import Latency

HIGHEST_US = 60_000_000


class Added:
    """Times added to requests, from 1 microsecond to a minute, to three digits."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, HIGHEST_US, 3)

    def record(self, seconds: float) -> None:
        """One more; what lies outside counts as the bound."""
        self._histogram.record_value(min(max(int(seconds * 1e6), 1), HIGHEST_US))

    def count(self) -> int:
        """How many there are."""
        return self._histogram.get_total_count()

    def encode(self) -> str:
        """As text, for `quantiles` in another process."""
        return self._histogram.encode().decode()


def quantiles(encoded: Iterable[str]) -> Latency | None:
    """The quantiles over the times of several processes; None where there are none."""
    whole = HdrHistogram(1, HIGHEST_US, 3)
    for text in encoded:
        whole.decode_and_add(text.encode())
    if not whole.get_total_count():
        return None
    at = [whole.get_value_at_percentile(p) / 1000 for p in (50, 99, 99.9)]
    return Latency(p50=at[0], p99=at[1], p999=at[2], count=whole.get_total_count())
