"""Decoding of values in the simulator's input: numbers, flags, enum values and load reports."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeVar

from api_gateway.errors import MalformedLineError
from api_gateway.model.endpoints import EndpointStatus, UpdateKind
from api_gateway.model.results import AttemptResult, CounterResult
from api_gateway.settings_codec import parse_number

ATTEMPT_RESULTS = {
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
UPDATE_KINDS = {
    "Partial": UpdateKind.CHANGES,
    "Complete": UpdateKind.FULL,
    "Persisted": UpdateKind.CACHED,
    "Error": UpdateKind.FAILED,
}
ENDPOINT_STATUSES = {
    "up": EndpointStatus.UP,
    "draining": EndpointStatus.DRAINING,
    "removed": EndpointStatus.REMOVED,
}

Value = TypeVar("Value")


def decode_number(text: str) -> float:
    """Convert a text to a finite number; `-`, which stands for an absent value, gives 0.

    Raises:
        MalformedLineError: The text is not a finite number.
    """
    try:
        return parse_number(text)
    except ValueError as error:
        raise MalformedLineError(str(error)) from None


def decode_integer(text: str) -> int:
    """Convert a text to a whole number; `-`, which stands for an absent value, gives 0.

    Raises:
        MalformedLineError: The text is not a whole number.
    """
    if text == "-":
        return 0
    try:
        return int(text)
    except ValueError:
        raise MalformedLineError(f"{text!r} is not a whole number") from None


def decode_flag(text: str) -> bool:
    """Convert 1 to true, and 0 or `-` to false.

    Raises:
        MalformedLineError: The text is none of these.
    """
    if text not in ("0", "1", "-"):
        raise MalformedLineError(f"flag {text!r} is not one of 0, 1 and -")
    return text == "1"


def decode_enum(members: Mapping[str, Value], text: str) -> Value:
    """Return the enum member that a text stands for.

    Args:
        members: Enum members by text.
        text: The text.

    Raises:
        MalformedLineError: No member has this text.
    """
    if text not in members:
        raise MalformedLineError(f"{text!r} is not one of {', '.join(members)}")
    return members[text]


def decode_load_report(text: str) -> dict[str, float]:
    """Convert `name:value` pairs, separated by commas, to numbers by name; `-` gives none.

    Raises:
        MalformedLineError: A pair does not have this form.
    """
    values: dict[str, float] = {}
    if text == "-":
        return values
    for pair in text.split(","):
        name, colon, value = pair.partition(":")
        if not colon:
            raise MalformedLineError(f"load report {text!r} is not of the form NAME:VALUE,NAME:VALUE...")
        values[name] = decode_number(value)
    return values
