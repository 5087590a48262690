"""Discovery: a watch on the list of hosts that outlives whatever the agent does."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass

from api_gateway.model.endpoints import Endpoint, EndpointStatus
from api_gateway.network.response_parser import LONGEST_LIST, Response, ResponseProtocol

log = logging.getLogger(__name__)

# A change counts as told 6 s after discovery had it and could be reached, whatever came before. So a watch,
# and a call with the rest after it, take ROUND_S at most, and what is asked next is dialled and answered (or
# given up) within DIAL_S + CALL_S: 2.8 + 0.1 + 0.6 + 2.2 = 5.7 s from the worst moment on, however large the
# fleet.
ROUND_S = 2.8  # from the begin of one call to that of the next, where discovery must be asked
DIAL_S = 0.6  # how long a dial to it may take
CALL_S = 2.2  # how long an answer may take that discovery has to work for, with others in its line
WAIT_MS = 2000  # how long a call may wait there, and where an agent on this machine answers
WHOLE_S = 30.0  # how long a whole list may take while more of it comes: no other call would be quicker
PROGRESS_S = 0.6  # how long nothing of it may come meanwhile
OVERDUE_S = 0.6  # how long an answer may be overdue where a wait has ended
CATCH_UP_MS = 1  # the first wait after a list of unknown age: its answer comes at once, also with no news
AGENT_S = 0.2  # overdue with the agent, which answers at once: what it has counts as told, asked or not
GRACE_S = 0.002  # a turn of the loop or two, in which what has arrived is read before it counts as missing
BACKOFF_S = 0.05
REST_S = 0.1  # a rest that a round always has room for; a call to the agent is free: the longest after one
STATES = {
    "ready": EndpointStatus.UP,
    "draining": EndpointStatus.DRAINING,
    "gone": EndpointStatus.REMOVED,
}


@dataclass(slots=True, frozen=True)
class EndpointList:
    """One answer of discovery: hosts by instance id, and where to dial them."""

    generation: int
    whole: bool
    endpoints: tuple[Endpoint, ...]
    addresses: dict[str, tuple[str, int]]


def parse_endpoint_list(raw: object) -> EndpointList:
    """Discovery's JSON as a `Listing`; ValueError where it is not one."""
    if not isinstance(raw, dict) or not isinstance(raw.get("instances"), list):
        raise ValueError("is no list of instances")
    generation = raw.get("generation")
    if not isinstance(generation, int) or isinstance(generation, bool):
        raise ValueError(f"generation {generation!r} is not a whole number")
    servers, addresses = [], {}
    for entry in raw["instances"]:
        server, address = _instance(entry)
        servers.append(server)
        if address is not None:
            addresses[server.name] = address
    return EndpointList(generation, bool(raw.get("reset")), tuple(servers), addresses)


def _instance(entry: object) -> tuple[Endpoint, tuple[str, int] | None]:
    if not isinstance(entry, dict) or not isinstance(entry.get("instanceId"), str) or not entry["instanceId"]:
        raise ValueError("an instance without instanceId")
    name = entry["instanceId"]
    # Guards against a state that a later discovery may add: what is not known to be ready gets no new work.
    status = STATES.get(entry.get("lifecycle"), EndpointStatus.DRAINING)
    host, _, port = str(entry.get("hostPort", "")).rpartition(":")
    if status is not EndpointStatus.REMOVED and not (
        host and port.isascii() and port.isdigit() and int(port) < 65536
    ):
        raise ValueError(f"{name}: hostPort {entry.get('hostPort')!r} is not HOST:PORT")
    try:
        # The module's clock is Unix time in milliseconds, so startedAtMs needs no more than reading.
        server = Endpoint(
            name,
            str(entry.get("zone", "")),
            int(entry.get("cell", 0)),
            status,
            float(entry.get("weight", 1.0)),
            float(entry.get("startedAtMs", 0)),
        )
    except (TypeError, ValueError):
        raise ValueError(f"{name}: cell, weight or startedAtMs is not a number") from None
    return server, ((host.strip("[]"), int(port)) if status is not EndpointStatus.REMOVED else None)


