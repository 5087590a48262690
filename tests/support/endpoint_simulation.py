"""Simulation of gateways and endpoints with queues: counts served, rejected and failed requests by class.

Each endpoint has cores that process one request at a time each, in order of arrival. If their number is None,
requests never queue.
"""

from __future__ import annotations

import dataclasses
import enum
import heapq
import math
import random

from api_gateway.decisions.gateway import Gateway
from api_gateway.model.actions import FailRequest, RejectRequest, StartAttempt, StartTimer
from api_gateway.model.endpoints import Endpoint, UpdateKind
from api_gateway.model.events import AttemptEnded, EndpointUpdate, Event, RequestReceived, TimerFired
from api_gateway.model.results import AttemptResult
from api_gateway.model.settings import Plan, RequestClass
from support.event_simulation import EventSimulation
from support.gateway_driver import OPEN_PLAN, settings

LOGNORMAL_SIGMA = 0.7


class Distribution(enum.Enum):
    """Distribution of the service time."""

    LOGNORMAL = "lognormal"
    EXPONENTIAL = "exponential"


@dataclasses.dataclass(frozen=True)
class Load:
    """Requests of one class.

    Attributes:
        request_class: The class.
        mean_service_ms: Mean service time in milliseconds.
        requests_per_s_per_gateway: Requests per second to each gateway.
        distribution: Distribution of the service time.
        plan: Plan of all of these requests.
    """

    request_class: RequestClass
    mean_service_ms: float
    requests_per_s_per_gateway: float
    distribution: Distribution = Distribution.LOGNORMAL
    plan: Plan = OPEN_PLAN

    def draw_service_ms(self, rng: random.Random) -> float:
        """Return the service time of one request in milliseconds."""
        if self.distribution is Distribution.EXPONENTIAL:
            return rng.expovariate(1 / self.mean_service_ms)
        mu = math.log(self.mean_service_ms) - LOGNORMAL_SIGMA**2 / 2
        return rng.lognormvariate(mu, LOGNORMAL_SIGMA)


@dataclasses.dataclass
class ClassCounts:
    """Counts of the requests of one class.

    Attributes:
        received: All requests.
        served_in_time: Requests with a response within the latency objective.
        rejected: Requests that were rejected.
        failed: Requests that failed and may have run.
    """

    received: int = 0
    served_in_time: int = 0
    rejected: int = 0
    failed: int = 0

    @property
    def rejected_fraction(self) -> float:
        """Fraction of the requests that were rejected."""
        return self.rejected / max(self.received, 1)

    @property
    def served_fraction(self) -> float:
        """Fraction of the requests that were served in time."""
        return self.served_in_time / max(self.received, 1)


@dataclasses.dataclass
class PendingRequest:
    """A request without a response.

    Attributes:
        load: The load that it belongs to.
        received_at_ms: Simulated time of its arrival, in milliseconds.
        service_ms: Its service time, in milliseconds.
        attempts: Number of attempts so far.
    """

    load: Load
    received_at_ms: float
    service_ms: float
    attempts: int = 0


