"""Encoding of the polls to discovery, and decoding of its endpoint lists."""

from __future__ import annotations

import pytest

from api_gateway.errors import MalformedEndpointListError
from api_gateway.model.endpoints import Endpoint, EndpointStatus
from api_gateway.network.discovery_codec import decode_endpoint_list, encode_poll, parse_endpoint_list

INSTANCE = {
    "instanceId": "s-0",
    "hostPort": "[::1]:80",
    "lifecycle": "ready",
    "zone": "a",
    "cell": 2,
    "weight": 1.5,
    "startedAtMs": 77,
}


def test_poll_asks_for_the_full_list_or_its_changes() -> None:
    assert encode_poll(None, 1) == b"GET /v1/endpoints HTTP/1.1\r\nHost: discovery\r\n\r\n"
    assert encode_poll(7, 2000).startswith(b"GET /v1/endpoints?after=7&wait_ms=2000 HTTP/1.1\r\n")


def test_instance_is_decoded() -> None:
    endpoint_list = parse_endpoint_list({"generation": 3, "reset": True, "instances": [INSTANCE]})
    assert (endpoint_list.generation, endpoint_list.is_full) == (3, True)
    assert endpoint_list.endpoints == (Endpoint("s-0", "a", 2, EndpointStatus.UP, 1.5, 77.0),)
    assert endpoint_list.addresses == {"s-0": ("::1", 80)}


@pytest.mark.parametrize(
    ("lifecycle", "status"),
    [
        ("draining", EndpointStatus.DRAINING),
        ("not yet defined", EndpointStatus.DRAINING),
        (None, EndpointStatus.DRAINING),
        ("gone", EndpointStatus.REMOVED),
    ],
)
def test_lifecycle_gives_the_status(lifecycle: str | None, status: EndpointStatus) -> None:
    instances = [{**INSTANCE, "lifecycle": lifecycle}]
    endpoint_list = parse_endpoint_list({"generation": 3, "instances": instances})
    assert endpoint_list.endpoints[0].status is status
    assert ("s-0" in endpoint_list.addresses) is (status is not EndpointStatus.REMOVED)


@pytest.mark.parametrize(
    ("raw", "text"),
    [
        ([], "expected an object with a list of instances, got list"),
        ({"generation": True, "instances": []}, "generation: expected a whole number, got True"),
        ({"generation": 1, "instances": [{}]}, "instanceId: expected a non-empty string, got NoneType"),
        (
            {"generation": 1, "instances": [{**INSTANCE, "hostPort": "h"}]},
            "instance 's-0': expected HOST:PORT as hostPort, got 'h'",
        ),
        (
            {"generation": 1, "instances": [{**INSTANCE, "weight": "x"}]},
            "instance 's-0': expected numbers as cell, weight and startedAtMs, got int, str and int",
        ),
    ],
)
def test_malformed_list_is_reported(raw: object, text: str) -> None:
    with pytest.raises(MalformedEndpointListError) as caught:
        parse_endpoint_list(raw)
    assert str(caught.value) == text


def test_body_that_is_not_json_is_reported() -> None:
    with pytest.raises(MalformedEndpointListError):
        decode_endpoint_list(b"{")
