"""Decoding of the simulator's input lines: events, the start and end of gateways, and endpoint lists.

A line consists of parts separated by single spaces: the name of the message, the name of the gateway that it
is for, and its values. `-` stands for an absent value.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from api_gateway.errors import MalformedLineError, MalformedSettingError
from api_gateway.model.endpoints import Endpoint, UpdateKind
from api_gateway.model.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterReply,
    Event,
    GossipReceived,
    HealthCheckEnded,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from api_gateway.model.settings import Settings
from api_gateway.settings_codec import decode_settings
from api_gateway.simulator.values import (
    ATTEMPT_RESULTS,
    COUNTER_RESULTS,
    ENDPOINT_STATUSES,
    UPDATE_KINDS,
    decode_enum,
    decode_flag,
    decode_integer,
    decode_load_report,
    decode_number,
)

RETRY_FLAG = 2  # bit of the flags of a request that is set if the client has sent the request before


class OpenGateway(NamedTuple):
    """Start of a new gateway, or restart of an existing one.

    Attributes:
        seed: Seed of the random draws of the gateway.
        settings: Settings of the gateway.
    """

    seed: int
    settings: Settings


class CloseGateway:
    """End of a gateway, without a shutdown."""


class CatalogUpdate(NamedTuple):
    """An update of the endpoint list, with its endpoints in a catalog that was sent before.

    Attributes:
        kind: Kind of the update.
        catalog: Number of the catalog; None if the call to discovery failed.
    """

    kind: UpdateKind
    catalog: int | None


class CatalogHeader(NamedTuple):
    """The line that precedes the entries of a catalog.

    Attributes:
        number: Number by which updates refer to the catalog.
        entry_count: Number of entries, each on a line of its own.
    """

    number: int
    entry_count: int


Message = Event | OpenGateway | CloseGateway | CatalogUpdate


# --- Messages for one gateway ------------------------------------------------------------------------------


def _decode_setting_pairs(pairs: list[str]) -> Settings:
    values_by_path: dict[str, str] = {}
    for pair in pairs:
        key, equals, text = pair.partition("=")
        if not equals:
            raise MalformedLineError(f"setting {pair!r} is not of the form PATH=VALUE")
        values_by_path[key] = text
    try:
        return decode_settings(values_by_path)
    except MalformedSettingError as error:
        raise MalformedLineError(str(error)) from None


def _decode_open_gateway(values: list[str]) -> OpenGateway:
    seed, *pairs = values
    return OpenGateway(decode_integer(seed), _decode_setting_pairs(pairs))


def _decode_close_gateway(values: list[str]) -> CloseGateway:
    return CloseGateway()


def _decode_request_received(values: list[str]) -> RequestReceived:
    (
        request_id,
        class_name,
        plan_name,
        tenant,
        remaining_time_ms,
        units,
        gateway_count,
        first_gateway,
        flags,
    ) = values
    return RequestReceived(
        request_id=request_id,
        class_name=class_name,
        plan_name=plan_name,
        tenant=tenant,
        remaining_time_ms=decode_number(remaining_time_ms),
        units=decode_number(units),
        gateway_count=decode_integer(gateway_count),
        first_gateway=decode_integer(first_gateway),
        is_retry=bool(decode_integer(flags) & RETRY_FLAG),
    )


def _decode_attempt_ended(values: list[str]) -> AttemptEnded:
    request_id, attempt, endpoint, result, duration, is_final, usage, units, load_report = values
    return AttemptEnded(
        request_id=request_id,
        attempt=decode_integer(attempt),
        endpoint=endpoint,
        result=decode_enum(ATTEMPT_RESULTS, result),
        duration_ms=decode_number(duration),
        is_final=decode_flag(is_final),
        metered_usage_percent=decode_number(usage),
        actual_units=decode_number(units),
        load_report=decode_load_report(load_report),
    )


def _decode_response_started(values: list[str]) -> ResponseStarted:
    request_id, attempt, *_ = values
    return ResponseStarted(request_id, decode_integer(attempt))


def _decode_client_disconnected(values: list[str]) -> ClientDisconnected:
    return ClientDisconnected(values[0])


def _decode_timer_fired(values: list[str]) -> TimerFired:
    return TimerFired(values[0])


def _decode_counter_reply(values: list[str]) -> CounterReply:
    counter_value, result, duration, name = values
    return CounterReply(
        name=name,
        result=decode_enum(COUNTER_RESULTS, result),
        counter_value=decode_number(counter_value),
        duration_ms=decode_number(duration),
    )


def _decode_health_check_ended(values: list[str]) -> HealthCheckEnded:
    duration, endpoint, result, load_report = values
    return HealthCheckEnded(
        endpoint=endpoint,
        result=decode_enum(ATTEMPT_RESULTS, result),
        duration_ms=decode_number(duration),
        load_report=decode_load_report(load_report),
    )


def _decode_gossip_received(values: list[str]) -> GossipReceived:
    sender, payload = values
    try:
        return GossipReceived(decode_integer(sender), bytes.fromhex("" if payload == "-" else payload))
    except ValueError:
        raise MalformedLineError(f"gossip payload {payload!r} is not hexadecimal") from None


def _decode_catalog_update(values: list[str]) -> CatalogUpdate:
    kind_text, version, catalog = values
    kind = decode_enum(UPDATE_KINDS, kind_text)
    decode_integer(version)  # only checked: updates have no version in the model
    return CatalogUpdate(kind, None if kind is UpdateKind.FAILED else decode_integer(catalog))


class _MessageDecoder(NamedTuple):
    decode: Callable[[list[str]], Message]
    value_count: int | None  # None if any number of values above 0 is allowed


MESSAGE_DECODERS: dict[str, _MessageDecoder] = {
    "OPEN_INSTANCE": _MessageDecoder(_decode_open_gateway, None),
    "DETACH": _MessageDecoder(_decode_close_gateway, 0),
    "DIRECTORY_UPDATE": _MessageDecoder(_decode_catalog_update, 3),
    "REQ": _MessageDecoder(_decode_request_received, 9),
    "ENDED": _MessageDecoder(_decode_attempt_ended, 9),
    "HEAD_RECEIVED": _MessageDecoder(_decode_response_started, 4),
    "CLIENT_LEFT": _MessageDecoder(_decode_client_disconnected, 1),
    "TICK_DUE": _MessageDecoder(_decode_timer_fired, 1),
    "COUNTER_REPLY": _MessageDecoder(_decode_counter_reply, 4),
    "PROBE_DONE": _MessageDecoder(_decode_health_check_ended, 4),
    "INBOX": _MessageDecoder(_decode_gossip_received, 2),
}


def decode_message(parts: list[str]) -> Message:
    """Convert the parts of a line that is for one gateway.

    Args:
        parts: Name of the message, name of the gateway, and the values.

    Raises:
        MalformedLineError: The line does not follow the format.
        InvalidSettingError: A setting of a new gateway is not one of the values of its enum.
    """
    name, values = parts[0], parts[2:]
    decoder = MESSAGE_DECODERS.get(name)
    if decoder is None:
        raise MalformedLineError(f"unknown message {name!r}")
    is_complete = bool(values) if decoder.value_count is None else len(values) == decoder.value_count
    if len(parts) < 2 or not is_complete:
        raise MalformedLineError(
            f"{name}: expected the name of a gateway and "
            f"{'at least 1' if decoder.value_count is None else decoder.value_count} values, "
            f"got {len(parts) - 1} parts after the name of the message"
        )
    return decoder.decode(values)


# --- Lines for all gateways --------------------------------------------------------------------------------


def decode_batch_header(parts: list[str]) -> float:
    """Return the time in milliseconds that the first line of a batch gives.

    Raises:
        MalformedLineError: The line is not the first one of a batch.
    """
    if parts[0] != "BATCH" or len(parts) != 2:
        raise MalformedLineError(f"expected BATCH and a time, got {' '.join(parts)!r}")
    return decode_number(parts[1])


def decode_catalog_header(parts: list[str]) -> CatalogHeader:
    """Convert the line that precedes the entries of a catalog.

    Raises:
        MalformedLineError: The line does not follow the format.
    """
    if len(parts) != 3:
        raise MalformedLineError(
            f"CATALOG: expected its number and the number of its entries, got {len(parts) - 1} values"
        )
    return CatalogHeader(number=decode_integer(parts[1]), entry_count=decode_integer(parts[2]))


def decode_endpoint(parts: list[str]) -> Endpoint:
    """Convert one entry of a catalog.

    Raises:
        MalformedLineError: The line does not follow the format.
    """
    if len(parts) != 8 or parts[0] != "M":
        raise MalformedLineError(f"catalog entry: expected M and 7 values, got {' '.join(parts)!r}")
    _, name, zone, _, failure_domain, status, weight, started_at = parts
    if status not in ENDPOINT_STATUSES:
        raise MalformedLineError(f"endpoint status {status!r} is not one of {', '.join(ENDPOINT_STATUSES)}")
    return Endpoint(
        name=name,
        zone=zone,
        failure_domain=decode_integer(failure_domain),
        status=ENDPOINT_STATUSES[status],
        weight=decode_number(weight),
        started_at_ms=decode_number(started_at),
    )
