"""The core: owns the decision module, its clock, timers and open requests. Translation only."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections import deque
from dataclasses import dataclass
from typing import Protocol

from api_gateway.configuration import Configuration, upstream_sockets
from api_gateway.decisions.gateway import Gateway
from api_gateway.model.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    IncrementCounter,
    RejectRequest,
    StartAttempt,
    StartTimer,
    SubscribeToEndpoints,
    WriteLog,
)
from api_gateway.model.endpoints import EndpointStatus, UpdateKind
from api_gateway.model.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterReply,
    EndpointUpdate,
    Event,
    RequestReceived,
    TimerFired,
)
from api_gateway.model.results import AttemptResult, CounterResult
from api_gateway.network.counter import CounterClient
from api_gateway.network.discovery import ROUND_S, DiscoveryWatch, EndpointList
from api_gateway.network.response_parser import Response
from api_gateway.network.upstream.attempt import Attempt
from api_gateway.network.upstream.pool import ConnectionPool

log = logging.getLogger(__name__)

TRANSIT_MS = 4.0  # what a request may have spent on its way to us and its answer may on its way back
GUARD_MS = 8.0  # the guard answers this long before the client's time is up
MODULE_MS = 20.0  # the module is told of an end this much earlier, so that it comes first
BEAT_S = 0.05  # spacing of the heartbeat that measures our own lag
LAG_MS = 5.0  # a heartbeat later than this is a stall
LIST_CALL_S = 0.2  # what one call may take of a discovery that must be asked (0.16 s was seen)
ASK_SHARE = 0.8  # part of the time in which a gateway has to ask, at most
LIST_WAIT_S = 1.0  # how long a start waits for discovery before it serves with the list it was given


class Clock:
    """The module's clock: Unix time in milliseconds, which all gateways share, but never set back."""

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def now_ms(self) -> float:
        """The time now."""
        return (self._offset + time.monotonic()) * 1000


def list_spread_s(config: Configuration) -> float:
    """Over what time the fleet's first calls to discovery are spread, where it must be asked.

    It serves calls in turn, and works on those that nobody waits for any more: what a fleet asks at once
    keeps it busy with the dead. Who asks too late counts as told all the same, so within a round.
    """
    if not config.settings.discovery_by_polling:
        return 0.0
    return min(LIST_CALL_S * config.settings.fleet_size, ASK_SHARE * config.ask_within_ms / 1000, ROUND_S)


class Client(Protocol):
    """Who is owed an answer."""

    def respond(
        self, status: int, body: bytes = b"", content_type: bytes = b"", retry_after_ms: float = 0.0
    ) -> None:
        """Pass the one final answer on."""

    def has_disconnected(self) -> bool:
        """Whether the client has ended its connection, told or not."""


@dataclass(slots=True)
class InboundRequest:
    """A valid request of a client: what the module is told, and what goes on to a host."""

    wire_id: bytes  # X-Request-Id
    class_name: str
    plan_name: str
    tenant: str
    time_left_ms: float
    units: float
    gateway_count: int
    first_gateway: int
    is_retry: bool
    read_at: float  # when its last byte was read, by time.monotonic
    head: bytes  # request line and headers for the host, but for X-Deadline
    body: bytes


class _Open:
    """A request until it is answered and its last attempt is over."""

    __slots__ = ("request_id", "client", "order", "end_at", "guard", "attempts", "out")

    def __init__(self, rid: str, client: Client, order: InboundRequest, end_at: float) -> None:
        self.request_id, self.order, self.end_at = rid, order, end_at
        self.client: Client | None = client  # None: answered, or gone
        self.guard: asyncio.TimerHandle | None = None
        self.attempts: list[Attempt | None] = []  # None: never sent
        self.out = 0


