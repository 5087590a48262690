"""The requests of the clients."""

from __future__ import annotations

METHODS = {"menu-read": "GET", "order-place": "POST"}


def request(
    request_id: str, class_name: str, *, deadline_ms: int, tenant: int = 0xB4D65521, body: bytes = b""
) -> bytes:
    """Return the bytes of a request.

    Args:
        request_id: Value of X-Request-Id.
        class_name: Its class.
        deadline_ms: Time for which the client waits, in milliseconds.
        tenant: The customer.
        body: The body of an `order-place`.
    """
    method = METHODS[class_name]
    head = (
        f"{method} /api/{tenant:016x} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {request_id}\r\n"
        f"X-Class: {class_name}\r\nPlan: stredni\r\nX-Deadline: {deadline_ms}m\r\n"
        "Quota-Info: units=1,spread=1,first=0\r\n"
    )
    if method == "POST":
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body
