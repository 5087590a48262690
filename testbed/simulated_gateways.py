"""Simulated gateways, many in one process.

Each one runs the dispatcher, the decisions, the discovery client and the counter client of a real gateway.
Only the connections to clients and endpoints are simulated.
"""

from __future__ import annotations

import asyncio
import bisect
import functools
import itertools
import random
import time

from api_gateway.configuration import Configuration
from api_gateway.model.actions import Action, StartAttempt
from api_gateway.network.dispatcher import Dispatcher, InboundRequest
from testbed import gateway_configuration
from testbed.latency import LatencyRecorder
from testbed.quota_accounting import ForwardedRequest
from testbed.simulated_pool import SimulatedConnectionPool, SimulatedEndpoints

REQUEST_HEAD = b"GET /api/0 HTTP/1.1\r\n"
# Relative request rates, one drawn per tenant: most tenants stay within their quota, a few far exceed it.
TENANT_WEIGHTS = (1, 1, 2, 2, 3, 4, 20)
MIN_SLEEP_S = 0.0005  # a request that is due sooner is sent at once, since a timer is not worth its cost
ARRIVALS_PER_YIELD = 64  # a load generator that is behind yields this often, so that responses are read
FINAL_RESPONSE_WAIT_S = 0.5  # time for the last responses to arrive after the load