class EndpointSimulation(EventSimulation):
    """Gateways and endpoints with queues.

    Attributes:
        counts: Counts of the requests by class name.
    """

    def __init__(
        self,
        loads: list[Load],
        *,
        gateways: int = 1,
        endpoints: int = 60,
        cores: int | None = None,
        seed: int = 1,
    ) -> None:
        """Start all gateways with the full endpoint list.

        Args:
            loads: The load of each class.
            gateways: Number of gateways.
            endpoints: Number of endpoints.
            cores: Number of cores of each endpoint; None for no queueing.
            seed: Seed of all random draws.
        """
        super().__init__(random.Random(seed), 1e6)
        self.counts = {load.request_class.name: ClassCounts() for load in loads}
        self._loads, self._cores = loads, cores
        names = [f"h{i}" for i in range(endpoints)]
        # By endpoint: a heap of the times at which its cores become free.
        self._cores_free_at_ms = {name: [0.0] * (cores or 0) for name in names}
        self._pending: dict[str, PendingRequest] = {}
        self._sent: list[tuple[float, float]] = []  # time and service time of each attempt, in milliseconds
        self._gateways = self._create_gateways(gateways, seed)
        entries = tuple(Endpoint(name, "ab"[i % 2], i % 2) for i, name in enumerate(names))
        for index in range(gateways):
            self._deliver(index, EndpointUpdate(UpdateKind.CACHED, entries))

    def run(self, seconds: float, load_factor: float = 1.0) -> EndpointSimulation:
        """Run the open-loop load.

        Args:
            seconds: Duration in simulated seconds.
            load_factor: Factor on the rates of the loads.

        Returns:
            The simulation itself.
        """
        weights = [load.requests_per_s_per_gateway for load in self._loads]
        requests_per_ms = load_factor * sum(weights) * len(self._gateways) / 1000
        self._run_open_loop(
            seconds,
            requests_per_ms,
            lambda: self._send_request(self.rng.choices(self._loads, weights)[0]),
        )
        return self

    def reset_counts(self) -> None:
        """Set all counts to zero, and forget the attempts sent so far."""
        self.counts = {name: ClassCounts() for name in self.counts}
        self._sent.clear()

    def offered_utilization(self, since_ms: float) -> float:
        """Return the service time of the attempts sent to each core, per unit of time.

        Args:
            since_ms: Start of the interval that ends now, in milliseconds after the start of the simulation.
        """
        span_ms = self.now_ms - self.started_at_ms - since_ms
        service_ms = sum(
            service_ms for at_ms, service_ms in self._sent if at_ms - self.started_at_ms >= since_ms
        )
        return service_ms / span_ms / (len(self._cores_free_at_ms) * (self._cores or 1))

    def _create_gateways(self, count: int, seed: int) -> list[Gateway]:
        plans = {load.plan.name: load.plan for load in self._loads}
        common_settings = settings(
            classes=tuple(load.request_class for load in self._loads),
            plans=tuple(plans.values()),
            fleet_size=count,
            counter_enabled=False,
        )
        return [
            Gateway(dataclasses.replace(common_settings, gateway_index=index), seed * 1000 + index)
            for index in range(count)
        ]

    def _send_request(self, load: Load) -> None:
        request_id = f"r{self._next_serial()}"
        request_class = load.request_class
        self._pending[request_id] = PendingRequest(load, self.now_ms, load.draw_service_ms(self.rng))
        self.counts[request_class.name].received += 1
        index = self.rng.randrange(len(self._gateways))
        self._deliver(
            index,
            RequestReceived(request_id, request_class.name, load.plan.name, "c", request_class.deadline_ms),
        )

    def _deliver(self, gateway_index: int, event: Event) -> None:
        if isinstance(event, AttemptEnded) and event.result == AttemptResult.OK:
            self._count_response(event.request_id)
        for action in self._gateways[gateway_index].handle(self.now_ms, event):
            match action:
                case StartAttempt():
                    self._start_attempt(gateway_index, action)
                case StartTimer():
                    self._schedule(action.delay_ms, gateway_index, TimerFired(action.name))
                case RejectRequest():
                    self._end_request(action.request_id).rejected += 1
                case FailRequest():
                    self._end_request(action.request_id).failed += 1

    def _count_response(self, request_id: str) -> None:
        request = self._pending[request_id]
        latency_ms = self.now_ms - request.received_at_ms
        in_time = latency_ms <= request.load.request_class.latency_objective_ms
        self._end_request(request_id).served_in_time += in_time

    def _end_request(self, request_id: str) -> ClassCounts:
        return self.counts[self._pending.pop(request_id).load.request_class.name]

    def _start_attempt(self, gateway_index: int, action: StartAttempt) -> None:
        request = self._pending[action.request_id]
        self._sent.append((self.now_ms, request.service_ms))
        latency_ms = self._latency_ms(action.endpoint, request.service_ms)
        result = AttemptResult.OK
        if latency_ms > action.timeout_ms:
            result, latency_ms = AttemptResult.TIMED_OUT, action.timeout_ms
        event = AttemptEnded(
            action.request_id,
            request.attempts,
            action.endpoint,
            result,
            latency_ms,
            result == AttemptResult.OK,
        )
        request.attempts += 1
        self._schedule(latency_ms, gateway_index, event)

    def _latency_ms(self, endpoint: str, service_ms: float) -> float:
        """Return the time until a request sent now has been processed, including its time in the queue."""
        if not self._cores:
            return service_ms
        cores_free_at_ms = self._cores_free_at_ms[endpoint]
        start_at_ms = max(self.now_ms, heapq.heappop(cores_free_at_ms))
        heapq.heappush(cores_free_at_ms, start_at_ms + service_ms)
        return start_at_ms + service_ms - self.now_ms
