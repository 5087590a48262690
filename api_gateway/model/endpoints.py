"""Entries and updates of the endpoint list."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointStatus(Enum):
    """Whether an endpoint accepts new requests."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


class UpdateKind(Enum):
    """What an update of the endpoint list contains."""

    FULL = "full"  # all endpoints, from discovery
    CACHED = "cached"  # all endpoints, from a list stored before the start, which may be outdated
    CHANGES = "changes"  # only the endpoints that have changed
    FAILED = "failed"  # no endpoints, since the call to discovery failed


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One entry of the endpoint list.

    Attributes:
        name: Instance id of the endpoint.
        zone: Zone that it runs in.
        failure_domain: Number of its failure domain within the zone.
        status: Whether it accepts new requests.
        weight: Its capacity as a multiple of the standard capacity.
        started_at_ms: When its process started; 0 if that is long ago.
    """

    name: str
    zone: str = ""
    failure_domain: int = 0
    status: EndpointStatus = EndpointStatus.UP
    weight: float = 1.0
    started_at_ms: float = 0.0
