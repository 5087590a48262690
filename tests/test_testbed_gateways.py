"""Tests of the testbed's simulated gateways."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from support.http_fakes import LOOPBACK
from support.program import run_scenario

from api_gateway.configuration import Configuration, parse_configuration
from api_gateway.network import discovery_policy
from testbed.counter_server import CounterServer
from testbed.discovery_server import DiscoveryServer
from testbed.gateway_configuration import FleetConfiguration, create_gateway_configuration, create_instances
from testbed.http_server import serve
from testbed.simulated_gateways import SimulatedFleet

GATEWAYS = 100
INSTANCES = create_instances(60, ["127.0.0.1:9"])
DRAINING = INSTANCES[:30]


def listening_address(server: asyncio.Server) -> str:
    return f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"


def gateway_configurations(discovery: asyncio.Server, counter: asyncio.Server) -> list[Configuration]:
    fleet = FleetConfiguration(
        fleet_size=GATEWAYS,
        discovery_address=listening_address(discovery),
        counter_address=listening_address(counter),
        discovery_by_polling=False,
        seed=1,
        refill=50.0,
    )
    return [parse_configuration(create_gateway_configuration(fleet, index)) for index in range(GATEWAYS)]


def test_simulated_gateways_serve_requests_and_follow_the_endpoint_list(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against simulated gateways that lose requests or attempts, or use draining endpoints.

    All gateways become ready with discovery's list, call the counter and respond to requests.
    """
    # All gateways share one event loop with discovery, whose responses can be late on a busy machine.
    for name in ("AGENT_TIMEOUT_S", "RESPONSE_TIMEOUT_S", "CONNECT_TIMEOUT_S", "PROGRESS_TIMEOUT_S"):
        monkeypatch.setattr(discovery_policy, name, 60.0)

    async def scenario() -> None:
        discovery, counter = DiscoveryServer(INSTANCES), CounterServer(50_000)
        discovery_listener = await serve(discovery.handle, discovery.traffic)
        counter_listener = await serve(counter.handle, counter.traffic)
        fleet = SimulatedFleet(
            gateway_configurations(discovery_listener, counter_listener),
            tenants=50,
            requests_per_s=5.0,
            traffic_share_shape=1.0,
            seed=1,
        )
        fleet.start()
        while fleet.count_ready() < GATEWAYS:
            await asyncio.sleep(0.01)
        assert discovery.full_lists_sent == GATEWAYS

        await fleet.run_load(2.0)
        while any(dispatcher._request_handler.requests for dispatcher in fleet.dispatchers):
            await asyncio.sleep(0.01)
        assert fleet.requests_sent > 700 and fleet.requests_served > 0.8 * fleet.requests_sent
        assert (
            fleet.requests_served
            <= sum(fleet.endpoints.attempts_by_endpoint.values())
            == len(fleet.forwarded_requests)
        )
        forwarded_units = sum(request.units for request in fleet.forwarded_requests)
        assert counter.calls > 0 and forwarded_units <= sum(fleet.requested_units.values())
        assert fleet.added_latency.count() == fleet.requests_served

        discovery.publish_changes(
            [msgspec.structs.replace(instance, lifecycle="draining") for instance in DRAINING]
        )
        while any(sum(dispatcher._pool._accepts_requests.values()) > 30 for dispatcher in fleet.dispatchers):
            await asyncio.sleep(0.01)
        fleet.endpoints.attempts_by_endpoint.clear()
        await fleet.run_load(0.5)
        draining_names = {instance.instanceId for instance in DRAINING}
        assert fleet.endpoints.attempts_by_endpoint and not draining_names & set(
            fleet.endpoints.attempts_by_endpoint
        )
        fleet.stop()

    run_scenario(scenario)
