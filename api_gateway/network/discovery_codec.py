"""Encodes the polls to discovery and decodes the endpoint lists that it returns."""

from __future__ import annotations

import json
from dataclasses import dataclass

from api_gateway.errors import MalformedEndpointListError
from api_gateway.model.endpoints import Endpoint, EndpointStatus
from api_gateway.network.address import Address, parse_address

STATUS_BY_LIFECYCLE = {
    "ready": EndpointStatus.UP,
    "draining": EndpointStatus.DRAINING,
    "gone": EndpointStatus.REMOVED,
}


@dataclass(slots=True, frozen=True)
class EndpointList:
    """An endpoint list as returned by discovery, either full or with the changes only.

    Attributes:
        generation: Number of the list, which each change increases.
        is_full: Whether `endpoints` holds all endpoints, and not only those that have changed.
        endpoints: The endpoints.
        addresses: Host and port by endpoint name; removed endpoints have none.
    """

    generation: int
    is_full: bool
    endpoints: tuple[Endpoint, ...]
    addresses: dict[str, Address]


def encode_poll(known_generation: int | None, wait_ms: int) -> bytes:
    """Return the HTTP request for the full list, or for the changes since a generation.

    Args:
        known_generation: Generation of the list that is known; None to request the full list.
        wait_ms: How long discovery may wait for a change before it responds; not sent for the full list.
    """
    query = "" if known_generation is None else f"?after={known_generation}&wait_ms={wait_ms}"
    return f"GET /v1/endpoints{query} HTTP/1.1\r\nHost: discovery\r\n\r\n".encode()


def decode_endpoint_list(body: bytes) -> EndpointList:
    """Decode the body of a response.

    Raises:
        MalformedEndpointListError: The body is not an endpoint list in JSON.
    """
    try:
        raw = json.loads(body)
    except ValueError as error:
        raise MalformedEndpointListError(str(error)) from None
    return parse_endpoint_list(raw)


def parse_endpoint_list(raw: object) -> EndpointList:
    """Convert the decoded JSON value of an endpoint list.

    Raises:
        MalformedEndpointListError: The value is not an endpoint list.
    """
    if not isinstance(raw, dict) or not isinstance(raw.get("instances"), list):
        raise MalformedEndpointListError(
            "expected an object with a list of instances, got "
            f"{type(raw.get('instances') if isinstance(raw, dict) else raw).__name__}"
            f"{' as instances' if isinstance(raw, dict) else ''}"
        )
    generation = raw.get("generation")
    if not isinstance(generation, int) or isinstance(generation, bool):
        raise MalformedEndpointListError(f"generation: expected a whole number, got {generation!r:.80}")
    endpoints: list[Endpoint] = []
    addresses: dict[str, Address] = {}
    for entry in raw["instances"]:
        endpoint, address = _parse_instance(entry)
        endpoints.append(endpoint)
        if address is not None:
            addresses[endpoint.name] = address
    return EndpointList(generation, bool(raw.get("reset")), tuple(endpoints), addresses)


def _parse_instance(entry: object) -> tuple[Endpoint, Address | None]:
    if not isinstance(entry, dict):
        raise MalformedEndpointListError(
            f"instances: expected a list of objects, got an item of type {type(entry).__name__}"
        )
    name = entry.get("instanceId")
    if not isinstance(name, str) or not name:
        raise MalformedEndpointListError(
            "instanceId: expected a non-empty string, got "
            f"{'an empty one' if isinstance(name, str) else type(name).__name__}"
        )
    # An instance with an unknown lifecycle, such as one that a later version of discovery defines, may not
    # accept new requests.
    status = STATUS_BY_LIFECYCLE.get(entry.get("lifecycle"), EndpointStatus.DRAINING)
    address = None if status is EndpointStatus.REMOVED else _parse_address(name, entry)
    try:
        endpoint = Endpoint(
            name=name,
            zone=str(entry.get("zone", "")),
            failure_domain=int(entry.get("cell", 0)),
            status=status,
            weight=float(entry.get("weight", 1.0)),
            started_at_ms=float(entry.get("startedAtMs", 0)),
        )
    except (TypeError, ValueError):
        raise MalformedEndpointListError(
            f"instance {name!r:.80}: expected numbers as cell, weight and startedAtMs, got "
            f"{type(entry.get('cell', 0)).__name__}, {type(entry.get('weight', 1.0)).__name__} and "
            f"{type(entry.get('startedAtMs', 0)).__name__}"
        ) from None
    return endpoint, address


def _parse_address(name: str, entry: dict[str, object]) -> Address:
    address = parse_address(str(entry.get("hostPort", "")))
    if address is None:
        raise MalformedEndpointListError(
            f"instance {name!r:.80}: expected HOST:PORT as hostPort, got {entry.get('hostPort')!r:.80}"
        )
    return address
