"""Reading and writing of HTTP/1.1 messages for the stand-ins."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


@dataclass(slots=True)
class Message:
    """One request or response.

    Attributes:
        start_line: Request line or status line.
        headers: Header values by name in lower case.
        body: The body.
    """

    start_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status code of a response."""
        return int(self.start_line.split()[1])

    @property
    def target(self) -> str:
        """Target of a request."""
        return self.start_line.split()[1]

    @property
    def request_id(self) -> str:
        """Value of X-Request-Id."""
        return self.headers.get("x-request-id", "")


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one complete message whose length is given by Content-Length.

    Raises:
        asyncio.IncompleteReadError: The connection ended before the message did.
        ConnectionError: The connection was reset.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    start_line, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Message(start_line, headers, body)


def response(body: bytes = b"", status: int = 200, headers: str = "") -> bytes:
    """Return the bytes of a response.

    Args:
        body: The body.
        status: Status code.
        headers: Further header lines, each with its CRLF.
    """
    reason = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}.get(status, "Other")
    return f"HTTP/1.1 {status} {reason}\r\n{headers}Content-Length: {len(body)}\r\n\r\n".encode() + body
