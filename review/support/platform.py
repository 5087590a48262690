"""Stand-ins for discovery (an agent on the gateway's machine) and for the counter."""

from __future__ import annotations

import asyncio
import json
from urllib.parse import parse_qs, urlsplit

from review.support.http import Message, read_message, response

LOOPBACK = "127.0.0.1"


class HttpServer:
    """Listens on a free port, and answers the requests of each connection one after another.

    Attributes:
        port: The port; set by `start`.
    """

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """The address as HOST:PORT."""
        return f"{LOOPBACK}:{self.port}"

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, LOOPBACK, 0, backlog=1024)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection, in order."""
        while True:
            request = await read_message(reader)
            writer.write(await self.answer(request))

    async def answer(self, request: Message) -> bytes:
        """Return the response to a request."""
        raise NotImplementedError


class Discovery(HttpServer):
    """The list of hosts, with watches.

    Attributes:
        instances: The entries of the list by instance id.
    """

    def __init__(self) -> None:
        super().__init__()
        self.instances: dict[str, dict[str, object]] = {}
        self._generation = 1
        self._changed_in: dict[str, int] = {}
        self._change = asyncio.Condition()

    def add(self, name: str, port: int, zone: str = "hall-a") -> None:
        """Add a ready host before the start."""
        self.instances[name] = {
            "instanceId": name,
            "hostPort": f"{LOOPBACK}:{port}",
            "zone": zone,
            "machineType": "std-3core",
            "cell": 0,
            "lifecycle": "ready",
            "weight": 1.0,
            "startedAtMs": 0,
        }
        self._changed_in[name] = self._generation

    def whole_list(self) -> dict[str, object]:
        """Return the whole list as on the wire."""
        return {"generation": self._generation, "reset": True, "instances": list(self.instances.values())}

    async def answer(self, request: Message) -> bytes:
        """Answer a call: the whole list, or the changes once there are any or the wait is over."""
        query = parse_qs(urlsplit(request.target).query)
        if "after" not in query:
            return response(json.dumps(self.whole_list()).encode())
        after, wait_s = int(query["after"][0]), min(float(query["wait_ms"][0]), 60_000.0) / 1000
        async with self._change:
            try:
                async with asyncio.timeout(wait_s):
                    await self._change.wait_for(lambda: self._generation > after)
            except TimeoutError:
                pass
        changed = [entry for name, entry in self.instances.items() if self._changed_in[name] > after]
        body = {"generation": self._generation, "reset": False, "instances": changed}
        return response(json.dumps(body).encode())


class Counter(HttpServer):
    """Keeps numbers by name, as the protocol page says; it is never crowded."""

    def __init__(self) -> None:
        super().__init__()
        self._counts: dict[str, tuple[float, float]] = {}

    async def answer(self, request: Message) -> bytes:
        """Add an amount, and return the total."""
        url = urlsplit(request.target)
        name, query = url.path.removeprefix("/v1/count/"), parse_qs(url.query)
        now = asyncio.get_running_loop().time()
        total, ends_at = self._counts.get(name, (0.0, -1.0))
        if now >= ends_at:
            total, ends_at = 0.0, now + min(float(query["ttl_ms"][0]), 60_000.0) / 1000
        total += float(query["add"][0])
        self._counts[name] = (total, ends_at)
        return response(f"{total:.7g}".encode())
