"""Entries of the endpoint list."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointStatus(Enum):
    """Whether an endpoint takes new requests."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


class UpdateKind(Enum):
    """What an update of the endpoint list holds."""

    FULL = "full"  # every endpoint, from discovery
    CACHED = "cached"  # every endpoint, as this gateway last had them
    CHANGES = "changes"  # those that have changed
    FAILED = "failed"  # none: the call to discovery failed


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One entry of the endpoint list.

    Attributes:
        name: Its instance id.
        zone: Where it stands.
        failure_domain: Number of its failure domain within the zone.
        status: Whether it takes new requests.
        weight: Its capacity as a multiple of the usual one.
        started_at_ms: When its process started; 0 for long ago.
    """

    name: str
    zone: str = ""
    failure_domain: int = 0
    status: EndpointStatus = EndpointStatus.UP
    weight: float = 1.0
    started_at_ms: float = 0.0
