"""Discovery agent: the whole list, changes, and watches."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from contextlib import suppress
from urllib.parse import parse_qs, urlsplit

from review.standins.http1 import answer, read_message

MAX_WAIT_S = 60.0


def instance(name: str, port: int, zone: str = "hall-a", lifecycle: str = "ready") -> dict[str, object]:
    """Return the entry of a host that listens on a port of 127.0.0.1."""
    return {
        "instanceId": name,
        "hostPort": f"127.0.0.1:{port}",
        "zone": zone,
        "machineType": "std-3core",
        "cell": 0,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": 0,
    }


class Discovery:
    """The list of hosts, and the agent that tells it.

    Attributes:
        port: Port that the agent listens on.
        generation: Version of the list.
        encode: Returns the bytes of an answer with a body, and whether the connection ends after them.
    """

    def __init__(self, instances: list[dict[str, object]]) -> None:
        self.generation = 1
        self.port = 0
        self.encode: Callable[[bytes], tuple[bytes, bool]] = lambda body: (answer(200, body), False)
        self._instances = {str(entry["instanceId"]): entry for entry in instances}
        self._changed_in: dict[str, int] = {}
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def known(self) -> dict[str, object]:
        """Return the whole list."""
        entries = [entry for entry in self._instances.values() if entry["lifecycle"] != "gone"]
        return {"generation": self.generation, "reset": True, "instances": entries}

    def change(self, *entries: dict[str, object]) -> None:
        """Publish changed entries."""
        self.generation += 1
        for entry in entries:
            self._instances[str(entry["instanceId"])] = entry
            self._changed_in[str(entry["instanceId"])] = self.generation
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await read_message(reader)
                query = parse_qs(urlsplit(request.target).query)
                body = json.dumps(await self._list_for(query)).encode()
                data, ends = self.encode(body)
                writer.write(data)
                await writer.drain()
                if ends:
                    break
        except (EOFError, OSError):
            pass
        finally:
            writer.close()

    async def _list_for(self, query: dict[str, list[str]]) -> dict[str, object]:
        if "after" not in query:
            return self.known()
        after = int(query["after"][0])
        if after >= self.generation:
            wait_s = min(float(query.get("wait_ms", ["0"])[0]) / 1000, MAX_WAIT_S)
            with suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), wait_s)
        entries = [self._instances[name] for name, version in self._changed_in.items() if version > after]
        return {"generation": self.generation, "reset": False, "instances": entries}

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()
