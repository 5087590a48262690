"""Encoding of gateway actions as output lines for the simulator."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

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


def _encode_start_attempt(gateway_name: str, action: StartAttempt) -> str:
    return f"DELIVER {gateway_name} {action.request_id} {action.timeout_ms:.3f} {action.endpoint}"


def _encode_reject_request(gateway_name: str, action: RejectRequest) -> str:
    return f"REFUSE {gateway_name} {action.request_id} {action.retry_after_ms:.3f}"


def _encode_fail_request(gateway_name: str, action: FailRequest) -> str:
    return f"GIVE_UP {gateway_name} {action.request_id}"


def _encode_cancel_attempt(gateway_name: str, action: CancelAttempt) -> str:
    return f"UNDO_SEND {gateway_name} {action.request_id} {action.attempt}"


def _encode_start_timer(gateway_name: str, action: StartTimer) -> str:
    return f"AFTER {gateway_name} {action.delay_ms:.3f} {action.name}"


def _encode_increment_counter(gateway_name: str, action: IncrementCounter) -> str:
    return f"ADD {gateway_name} {action.name} {action.amount:g} {action.ttl_ms:.3f}"


def _encode_subscribe(gateway_name: str, action: SubscribeToEndpoints) -> str:
    return f"OBSERVE {gateway_name} 1"


def _encode_write_log(gateway_name: str, action: WriteLog) -> str:
    return f"NOTE_DOWN {gateway_name} {' '.join(action.text.split())}"


ACTION_ENCODERS: dict[type, Callable[[str, Any], str]] = {
    StartAttempt: _encode_start_attempt,
    RejectRequest: _encode_reject_request,
    FailRequest: _encode_fail_request,
    CancelAttempt: _encode_cancel_attempt,
    StartTimer: _encode_start_timer,
    IncrementCounter: _encode_increment_counter,
    SubscribeToEndpoints: _encode_subscribe,
    WriteLog: _encode_write_log,
}


def encode_action(gateway_name: str, action: Action) -> str:
    """Return the line for an action of a gateway.

    Raises:
        TypeError: The object is not an action.
    """
    encoder = ACTION_ENCODERS.get(type(action))
    if encoder is None:
        raise TypeError(f"not an action: {action!r}")
    return encoder(gateway_name, action)


def encode_failure(gateway_name: str, error_name: str, text: str) -> str:
    """Return the line that reports an error in one gateway."""
    return f"BROKEN {gateway_name} {error_name}: {text}"
