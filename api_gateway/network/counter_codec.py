"""Codec of the counter's wire: the request of an increment, and the total that answers it."""

from __future__ import annotations

from api_gateway.model.actions import IncrementCounter
from api_gateway.network.response_parser import Response, parse_decimal

STATUSES_WITHOUT_INCREMENT = frozenset((400, 404, 503))  # the counter has added nothing


def encode_increment(action: IncrementCounter) -> bytes:
    """Return the request that adds to a count."""
    ttl_ms = max(1, round(action.ttl_ms))
    return (
        f"POST /v1/count/{action.name}?add={_format_decimal(action.amount)}&ttl_ms={ttl_ms}"
        " HTTP/1.1\r\nHost: counter\r\nContent-Length: 0\r\n\r\n"
    ).encode()


def decode_counter_value(response: Response) -> float | None:
    """Return the total of the count after the increment; None if the response has none."""
    return parse_decimal(response.body.strip()) if response.status == 200 else None


def _format_decimal(amount: float) -> str:
    """Return a number as decimal digits, without an exponent, which the counter does not accept."""
    return f"{amount:.6f}".rstrip("0").rstrip(".")
