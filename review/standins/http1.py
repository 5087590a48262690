"""Messages of HTTP/1.1, as far as the stand-ins need them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

END_OF_HEAD = b"\r\n\r\n"


@dataclass
class Message:
    """A request or an answer.

    Attributes:
        first_line: The request line or the status line.
        headers: Values by name in lower case.
        body: The body.
    """

    first_line: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """Status code of an answer."""
        return int(self.first_line.split(" ")[1])

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.first_line.split(" ")[0]

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.first_line.split(" ")[1]


def parse_head(head: bytes) -> Message:
    """Parse the first line and the headers."""
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


def take_message(data: bytearray) -> Message | None:
    """Remove one whole message with a Content-Length, or without a body, from the front of `data`."""
    end = data.find(END_OF_HEAD)
    if end < 0:
        return None
    message = parse_head(bytes(data[:end]))
    start = end + len(END_OF_HEAD)
    length = int(message.headers.get("content-length", "0"))
    if len(data) < start + length:
        return None
    message.body = bytes(data[start : start + length])
    del data[: start + length]
    return message


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message with a Content-Length, or without a body.

    Raises:
        EOFError: The connection ended before the message was whole.
    """
    message = parse_head((await reader.readuntil(END_OF_HEAD))[: -len(END_OF_HEAD)])
    message.body = await reader.readexactly(int(message.headers.get("content-length", "0")))
    return message


def answer(status: int, body: bytes = b"", *headers: str) -> bytes:
    """Return the bytes of an answer."""
    lines = [f"HTTP/1.1 {status} Answer", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + END_OF_HEAD + body
