"""Decoding of the settings object, and the keys that its errors name."""

from __future__ import annotations

import dataclasses

import pytest

from api_gateway.errors import InvalidSettingError, MalformedSettingError
from api_gateway.model.settings import Idempotency, KeyScope, Plan, RequestClass, Settings
from api_gateway.settings_codec import (
    CLASS_KEYS,
    GATEWAY_KEYS,
    PLAN_KEYS,
    decode_settings,
    decode_transport_settings,
    flatten_settings,
    setting_key_for_field,
)


def test_every_field_of_the_model_has_exactly_one_key() -> None:
    for keys, model in ((CLASS_KEYS, RequestClass), (PLAN_KEYS, Plan), (GATEWAY_KEYS, Settings)):
        fields = [field.name for field in dataclasses.fields(model)]
        if model is Settings:
            fields = [name for name in fields if name not in ("classes", "plans")]
        assert sorted(setting.field for setting in keys) == sorted(fields)


def test_missing_keys_give_the_defaults_of_the_model() -> None:
    defaults = Settings(classes=())
    assert decode_settings({}) == defaults


def test_nested_object_is_flattened_to_paths() -> None:
    nested = {"zones": ["a", "b"], "grades": [{"name": "x"}], "bounds": {"cancel": True, "peers": None}}
    assert flatten_settings(nested) == {
        "zones": "a,b",
        "grades.count": "1",
        "grades.0.name": "x",
        "bounds.cancel": "true",
    }


def test_enum_values_and_flags_are_decoded() -> None:
    grade = {"name": "put", "effect": "keyed", "key_scope": "cell", "stream": True}
    settings = decode_settings(flatten_settings({"grades": [grade], "membership_mode": "on_request"}))
    (request_class,) = settings.classes
    assert request_class.idempotency is Idempotency.WITH_KEY
    assert request_class.idempotency_key_scope is KeyScope.FAILURE_DOMAIN
    assert request_class.streamed and settings.discovery_by_polling


def test_malformed_number_error_names_its_path() -> None:
    with pytest.raises(MalformedSettingError, match=r"^packages\.0\.refill: bad number 'many'$"):
        decode_settings(flatten_settings({"packages": [{"refill": "many"}]}))


def test_unknown_enum_value_error_names_its_key_and_entry() -> None:
    with pytest.raises(InvalidSettingError) as caught:
        decode_settings(flatten_settings({"grades": [{"name": "put", "effect": "odd"}]}))
    assert caught.value.key == "grades[put].effect"
    assert caught.value.field == "classes[put].effect"


@pytest.mark.parametrize(
    ("field", "key"),
    [
        ("classes", "grades"),
        ("classes[a].b].latency_objective_ms, deadline_ms", "grades[a].b].objective_ms, deadline_ms"),
        ("plans[basic].quota_rate", "packages[basic].refill"),
        ("slow_start_ms", "rules.cold_ms"),
        ("fleet_size", "fleet_size"),
        ("no_such_field", "no_such_field"),
    ],
)
def test_field_of_the_model_is_translated_to_its_key(field: str, key: str) -> None:
    assert setting_key_for_field(field) == key


def test_transport_settings_have_defaults() -> None:
    transport = decode_transport_settings({"bounds.conn_idle_ms": "20000"})
    assert transport.connect_timeout_ms == 250.0
    assert transport.idle_timeout_ms == 20000.0
    assert transport.max_poll_interval_ms == 10000.0
