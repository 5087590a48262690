"""A stand-in for discovery, from the protocol page: whole lists, changes, watches, pushed or asked.

Where lists are pushed it plays the agent of each gateway's machine, which answers at once and at no cost.
Where they are asked for it is one service that does so many calls a second, in turn, and turns away what
would wait for too long.
"""

from __future__ import annotations

import asyncio
from collections import deque
from urllib.parse import parse_qs, urlsplit

import msgspec

from testbed.http import Call, Traffic, answer

KEPT_CHANGES = 4096  # generations that changes are told for; older ones get the whole list


class Instance(msgspec.Struct):
    """One host as discovery tells it."""

    instanceId: str  # noqa: N815 - as it stands on the wire
    hostPort: str  # noqa: N815
    zone: str
    cell: int = 0
    lifecycle: str = "ready"
    weight: float = 1.0
    startedAtMs: float = 0.0  # noqa: N815
    machineType: str = "m"  # noqa: N815


class Directory:
    """The list, its generations, and who waits for the next one."""

    def __init__(self, instances: list[Instance], calls_per_s: float = 0.0, patience_s: float = 2.0) -> None:
        """`calls_per_s`: what it can serve, 0 for an agent that answers at once; `patience_s`: the longest
        line that it takes a call into."""
        self.generation = 1
        self.instances = {i.instanceId: i for i in instances}
        self.log: deque[tuple[int, list[Instance]]] = deque(maxlen=KEPT_CHANGES)
        self.traffic = Traffic()
        self.whole = self.changes = self.empty = self.away = 0
        self.whole_bytes = 0
        self.calls_per_s, self.patience_s = calls_per_s, patience_s
        self._free_at = 0.0
        self._body: tuple[int, bytes] = (0, b"")
        self._waiting: set[tuple[Call, int]] = set()

    def handle(self, call: Call) -> None:
        """One call, answered in its turn."""
        loop = asyncio.get_running_loop()
        if not self.calls_per_s:
            self._serve(call)
            return
        now = loop.time()
        self._free_at = max(self._free_at, now) + 1 / self.calls_per_s
        if self._free_at - now > self.patience_s:
            self._free_at -= 1 / self.calls_per_s
            self.away += 1
            call.answer(answer(503))
        else:
            loop.call_at(self._free_at, self._serve, call)

    def _serve(self, call: Call) -> None:
        url = urlsplit(call.target)
        if url.path != "/v1/endpoints":
            call.answer(answer(404))
            return
        query = parse_qs(url.query)
        if "after" not in query:
            self._tell(call, None)
            return
        after, wait_ms = int(query["after"][0]), min(float(query.get("wait_ms", ["0"])[0]), 60_000.0)
        if after < self.generation:
            self._tell(call, after)
            return
        entry = (call, after)
        self._waiting.add(entry)
        asyncio.get_running_loop().call_later(wait_ms / 1000, self._expired, entry)

    def _expired(self, entry: tuple[Call, int]) -> None:
        if entry in self._waiting:
            self._waiting.discard(entry)
            self._tell(*entry)

    def _tell(self, call: Call, after: int | None) -> None:
        if not call.alive():
            return
        oldest = self.log[0][0] if self.log else self.generation + 1
        if after is None or after + 1 < oldest and after < self.generation:
            self.whole += 1
            if self._body[0] != self.generation:
                listed = [i for i in self.instances.values() if i.lifecycle != "gone"]
                self._body = (
                    self.generation,
                    answer(
                        200,
                        msgspec.json.encode(
                            {"generation": self.generation, "reset": True, "instances": listed}
                        ),
                    ),
                )
            self.whole_bytes = len(self._body[1])
            call.answer(self._body[1])
            return
        news: dict[str, Instance] = {}
        for generation, changed in self.log:
            if generation > after:
                news.update((i.instanceId, i) for i in changed)
        self.changes += bool(news)
        self.empty += not news
        call.answer(
            answer(
                200,
                msgspec.json.encode(
                    {"generation": self.generation, "reset": False, "instances": list(news.values())}
                ),
            )
        )

    def change(self, changed: list[Instance]) -> None:
        """A new generation; who waits is told."""
        self.generation += 1
        for instance in changed:
            if instance.lifecycle == "gone":
                self.instances.pop(instance.instanceId, None)
            else:
                self.instances[instance.instanceId] = instance
        self.log.append((self.generation, changed))
        waiting, self._waiting = self._waiting, set()
        for entry in waiting:
            self._tell(*entry)
