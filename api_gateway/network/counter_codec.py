"""Encodes the requests to the counter and decodes its responses."""

from __future__ import annotations

from api_gateway.model.actions import IncrementCounter
from api_gateway.network.response_parser import Response, parse_decimal

# Status codes that guarantee that the counter has not added the amount.
STATUSES_WITHOUT_INCREMENT = frozenset((400, 404, 503))


def encode_increment(action: IncrementCounter) -> bytes:
    """Return the HTTP request that adds an amount to a count."""
    ttl_ms = max(1, round(action.ttl_ms))
    return (
        f"POST /v1/count/{action.name}?add={_format_decimal(action.amount)}&ttl_ms={ttl_ms}"
        " HTTP/1.1\r\nHost: counter\r\nContent-Length: 0\r\n\r\n"
    ).encode()


def decode_counter_value(response: Response) -> float | None:
    """Return the counter value after the increment, or None if the response has none."""
    return parse_decimal(response.body.strip()) if response.status == 200 else None


def _format_decimal(amount: float) -> str:
    """Format a number with at most six decimals and no exponent, as the counter accepts no exponents."""
    return f"{amount:.6f}".rstrip("0").rstrip(".")
