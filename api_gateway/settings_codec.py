"""Conversion of the settings object, as operators write it, to `Settings`.

The settings come in two forms with the same keys: nested JSON in the configuration file, and `path=value`
pairs in each message of the simulator that starts a gateway. Both are first converted to a mapping of paths
to texts, such as `grades.0.objective_ms` to `250`, and then to `Settings` by the tables below. No other
module names the keys.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Iterator, Mapping
from typing import Any, NamedTuple, TypeVar

from api_gateway.errors import InvalidSettingError, MalformedSettingError
from api_gateway.model.settings import Idempotency, KeyScope, Plan, RequestClass, Settings

Entry = TypeVar("Entry")


class SettingKey(NamedTuple):
    """A key of the settings object, and the field of the model that it sets.

    Attributes:
        key: Key as operators write it, relative to its group.
        field: Name of the field in `Settings`, `RequestClass`, `Plan` or `TransportSettings`.
        decode: Converts the text of the value; raises ValueError if the text is malformed.
        default: Value of the field if the key is missing.
    """

    key: str
    field: str
    decode: Callable[[str], Any]
    default: Any


class TransportSettings(NamedTuple):
    """Settings that the network code uses, and the decisions do not.

    Attributes:
        connect_timeout_ms: Timeout for connecting to an endpoint.
        idle_timeout_ms: Time after which endpoints close an idle connection.
        max_poll_interval_ms: Longest allowed interval between two polls of discovery, if it is polled.
    """

    connect_timeout_ms: float
    idle_timeout_ms: float
    max_poll_interval_ms: float


class _UnknownValueError(ValueError):
    """A text is not one of the values of its enum."""


def parse_number(text: str) -> float:
    """Convert a text to a finite number; `-`, which stands for an absent value, gives 0.

    Raises:
        ValueError: The text is not a finite number.
    """
    if text == "-":
        return 0.0
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value):
        raise ValueError(f"bad number {text!r}")
    return value


def _parse_integer(text: str) -> int:
    """Convert a text to a number, and drop its fraction."""
    return int(parse_number(text))


def _parse_limit(text: str) -> float:
    """Convert a text to a limit; 0 and `-` stand for no limit and give infinity."""
    return parse_number(text) or math.inf


def _parse_flag(text: str) -> bool:
    """Return whether a text is `true` or `1`; any other text gives False."""
    return text in ("true", "1")


def _parse_membership_mode(text: str) -> bool:
    return text == "on_request"


def _one_of(members: Mapping[str, Any], allowed: str) -> Callable[[str], Any]:
    def decode(text: str) -> Any:
        if text not in members:
            raise _UnknownValueError(f"{text!r} is not {allowed}")
        return members[text]

    return decode


IDEMPOTENCY_VALUES = {
    "safe": Idempotency.IDEMPOTENT,
    "keyed": Idempotency.WITH_KEY,
    "unsafe": Idempotency.NOT_IDEMPOTENT,
}
KEY_SCOPE_VALUES = {"all": KeyScope.ALL, "zone": KeyScope.ZONE, "cell": KeyScope.FAILURE_DOMAIN}

CLASSES_KEY = "grades"
CLASS_KEYS = (
    SettingKey("name", "name", str, ""),
    SettingKey("objective_ms", "latency_objective_ms", parse_number, 0.0),
    SettingKey("deadline_ms", "deadline_ms", parse_number, 0.0),
    SettingKey("worth", "priority_weight", parse_number, 1.0),
    SettingKey("late_worth", "late_priority_weight", parse_number, 0.0),
    SettingKey(
        "effect",
        "idempotency",
        _one_of(IDEMPOTENCY_VALUES, "safe, keyed or unsafe"),
        Idempotency.IDEMPOTENT,
    ),
    SettingKey(
        "key_scope",
        "idempotency_key_scope",
        _one_of(KEY_SCOPE_VALUES, "all, zone or cell"),
        KeyScope.ALL,
    ),
    SettingKey("window_ms", "idempotency_window_ms", parse_number, 0.0),
    SettingKey("stream", "streamed", _parse_flag, False),
)

PLANS_KEY = "packages"
PLAN_KEYS = (
    SettingKey("name", "name", str, ""),
    SettingKey("refill", "quota_rate", parse_number, 0.0),
    SettingKey("burst", "quota_burst", parse_number, 0.0),
    SettingKey("worth_factor", "priority_weight", parse_number, 1.0),
    SettingKey("over_worth", "over_quota_weight", parse_number, 0.0),
    SettingKey("over_cost", "over_quota_cost", parse_number, 0.0),
    SettingKey("ceiling_rate", "ceiling_rate", parse_number, 0.0),
    SettingKey("hard_burst", "ceiling_burst", parse_number, 0.0),
    SettingKey("tolerance", "ceiling_tolerance", parse_number, 0.0),
    SettingKey("parallel", "max_concurrent_requests", _parse_integer, 0),
)

GATEWAY_KEYS = (
    SettingKey("me", "gateway_index", _parse_integer, 0),
    SettingKey("fleet_size", "fleet_size", _parse_integer, 1),
    SettingKey("zone", "zone", str, ""),
    SettingKey("bounds.try_limit", "max_attempts", _parse_integer, 1),
    SettingKey("bounds.second_copies", "hedging_allowed", _parse_flag, False),
    SettingKey("bounds.cancel", "cancellation_supported", _parse_flag, False),
    SettingKey("bounds.max_retry_after_ms", "max_retry_after_ms", parse_number, 0.0),
    SettingKey("bounds.probing", "health_checks_allowed", _parse_flag, False),
    SettingKey("bounds.peers", "gossip_allowed", _parse_flag, False),
    SettingKey("membership_mode", "discovery_by_polling", _parse_membership_mode, False),
    SettingKey("family_info.may_count", "counter_enabled", _parse_flag, False),
    SettingKey("family_info.count_wait_ms", "counter_timeout_ms", parse_number, 50.0),
    SettingKey("family_info.most_units", "max_request_units", _parse_limit, math.inf),
    SettingKey("family_info.trued_up", "actual_units_reported", _parse_flag, False),
    SettingKey("family_info.use_period_ms", "usage_report_period_ms", parse_number, 0.0),
    SettingKey("bounds.conn_idle_ms", "idle_connection_timeout_ms", parse_number, 30000.0),
    SettingKey("tick_ms", "clock_tick_ms", parse_number, 1.0),
    SettingKey("rules.answer_slack_ms", "response_slack_ms", parse_number, 0.0),
    SettingKey("rules.stop_sending_within_ms", "drain_grace_ms", parse_number, 0.0),
    SettingKey("rules.cold_from", "slow_start_min_weight", parse_number, 1.0),
    SettingKey("rules.cold_ms", "slow_start_ms", parse_number, 0.0),
    SettingKey("rules.fall_multiple", "overload_multiple", parse_number, 1.0),
    SettingKey("rules.tip_after_ms", "overload_window_ms", parse_number, 0.0),
)

TRANSPORT_KEYS = (
    SettingKey("bounds.dial_timeout_ms", "connect_timeout_ms", parse_number, 250.0),
    # Also read by GATEWAY_KEYS, with another default.
    SettingKey("bounds.conn_idle_ms", "idle_timeout_ms", parse_number, 15000.0),
    SettingKey("rules.must_ask_in_ms", "max_poll_interval_ms", parse_number, 10000.0),
)

# Maps a list in `Settings` to the key of the list and the keys of its entries.
_GROUPS = {
    "classes": (CLASSES_KEY, CLASS_KEYS),
    "plans": (PLANS_KEY, PLAN_KEYS),
}
_FIELD_PATH = re.compile(r"(?P<group>classes|plans)(?:\[(?P<name>.*)\]\.(?P<fields>[a-z_, ]+))?")


def flatten_settings(settings: Mapping[str, object]) -> dict[str, str]:
    """Convert a nested settings object to a mapping of paths to texts.

    A list of objects becomes `path.count`, `path.0.key`, `path.1.key`... The values of another list are
    joined with commas. Keys whose value is null are left out.
    """
    return dict(_flatten_value("", settings))


def _flatten_value(path: str, value: object) -> Iterator[tuple[str, str]]:
    if isinstance(value, dict):
        for key, item in value.items():
            yield from _flatten_value(f"{path}.{key}" if path else str(key), item)
    elif isinstance(value, list):
        yield from _flatten_list(path, value)
    elif isinstance(value, bool):
        yield path, "true" if value else "false"
    elif value is not None:
        yield path, str(value)


def _flatten_list(path: str, items: list[object]) -> Iterator[tuple[str, str]]:
    if not any(isinstance(item, dict) for item in items):
        yield path, ",".join(map(str, items))
        return
    yield f"{path}.count", str(len(items))
    for index, item in enumerate(items):
        yield from _flatten_value(f"{path}.{index}", item)


def decode_settings(values_by_path: Mapping[str, str]) -> Settings:
    """Convert texts by path to `Settings`. Ranges are not checked; `check_settings` does that.

    Args:
        values_by_path: Texts of the values by path; unknown paths are ignored.

    Raises:
        MalformedSettingError: A value cannot be parsed as its type.
        InvalidSettingError: A value is not one of those of its enum.
    """
    return Settings(
        classes=_decode_group(values_by_path, "classes", RequestClass),
        plans=_decode_group(values_by_path, "plans", Plan),
        **_decode_keys(values_by_path, GATEWAY_KEYS),
    )


def decode_transport_settings(values_by_path: Mapping[str, str]) -> TransportSettings:
    """Convert texts by path to `TransportSettings`.

    Args:
        values_by_path: Texts of the values by path; unknown paths are ignored.

    Raises:
        MalformedSettingError: A value is not a number.
        InvalidSettingError: A value is not above 0.
    """
    values: dict[str, Any] = {}
    for setting in TRANSPORT_KEYS:
        values |= _decode_keys(values_by_path, (setting,))
        if values[setting.field] <= 0:
            raise InvalidSettingError(setting.key, "must be above 0", setting.field)
    return TransportSettings(**values)


def check_settings(settings: Settings) -> None:
    """Check the settings as `Settings.check` does.

    Raises:
        InvalidSettingError: A setting is invalid; the error has the key that operators write.
    """
    try:
        settings.check()
    except ValueError as error:
        field, _, problem = str(error).rpartition(": ")
        raise InvalidSettingError(setting_key_for_field(field), problem, field) from None


def setting_key_for_field(field: str) -> str:
    """Return the key that sets a field of `Settings`; the field itself if there is no such key.

    Args:
        field: Path of one or more fields, such as `clock_tick_ms`, `classes` or
            `classes[read].latency_objective_ms, deadline_ms`.
    """
    match = _FIELD_PATH.fullmatch(field)
    if match is None:
        return _key_of(GATEWAY_KEYS, field)
    group_key, keys = _GROUPS[match["group"]]
    if match["fields"] is None:
        return group_key
    names = ", ".join(_key_of(keys, name) for name in match["fields"].split(", "))
    return f"{group_key}[{match['name']}].{names}"


def _key_of(keys: tuple[SettingKey, ...], field: str) -> str:
    return next((setting.key for setting in keys if setting.field == field), field)


def _decode_group(
    values_by_path: Mapping[str, str], group: str, entry_type: Callable[..., Entry]
) -> tuple[Entry, ...]:
    group_key, keys = _GROUPS[group]
    count_key = SettingKey(f"{group_key}.count", "count", _parse_integer, 0)
    entry_count = _decode_keys(values_by_path, (count_key,))["count"]
    return tuple(
        entry_type(**_decode_entry(values_by_path, group, index, keys)) for index in range(entry_count)
    )


def _decode_entry(
    values_by_path: Mapping[str, str], group: str, index: int, keys: tuple[SettingKey, ...]
) -> dict[str, Any]:
    group_key, _ = _GROUPS[group]
    prefix = f"{group_key}.{index}."
    try:
        return _decode_keys(values_by_path, keys, prefix)
    except InvalidSettingError as error:
        entry_path = f"[{values_by_path.get(prefix + 'name', '')}].{error.key.removeprefix(prefix)}"
        raise InvalidSettingError(group_key + entry_path, error.problem, group + entry_path) from None


def _decode_keys(
    values_by_path: Mapping[str, str], keys: tuple[SettingKey, ...], prefix: str = ""
) -> dict[str, Any]:
    values: dict[str, Any] = {}
    for setting in keys:
        key = prefix + setting.key
        text = values_by_path.get(key)
        try:
            values[setting.field] = setting.default if text is None else setting.decode(text)
        except _UnknownValueError as error:
            raise InvalidSettingError(key, str(error), setting.field) from None
        except ValueError as error:
            raise MalformedSettingError(key, str(error)) from None
    return values
