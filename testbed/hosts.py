"""A stand-in for the hosts: any number of them behind the few ports of one process."""

from __future__ import annotations

import asyncio
import math
import random

from testbed.http import Call, Traffic, answer


class HostTimes:
    """How long hosts take for a request, in seconds: lognormal with a mean and a coefficient of variation."""

    def __init__(self, mean_ms: float, cv: float, seed: int) -> None:
        self._rng = random.Random(seed)
        self._sigma = math.sqrt(math.log(1 + cv * cv))
        self._mu = math.log(mean_ms / 1000) - self._sigma**2 / 2

    def draw(self) -> float:
        """The next one."""
        return self._rng.lognormvariate(self._mu, self._sigma)


class Hosts:
    """Answers each request after its time, and tells it that time (microseconds) in the body."""

    def __init__(self, mean_ms: float = 20.0, cv: float = 0.8, seed: int = 1) -> None:
        self.traffic = Traffic()
        self._times = HostTimes(mean_ms, cv, seed)

    def handle(self, call: Call) -> None:
        """One request."""
        took = self._times.draw()
        asyncio.get_running_loop().call_later(
            took, call.answer, answer(200, b"%d" % (took * 1e6), b"Content-Type: text/plain\r\n")
        )
