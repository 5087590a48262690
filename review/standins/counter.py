"""The counter: numbers by name."""

from __future__ import annotations

import asyncio
import time
from urllib.parse import parse_qs, urlsplit

from review.standins.http1 import answer, read_message


class Counter:
    """Adds amounts to named numbers.

    Attributes:
        port: Port that it listens on.
    """

    def __init__(self) -> None:
        self.port = 0
        self._numbers: dict[str, tuple[float, float]] = {}  # total, and when the name is forgotten
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await read_message(reader)
                url = urlsplit(request.target)
                query = parse_qs(url.query)
                total = self._add(url.path, float(query["add"][0]), float(query["ttl_ms"][0]))
                writer.write(answer(200, f"{total:.7g}".encode()))
                await writer.drain()
        except (EOFError, OSError):
            pass
        finally:
            writer.close()

    def _add(self, name: str, amount: float, ttl_ms: float) -> float:
        now = time.monotonic()
        total, ends_at = self._numbers.get(name, (0.0, 0.0))
        if now >= ends_at:
            total, ends_at = 0.0, now + min(ttl_ms, 60000.0) / 1000
        self._numbers[name] = (total + amount, ends_at)
        return total + amount

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()
