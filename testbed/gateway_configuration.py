"""Creates the configuration files of the gateways and the endpoint list of an experiment."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from testbed.discovery_server import Instance

ZONE_COUNT = 5
ENDPOINTS_PER_FAILURE_DOMAIN = 6
SAFE_CLASS_NAME = "read"
UNSAFE_CLASS_NAME = "order"
UNSAFE_CLASS_INTERVAL = 4  # every fourth request is of the unsafe class, which must not be retried
REQUEST_UNIT_CHOICES = (1, 2, 3)  # units of a request, chosen with equal probability
MAX_REQUEST_UNITS = 6
BUCKET_CAPACITY_REFILL_S = 4.0  # a full token bucket holds the refill of this time
REQUEST_DEADLINE_MS = 4000.0
PLAN_NAME = "team"
MAX_SOCKETS = 1024
REQUEST_CLASSES = [
    {
        "name": SAFE_CLASS_NAME,
        "objective_ms": 1000.0,
        "deadline_ms": REQUEST_DEADLINE_MS,
        "worth": 1.0,
        "effect": "safe",
    },
    {
        "name": UNSAFE_CLASS_NAME,
        "objective_ms": 1500.0,
        "deadline_ms": REQUEST_DEADLINE_MS,
        "worth": 3.0,
        "effect": "unsafe",
    },
]


@dataclass(frozen=True, kw_only=True)
class FleetConfiguration:
    """Configuration that all gateways of a fleet share.

    Attributes:
        fleet_size: Number of gateways.
        discovery_address: HOST:PORT of discovery.
        counter_address: HOST:PORT of the counter.
        discovery_by_polling: Whether all gateways poll one discovery service, instead of an agent on the
            machine of each gateway.
        seed: Seed of the experiment.
        refill: Rate of each tenant's quota, in units per second.
    """

    fleet_size: int
    discovery_address: str
    counter_address: str
    discovery_by_polling: bool
    seed: int
    refill: float


def request_class_name(request_number: int) -> str:
    """Return the name of the request class of the request with this number."""
    return SAFE_CLASS_NAME if request_number % UNSAFE_CLASS_INTERVAL else UNSAFE_CLASS_NAME


def bucket_capacity(refill: float) -> float:
    """Return the capacity of a tenant's token bucket, in units.

    Args:
        refill: Refill rate of the token bucket, in units per second.

    Returns:
        The refill of `BUCKET_CAPACITY_REFILL_S`, but at least the units of the largest request.
    """
    return max(BUCKET_CAPACITY_REFILL_S * refill, float(MAX_REQUEST_UNITS))


def create_instances(count: int, addresses: list[str]) -> list[Instance]:
    """Create endpoints that are distributed evenly over zones, failure domains and addresses.

    Args:
        count: Number of endpoints.
        addresses: HOST:PORT of the listening sockets that the endpoints share.

    Returns:
        The endpoints.
    """
    return [
        Instance(
            f"s-{i:06x}",
            addresses[i % len(addresses)],
            f"zone-{i % ZONE_COUNT}",
            i // ENDPOINTS_PER_FAILURE_DOMAIN,
        )
        for i in range(count)
    ]


def create_gateway_configuration(fleet: FleetConfiguration, index: int) -> dict[str, Any]:
    """Create the content of one gateway's configuration file.

    Args:
        fleet: Configuration that all gateways of the fleet share.
        index: Index of the gateway in the fleet.

    Returns:
        The content, to be encoded as JSON.
    """
    return {
        "name": f"n{index}",
        "listen": "127.0.0.1:0",
        "discovery": fleet.discovery_address,
        "counter": fleet.counter_address,
        "seed": f"{fleet.seed + index:x}",
        "limits": {"cores": 1.0, "memory_mb": 256, "sockets": MAX_SOCKETS},
        "settings": {
            "grades": REQUEST_CLASSES,
            "packages": [_plan(fleet.refill)],
            "fleet_size": fleet.fleet_size,
            "me": index,
            "zone": f"zone-{index % ZONE_COUNT}",
            "tick_ms": 2.0,
            "membership_mode": "on_request" if fleet.discovery_by_polling else "pushed",
            "rules": {
                "stop_sending_within_ms": 250.0,
                "cold_from": 0.2,
                "cold_ms": 10000.0,
                "fall_multiple": 2.5,
                "tip_after_ms": 2000.0,
                "must_ask_in_ms": 10000.0,
            },
            "bounds": {
                "try_limit": 3,
                "cancel": True,
                "retry_after": True,
                "max_retry_after_ms": 500.0,
                "dial_timeout_ms": 250.0,
                "conn_idle_ms": 30000.0,
            },
            "family_info": {
                "may_count": True,
                "count_wait_ms": 80.0,
                "trued_up": False,
                "most_units": MAX_REQUEST_UNITS,
            },
        },
    }


def _plan(refill: float) -> dict[str, Any]:
    return {
        "name": PLAN_NAME,
        "refill": refill,
        "burst": bucket_capacity(refill),
        "worth_factor": 1.0,
        "over_cost": 1.0,
    }
