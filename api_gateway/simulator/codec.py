"""The codec of the wire: lines to events, actions to lines. Translation only."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from api_gateway.model.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    IncrementCounter,
    RejectRequest,
    StartAttempt,
    StartTimer,
    SubscribeToEndpoints,
    WriteLog,
)
from api_gateway.model.endpoints import Endpoint, EndpointStatus, UpdateKind
from api_gateway.model.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterReply,
    GossipReceived,
    HealthCheckEnded,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from api_gateway.model.results import AttemptResult, CounterResult
from api_gateway.model.settings import Idempotency, KeyScope, Plan, RequestClass, Settings

RESULTS = {
    "Ok": AttemptResult.OK,
    "Failed": AttemptResult.ERROR,
    "QueueFull": AttemptResult.OVERLOADED,
    "TimedOut": AttemptResult.TIMED_OUT,
    "ConnectError": AttemptResult.CONNECT_FAILED,
    "ResetByPeer": AttemptResult.CONNECTION_RESET,
    "Canceled": AttemptResult.CANCELLED,
    "Ignored": AttemptResult.NOT_STARTED,
}
COUNTER_RESULTS = {
    "Ok": CounterResult.OK,
    "Failed": CounterResult.FAILED,
    "QueueFull": CounterResult.OVERLOADED,
    "TimedOut": CounterResult.TIMED_OUT,
    "ConnectError": CounterResult.CONNECT_FAILED,
    "ResetByPeer": CounterResult.FAILED,
    "Canceled": CounterResult.FAILED,
    "Ignored": CounterResult.FAILED,
}
LIST_KINDS = {
    "Partial": UpdateKind.CHANGES,
    "Complete": UpdateKind.FULL,
    "Persisted": UpdateKind.CACHED,
    "Error": UpdateKind.FAILED,
}
STATUSES = {
    "up": EndpointStatus.UP,
    "draining": EndpointStatus.DRAINING,
    "removed": EndpointStatus.REMOVED,
}
EFFECTS = {
    "safe": Idempotency.IDEMPOTENT,
    "keyed": Idempotency.WITH_KEY,
    "unsafe": Idempotency.NOT_IDEMPOTENT,
}
KEY_SCOPES = {"all": KeyScope.ALL, "zone": KeyScope.ZONE, "cell": KeyScope.FAILURE_DOMAIN}


Word = TypeVar("Word")


class WireError(ValueError):
    """A line that does not follow the wire's format."""


class SettingsError(ValueError):
    """A setting whose value is not one of those that it may have."""


@dataclass(slots=True)
class Open:
    """A new instance with its seed and settings."""

    seed: int
    settings: Settings


@dataclass(slots=True)
class Close:
    """The instance was killed."""


def number(text: str) -> float:
    """A finite number; '-' is absent and reads as 0."""
    if text == "-":
        return 0.0
    try:
        value = float(text)
    except ValueError:
        raise WireError(f"bad number {text!r}") from None
    if not math.isfinite(value):
        raise WireError(f"bad number {text!r}")
    return value


def integer(text: str) -> int:
    """A whole number; '-' reads as 0."""
    if text == "-":
        return 0
    try:
        return int(text)
    except ValueError:
        raise WireError(f"bad whole number {text!r}") from None


def flag(text: str) -> bool:
    """1 or 0."""
    if text not in ("0", "1", "-"):
        raise WireError(f"bad truth value {text!r}")
    return text == "1"


def one_of(table: dict[str, Word], text: str) -> Word:
    """What a word of a fixed table stands for."""
    if text not in table:
        raise WireError(f"unknown word {text!r}")
    return table[text]


def report(text: str) -> dict[str, float]:
    """A load report: name:value pairs set apart by commas."""
    values = {}
    if text != "-":
        for pair in text.split(","):
            name, colon, value = pair.partition(":")
            if not colon:
                raise WireError(f"bad load report {text!r}")
            values[name] = number(value)
    return values


