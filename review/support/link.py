"""A proxy that delays what passes, as the network between two halls does."""

from __future__ import annotations

import asyncio
import random

from review.support.platform import LOOPBACK, HttpServer

CHUNK_BYTES = 65536


class Link(HttpServer):
    """Passes the bytes between a gateway and one host on, in order, each after the time that the way takes.

    Args:
        host: The host, which has started when the link is used.
        one_way_ms: Shortest and longest time of the way there or back, in milliseconds.
        rng: Source of the random draws.
    """

    def __init__(self, host: HttpServer, one_way_ms: tuple[float, float], rng: random.Random) -> None:
        super().__init__()
        self._host = host
        self._one_way_ms = one_way_ms
        self._rng = rng

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Connect to the host, and pass bytes on until one side ends its connection."""
        host_reader, host_writer = await asyncio.open_connection(LOOPBACK, self._host.port)
        ways = [
            asyncio.create_task(self._pass_on(reader, host_writer)),
            asyncio.create_task(self._pass_on(host_reader, writer)),
        ]
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for way in ways:
                way.cancel()
            await asyncio.gather(*ways, return_exceptions=True)
            host_writer.close()

    async def _pass_on(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        last_at = 0.0
        while data := await reader.read(CHUNK_BYTES):
            last_at = max(last_at, loop.time() + self._rng.uniform(*self._one_way_ms) / 1000)
            loop.call_at(last_at, _write, writer, data)
        await asyncio.sleep(max(last_at - loop.time(), 0.0))


def _write(writer: asyncio.StreamWriter, data: bytes) -> None:
    if not writer.is_closing():
        writer.write(data)