class DiscoveryWatch:
    """Keeps one watch going and hands on each answer.

    A gateway that has a list asks for what has changed since: discovery pays for each line that it sends, and
    whole lists for a fleet that starts at once are what overbooks it. What fails is tried again after a
    backoff with full jitter. Otherwise gateways that start or lose discovery together would retry in step
    for good, find its line full each time, and each learn of drains and new hosts never.

    A watch that has fallen silent looks like one that has no news, so it waits for so short a time that
    silence is found out, and what it missed asked for, within the 6 s after which a change counts as told.
    What was silent or broken is followed by a call that does not wait: its silence shows at once.

    What this asks of discovery for a fleet of N: N / 2 waits a second, and after an outage N answers within
    5.6 s (36 a second for 200 gateways, 120 for 670). One that serves fewer cannot tell all in time.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        told: Callable[[EndpointList], None],
        rng: random.Random,
        known: int | None = None,
        spread_s: float = 0.0,
    ) -> None:
        """`known`: the generation of the list that is known; `spread_s`: what the calls of the whole fleet
        take of discovery, over which the first ones and those turned away are spread."""
        self._spread_s = spread_s
        self._pushed = not spread_s  # an agent on this machine has the list
        self._loop, self._address, self._told, self._rng = loop, address, told, rng
        self._generation = known  # None: the whole list is wanted
        self._fresh = False  # the last call was answered, on from that generation
        self._silent = False  # the last call was not answered: said once
        self._connection: _Watch | None = None
        self._dial: asyncio.Task | None = None
        self._timer: asyncio.TimerHandle | None = None  # the end of our patience, or of a rest
        self._failures = self._turned_away = 0
        self._began = 0.0  # when the last call was begun, with its dial
        self._taken = 0  # bytes of its answer that had come when its silence was last looked at
        self._stopped = False

    def start(self) -> None:
        """Ask for what is new, or for the whole list if none is known; then for what changes."""
        if self._generation is None or not self._spread_s:
            self._ask()
        else:
            self._timer = self._loop.call_later(self._spread_s * self._rng.random(), self._ask)

    def stop(self) -> None:
        """End the watch for good."""
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
        if self._dial is not None:
            self._dial.cancel()
        if self._connection is not None:
            self._connection.drop()

    def move(self, address: tuple[str, int]) -> None:
        """Watch at another address, from the whole list on; the list is kept until that has come."""
        if self._stopped:
            return
        connection, dial, self._connection, self._dial = self._connection, self._dial, None, None
        if dial is not None:
            dial.cancel()
        if connection is not None:
            connection.drop()
        self._address, self._generation, self._failures, self._fresh = address, None, 0, False
        self._ask()

    def _ask(self) -> None:
        if self._stopped:
            return
        self._began, self._taken = self._loop.time(), 0
        if self._connection is not None:
            self._write(self._connection)
            return
        self._watch_silence(AGENT_S if self._pushed else DIAL_S)
        self._dial = self._loop.create_task(
            self._loop.create_connection(lambda: _Watch(self), *self._address)
        )
        self._dial.add_done_callback(self._dialled)

    def _dialled(self, task: asyncio.Task) -> None:
        failed = task.cancelled() or task.exception() is not None
        if task is not self._dial:  # the watch has moved on meanwhile
            if not failed:
                task.result()[1].drop()
            return
        self._dial = None
        if failed:
            self._retry()
            return
        self._connection = task.result()[1]
        if self._connection.closed:  # it broke before this turn of the loop, and was lost to nobody
            self.lost(self._connection)
        else:
            self._write(self._connection)

    def _write(self, connection: _Watch) -> None:
        wait_ms = CATCH_UP_MS
        if self._fresh:
            wait_ms = WAIT_MS
        query = "" if self._generation is None else f"?after={self._generation}&wait_ms={wait_ms}"
        self._watch_silence(self._patience_s(wait_ms))
        connection.write(f"GET /v1/endpoints{query} HTTP/1.1\r\nHost: discovery\r\n\r\n".encode())

    def _patience_s(self, wait_ms: float) -> float:
        """How long a call that may wait so long is waited for."""
        if self._pushed:
            return wait_ms / 1000 + AGENT_S
        # A call that does not wait stands in discovery's line; one whose wait has ended was served before.
        return wait_ms / 1000 + OVERDUE_S if wait_ms > CATCH_UP_MS else CALL_S

    def _watch_silence(self, seconds: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(seconds, self._overdue)

    def _overdue(self) -> None:
        # Guards against our own stall: the answer may be here and unread.
        self._timer = self._loop.call_later(GRACE_S, self._given_up)

    def _given_up(self) -> None:
        if self._comes_in():
            self._watch_silence(PROGRESS_S)
            return
        # Guards against an agent that is silent for good: without this the watch would hang on one socket.
        if not self._silent:
            log.warning("discovery: no answer, asking again; the list is kept")
        self._silent, self._fresh = True, False
        if self._dial is not None:
            self._dial.cancel()
        elif self._connection is not None:
            self._connection.drop()

    def _comes_in(self) -> bool:
        """Whether more of a whole list has come since this was asked last. A long one takes its time."""
        if self._connection is None or self._generation is not None:
            return False
        before, self._taken = self._taken, self._connection.taken()
        return self._taken > before and self._loop.time() < self._began + WHOLE_S

    def replied(self, connection: _Watch, reply: Response, reusable: bool) -> None:
        """An answer: hand it on and ask for what comes next at once."""
        if connection is not self._connection:
            return
        if reply.status != 200:
            # Turned away: nothing was missed that the same question will not bring. Asking for the whole list
            # from then on would be the dearest call there is, made by all while discovery is short of time.
            log.warning("discovery: status %d, the list is kept", reply.status)
            self._turned_away += 1
            connection.drop()
            return
        try:
            listing = parse_endpoint_list(json.loads(reply.body))
            if not listing.whole and (self._generation is None or listing.generation < self._generation):
                raise ValueError("changes to a list that was never sent")
        except ValueError as error:
            log.warning("discovery: bad answer, the list is kept: %s", error)
            self._generation = None  # whatever was missed comes with the whole list
            connection.drop()
            return
        self._failures, self._generation, self._fresh = 0, listing.generation, True
        self._turned_away, self._silent = 0, False
        if not reusable:
            self._connection = None
            connection.drop()
        self._ask()  # before the list is acted on: a late watch is a new one
        self._told(listing)

    def lost(self, connection: _Watch) -> None:
        """The agent closed or reset the connection."""
        if connection is self._connection:
            self._connection = None
            self._fresh = self._fresh and not self._pushed  # where calls cost, the watch itself catches up
            self._retry()

    def _retry(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._stopped:
            return
        self._failures += 1
        wait = BACKOFF_S * 2 ** min(self._failures, 10)
        if self._turned_away and self._spread_s:
            wait = self._spread_s * 2 ** min(self._turned_away - 1, 10)
        left = 0.0 if self._pushed else self._began + ROUND_S - self._loop.time()
        wait = min(wait, max(left, REST_S))  # a slow failure has used up its round
        self._timer = self._loop.call_later(wait * self._rng.random(), self._ask)


class _Watch(ResponseProtocol):
    """The connection to the agent."""

    def __init__(self, owner: DiscoveryWatch) -> None:
        super().__init__(LONGEST_LIST)
        self._owner = owner
        self.closed = False

    def response_received(self, response: Response, reusable: bool) -> None:
        self._owner.replied(self, response, reusable)

    def malformed_response(self) -> None:
        log.warning("discovery: an answer that cannot be read, the list is kept")

    def connection_closed(self) -> None:
        self.closed = True
        self._owner.lost(self)