def settings(parts: list[str]) -> Settings:
    """The path=value pairs of an instance's first message; unknown keys are skipped."""
    pairs: dict[str, str] = {}
    for part in parts:
        key, equals, value = part.partition("=")
        if not equals:
            raise WireError(f"bad setting {part!r}")
        pairs[key] = value

    def num(key: str, default: float = 0.0) -> float:
        try:
            return number(pairs[key]) if key in pairs else default
        except WireError as error:
            raise WireError(f"{key}: {error}") from None

    def yes(key: str) -> bool:
        return pairs.get(key, "false") in ("true", "1")

    def word(table: dict[str, Word], path: str, key: str, allowed: str) -> Word:
        value = pairs.get(f"{path}.{key}", next(iter(table)))
        if value not in table:
            name = pairs.get(f"{path}.name", "")
            raise SettingsError(f"classes[{name}].{key}: {value!r} is not {allowed}")
        return table[value]

    classes = tuple(
        RequestClass(
            name=pairs.get(f"grades.{i}.name", ""),
            latency_objective_ms=num(f"grades.{i}.objective_ms"),
            deadline_ms=num(f"grades.{i}.deadline_ms"),
            priority_weight=num(f"grades.{i}.worth", 1.0),
            late_priority_weight=num(f"grades.{i}.late_worth"),
            idempotency=word(EFFECTS, f"grades.{i}", "effect", "safe, keyed or unsafe"),
            idempotency_key_scope=word(KEY_SCOPES, f"grades.{i}", "key_scope", "all, zone or cell"),
            idempotency_window_ms=num(f"grades.{i}.window_ms"),
            streamed=yes(f"grades.{i}.stream"),
        )
        for i in range(int(num("grades.count")))
    )
    plans = tuple(
        Plan(
            name=pairs.get(f"packages.{i}.name", ""),
            quota_rate=num(f"packages.{i}.refill"),
            quota_burst=num(f"packages.{i}.burst"),
            priority_weight=num(f"packages.{i}.worth_factor", 1.0),
            over_quota_weight=num(f"packages.{i}.over_worth"),
            over_quota_cost=num(f"packages.{i}.over_cost"),
            ceiling_rate=num(f"packages.{i}.ceiling_rate"),
            ceiling_burst=num(f"packages.{i}.hard_burst"),
            ceiling_tolerance=num(f"packages.{i}.tolerance"),
            max_concurrent_requests=int(num(f"packages.{i}.parallel")),
        )
        for i in range(int(num("packages.count")))
    )
    return Settings(
        classes=classes,
        plans=plans,
        gateway_index=int(num("me")),
        fleet_size=int(num("fleet_size", 1)),
        zone=pairs.get("zone", ""),
        max_attempts=int(num("bounds.try_limit", 1)),
        hedging_allowed=yes("bounds.second_copies"),
        cancellation_supported=yes("bounds.cancel"),
        max_retry_after_ms=num("bounds.max_retry_after_ms"),
        health_checks_allowed=yes("bounds.probing"),
        gossip_allowed=yes("bounds.peers"),
        discovery_by_polling=pairs.get("membership_mode", "pushed") == "on_request",
        counter_enabled=yes("family_info.may_count"),
        counter_timeout_ms=num("family_info.count_wait_ms", 50.0),
        max_request_units=num("family_info.most_units") or math.inf,
        actual_units_reported=yes("family_info.trued_up"),
        usage_report_period_ms=num("family_info.use_period_ms"),
        idle_connection_timeout_ms=num("bounds.conn_idle_ms", 30000.0),
        clock_tick_ms=num("tick_ms", 1.0),
        response_slack_ms=num("rules.answer_slack_ms"),
        drain_grace_ms=num("rules.stop_sending_within_ms"),
        slow_start_min_weight=num("rules.cold_from", 1.0),
        slow_start_ms=num("rules.cold_ms"),
        overload_multiple=num("rules.fall_multiple", 1.0),
        overload_window_ms=num("rules.tip_after_ms"),
    )


