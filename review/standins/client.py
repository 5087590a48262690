"""A client: one connection, one request at a time."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from dataclasses import dataclass

from review.standins.http1 import Message, read_message
from review.standins.record import Record

_rng = random.SystemRandom()
_numbers = itertools.count(1)


def new_id() -> str:
    """Return a fresh X-Request-Id."""
    return f"{next(_numbers):04x}{_rng.getrandbits(48):012x}"


def encode_request(
    request_id: str,
    request_class: str = "menu-read",
    customer: int = 0xB4D65521,
    plan: str = "zakladni",
    deadline_ms: int = 8000,
    units: int = 1,
    spread: int = 1,
    first: int = 0,
    body: bytes = b"order",
) -> bytes:
    """Return the bytes of a request, as the protocol page has it."""
    is_read = request_class == "menu-read"
    lines = [
        f"{'GET' if is_read else 'POST'} /api/{customer:016x} HTTP/1.1",
        "Host: origin.svc",
        f"X-Request-Id: {request_id}",
        f"X-Class: {request_class}",
        f"Plan: {plan}",
        f"X-Deadline: {deadline_ms}m",
        f"Quota-Info: units={units},spread={spread},first={first}",
    ]
    if not is_read:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + (b"" if is_read else body)


@dataclass
class Outcome:
    """How a request ended for its client.

    Attributes:
        request_id: Its id.
        answer: The whole answer; None if the connection ended without one, or no answer came in time.
        sent_at: When its last byte was written, in s of `time.monotonic`.
        ended_at: When the last byte of the answer came, or the wait ended.
    """

    request_id: str
    answer: Message | None
    sent_at: float
    ended_at: float

    @property
    def status(self) -> int:
        """Status of the answer; 0 without one."""
        return self.answer.status if self.answer is not None else 0


class Client:
    """A client that keeps its connection, and opens another one when that has ended."""

    def __init__(self, port: int, record: Record) -> None:
        self._port = port
        self._record = record
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def ask(self, request_id: str, data: bytes, wait_s: float = 12.0) -> Outcome:
        """Send a request and wait for its answer.

        A connection that the gateway has closed between two requests is replaced, and the request is sent
        once more on a new one.
        """
        is_kept = self._streams is not None
        outcome = await self._ask_once(request_id, data, wait_s)
        if outcome.answer is None and is_kept and outcome.ended_at - outcome.sent_at < wait_s:
            self._record.write("client", f"{request_id} sent once more on a new connection")
            outcome = await self._ask_once(request_id, data, wait_s)
        self._record.write(
            "client", f"{request_id} ended status={outcome.status} body={_body_text(outcome.answer)}"
        )
        return outcome

    async def _ask_once(self, request_id: str, data: bytes, wait_s: float) -> Outcome:
        sent_at = time.monotonic()
        message: Message | None = None
        try:
            if self._streams is None:
                self._streams = await asyncio.open_connection("127.0.0.1", self._port)
            reader, writer = self._streams
            writer.write(data)
            sent_at = time.monotonic()
            self._record.write("client", f"{request_id} sent {data.split(b' HTTP', 1)[0].decode()}")
            message = await asyncio.wait_for(read_message(reader), wait_s)
            if message.headers.get("connection", "").lower() == "close":
                self.close()
        except (OSError, EOFError, TimeoutError):
            self.close()
        return Outcome(request_id, message, sent_at, time.monotonic())

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


def _body_text(message: Message | None) -> str:
    return repr(message.body[:80].decode("latin-1")) if message is not None else "none"


async def ask_at_once(
    port: int, requests: list[tuple[str, bytes]], record: Record, wait_s: float
) -> list[Outcome]:
    """Send all requests at once on a new connection, and read their answers in order.

    Args:
        port: Port of the gateway.
        requests: The id and the bytes of each request.
        record: Record of the case.
        wait_s: How long to wait for all answers.

    Returns:
        How each request ended.
    """
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"".join(data for _, data in requests))
    sent_at = time.monotonic()
    record.write("client", f"sent at once: {' '.join(request_id for request_id, _ in requests)}")
    outcomes: list[Outcome] = []
    try:
        for request_id, _ in requests:
            left_s = sent_at + wait_s - time.monotonic()
            message = await asyncio.wait_for(read_message(reader), max(left_s, 0.001))
            outcomes.append(Outcome(request_id, message, sent_at, time.monotonic()))
            text = f"status={message.status} body={_body_text(message)}"
            record.write("client", f"{request_id} ended {text}")
    except (OSError, EOFError, TimeoutError) as error:
        record.write("client", f"the connection ended: {type(error).__name__}")
    finally:
        writer.close()
    for request_id, _ in requests[len(outcomes) :]:
        outcomes.append(Outcome(request_id, None, sent_at, time.monotonic()))
        record.write("client", f"{request_id} ended without an answer")
    return outcomes