class SimulatedClient:
    """A client that waits for one response."""

    __slots__ = ("_fleet", "due_at")

    def __init__(self, fleet: SimulatedFleet, due_at: float) -> None:
        """Initialize the client.

        Args:
            fleet: The fleet that counts the response.
            due_at: Time at which the request was due, in seconds by `time.monotonic`.
        """
        self._fleet, self.due_at = fleet, due_at

    def respond(
        self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        """Count the response."""
        self._fleet.response_received(self, status)

    def abort_if_disconnected(self) -> bool:
        """Return False, since a simulated client never disconnects."""
        return False


class RecordingDispatcher(Dispatcher):
    """A dispatcher with simulated endpoints; it records the first attempt of each request."""

    def __init__(
        self,
        config: Configuration,
        loop: asyncio.AbstractEventLoop,
        endpoints: SimulatedEndpoints,
        forwarded_requests: list[ForwardedRequest],
    ) -> None:
        """Initialize the dispatcher.

        Args:
            config: Configuration of the gateway.
            loop: The event loop.
            endpoints: The simulated endpoints that attempts are sent to.
            forwarded_requests: List to which the first attempt of each request is appended.
        """
        super().__init__(config, loop, functools.partial(SimulatedConnectionPool, endpoints))
        self._forwarded_requests = forwarded_requests

    def _execute(self, action: Action) -> None:
        if isinstance(action, StartAttempt):
            self._record_first_attempt(action.request_id)
        super()._execute(action)

    def _record_first_attempt(self, request_id: str) -> None:
        request = self._request_handler.requests.get(request_id)
        if request is not None and not request.attempts:
            tenant = int(request.inbound.tenant, 16)
            self._forwarded_requests.append(ForwardedRequest(time.time(), tenant, request.inbound.units))

    def open_connections(self) -> int:
        """Return the number of open connections to endpoints."""
        return self._pool.connections()

    def connections_opened(self) -> int:
        """Return the number of connections opened to endpoints since the start."""
        return self._pool.connections_opened

    def generation(self) -> int:
        """Return the generation of the gateway's endpoint list, 0 if it has none yet."""
        return self._discovery.generation or 0


class SimulatedFleet:
    """All simulated gateways of one process, and the generator of their load.

    Attributes:
        endpoints: The simulated endpoints.
        dispatchers: The dispatchers, one for each gateway.
        forwarded_requests: The first attempts of all gateways since `reset_records`.
        requested_units: Units requested by each tenant since `reset_records`.
        added_latency: Latency beyond the endpoint's service time, of each served request since the start.
        requests_sent: Number of requests since the start.
        requests_served: Number of responses of gateways with status 200 since the start.
        bypass_gateways: Whether to respond to each request at once, without a gateway. This measures the cost
            of load generation itself.
    """

    def __init__(
        self,
        configurations: list[Configuration],
        *,
        tenants: int,
        requests_per_s: float,
        traffic_share_shape: float,
        seed: int,
    ) -> None:
        """Initialize the gateways.

        Args:
            configurations: The configurations, one for each gateway.
            tenants: Number of tenants that requests belong to.
            requests_per_s: Mean requests per second to each gateway.
            traffic_share_shape: Shape parameter of the gamma distribution that the gateways' shares of the
                traffic are drawn from.
            seed: Seed of all random generators.
        """
        loop = asyncio.get_running_loop()
        self.endpoints = SimulatedEndpoints(seed)
        self.forwarded_requests: list[ForwardedRequest] = []
        self.dispatchers = [
            RecordingDispatcher(configuration, loop, self.endpoints, self.forwarded_requests)
            for configuration in configurations
        ]
        self.requested_units: dict[int, float] = {}
        self.added_latency = LatencyRecorder()
        self.requests_sent = 0
        self.requests_served = 0
        self.bypass_gateways = False
        self._fleet_size = configurations[0].settings.fleet_size
        self._requests_per_s = requests_per_s * len(configurations)
        self._rng = random.Random(seed)
        shares = [self._rng.gammavariate(traffic_share_shape, 1.0) for _ in configurations]
        self._cumulative_shares = list(itertools.accumulate(share / sum(shares) for share in shares))
        self._cumulative_tenant_weights = list(
            itertools.accumulate(self._rng.choice(TENANT_WEIGHTS) for _ in range(tenants))
        )

    def start(self) -> None:
        """Start all gateways."""
        for dispatcher in self.dispatchers:
            dispatcher.start()

    def stop(self) -> None:
        """Stop all gateways."""
        for dispatcher in self.dispatchers:
            dispatcher.stop()

    def count_ready(self) -> int:
        """Return the number of gateways that are ready."""
        return sum(dispatcher.is_ready() for dispatcher in self.dispatchers)

    def count_outdated(self, generation: int) -> int:
        """Return the number of gateways that have no endpoint list, or one of an earlier generation."""
        return sum(dispatcher.generation() < generation for dispatcher in self.dispatchers)

    def connections_opened(self) -> int:
        """Return the number of connections that all gateways have opened since the start."""
        return sum(dispatcher.connections_opened() for dispatcher in self.dispatchers)

    def open_connections(self) -> int:
        """Return the number of open connections of all gateways."""
        return sum(dispatcher.open_connections() for dispatcher in self.dispatchers)

    def reset_records(self) -> None:
        """Clear the records since the last call; those since the start of the fleet stay.

        `forwarded_requests`, `requested_units` and `endpoints.attempts_by_endpoint` are cleared, but not
        `requests_sent`, `requests_served` and `added_latency`.
        """
        self.forwarded_requests.clear()
        self.requested_units.clear()
        self.endpoints.attempts_by_endpoint.clear()

    async def run_load(self, seconds: float) -> None:
        """Generate open-loop load, then wait for the last responses.

        Requests are sent when they are due, without waiting for responses. Latency is measured from the time
        at which a request was due, so it includes the delay of a request that is sent late.

        Args:
            seconds: Duration of the load.
        """
        due_at = time.monotonic()
        end_at = due_at + seconds
        while due_at < end_at:
            due_at += self._rng.expovariate(self._requests_per_s)
            delay_s = due_at - time.monotonic()
            if delay_s > MIN_SLEEP_S:
                await asyncio.sleep(delay_s)
            elif self.requests_sent % ARRIVALS_PER_YIELD == 0:
                await asyncio.sleep(0)
            self._send_request(due_at)
        await asyncio.sleep(FINAL_RESPONSE_WAIT_S)

    def response_received(self, client: SimulatedClient, status: int) -> None:
        """Count a response of a gateway with status 200, and record its added latency."""
        if status == 200 and not self.bypass_gateways:
            self.requests_served += 1
            self.added_latency.record(
                time.monotonic() - client.due_at - self.endpoints.current_service_time_s
            )

    def _send_request(self, due_at: float) -> None:
        self.requests_sent += 1
        dispatcher = self.dispatchers[self._draw_gateway()]
        tenant = self._draw_tenant()
        client = SimulatedClient(self, due_at)
        if self.bypass_gateways:
            client.respond(200)
            return
        units = float(self._rng.choice(gateway_configuration.REQUEST_UNIT_CHOICES))
        self.requested_units[tenant] = self.requested_units.get(tenant, 0.0) + units
        dispatcher.submit(client, self._inbound_request(tenant, units))

    def _draw_gateway(self) -> int:
        index = bisect.bisect(self._cumulative_shares, self._rng.random())
        return min(index, len(self.dispatchers) - 1)  # rounding can leave the last sum below 1

    def _draw_tenant(self) -> int:
        weights = self._cumulative_tenant_weights
        return bisect.bisect(weights, self._rng.random() * weights[-1])

    def _inbound_request(self, tenant: int, units: float) -> InboundRequest:
        return InboundRequest(
            x_request_id=b"%x" % self.requests_sent,
            class_name=gateway_configuration.request_class_name(self.requests_sent),
            plan_name=gateway_configuration.PLAN_NAME,
            tenant=f"{tenant:016x}",
            remaining_time_ms=gateway_configuration.REQUEST_DEADLINE_MS,
            units=units,
            gateway_count=self._fleet_size,
            first_gateway=0,
            is_retry=False,
            received_at_s=time.monotonic(),
            head=REQUEST_HEAD,
            body=b"",
        )
