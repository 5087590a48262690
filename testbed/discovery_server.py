"""Emulator of service discovery, with full endpoint lists, lists of changes and long polls.

Without a limit on its calls, the server emulates the discovery agents on the machines of the gateways, which
respond at once. With a limit, it emulates one service for the whole fleet. That service processes calls one
after another, and rejects a call that would wait too long for its turn.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

import msgspec

from testbed.http_server import Request, TrafficStatistics, encode_response

ENDPOINTS_PATH = "/v1/endpoints"
MAX_RETAINED_CHANGES = 4096  # a poll with a generation before the retained ones gets the full list
MAX_LONG_POLL_MS = 60_000.0
LIFECYCLE_GONE = "gone"


class Instance(msgspec.Struct):
    """One endpoint of the list; the field names are the keys of the discovery protocol.

    Attributes:
        instanceId: Unique id of the endpoint.
        hostPort: Address as HOST:PORT.
        zone: Zone of the endpoint.
        cell: Number of the endpoint's failure domain.
        lifecycle: "ready", "draining" or "gone".
        weight: Load balancing weight.
        startedAtMs: Unix time of the endpoint's start, in milliseconds.
        machineType: Type of the endpoint's machine.
    """

    instanceId: str  # noqa: N815 - key of the discovery protocol
    hostPort: str  # noqa: N815
    zone: str
    cell: int = 0
    lifecycle: str = "ready"
    weight: float = 1.0
    startedAtMs: float = 0.0  # noqa: N815
    machineType: str = "m"  # noqa: N815


class _EndpointList(msgspec.Struct):
    generation: int
    reset: bool  # True for the full list, False for a list of changes
    instances: list[Instance]


class _Change(NamedTuple):
    generation: int
    instances: list[Instance]


@dataclass(eq=False, frozen=True, slots=True)
class _LongPoll:
    request: Request
    known_generation: int


class DiscoveryServer:
    """The endpoint list, its generations and the open long polls.

    Attributes:
        generation: Generation of the endpoint list.
        instances: The current endpoints, by id.
        traffic: Counts of requests, bytes and connections.
        full_lists_sent: Number of responses with the full list.
        change_lists_sent: Number of responses with changes.
        empty_lists_sent: Number of responses without any change.
        rejected_calls: Number of calls that got status 503.
        full_list_bytes: Size of the full list that was sent last, in bytes.
    """

    def __init__(
        self, instances: list[Instance], calls_per_s: float = 0.0, max_queue_delay_s: float = 2.0
    ) -> None:
        """Initialize the server.

        Args:
            instances: The endpoints of the first generation.
            calls_per_s: Calls per second that the server processes; 0 to process each call at once.
            max_queue_delay_s: Longest time from the arrival of a call to the end of its processing, in
                seconds; a call that would take longer is rejected. Used only with a limit on the calls.
        """
        self.generation = 1
        self.instances = {instance.instanceId: instance for instance in instances}
        self.traffic = TrafficStatistics()
        self.full_lists_sent = 0
        self.change_lists_sent = 0
        self.empty_lists_sent = 0
        self.rejected_calls = 0
        self.full_list_bytes = 0
        self._calls_per_s, self._max_queue_delay_s = calls_per_s, max_queue_delay_s
        self._busy_until = 0.0
        self._changes: deque[_Change] = deque(maxlen=MAX_RETAINED_CHANGES)
        self._full_response = b""
        self._full_response_generation = 0
        self._long_polls: set[_LongPoll] = set()

    def handle(self, request: Request) -> None:
        """Process one call, queue it, or reject it with status 503 if the queue is too long."""
        if not self._calls_per_s:
            self._process(request)
            return
        loop = asyncio.get_running_loop()
        now = loop.time()
        done_at = max(self._busy_until, now) + 1 / self._calls_per_s
        if done_at - now > self._max_queue_delay_s:
            self._busy_until = done_at - 1 / self._calls_per_s
            self.rejected_calls += 1
            request.respond(encode_response(503))
            return
        self._busy_until = done_at
        loop.call_at(done_at, self._process, request)

    def publish_changes(self, changed: list[Instance]) -> None:
        """Publish a new generation of the endpoint list, and respond to all open long polls.

        Args:
            changed: New and changed instances, and removed ones with the lifecycle "gone".
        """
        self.generation += 1
        for instance in changed:
            if instance.lifecycle == LIFECYCLE_GONE:
                self.instances.pop(instance.instanceId, None)
            else:
                self.instances[instance.instanceId] = instance
        self._changes.append(_Change(self.generation, changed))
        long_polls, self._long_polls = self._long_polls, set()
        for long_poll in long_polls:
            self._send_changes(long_poll.request, long_poll.known_generation)

    def has_long_polls(self) -> bool:
        """Return whether at least one long poll is open."""
        return bool(self._long_polls)

    def _process(self, request: Request) -> None:
        url = urlsplit(request.target)
        if url.path != ENDPOINTS_PATH:
            request.respond(encode_response(404))
            return
        query = parse_qs(url.query)
        if "after" not in query:
            self._send_full_list(request)
            return
        known_generation = int(query["after"][0])
        wait_ms = min(float(query.get("wait_ms", ["0"])[0]), MAX_LONG_POLL_MS)
        if known_generation < self.generation:
            self._send_changes(request, known_generation)
            return
        long_poll = _LongPoll(request, known_generation)
        self._long_polls.add(long_poll)
        asyncio.get_running_loop().call_later(wait_ms / 1000, self._long_poll_timed_out, long_poll)

    def _long_poll_timed_out(self, long_poll: _LongPoll) -> None:
        if long_poll in self._long_polls:
            self._long_polls.discard(long_poll)
            self._send_changes(long_poll.request, long_poll.known_generation)

    def _send_full_list(self, request: Request) -> None:
        if not request.is_connected():
            return
        self.full_lists_sent += 1
        if self._full_response_generation != self.generation:
            instances = [i for i in self.instances.values() if i.lifecycle != LIFECYCLE_GONE]
            self._full_response = self._encode_list(reset=True, instances=instances)
            self._full_response_generation = self.generation
        self.full_list_bytes = len(self._full_response)
        request.respond(self._full_response)

    def _send_changes(self, request: Request, known_generation: int) -> None:
        if not request.is_connected():
            return
        oldest_generation = self._changes[0].generation if self._changes else self.generation + 1
        if known_generation + 1 < oldest_generation and known_generation < self.generation:
            self._send_full_list(request)
            return
        changed: dict[str, Instance] = {}
        for change in self._changes:
            if change.generation > known_generation:
                changed.update((instance.instanceId, instance) for instance in change.instances)
        if changed:
            self.change_lists_sent += 1
        else:
            self.empty_lists_sent += 1
        request.respond(self._encode_list(reset=False, instances=list(changed.values())))

    def _encode_list(self, *, reset: bool, instances: list[Instance]) -> bytes:
        endpoint_list = _EndpointList(self.generation, reset, instances)
        return encode_response(200, msgspec.json.encode(endpoint_list))