class Dispatcher:
    """Events of the sockets in, actions of the module out."""

    def __init__(
        self,
        config: Configuration,
        loop: asyncio.AbstractEventLoop,
        pool_class: type[ConnectionPool] = ConnectionPool,
    ) -> None:
        """`pool_class`: what sends attempts; an emulator may stand in for the sockets."""
        self.settings = config.settings
        self._loop = loop
        self._clock = Clock()
        self._gateway = Gateway(config.settings, config.seed)
        self._pool = pool_class(
            loop=loop,
            max_connections=upstream_sockets(config.sockets),
            connect_timeout_ms=config.dial_ms,
            idle_timeout_ms=config.idle_ms,
            attempt_ended=self._ended,
            client_waits=self._wanted,
        )
        known = config.known.generation if config.known.endpoints else None
        # A generator of its own for the network's jitter: the module's draws stay a function of its events.
        self._discovery = DiscoveryWatch(
            loop, config.discovery, self._listed, random.Random(config.seed ^ 1), known, list_spread_s(config)
        )
        self._counter = (
            CounterClient(loop, config.counter, config.settings.counter_timeout_ms, self._post)
            if config.counter is not None
            else None
        )
        self._known = config.known
        self._requests: dict[str, _Open] = {}
        self._wire_ids: set[bytes] = set()  # of the requests that are open or have an attempt out
        self._serial = 0
        self._events: deque[Event] = deque()
        self._handling = False
        self._lag_ms = 0.0
        self._started = 0.0
        self._beat_due = time.monotonic() + BEAT_S
        self._heard = False  # discovery has answered in this life
        self.endpoints_known = asyncio.Event()  # it has, or has been waited for long enough
        self.draining = False
        self.ended = False  # all that was open is answered, and nothing new is begun

    # --- Life ---------------------------------------------------------------------------------------------

    def start(self) -> None:
        """Begin with the known list, then listen to discovery and the counter."""
        self._started = time.monotonic()
        self._apply(self._known, UpdateKind.CACHED)
        self._pool.start()
        self._discovery.start()
        if self._counter is not None:
            self._counter.start()
        self._beat_due = time.monotonic() + BEAT_S
        self._loop.call_later(BEAT_S, self._beat)
        # What an agent on this machine has counts as told from our first moment, and clients may come
        # to a restarted gateway before the front does. Where discovery must be asked, its word may take long.
        self._loop.call_later(
            0.0 if self.settings.discovery_by_polling else LIST_WAIT_S, self.endpoints_known.set
        )

    def stop(self) -> None:
        """Close everything towards the back end."""
        self._discovery.stop()
        self._pool.stop()
        if self._counter is not None:
            self._counter.stop()

    def reload(self, config: Configuration) -> None:
        """Go over to the discovery and the counter that a new configuration names; all else stays."""
        self._discovery.move(config.discovery)
        if self._counter is not None and config.counter is not None:
            self._counter.move(config.counter)

    def is_ready(self) -> bool:
        """Whether requests can be served: hosts are known, by discovery's word if it speaks at all."""
        if self.draining or not self._pool.endpoint_names():
            return False
        return self._heard or time.monotonic() - self._started > LIST_WAIT_S

    def fail_pending_requests(self) -> None:
        """Answer all that is open as failed, and begin nothing more: the process is about to end."""
        self.ended = True
        for request in list(self._requests.values()):
            self._give_up(request)

    def _beat(self) -> None:
        """Measure how far we run behind: what is read in this turn may have waited for us so long."""
        now = time.monotonic()
        late = (now - self._beat_due) * 1000
        if late > LAG_MS:
            self._lag_ms = late
            self._loop.call_later(0.001, self._caught_up)
        self._beat_due = now + BEAT_S
        self._loop.call_later(BEAT_S, self._beat)

    def _caught_up(self) -> None:
        self._lag_ms = 0.0

    def _behind_ms(self, now: float) -> float:
        """How long what is read now may have waited for us.

        Guards against a stall that is over before the heartbeat could tell: a loop that was stopped in its
        poll reads sockets first and fires timers after.
        """
        late = (now - self._beat_due) * 1000
        return late if late > LAG_MS else self._lag_ms

    # --- Clients ------------------------------------------------------------------------------------------

    def submit(self, client: Client, order: InboundRequest) -> str | None:
        """Take a request; its id tells `left` which one is meant. None: its own id is in use."""
        # Guards against one client in another's name: hosts know a request by its id alone.
        if order.wire_id in self._wire_ids:
            return None
        self._wire_ids.add(order.wire_id)
        self._serial += 1
        rid = f"r{self._serial}"
        # The client's time runs from when it sent the request, not from when we came to read it.
        now = time.monotonic()
        queued_ms = (now - order.read_at) * 1000
        left_ms = order.time_left_ms - TRANSIT_MS - self._behind_ms(now) - queued_ms
        request = _Open(rid, client, order, now + (left_ms - GUARD_MS) / 1000)
        self._requests[rid] = request
        request.guard = self._loop.call_later(max(left_ms - GUARD_MS, 0.0) / 1000, self._guard, request)
        self._post(
            RequestReceived(
                rid,
                order.class_name,
                order.plan_name,
                order.tenant,
                left_ms - MODULE_MS,
                order.units,
                order.gateway_count,
                order.first_gateway,
                order.is_retry,
            )
        )
        return rid

    def client_disconnected(self, rid: str) -> None:
        """The client is gone."""
        request = self._requests.get(rid)
        if request is not None and request.client is not None:
            self._close(request)
            self._post(ClientDisconnected(rid))
            self._call_off(request)

    def _wanted(self, attempt: Attempt) -> bool:
        """Whether somebody waits for what is about to be written."""
        return self._waits(self._requests.get(attempt.request_id))

    def _waits(self, request: _Open | None) -> bool:
        """Whether a request's client is there: the socket is asked, since its end may be unread for long."""
        if request is not None and request.client is not None and request.client.has_disconnected():
            self.client_disconnected(request.request_id)
        return request is not None and request.client is not None

    def _guard(self, request: _Open) -> None:
        # Guards the first rule: whatever the module or a socket does, the client gets its answer in time.
        log.warning("a request ran to its deadline unanswered: failed by the guard")
        self._give_up(request)

    def _give_up(self, request: _Open) -> None:
        if request.client is not None:
            self._answer(request, 504)
            self._post(ClientDisconnected(request.request_id))

    def _answer(
        self, request: _Open | None, status: int, reply: Response | None = None, retry_after_ms: float = 0.0
    ) -> None:
        """The one final answer; a second one is dropped."""
        if request is None or request.client is None:
            return
        client = request.client
        self._close(request)
        if reply is None:
            client.respond(status, retry_after_ms=retry_after_ms)
        else:
            client.respond(status, reply.body, reply.headers.get(b"content-type", b""))
        self._call_off(request)

    def _close(self, request: _Open) -> None:
        request.client = None
        request.guard.cancel()
        self._forget(request)

    def _call_off(self, request: _Open) -> None:
        """End what is not written whole for a request that nobody waits for.

        Otherwise a request half written in our buffer would start at its host after the client has gone.
        """
        if request.out:
            for attempt in request.attempts:
                if attempt is not None:
                    self._pool.withdraw(attempt)

    def _forget(self, request: _Open) -> None:
        if (
            request.client is None
            and not request.out
            and self._requests.pop(request.request_id, None) is not None
        ):
            self._wire_ids.discard(request.order.wire_id)

    # --- Hosts --------------------------------------------------------------------------------------------

    def _listed(self, listing: EndpointList) -> None:
        self._heard = True
        self.endpoints_known.set()
        self._apply(listing, UpdateKind.FULL if listing.whole else UpdateKind.CHANGES)

    def _apply(self, listing: EndpointList, kind: UpdateKind) -> None:
        gone = {s.name for s in listing.endpoints if s.status is EndpointStatus.REMOVED}
        if kind is not UpdateKind.CHANGES:  # a whole list replaces the old one
            gone |= self._pool.endpoint_names() - {s.name for s in listing.endpoints}
        self._pool.update_endpoints(
            addresses=listing.addresses,
            removed=gone,
            draining={s.name for s in listing.endpoints if s.status is not EndpointStatus.UP},
            started_at_ms={s.name: s.started_at_ms for s in listing.endpoints},
        )
        if listing.endpoints or kind is not UpdateKind.CHANGES:
            self._post(EndpointUpdate(kind, listing.endpoints))
        self._pool.withdraw_pending_connects()  # after the decisions have the list

    def _send(self, act: StartAttempt) -> None:
        request = self._requests.get(act.request_id)
        number = len(request.attempts) if request is not None else 0
        left_s = request.end_at - time.monotonic() if request is not None else 0.0
        waits = self._waits(request)
        if not waits or left_s <= 0 or number >= self.settings.max_attempts:
            if request is not None:
                request.attempts.append(None)
            self._post(
                AttemptEnded(act.request_id, number, act.endpoint, AttemptResult.NOT_STARTED, 0.0, not waits)
            )
            return
        wait_s = min(act.timeout_ms / 1000, left_s) if act.timeout_ms else left_s
        order = request.order
        now = time.monotonic()
        attempt = Attempt(
            request_id=act.request_id,
            number=number,
            endpoint=act.endpoint,
            head=order.head,
            body=order.body,
            started_at=now,
            deadline=now + wait_s,
            write_deadline=now + act.write_timeout_ms / 1000,
        )
        request.attempts.append(attempt)
        request.out += 1
        self._pool.send(attempt)

    def _ended(self, attempt: Attempt, result: AttemptResult, reply: Response | None) -> None:
        request = self._requests[attempt.request_id]
        request.out -= 1
        # What lay unread while we stalled is not the host's latency.
        now = time.monotonic()
        took = (now - attempt.started_at) * 1000
        if reply is not None:
            took = max(took - self._behind_ms(now), 0.0)
        units = 0.0
        if result == AttemptResult.OK:
            units = reply.positive_header(b"billed-units", self.settings.max_request_units)
            self._answer(request, 200, reply)
        final = request.client is None
        self._forget(request)
        self._post(
            AttemptEnded(
                attempt.request_id, attempt.number, attempt.endpoint, result, took, final, actual_units=units
            )
        )

    def _cancel(self, act: CancelAttempt) -> None:
        request = self._requests.get(act.request_id)
        if request is not None and act.attempt < len(request.attempts):
            attempt = request.attempts[act.attempt]
            if attempt is not None:
                self._pool.cancel(attempt)

    # --- The module ---------------------------------------------------------------------------------------

    def _post(self, event: Event) -> None:
        """Hand events to the module in their order, also those that its own actions give rise to."""
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._handling = False

    def _handle(self, event: Event) -> None:
        try:
            actions = self._gateway.handle(self._clock.now_ms(), event)
        except Exception:
            # Guards all other requests against one that the module breaks on.
            log.exception("the module failed on %s", type(event).__name__)
            if isinstance(event, RequestReceived):
                self._answer(self._requests.get(event.request_id), 500)
            return
        for act in actions:
            try:
                self._act(act)
            except Exception:
                log.exception("an action failed: %s", type(act).__name__)

    def _act(self, act: Action) -> None:
        match act:
            case StartAttempt():
                self._send(act)
            case RejectRequest():
                self._answer(self._requests.get(act.request_id), 503, retry_after_ms=act.retry_after_ms)
            case FailRequest():
                self._answer(self._requests.get(act.request_id), 502)
            case CancelAttempt():
                self._cancel(act)
            case StartTimer():
                self._loop.call_later(max(act.delay_ms, 0.0) / 1000, self._post, TimerFired(act.name))
            case IncrementCounter():
                if self._counter is None:
                    self._post(CounterReply(act.name, CounterResult.CONNECT_FAILED, 0.0))
                else:
                    self._counter.call(act)
            case SubscribeToEndpoints():
                pass  # the watch is always on
            case WriteLog():
                log.info("%s", act.text)
