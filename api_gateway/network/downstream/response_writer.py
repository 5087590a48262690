"""Serialization of responses to clients (RFC 9112)."""

from __future__ import annotations

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
REASON_PHRASES = {  # RFC 9110 section 15
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
STATUS_LINES = {status: b"HTTP/1.1 %d %b\r\n" % (status, phrase) for status, phrase in REASON_PHRASES.items()}


def serialize_response(
    status: int, body: bytes, content_type: bytes, retry_after_ms: float, keep_alive: bool
) -> bytes:
    """Return the bytes of a response.

    Args:
        status: Status code; one of the keys of `REASON_PHRASES`.
        body: Response body.
        content_type: Value of the Content-Type header; empty to omit the header.
        retry_after_ms: Time for Retry-After, in milliseconds; 0 to omit the header. It is written in seconds
            with three decimals, an extension of RFC 9110 section 10.2.3, which has whole seconds.
        keep_alive: Whether the connection stays open after the response.
    """
    parts = [STATUS_LINES[status], b"Content-Length: %d\r\n" % len(body)]
    if content_type:
        parts += (b"Content-Type: ", content_type, b"\r\n")
    if retry_after_ms > 0:
        parts.append(b"Retry-After: %.3f\r\n" % (retry_after_ms / 1000))
    parts += (b"\r\n" if keep_alive else b"Connection: close\r\n\r\n", body)
    return b"".join(parts)
