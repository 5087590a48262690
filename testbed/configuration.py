"""Gateway configurations and host lists for a run, in the form that the configuration file has."""

from __future__ import annotations

from testbed.discovery import Instance

ZONES = 5
CELL = 6  # hosts to a cell
SAFE, UNSAFE = "read", "order"
UNITS = (1, 2, 3)  # of a request, each as often
CLASSES = [
    {"name": SAFE, "objective_ms": 1000.0, "deadline_ms": 4000.0, "worth": 1.0, "effect": "safe"},
    {"name": UNSAFE, "objective_ms": 1500.0, "deadline_ms": 4000.0, "worth": 3.0, "effect": "unsafe"},
]
MOST_UNITS = 6  # of a request
BURST_S = 4.0  # a customer's burst, in seconds of its rate


def class_of(number: int) -> str:
    """The class of a run's request of that number: every fourth may not be repeated."""
    return SAFE if number % 4 else UNSAFE


def burst(refill: float) -> float:
    """Units that a customer's store holds: the largest request fits, however seldom one comes."""
    return max(BURST_S * refill, float(MOST_UNITS))


def instances(count: int, ports: list[str]) -> list[Instance]:
    """`count` hosts, spread over zones, cells and the addresses that answer for them."""
    return [
        Instance(f"s-{i:06x}", ports[i % len(ports)], f"zone-{i % ZONES}", i // CELL) for i in range(count)
    ]


def raw(
    *,
    me: int,
    fleet: int,
    discovery: str,
    counter: str,
    asked: bool,
    seed: int,
    refill: float,
    sockets: int = 1024,
) -> dict:
    """The object of one gateway's configuration file; `refill`: units a second of each customer's quota."""
    plan = {
        "name": "team",
        "refill": refill,
        "burst": burst(refill),
        "worth_factor": 1.0,
        "over_cost": 1.0,
    }
    return {
        "name": f"n{me}",
        "listen": "127.0.0.1:0",
        "discovery": discovery,
        "counter": counter,
        "seed": f"{seed + me:x}",
        "limits": {"cores": 1.0, "memory_mb": 256, "sockets": sockets},
        "settings": {
            "grades": CLASSES,
            "packages": [plan],
            "fleet_size": fleet,
            "me": me,
            "zone": f"zone-{me % ZONES}",
            "tick_ms": 2.0,
            "membership_mode": "on_request" if asked else "pushed",
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
                "most_units": MOST_UNITS,
            },
        },
    }
