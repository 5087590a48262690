"""The configuration: defaults, errors, and precedence of environment variables."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from api_gateway.configuration import (
    load_configuration,
    parse_configuration,
)
from api_gateway.errors import ConfigurationError, GatewayError
from api_gateway.limits import MIN_DESCRIPTORS, ProcessLimits

RAW_CONFIGURATION = {
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:2",
    "seed": "1",
}


def settings_object(**changes: object) -> dict[str, object]:
    read = {"name": "read", "objective_ms": 1000.0, "deadline_ms": 4000.0}
    return {"grades": [read], "packages": [{"name": "basic", "refill": 2}], **changes}


@pytest.mark.parametrize(
    ("changes", "text"),
    [
        ({"grades": []}, "settings: grades: at least one is needed"),
        ({"me": 1}, "settings: me: must lie in 0 .. fleet_size - 1"),
        (
            {"grades": [{"name": "read", "objective_ms": 0, "deadline_ms": 1}]},
            "settings: grades[read].objective_ms, deadline_ms: must be above 0",
        ),
        (
            {"packages": [{"name": "basic", "burst": -1}]},
            "settings: packages[basic].burst: must not be negative",
        ),
        ({"tick_ms": -1}, "settings: tick_ms: must not be negative"),
        ({"bounds": {"dial_timeout_ms": 0}}, "settings: bounds.dial_timeout_ms: must be above 0"),
        ({"rules": {"must_ask_in_ms": "x"}}, "settings: rules.must_ask_in_ms: bad number 'x'"),
    ],
)
def test_settings_error_names_the_key(changes: dict[str, object], text: str) -> None:
    with pytest.raises(ConfigurationError) as caught:
        parse_configuration({**RAW_CONFIGURATION, "settings": settings_object(**changes)})
    assert str(caught.value) == text


@pytest.mark.parametrize(
    ("changes", "text"),
    [
        ({"listen": "localhost"}, "listen: 'localhost' is not HOST:PORT"),
        ({"discovery": "h:65536"}, "discovery: 'h:65536' is not HOST:PORT"),
        ({"seed": "xyz"}, "seed: 'xyz' is not a hex number"),
        ({"settings": []}, "settings: must be an object"),
        (
            {"limits": {"memory_mb": 0}},
            "limits.memory_mb: must be a number above 0",
        ),
        ({"limits": {"memory_mb": "192"}}, "limits.memory_mb: must be a number above 0"),
        ({"limits": [192]}, "limits: must be an object"),
        (
            {"limits": {"sockets": MIN_DESCRIPTORS - 1}},
            "limits.sockets: must be a whole number of 128 or more",
        ),
        ({"known": {"instances": []}}, "known: generation: expected a whole number, got None"),
        (
            {"settings": settings_object(family_info={"may_count": True})},
            "counter: must be HOST:PORT, since the settings enable the counter",
        ),
    ],
)
def test_error_names_the_top_level_key(changes: dict[str, object], text: str) -> None:
    with pytest.raises(ConfigurationError) as caught:
        parse_configuration({**RAW_CONFIGURATION, "settings": settings_object(), **changes})
    assert str(caught.value) == text
    assert isinstance(caught.value, GatewayError)


def test_missing_keys_get_their_defaults() -> None:
    configuration = parse_configuration({**RAW_CONFIGURATION, "settings": settings_object()})
    assert (configuration.name, configuration.counter, configuration.cached_endpoints.endpoints) == (
        "",
        None,
        (),
    )
    assert (configuration.connect_timeout_ms, configuration.idle_timeout_ms) == (250.0, 15000.0)
    assert configuration.max_poll_interval_ms == 10000.0


def test_environment_takes_precedence_except_for_discovery_on_reload(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**RAW_CONFIGURATION, "settings": settings_object()}))
    environment = {
        "ROUTER_CONFIG": str(path),
        "ROUTER_NAME": "n1",
        "ROUTER_LISTEN": "[::1]:3",
        "ROUTER_DISCOVERY": "127.0.0.1:4",
    }
    configuration = load_configuration(environment)
    assert (configuration.name, configuration.listen, configuration.discovery) == (
        "n1",
        ("::1", 3),
        ("127.0.0.1", 4),
    )
    reloaded = load_configuration(environment, is_reload=True)
    assert (reloaded.listen, reloaded.discovery) == (("::1", 3), ("127.0.0.1", 2))


def test_connections_to_endpoints_leave_the_reserved_descriptors_free() -> None:
    assert ProcessLimits(descriptors=MIN_DESCRIPTORS).upstream_connections == 34
    assert ProcessLimits(descriptors=1024).upstream_connections == 368


@pytest.mark.parametrize(("memory_mb", "expected_tenants"), [(16, 512), (32, 1024), (64, 5120), (192, 8192)])
def test_number_of_tenants_follows_from_the_memory(memory_mb: int, expected_tenants: int) -> None:
    # Guards against a crash: 8,192 tenants take 16 MB, which exceeded the least memory.
    assert ProcessLimits(memory_mb=memory_mb).tenants == expected_tenants
