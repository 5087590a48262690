"""Emulator of the counter, which keeps counts by name.

The counts are distributed over partitions by their names. Each partition processes a limited rate of calls.
"""

from __future__ import annotations

import asyncio
import random
import zlib
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

from testbed.http_server import Request, TrafficStatistics, encode_response

COUNT_PATH_PREFIX = "/v1/count/"
MAX_COUNT_NAME_LENGTH = 64
MAX_AMOUNT = 1e9
MAX_LIFETIME_MS = 60_000.0
LATE_RESPONSE_DELAY_S = 2.0  # longer than the timeout of any caller


class Increment(NamedTuple):
    """An increment of a count.

    Attributes:
        name: Name of the count.
        amount: Amount to add, in units; may be negative.
        lifetime_s: Time after which the count expires if this increment creates it, in seconds.
    """

    name: str
    amount: float
    lifetime_s: float


def parse_increment(target: str) -> Increment | None:
    """Parse a request target.

    Args:
        target: The request target, `/v1/count/NAME?add=AMOUNT&ttl_ms=LIFETIME`.

    Returns:
        The increment, or None if the target is malformed, or its name or amount exceeds a limit.
    """
    url = urlsplit(target)
    query = parse_qs(url.query)
    try:
        amount = float(query["add"][0])
        lifetime_s = min(float(query["ttl_ms"][0]), MAX_LIFETIME_MS) / 1000
    except (KeyError, ValueError):
        return None
    name = url.path.removeprefix(COUNT_PATH_PREFIX)
    if not url.path.startswith(COUNT_PATH_PREFIX) or not 0 < len(name) <= MAX_COUNT_NAME_LENGTH:
        return None
    if abs(amount) > MAX_AMOUNT:
        return None
    return Increment(name, amount, lifetime_s)


class _Count(NamedTuple):
    value: float
    expires_at: float  # loop time in seconds


class CounterServer:
    """Counter whose partitions process calls one after another and reject calls if their queue is too long.

    Attributes:
        traffic: Counts of requests, bytes and connections.
        calls: Number of well-formed calls, including the rejected ones.
        rejected_calls: Number of calls that got status 503.
        rejected_fraction: Fraction of the calls to reject at random, in addition to those that would wait too
            long.
        late_fraction: Fraction of the processed calls whose response is delayed by `LATE_RESPONSE_DELAY_S`,
            so that their callers time out.
    """

    def __init__(
        self,
        calls_per_s: float,
        partitions: int = 2,
        max_queue_delay_s: float = 0.1,
        rejected_fraction: float = 0.0,
        seed: int = 1,
    ) -> None:
        """Initialize the counter.

        Args:
            calls_per_s: Calls per second that all partitions together process.
            partitions: Number of partitions.
            max_queue_delay_s: Longest time from the arrival of a call to the end of its processing, in
                seconds; a call that would take longer is rejected.
            rejected_fraction: Fraction of the calls to reject at random, in addition to those that would wait
                too long.
            seed: Seed of the random generator.
        """
        self.traffic = TrafficStatistics()
        self.calls = 0
        self.rejected_calls = 0
        self.rejected_fraction = rejected_fraction
        self.late_fraction = 0.0
        self._max_queue_delay_s = max_queue_delay_s
        self._call_duration_s = partitions / calls_per_s
        self._busy_until = [0.0] * partitions
        self._counts: dict[str, _Count] = {}
        self._rng = random.Random(seed)

    def handle(self, request: Request) -> None:
        """Queue one call, or respond at once with status 400 (malformed) or 503 (rejected)."""
        increment = parse_increment(request.target)
        if increment is None:
            request.respond(encode_response(400))
            return
        self.calls += 1
        loop = asyncio.get_running_loop()
        now = loop.time()
        partition = zlib.crc32(increment.name.encode()) % len(self._busy_until)
        done_at = max(self._busy_until[partition], now) + self._call_duration_s
        if done_at - now > self._max_queue_delay_s or self._rng.random() < self.rejected_fraction:
            self.rejected_calls += 1
            request.respond(encode_response(503))
            return
        self._busy_until[partition] = done_at
        loop.call_at(done_at, self._process, request, increment)

    def _process(self, request: Request, increment: Increment) -> None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        count = self._counts.get(increment.name)
        if count is None or now >= count.expires_at:
            count = _Count(0.0, now + increment.lifetime_s)
        count = _Count(count.value + increment.amount, count.expires_at)
        self._counts[increment.name] = count
        response = encode_response(200, f"{count.value:.7g}".encode())
        if self._rng.random() < self.late_fraction:
            loop.call_later(LATE_RESPONSE_DELAY_S, request.respond, response)
        else:
            request.respond(response)
