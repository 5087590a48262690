"""Simulation of a fleet of gateways, which records the attempts that each endpoint receives.

The latency of an endpoint does not depend on its load, so that only the limits of the gateways protect it.
"""

from __future__ import annotations

import dataclasses
import random
from bisect import bisect_left
from collections import defaultdict

from api_gateway.decisions.gateway import Gateway
from api_gateway.model.actions import StartAttempt, StartTimer
from api_gateway.model.endpoints import Endpoint, EndpointStatus, UpdateKind
from api_gateway.model.events import AttemptEnded, EndpointUpdate, Event, RequestReceived, TimerFired
from api_gateway.model.results import AttemptResult
from api_gateway.model.settings import Idempotency
from support.event_simulation import EventSimulation
from support.gateway_driver import OPEN_PLAN, READ_CLASS, settings

CAPACITY_PER_S = 25.0  # Requests per second that a warm endpoint can serve.
SLOW_START_MIN_WEIGHT = 0.2
OVERLOAD_WINDOW_S = 2.0
IDLE_CONNECTION_TIMEOUT_S = 30.0
MEAN_LATENCY_MS = 60.0
INTEGRATION_STEPS = 20  # Steps per overload window.


class FleetSimulation(EventSimulation):
    """Gateways that share endpoints.

    Attributes:
        requests_per_s_per_endpoint: Requests per second and endpoint.
        endpoints: Current endpoints by name.
        sent_at_ms: Simulated times of the attempts to each endpoint, in milliseconds.
    """

    def __init__(
        self,
        *,
        gateways: int = 30,
        endpoints: int = 50,
        requests_per_s_per_endpoint: float = 15.0,
        overload_multiple: float = 1.2,
        slow_start_s: float = 10.0,
        traffic_share_shape: float = 0.0,
        seed: int = 1,
    ) -> None:
        """Start all gateways with the full endpoint list.

        Args:
            gateways: Number of gateways.
            endpoints: Number of endpoints.
            requests_per_s_per_endpoint: Requests per second and endpoint.
            overload_multiple: Multiple of its capacity beyond which an endpoint is overloaded.
            slow_start_s: Duration of the slow start, in seconds.
            traffic_share_shape: Shape of the gamma distribution of the gateways' shares of the traffic.
                Smaller values are less even; 0 stands for equal shares.
            seed: Seed of all random draws.
        """
        super().__init__(random.Random(seed), 1e9)
        self.requests_per_s_per_endpoint = requests_per_s_per_endpoint
        self.sent_at_ms: defaultdict[str, list[float]] = defaultdict(list)
        self._seed = seed
        self._overload_multiple, self._slow_start_s = overload_multiple, slow_start_s
        self._settings = settings(
            classes=(dataclasses.replace(READ_CLASS, idempotency=Idempotency.IDEMPOTENT),),
            plans=(OPEN_PLAN,),
            fleet_size=gateways,
            slow_start_min_weight=SLOW_START_MIN_WEIGHT,
            slow_start_ms=1000 * slow_start_s,
            overload_multiple=overload_multiple,
            overload_window_ms=1000 * OVERLOAD_WINDOW_S,
            idle_connection_timeout_ms=1000 * IDLE_CONNECTION_TIMEOUT_S,
            counter_enabled=False,
        )
        names = [f"h{i}" for i in range(endpoints)]
        self.endpoints = {name: _endpoint(name, started_at_ms=0.0) for name in names}
        self._endpoints_created = endpoints
        self._traffic_shares = [1.0] * gateways
        if traffic_share_shape:
            self._traffic_shares = [self.rng.gammavariate(traffic_share_shape, 1.0) for _ in range(gateways)]
        self._gateways: dict[int, Gateway] = {}
        for index in range(gateways):
            self.restart_gateway(index)

    def restart_gateway(self, index: int) -> None:
        """Replace a gateway with a new one, which gets the full endpoint list."""
        own_settings = dataclasses.replace(self._settings, gateway_index=index)
        self._gateways[index] = Gateway(own_settings, self._seed * 1000 + index + self.serial)
        self._discard_events(index)
        self._deliver(index, EndpointUpdate(UpdateKind.CACHED, tuple(self.endpoints.values())))

    def replace_endpoints(self, names: list[str]) -> list[str]:
        """Remove endpoints and add as many new ones; all gateways are notified immediately.

        Args:
            names: Endpoints to remove.

        Returns:
            Names of the new endpoints.
        """
        added = []
        for name in names:
            del self.endpoints[name]
            new_name = f"h{self._endpoints_created}"
            self._endpoints_created += 1
            self.endpoints[new_name] = _endpoint(new_name, self.now_ms)
            added.append(new_name)
        removals = [Endpoint(name, status=EndpointStatus.REMOVED) for name in names]
        changes = tuple(removals + [self.endpoints[name] for name in added])
        for index in self._gateways:
            self._deliver(index, EndpointUpdate(UpdateKind.CHANGES, changes))
        return added

    def run(self, seconds: float) -> None:
        """Run the open-loop load for some simulated seconds."""
        requests_per_ms = self.requests_per_s_per_endpoint * len(self.endpoints) / 1000
        self._run_open_loop(seconds, requests_per_ms, self._send_request)

    def overloaded_endpoints(self) -> list[str]:
        """Return the endpoints that received too many requests in any overload window of their slow start.

        Where N requests are allowed, more than N + 2 * sqrt(N) + 2 are too many.
        """
        return [name for name in self.endpoints if self._was_overloaded(name)]

    def received_per_s(self, since_ms: float, until_ms: float) -> dict[str, float]:
        """Return the requests per second that each endpoint received between two simulated times."""
        rates = {}
        for name in self.endpoints:
            sent_at_ms = self.sent_at_ms[name]
            count = bisect_left(sent_at_ms, until_ms) - bisect_left(sent_at_ms, since_ms)
            rates[name] = count / (until_ms - since_ms) * 1000
        return rates

    def _send_request(self) -> None:
        request_id = f"r{self._next_serial()}"
        index = self.rng.choices(range(len(self._gateways)), self._traffic_shares)[0]
        self._deliver(index, RequestReceived(request_id, "read", "open", "c", 4000))

    def _deliver(self, gateway_index: int, event: Event) -> None:
        for action in self._gateways[gateway_index].handle(self.now_ms, event):
            match action:
                case StartAttempt():
                    self._start_attempt(gateway_index, action)
                case StartTimer():
                    self._schedule(action.delay_ms, gateway_index, TimerFired(action.name))

    def _start_attempt(self, gateway_index: int, action: StartAttempt) -> None:
        self.sent_at_ms[action.endpoint].append(self.now_ms)
        latency_ms = MEAN_LATENCY_MS * self.rng.uniform(0.5, 1.5)
        attempt_ended = AttemptEnded(
            action.request_id, 0, action.endpoint, AttemptResult.OK, latency_ms, True
        )
        self._schedule(latency_ms, gateway_index, attempt_ended)

    def _was_overloaded(self, name: str) -> bool:
        started_at_ms = self.endpoints[name].started_at_ms
        if not started_at_ms:
            return False  # Warm from the start.
        sent_at_ms = self.sent_at_ms[name]
        for position, window_start_ms in enumerate(sent_at_ms):
            window_end_ms = window_start_ms + 1000 * OVERLOAD_WINDOW_S
            if window_end_ms >= started_at_ms + 1000 * self._slow_start_s:
                return False  # The slow start ends within the window.
            allowed = self._allowed_requests(started_at_ms, window_start_ms)
            received = bisect_left(sent_at_ms, window_end_ms) - position
            if received > allowed + 2 * allowed**0.5 + 2:
                return True
        return False

    def _allowed_requests(self, started_at_ms: float, window_start_ms: float) -> float:
        """Return the number of requests that the settings allow an endpoint in a window of its slow start."""
        window_ms = 1000 * OVERLOAD_WINDOW_S
        weights = 0.0
        for step in range(INTEGRATION_STEPS):
            at_ms = window_start_ms + (step + 0.5) / INTEGRATION_STEPS * window_ms
            progress = (at_ms - started_at_ms) / (1000 * self._slow_start_s)
            weights += min(SLOW_START_MIN_WEIGHT + (1 - SLOW_START_MIN_WEIGHT) * progress, 1.0)
        return self._overload_multiple * CAPACITY_PER_S * OVERLOAD_WINDOW_S * weights / INTEGRATION_STEPS


def _endpoint(name: str, started_at_ms: float) -> Endpoint:
    zone = "ab"[sum(name.encode()) % 2]  # Unlike hash(), the same in every run.
    return Endpoint(name, zone, 0, EndpointStatus.UP, 1.0, started_at_ms)
