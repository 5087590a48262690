"""Tests of the testbed's emulators of discovery, the counter and endpoints."""

from __future__ import annotations

import asyncio

import msgspec
from support.http_fakes import LOOPBACK
from support.program import run_scenario

from api_gateway.model.endpoints import EndpointStatus
from api_gateway.network.discovery import EndpointList, parse_endpoint_list
from testbed.counter_server import CounterServer
from testbed.discovery_server import DiscoveryServer, Instance
from testbed.endpoint_server import EndpointServer, ServiceTimes
from testbed.gateway_configuration import create_instances
from testbed.http_server import serve


async def send_pipelined(server: asyncio.Server, *requests: str) -> list[tuple[int, bytes]]:
    """Send all requests on one connection before reading, and return the status and body of each response."""
    reader, writer = await asyncio.open_connection(LOOPBACK, server.sockets[0].getsockname()[1])
    for request in requests:
        writer.write(f"{request} HTTP/1.1\r\nContent-Length: 0\r\n\r\n".encode())
    responses = []
    for _ in requests:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        length = int(head.lower().split("content-length: ")[1].split("\r\n")[0])
        responses.append((int(head.split()[1]), await reader.readexactly(length)))
    writer.close()
    return responses


def create_test_instances(count: int) -> list[Instance]:
    return create_instances(count, ["127.0.0.1:9"])


def decode_list(body: bytes) -> EndpointList:
    return parse_endpoint_list(msgspec.json.decode(body))


def test_discovery_sends_the_full_list_then_changes_and_holds_long_polls() -> None:
    """Guards against a long poll that ends without the change, and against a full list in place of changes.

    The gateway's own parser reads the responses, so the test also fails if the two differ in the protocol.
    """

    async def scenario() -> None:
        discovery = DiscoveryServer(create_test_instances(30))
        server = await serve(discovery.handle, discovery.traffic)
        ((status, body),) = await send_pipelined(server, "GET /v1/endpoints")
        full_list = decode_list(body)
        assert status == 200 and full_list.is_full and len(full_list.endpoints) == 30

        long_poll = asyncio.create_task(
            send_pipelined(server, f"GET /v1/endpoints?after={full_list.generation}&wait_ms=20000")
        )
        while not discovery.has_long_polls():
            await asyncio.sleep(0)
        removed = next(iter(discovery.instances.values()))
        discovery.publish_changes(
            [
                msgspec.structs.replace(removed, lifecycle="gone"),
                Instance("s-new", "127.0.0.1:9", "zone-1"),
            ]
        )
        changes = decode_list((await long_poll)[0][1])
        assert not changes.is_full and {e.name: e.status for e in changes.endpoints} == {
            removed.instanceId: EndpointStatus.REMOVED,
            "s-new": EndpointStatus.UP,
        }

        ((_, body),) = await send_pipelined(server, f"GET /v1/endpoints?after={changes.generation}&wait_ms=1")
        assert decode_list(body).endpoints == ()
        assert (discovery.full_lists_sent, discovery.change_lists_sent, discovery.empty_lists_sent) == (
            1,
            1,
            1,
        )
        assert discovery.traffic.requests == 3

    run_scenario(scenario)


def test_rate_limited_discovery_rejects_calls_beyond_its_queue() -> None:
    """Guards against a discovery service without a limit on its queue, which would never be overloaded."""

    async def scenario() -> None:
        discovery = DiscoveryServer(create_test_instances(5), calls_per_s=100, max_queue_delay_s=0.05)
        server = await serve(discovery.handle, discovery.traffic)
        responses = await send_pipelined(server, *["GET /v1/endpoints"] * 30)
        assert 3 <= sum(status == 200 for status, _ in responses) <= 10
        assert discovery.rejected_calls == sum(status == 503 for status, _ in responses)

    run_scenario(scenario)


