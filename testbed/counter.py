"""A stand-in for the counter, from the protocol page: totals by name, bounded calls a second, parts."""

from __future__ import annotations

import asyncio
import random
import zlib
from urllib.parse import parse_qs, urlsplit

from testbed.http import Call, Traffic, answer

LATE_S = 2.0  # after this an answer has timed out at every caller


class Counts:
    """Numbers by name on a few parts, each of which serves calls in turn and turns away beyond its line."""

    def __init__(
        self, calls_per_s: float, parts: int = 2, line_s: float = 0.1, turned_away: float = 0.0, seed: int = 1
    ) -> None:
        """`calls_per_s`: over all parts; `line_s`: how long a call may have to wait; `turned_away`: part of
        the calls refused whatever the line is, as a crowd of others would have it."""
        self.traffic = Traffic()
        self.calls = self.away = 0
        self.turned_away, self._line_s = turned_away, line_s
        self.late = 0.0  # part of the calls that are added in their turn, and answered when nobody waits
        self._each_s = parts / calls_per_s
        self._free_at = [0.0] * parts
        self._totals: dict[str, tuple[float, float]] = {}  # total, when it is forgotten
        self._rng = random.Random(seed)

    def handle(self, call: Call) -> None:
        """One call, answered in its turn."""
        url = urlsplit(call.target)
        query = parse_qs(url.query)
        try:
            name, amount = url.path.removeprefix("/v1/count/"), float(query["add"][0])
            life_s = min(float(query["ttl_ms"][0]), 60_000.0) / 1000
        except (KeyError, ValueError):
            call.answer(answer(400))
            return
        if not url.path.startswith("/v1/count/") or not 0 < len(name) <= 64 or abs(amount) > 1e9:
            call.answer(answer(400))
            return
        self.calls += 1
        loop = asyncio.get_running_loop()
        now, part = loop.time(), zlib.crc32(name.encode()) % len(self._free_at)
        at = max(self._free_at[part], now) + self._each_s
        if at - now > self._line_s or self._rng.random() < self.turned_away:
            self.away += 1
            call.answer(answer(503))
            return
        self._free_at[part] = at
        loop.call_at(at, self._serve, call, name, amount, life_s)

    def _serve(self, call: Call, name: str, amount: float, life_s: float) -> None:
        now = asyncio.get_running_loop().time()
        total, until = self._totals.get(name, (0.0, 0.0))
        if now >= until:
            total, until = 0.0, now + life_s
        self._totals[name] = (total + amount, until)
        reply = answer(200, f"{total + amount:.7g}".encode())
        if self._rng.random() < self.late:
            asyncio.get_running_loop().call_later(LATE_S, call.answer, reply)
        else:
            call.answer(reply)
