"""The configuration of one gateway, read from a JSON file and environment variables."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path

from api_gateway.errors import ConfigurationError, SettingError
from api_gateway.limits import ProcessLimits, parse_limits
from api_gateway.model.settings import Settings
from api_gateway.network.address import Address, parse_address
from api_gateway.network.discovery_codec import EndpointList, parse_endpoint_list
from api_gateway.settings_codec import (
    TransportSettings,
    check_settings,
    decode_settings,
    decode_transport_settings,
    flatten_settings,
)

CONFIGURATION_VARIABLE = "ROUTER_CONFIG"
OVERRIDE_VARIABLES = {"name": "ROUTER_NAME", "listen": "ROUTER_LISTEN", "discovery": "ROUTER_DISCOVERY"}

# Factor on the configured timeout of counter calls. A busy counter responds late, and a late counter value is
# as valid as any other. With the configured timeout alone, a busy counter would be treated as unavailable.
COUNTER_TIMEOUT_FACTOR = 3.0


@dataclass(slots=True, frozen=True)
class Configuration:
    """The configuration with which one gateway is started.

    Attributes:
        name: Name of the gateway in its log; empty by default.
        listen: Host and port on which to listen for clients; port 0 selects a free port.
        discovery: Host and port of discovery.
        counter: Host and port of the counter; None if the counter is not used.
        seed: Seed of all random draws.
        limits: Limits of the process; its descriptors are at most those that the operating system allows.
        settings: Settings of the decisions.
        cached_endpoints: Endpoint list to use until discovery responds; empty by default.
        connect_timeout_ms: Timeout for connecting to an endpoint; 250 by default.
        idle_timeout_ms: Time after which endpoints close an idle connection; 15000 by default. Read from the
            same key as `Settings.idle_connection_timeout_ms`, which has another default.
        max_poll_interval_ms: Longest allowed interval between two polls of discovery, if it is polled; 10000
            by default.
    """

    name: str
    listen: Address
    discovery: Address
    counter: Address | None
    seed: int
    limits: ProcessLimits
    settings: Settings
    cached_endpoints: EndpointList
    connect_timeout_ms: float
    idle_timeout_ms: float
    max_poll_interval_ms: float = 10000.0


def load_configuration(environment: Mapping[str, str], is_reload: bool = False) -> Configuration:
    """Load the file that `ROUTER_CONFIG` names; other environment variables override values of the file.

    Args:
        environment: The environment variables of the process.
        is_reload: Whether the configuration of a running process is reloaded. `ROUTER_DISCOVERY` is ignored
            then: it cannot change while the process runs, and would hide a new address in the file.

    Raises:
        ConfigurationError: The file cannot be read, or its contents are invalid.
    """
    path = environment.get(CONFIGURATION_VARIABLE)
    if not path:
        raise ConfigurationError(f"{CONFIGURATION_VARIABLE}: is not set")
    raw = _read_json_object(path)
    for key, variable in OVERRIDE_VARIABLES.items():
        if environment.get(variable) and not (is_reload and key == "discovery"):
            raw[key] = environment[variable]
    return parse_configuration(raw)


def parse_configuration(raw: Mapping[str, object]) -> Configuration:
    """Convert the JSON object of the file to a `Configuration`.

    Raises:
        ConfigurationError: A value is missing or invalid; the text names its key.
    """
    values_by_path = flatten_settings(_parse_object(raw, "settings"))
    settings = _parse_settings(values_by_path)
    counter = raw.get("counter")
    if settings.counter_enabled and not counter:
        raise ConfigurationError("counter: must be HOST:PORT, since the settings enable the counter")
    cached_endpoints = _parse_cached_endpoints(raw)
    listen = _parse_address(raw, "listen")
    discovery = _parse_address(raw, "discovery")
    counter_address = _parse_address(raw, "counter") if counter else None
    seed = _parse_seed(raw)
    limits = parse_limits(raw.get("limits"))
    transport = _parse_transport_settings(values_by_path)
    return Configuration(
        name=str(raw.get("name", "")),
        listen=listen,
        discovery=discovery,
        counter=counter_address,
        seed=seed,
        limits=limits,
        settings=settings,
        cached_endpoints=cached_endpoints,
        connect_timeout_ms=transport.connect_timeout_ms,
        idle_timeout_ms=transport.idle_timeout_ms,
        max_poll_interval_ms=transport.max_poll_interval_ms,
    )


def _read_json_object(path: str) -> dict[str, object]:
    try:
        raw = json.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise ConfigurationError(f"{CONFIGURATION_VARIABLE}: cannot read {path}: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigurationError(
            f"{CONFIGURATION_VARIABLE}: {path} must contain a JSON object, not a {type(raw).__name__}"
        )
    return raw


def _parse_object(raw: Mapping[str, object], key: str) -> dict[str, object]:
    value = raw.get(key)
    if not isinstance(value, dict):
        raise ConfigurationError(f"{key}: must be an object")
    return value


def _parse_address(raw: Mapping[str, object], key: str) -> Address:
    address = parse_address(str(raw.get(key, "")))
    if address is None:
        raise ConfigurationError(f"{key}: {raw.get(key)!r} is not HOST:PORT")
    return address


def _parse_settings(values_by_path: Mapping[str, str]) -> Settings:
    try:
        settings = decode_settings(values_by_path)
        check_settings(settings)
    except SettingError as error:
        raise ConfigurationError(f"settings: {error}") from None
    return replace(settings, counter_timeout_ms=COUNTER_TIMEOUT_FACTOR * settings.counter_timeout_ms)


def _parse_transport_settings(values_by_path: Mapping[str, str]) -> TransportSettings:
    try:
        return decode_transport_settings(values_by_path)
    except SettingError as error:
        raise ConfigurationError(f"settings: {error}") from None


def _parse_cached_endpoints(raw: Mapping[str, object]) -> EndpointList:
    if not raw.get("known"):
        return EndpointList(0, True, (), {})
    try:
        return parse_endpoint_list(raw["known"])
    except ValueError as error:
        raise ConfigurationError(f"known: {error}") from None


def _parse_seed(raw: Mapping[str, object]) -> int:
    try:
        return int(str(raw.get("seed", "")), 16)
    except ValueError:
        raise ConfigurationError(f"seed: {raw.get('seed')!r} is not a hex number") from None