INCREMENT_A = "POST /v1/count/a?add=2.5&ttl_ms=60000"
INCREMENT_EXPIRING = "POST /v1/count/b?add=1&ttl_ms=1"
INCREMENT_LATE = "POST /v1/count/late?add=1&ttl_ms=60000"


def test_counter_adds_and_expires_counts_and_rejects_malformed_calls() -> None:
    """Guards against counts that are lost or never expire, and against malformed calls that are accepted."""

    async def scenario() -> None:
        counter = CounterServer(10_000, rejected_fraction=0.0)
        server = await serve(counter.handle, counter.traffic)
        assert await send_pipelined(server, INCREMENT_A, INCREMENT_EXPIRING, INCREMENT_A) == [
            (200, b"2.5"),
            (200, b"1"),
            (200, b"5"),
        ]
        while (await send_pipelined(server, INCREMENT_EXPIRING))[0][1] != b"1":
            pass  # retry until the first count, which has a lifetime of 1 ms, has expired
        malformed = await send_pipelined(
            server, "POST /v1/count/a?add=x&ttl_ms=1", "POST /v1/count/a", "GET /other?add=1&ttl_ms=1"
        )
        assert [status for status, _ in malformed] == [400] * 3

    run_scenario(scenario)


def test_counter_rejects_a_fraction_of_the_calls_without_adding_them() -> None:
    """Guards against rejected calls that are added to the count."""

    async def scenario() -> None:
        counter = CounterServer(10_000, rejected_fraction=0.6)
        server = await serve(counter.handle, counter.traffic)
        responses = await send_pipelined(server, *[INCREMENT_A] * 500)
        rejected = sum(status == 503 for status, _ in responses)
        assert 250 < rejected < 350
        counter.rejected_fraction = 0.0
        expected = 2.5 * (501 - rejected)
        assert await send_pipelined(server, INCREMENT_A) == [(200, f"{expected:.7g}".encode())]

    run_scenario(scenario)


def test_counter_adds_calls_whose_response_is_late() -> None:
    """Guards against a late response without its increment; gateways are tested with calls that time out."""

    async def scenario() -> None:
        counter = CounterServer(10_000)
        server = await serve(counter.handle, counter.traffic)
        counter.late_fraction = 1.0
        late_call = asyncio.create_task(send_pipelined(server, INCREMENT_LATE))
        while "late" not in counter._counts:
            await asyncio.sleep(0)
        assert counter.calls == 1 and not late_call.done()
        counter.late_fraction = 0.0
        assert await send_pipelined(server, INCREMENT_LATE) == [(200, b"2")]
        late_call.cancel()

    run_scenario(scenario)


def test_counter_limits_its_calls_a_second() -> None:
    """Guards against a counter without a limit on its queue, which would never be overloaded."""

    async def scenario() -> None:
        counter = CounterServer(1000, partitions=1, max_queue_delay_s=0.02)
        server = await serve(counter.handle, counter.traffic)
        responses = await send_pipelined(server, *["POST /v1/count/a?add=1&ttl_ms=60000"] * 200)
        statuses = [status for status, _ in responses]
        assert 15 <= statuses.count(200) <= 60 and statuses.count(503) == 200 - statuses.count(200)

    run_scenario(scenario)


def test_endpoints_respond_with_their_service_time() -> None:
    """Guards against a response body without the service time, which the added latency is computed from."""

    async def scenario() -> None:
        endpoints = EndpointServer(mean_ms=5.0)
        server = await serve(endpoints.handle, endpoints.traffic)
        responses = await send_pipelined(server, "GET /api/1", "GET /api/2")
        assert all(status == 200 and body.isdigit() for status, body in responses)

    run_scenario(scenario)


def test_service_times_have_the_configured_mean() -> None:
    """Guards against wrong parameters of the lognormal distribution."""
    service_times = ServiceTimes(20.0, 0.8, 1)
    drawn = [service_times.draw() for _ in range(20_000)]
    assert abs(sum(drawn) / len(drawn) - 0.02) < 0.001