def endpoint(parts: list[str]) -> Endpoint:
    """One entry of a list of servers."""
    if len(parts) != 8 or parts[0] != "M":
        raise WireError("a list entry needs M and 7 values")
    if parts[5] not in STATUSES:
        raise WireError(f"unknown status {parts[5]!r}")
    return Endpoint(
        name=parts[1],
        zone=parts[2],
        failure_domain=integer(parts[4]),
        status=STATUSES[parts[5]],
        weight=number(parts[6]),
        started_at_ms=number(parts[7]),
    )


def _open(f: list[str]) -> Open:
    return Open(integer(f[0]), settings(f[1:]))


def _request(f: list[str]) -> RequestReceived:
    return RequestReceived(
        f[0],
        f[1],
        f[2],
        f[3],
        number(f[4]),
        number(f[5]),
        integer(f[6]),
        integer(f[7]),
        bool(integer(f[8]) & 2),
    )


def _outcome(f: list[str]) -> AttemptEnded:
    return AttemptEnded(
        f[0],
        integer(f[1]),
        f[2],
        one_of(RESULTS, f[3]),
        number(f[4]),
        flag(f[5]),
        number(f[6]),
        number(f[7]),
        report(f[8]),
    )


def _counter_reply(f: list[str]) -> CounterReply:
    return CounterReply(f[3], one_of(COUNTER_RESULTS, f[1]), number(f[0]), number(f[2]))


def _peer(f: list[str]) -> GossipReceived:
    try:
        return GossipReceived(integer(f[0]), bytes.fromhex("" if f[1] == "-" else f[1]))
    except ValueError:
        raise WireError(f"bad bytes {f[1]!r}") from None


# Message name: number of values after the instance (None: any), and how to read them.
READERS: dict[str, tuple[int | None, Callable[[list[str]], object]]] = {
    "OPEN_INSTANCE": (None, _open),
    "REQ": (9, _request),
    "ENDED": (9, _outcome),
    "INBOX": (2, _peer),
    "DETACH": (0, lambda f: Close()),
    "PROBE_DONE": (4, lambda f: HealthCheckEnded(f[1], one_of(RESULTS, f[2]), number(f[0]), report(f[3]))),
    "CLIENT_LEFT": (1, lambda f: ClientDisconnected(f[0])),
    "HEAD_RECEIVED": (4, lambda f: ResponseStarted(f[0], integer(f[1]))),
    "TICK_DUE": (1, lambda f: TimerFired(f[0])),
    "COUNTER_REPLY": (
        4,
        lambda f: CounterReply(f[3], one_of(COUNTER_RESULTS, f[1]), number(f[0]), number(f[2])),
    ),
}


def event(parts: list[str]) -> object:
    """One event line, split at single spaces, as an event of the model (or Open, Close)."""
    name = parts[0]
    if name not in READERS:
        raise WireError(f"unknown message {name!r}")
    count, reader = READERS[name]
    values = parts[2:]
    if len(parts) < 2 or (count is None and not values) or (count is not None and len(values) != count):
        raise WireError(f"{name}: wrong number of values")
    return reader(values)


def action(instance: str, act: Action) -> str:
    """One action as a line."""
    match act:
        case StartAttempt():
            return f"DELIVER {instance} {act.request_id} {act.timeout_ms:.3f} {act.endpoint}"
        case RejectRequest():
            return f"REFUSE {instance} {act.request_id} {act.retry_after_ms:.3f}"
        case FailRequest():
            return f"GIVE_UP {instance} {act.request_id}"
        case CancelAttempt():
            return f"UNDO_SEND {instance} {act.request_id} {act.attempt}"
        case StartTimer():
            return f"AFTER {instance} {act.delay_ms:.3f} {act.name}"
        case IncrementCounter():
            return f"ADD {instance} {act.name} {act.amount:g} {act.ttl_ms:.3f}"
        case SubscribeToEndpoints():
            return f"OBSERVE {instance} 1"
        case WriteLog():
            return f"NOTE_DOWN {instance} {' '.join(act.text.split())}"
    raise TypeError(f"not an action: {act!r}")
