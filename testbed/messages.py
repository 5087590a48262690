"""Messages between an experiment and its worker processes, each one line of JSON.

The first line to a worker is its configuration, each further line a command; the worker replies to each
with one line.
"""

from __future__ import annotations

import msgspec

from testbed.discovery_server import Instance
from testbed.gateway_configuration import FleetConfiguration


class Message(msgspec.Struct, frozen=True, tag=True):
    """Base of all messages; the tag is the name of the class."""


class DiscoveryConfig(Message, kw_only=True):
    """Run discovery.

    Attributes:
        instances: The endpoint list.
        calls_per_s: Calls a second that it processes; 0 to respond to each at once.
    """

    instances: list[Instance]
    calls_per_s: float


class CounterConfig(Message, kw_only=True):
    """Run the counter.

    Attributes:
        calls_per_s: Calls a second that it processes.
    """

    calls_per_s: float


class EndpointConfig(Message, kw_only=True):
    """Run endpoints.

    Attributes:
        ports: Number of listening sockets.
        seed: Seed of the service times.
    """

    ports: int
    seed: int


class SimulatedGatewaysConfig(Message, kw_only=True):
    """Run some of the simulated gateways with their load.

    Attributes:
        fleet: What all gateways share.
        first_index: Number of the first gateway.
        count: Number of gateways.
        tenants: Number of tenants that requests belong to.
        requests_per_s: Mean requests a second to each gateway.
        traffic_share_shape: Shape of the gamma distribution of the gateways' shares of the traffic.
    """

    fleet: FleetConfiguration
    first_index: int
    count: int
    tenants: int
    requests_per_s: float
    traffic_share_shape: float


class LoadGeneratorConfig(Message, kw_only=True):
    """Generate load on gateway processes.

    Attributes:
        addresses: HOST:PORT of each gateway.
        fleet_size: Number of all gateways.
        tenants: Number of tenants that requests belong to.
        requests_per_s: Requests a second to each gateway.
        seed: Seed of the random generator.
    """

    addresses: list[str]
    fleet_size: int
    tenants: int
    requests_per_s: float
    seed: int


WorkerConfig = (
    DiscoveryConfig | CounterConfig | EndpointConfig | SimulatedGatewaysConfig | LoadGeneratorConfig
)


class ReplaceEndpoints(Message, kw_only=True):
    """Replace the oldest endpoints by new ones (discovery).

    Attributes:
        count: Number of endpoints.
    """

    count: int


class SetRejectedShare(Message, kw_only=True):
    """Reject a part of the calls (counter).

    Attributes:
        share: From 0 to 1.
    """

    share: float


class ReadStatistics(Message):
    """Read the statistics (discovery, counter, endpoints)."""


class CountReady(Message):
    """Count the gateways that are ready (simulated gateways)."""


class CountOutdated(Message, kw_only=True):
    """Count the gateways that do not know a generation of the endpoint list yet (simulated gateways).

    Attributes:
        generation: The generation.
    """

    generation: int


class RunLoad(Message, kw_only=True):
    """Generate load (simulated gateways, load generator).

    Attributes:
        seconds: Duration of the load.
        bypass_gateways: Whether simulated clients get their responses at once, without a gateway.
        include_requests: Whether the result holds what simulated gateways forwarded of each tenant.
    """

    seconds: float
    bypass_gateways: bool = False
    include_requests: bool = False


Command = ReplaceEndpoints | SetRejectedShare | ReadStatistics | CountReady | CountOutdated | RunLoad


class Started(Message, kw_only=True):
    """The worker runs.

    Attributes:
        addresses: HOST:PORT of each listening socket.
    """

    addresses: list[str] = []


class ServerStatistics(Message, kw_only=True):
    """Statistics of an emulated system since its start.

    Attributes:
        requests: Requests received.
        bytes: Bytes received and sent.
        connections_opened: Connections accepted.
        connections_open: Connections open now.
    """

    requests: int
    bytes: int
    connections_opened: int
    connections_open: int


class DiscoveryStatistics(ServerStatistics, kw_only=True):
    """Statistics of discovery.

    Attributes:
        generation: Generation of the endpoint list.
        full_list_bytes: Size of the full list that was sent last, in bytes.
    """

    generation: int
    full_list_bytes: int


class CounterStatistics(ServerStatistics, kw_only=True):
    """Statistics of the counter.

    Attributes:
        calls: Valid calls.
        rejected_calls: Calls that got status 503.
    """

    calls: int
    rejected_calls: int


class GatewayCount(Message, kw_only=True):
    """Number of gateways in the state that the command names.

    Attributes:
        count: The number.
    """

    count: int


class LoadResult(Message, kw_only=True):
    """What came of a load.

    Attributes:
        requests_sent: Requests.
        requests_served: Responses with status 200.
        added_latency: Encoded histogram of the latency that the gateways added, since the start.
    """

    requests_sent: int
    requests_served: int
    added_latency: str


class SimulatedLoadResult(LoadResult, kw_only=True):
    """What came of a load on simulated gateways.

    Attributes:
        connects: Connections opened to endpoints.
        open_connections: Connections open at the end.
        attempts_by_endpoint: Attempts that reached each endpoint.
        forwarded: Time (Unix time in seconds), tenant and units of each first attempt, if included.
        requested_units: Units requested by each tenant, if included.
    """

    connects: int
    open_connections: int
    attempts_by_endpoint: dict[str, int]
    forwarded: list[tuple[float, int, float]]
    requested_units: dict[int, float]


Reply = (
    Started
    | ServerStatistics
    | DiscoveryStatistics
    | CounterStatistics
    | GatewayCount
    | LoadResult
    | SimulatedLoadResult
)
