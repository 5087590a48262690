"""Emulator of upstream endpoints.

One process listens on a few ports, and many entries of the endpoint list can have the same port.
"""

from __future__ import annotations

import asyncio
import math
import random

from testbed.http_server import Request, TrafficStatistics, encode_response

MEAN_SERVICE_TIME_MS = 20.0
SERVICE_TIME_VARIATION_COEFFICIENT = 0.8  # standard deviation divided by mean


class ServiceTimes:
    """Generator of lognormal service times."""

    def __init__(self, mean_ms: float, variation_coefficient: float, seed: int) -> None:
        """Initialize the distribution.

        Args:
            mean_ms: Mean service time in milliseconds.
            variation_coefficient: Standard deviation of the service time, divided by its mean.
            seed: Seed of the random generator.
        """
        self._rng = random.Random(seed)
        self._sigma = math.sqrt(math.log(1 + variation_coefficient * variation_coefficient))
        self._mu = math.log(mean_ms / 1000) - self._sigma**2 / 2

    def draw(self) -> float:
        """Return the next service time in seconds."""
        return self._rng.lognormvariate(self._mu, self._sigma)


class EndpointServer:
    """Responds to each request after a random service time; the body is that time in microseconds."""

    def __init__(
        self,
        mean_ms: float = MEAN_SERVICE_TIME_MS,
        variation_coefficient: float = SERVICE_TIME_VARIATION_COEFFICIENT,
        seed: int = 1,
    ) -> None:
        """Initialize the server.

        Args:
            mean_ms: Mean service time in milliseconds.
            variation_coefficient: Standard deviation of the service time, divided by its mean.
            seed: Seed of the random generator.
        """
        self.traffic = TrafficStatistics()
        self._service_times = ServiceTimes(mean_ms, variation_coefficient, seed)

    def handle(self, request: Request) -> None:
        """Respond to one request after its service time."""
        service_time_s = self._service_times.draw()
        response = encode_response(200, b"%d" % (service_time_s * 1e6), b"Content-Type: text/plain\r\n")
        asyncio.get_running_loop().call_later(service_time_s, request.respond, response)
