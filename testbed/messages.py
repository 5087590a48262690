"""Messages between an experiment and its worker processes.

Each message is one line of JSON. The first line to a worker is its configuration, and each further line is a
command. The worker replies to each line with one line.
"""

from __future__ import annotations

import msgspec

from testbed.discovery_server import Instance
from testbed.gateway_configuration import FleetConfiguration


class Message(msgspec.Struct, frozen=True, tag=True):
    """Base of all messages. The JSON key `type` holds the name of the class."""


class DiscoveryConfig(Message, kw_only=True):
    """Configuration of a worker that runs discovery.

    Attributes:
        instances: The endpoint list.
        calls_per_s: Calls per second that discovery processes; 0 to respond to each call at once.
    """

    instances: list[Instance]
    calls_per_s: float


class CounterConfig(Message, kw_only=True):
    """Configuration of a worker that runs the counter.

    Attributes:
        calls_per_s: Calls per second that the counter processes.
    """

    calls_per_s: float


class EndpointConfig(Message, kw_only=True):
    """Configuration of a worker that runs endpoints.

    Attributes:
        ports: Number of listening sockets.
        seed: Seed of the random service times.
    """

    ports: int
    seed: int


class SimulatedGatewaysConfig(Message, kw_only=True):
    """Configuration of a worker that runs some of the simulated gateways and generates their load.

    Attributes:
        fleet: Configuration that all gateways of the fleet share.
        first_index: Index of the worker's first gateway in the fleet.
        count: Number of gateways that the worker runs.
        tenants: Number of tenants that requests belong to.
        requests_per_s: Mean requests per second to each gateway.
        traffic_share_shape: Shape parameter of the gamma distribution that the gateways' shares of the
            traffic are drawn from.
    """

    fleet: FleetConfiguration
    first_index: int
    count: int
    tenants: int
    requests_per_s: float
    traffic_share_shape: float


class LoadGeneratorConfig(Message, kw_only=True):
    """Configuration of a worker that generates load on real gateways.

    Attributes:
        addresses: HOST:PORT of each real gateway.
        fleet_size: Number of gateways in the fleet, simulated and real.
        tenants: Number of tenants that requests belong to.
        requests_per_s: Mean requests per second to each real gateway.
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
    """Command to discovery: replace the oldest endpoints with new ones.

    Attributes:
        count: Number of endpoints to replace.
    """

    count: int


class SetRejectedShare(Message, kw_only=True):
    """Command to the counter: reject a fraction of the calls from now on.

    Attributes:
        share: The fraction, from 0 to 1.
    """

    share: float


class ReadStatistics(Message):
    """Command to discovery, the counter or endpoints: return the statistics."""


class CountReady(Message):
    """Command to simulated gateways: return the number of gateways that are ready."""


class CountOutdated(Message, kw_only=True):
    """Command to simulated gateways: return the number of gateways with an outdated endpoint list.

    Attributes:
        generation: A list of an earlier generation is outdated.
    """

    generation: int


class RunLoad(Message, kw_only=True):
    """Command to simulated gateways or the load generator: generate load.

    The load generator uses only `seconds`.

    Attributes:
        seconds: Duration of the load.
        bypass_gateways: Whether each simulated client gets its response at once, without a gateway.
        include_requests: Whether the result lists the forwarded requests and each tenant's requested units.
    """

    seconds: float
    bypass_gateways: bool = False
    include_requests: bool = False


Command = ReplaceEndpoints | SetRejectedShare | ReadStatistics | CountReady | CountOutdated | RunLoad


class Started(Message, kw_only=True):
    """Reply to the configuration: the worker is running.

    Attributes:
        addresses: HOST:PORT of each listening socket; empty for a worker that does not listen.
    """

    addresses: list[str] = []


class ServerStatistics(Message, kw_only=True):
    """Statistics of discovery, the counter or endpoints since the start of the worker.

    Attributes:
        requests: Requests received.
        bytes: Number of bytes received and sent.
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
        calls: Well-formed calls, including the rejected ones.
        rejected_calls: Calls that got status 503.
    """

    calls: int
    rejected_calls: int


class GatewayCount(Message, kw_only=True):
    """Reply to `CountReady` and `CountOutdated`.

    Attributes:
        count: Number of gateways.
    """

    count: int


class LoadResult(Message, kw_only=True):
    """Reply to `RunLoad`.

    Attributes:
        requests_sent: Number of requests: from simulated gateways, during this load; from the load generator,
            since its start.
        requests_served: Number of responses with status 200 over the same time, without those that bypass the
            gateways.
        added_latency: Encoded histogram of the latency that the gateways added since the start of the worker.
    """

    requests_sent: int
    requests_served: int
    added_latency: str


class SimulatedLoadResult(LoadResult, kw_only=True):
    """Reply to `RunLoad` from simulated gateways.

    Attributes:
        connects: Connections opened to endpoints during the load.
        open_connections: Connections to endpoints that are open after the load.
        attempts_by_endpoint: Number of attempts that each endpoint received, by endpoint name.
        forwarded: For each first attempt its Unix time in seconds, tenant and units; empty unless the command
            asked for requests.
        requested_units: Units requested by each tenant; empty unless the command asked for requests.
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
