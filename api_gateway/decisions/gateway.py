"""The decisions of one gateway. Settings, events and actions: `api_gateway.model`.

A request's life: quota and ceiling, admission by SiRED, choice of a server, attempts, one final answer.
"""

from __future__ import annotations

import hashlib
import math
import random
from collections import deque
from collections.abc import Iterable, Iterator
from itertools import chain, islice

from api_gateway.decisions.admission import FEW_SAMPLES, OUT_TOO_LONG, Admission
from api_gateway.decisions.occupancy import FEW, PATIENCE, Q_MIN, LatencyBlock
from api_gateway.decisions.subset import Ring, digest, place
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
from api_gateway.model.endpoints import Endpoint, EndpointStatus, UpdateKind
from api_gateway.model.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterReply,
    EndpointUpdate,
    Event,
    GossipReceived,
    HealthCheckEnded,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from api_gateway.model.results import AttemptResult, CounterResult
from api_gateway.model.settings import Idempotency, KeyScope, Plan, RequestClass, Settings

SWEEP_MS = 100.0  # spacing of the housekeeping timer and of the q updates: a tenth of the quickest trouble
OUTCOMES = 125  # outcomes that also close a q interval (design page)
STALL = 2.0  # a sweep this many spacings late is a stall of ours, not of the back end
RATE_MEMORY_MS = 1000.0  # memory of observed rates (completions, work sent to warm hosts)
GAIN = 0.2  # weight of one outcome in a host's or class's running mean
BACKOFF_MS, BACKOFF_MAX_MS = 500.0, 4000.0  # a failing host's rest before one trial, doubled to the second
STRIKES = 3  # slow or failed answers or resets in a row that count as a host's failure
BAD = 2.5  # a host this many times slower than the fleet is unwell: no q samples, no patience
COLD_MARGIN = 0.5  # part of the cold budget that we use: capacity is only guessed and others may run ahead
TRIAL_SHARE, TRIAL_BANK = 0.05, 2.0  # trials of failing hosts per admitted request, and how many are saved
KEPT_SHARE = 0.45  # part of the idle limit for which a connection is taken to be kept after an answer
DIAL = 1.7  # a host that needs a new connection counts as so much more loaded, where traffic keeps few
PAIR_MS = 500.0  # a subset is so large that each of its hosts gets one request of ours in this time
SUBSET_MIN, SUBSET_MOST = 6, 256  # its size in warm hosts that answer
COVER, SPARSE_MS = 2.0, 1200.0  # gateways that should work with each host, while each visits it so often
GROW, GROW_MOST, SHRINK = 1.02, 4.0, 0.99  # a pressed or failing subset grows by this a sweep, and back
STEP = 1.25  # a subset changes its size by so much at once, or not: each change costs connections
LOOK = 32  # hosts compared for one request: the least loaded of so many is as good as of all
REUSE = 2.0  # visits in the time for which a connection is kept, under which a gateway keeps to fewer hosts
SUBSET_MEMORY_MS = 5000.0  # memory of the rate of requests that a subset's size follows
RETRY_SHARE, RETRY_BANK = 0.2, 10.0  # further attempts per admitted request, and how many may be saved up
CHANCE = 2.0  # standard deviations by which what is out differs from the usual without a reason
LOST = 0.06  # share of the answers missed that shows that they get lost
TRIES = 64  # last tries of a class that tell its usual time left
ROOM = 0.5  # beyond-quota work is let in only while q is under this part of Q_MIN
WINDOWS = 2.0  # a count's window, in burst / rate: what idle times left unused in one is not lent out later
SPLIT = 1.5  # our part of a silent counter's even split while there is room: use is uneven, peers may be dead
OTHERS_MS = 1000.0  # memory of the others' rate of use
HEED, CROWD = 0.35, 4  # weight of one counter reply in a mean of them; the power of the mean that thins calls
CUTS = 4  # counter calls cut off with no answer between them: more than one connection's end breaks
CALL_REST_MS = 1000.0  # one call in this time is made however few are answered: it finds the counter's return
FORGET_WINDOWS = 3.0  # windows without a request after which a customer is forgotten
MOST_USES = 8192  # customers known at once: a flood of new names must not fill the memory
LOOKS = 64  # customers looked at in one sweep, the longest unseen first
KEEP_MAX_MS = 60000.0  # longest life of a count
BROKEN = frozenset(
    (
        AttemptResult.CONNECT_FAILED,
        AttemptResult.CONNECTION_RESET,
        AttemptResult.STALE_CONNECTION,
        AttemptResult.NOT_SENT,
        AttemptResult.WITHDRAWN,
    )
)  # not the work
NO_SAMPLE = BROKEN | {
    AttemptResult.CANCELLED,
    AttemptResult.MALFORMED_RESPONSE,
    AttemptResult.LOCAL_LIMIT,
    AttemptResult.NOT_STARTED,
}  # tell nothing of occupancy


class _Host:
    """What this gateway knows of one server."""

    def __init__(self, server: Endpoint) -> None:
        self.name = server.name
        self.open = 0
        self.slow = 1.0  # running latency over its class's usual one
        self.strikes = self.fails = 0
        self.down_until = 0.0
        self.died = False  # connections failed: what answers next may have just started
        self.idle_at = -1e12  # when an answer last left a connection to it free
        self.born = self.cold_from_ms = 0.0
        self.credit = self.credit_at = 0.0  # work that we may send it while cold, as of when
        self.sent_at = 0.0  # when it was sent a request last, or as if it had been when it came in
        self.turn = -1  # the last of the fleet's turns in which we sent it a lone request
        self.update(server)

    def update(self, server: Endpoint) -> None:
        self.zone, self.failure_domain, self.weight = (
            server.zone,
            server.failure_domain,
            max(server.weight, 1e-6),
        )
        self.up = server.status is EndpointStatus.UP
        if server.started_at_ms > self.born:
            self.born = self.cold_from_ms = server.started_at_ms
            self.strikes = self.fails = 0
            self.credit = 0.0  # what was left of an earlier start's budget is not this one's
            self.down_until, self.died, self.slow = 0.0, False, 1.0


class _Subset:
    """The hosts that this gateway works with: the warm ones that follow its place on the ring that all agree
    on, as many as are wanted, and the cold and failing ones between them."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.s, self.rng = settings, rng
        self.place = place(settings.gateway_index, settings.fleet_size)
        self.ring = Ring()  # of all that are up
        self.hosts: dict[str, _Host] = {}  # the same by name
        self.cells: dict[tuple[str, int], dict[str, _Host]] = {}
        self.size = float(SUBSET_MIN)
        self.round_ms = PAIR_MS  # in which each of its hosts has its turn
        self.warm: list[_Host] = []
        self.cold: list[_Host] = []
        self.failing: list[_Host] = []
        self.warm_at = math.inf  # when the first of the cold ones is warm
        self.at = self.cold_at = 0  # where the next look begins
        self.stale = True

    def __len__(self) -> int:
        return len(self.warm) + len(self.cold) + len(self.failing)

    def __iter__(self) -> Iterator[_Host]:
        return chain(self.warm, self.cold, self.failing)

    def take(self, host: _Host) -> None:
        """A host is listed, in a state that may be new."""
        self.cells.setdefault((host.zone, host.failure_domain), {})[host.name] = host
        if host.up:
            self.ring.add(host.name, host.zone)
            self.hosts[host.name] = host
        self.stale = True

    def drop(self, host: _Host) -> None:
        """A host is no longer listed as it was."""
        cell = self.cells[host.zone, host.failure_domain]
        del cell[host.name]
        if not cell:
            del self.cells[host.zone, host.failure_domain]
        if self.hosts.pop(host.name, None) is not None:
            self.ring.remove(host.name, host.zone)
        self.stale = True

    def resize(self, want: float) -> None:
        """Hold so many warm hosts. Small changes are left: each one costs connections."""
        want = min(max(want, SUBSET_MIN), SUBSET_MOST)
        if want > STEP * self.size or STEP * want < self.size or len(self.warm) < SUBSET_MIN:
            self.stale = self.stale or round(want) != round(self.size)
            self.size = want

    def chosen(self, now: float) -> _Subset:
        """Itself, brought up to date."""
        if not self.stale and now < self.warm_at:
            return self
        self.stale, self.warm_at = False, math.inf
        before = set(self.warm)
        warm, cold, failing = [], [], []
        walked, most = 0, 8 * self.size + 64
        for name in self.ring.walk(self.place):
            host = self.hosts[name]
            walked += 1
            if host.fails:
                failing.append(host)
            elif host.cold_from_ms and now < host.cold_from_ms + self.s.slow_start_ms:
                if len(cold) < 2 * self.size:
                    cold.append(host)
                    self.warm_at = min(self.warm_at, host.cold_from_ms + self.s.slow_start_ms)
            else:
                warm.append(host)
                if host not in before:
                    # A host becomes warm for all gateways at once: else it would be everybody's next.
                    host.sent_at = max(host.sent_at, now - self.rng.random() * self.round_ms)
            if len(warm) >= self.size or (walked > most and (warm or cold)):
                break
        self.warm, self.cold, self.failing = warm, cold, failing
        return self

    def look(self) -> list[_Host]:
        """The warm hosts to compare for one request, others the next time."""
        if len(self.warm) <= LOOK:
            return self.warm
        self.at = (self.at + LOOK) % len(self.warm)
        return (self.warm + self.warm[:LOOK])[self.at : self.at + LOOK]

    def look_cold(self) -> list[_Host]:
        """The cold hosts to look at for one request, from another one on each time."""
        self.cold_at = (self.cold_at + 1) % len(self.cold)
        return [self.cold[(self.cold_at + i) % len(self.cold)] for i in range(min(LOOK, len(self.cold)))]

    def cell_of(self, host: _Host) -> list[_Host]:
        """All hosts of a host's cell that are up and answer, in the subset or not."""
        return [
            h for h in self.cells.get((host.zone, host.failure_domain), {}).values() if h.up and not h.fails
        ]


class _Attempt:
    def __init__(self, host: _Host, sent: float, block: LatencyBlock) -> None:
        self.host, self.sent, self.block = host, sent, block
        self.open = self.ran = True  # may be running until an outcome proves that it never did


class _Held:
    """A request that is owed an answer, or whose attempts are still out."""

    def __init__(
        self, req: RequestReceived, cls: RequestClass, use: _Use, aim_at: float, end_at: float, work: float
    ) -> None:
        self.req, self.cls, self.use, self.work = req, cls, use, work
        self.aim_at, self.end_at = aim_at, end_at
        self.attempts: list[_Attempt] = []
        self.answered = self.stream = False


class _Use:
    """One customer's use: the count of this window, and this gateway's part of the ceiling."""

    def __init__(self, key: tuple[str, str], plan: Plan, width: int, now: float, age: float) -> None:
        self.key, self.plan, self.seen = key, plan, now
        self.gateway_count = self.widest = (
            width  # of its set, as named in this window or the last; in this one
        )
        # Windows start at a phase of the customer's own: no herd of calls at their edges.
        hashed = hashlib.blake2s(key[0].encode(), digest_size=8)
        self.digest, self.phase = hashed.hexdigest(), int.from_bytes(hashed.digest()[:2], "big") / 65536
        self.window, self.name, self.before, self.start = -1, "", "", now  # `before`: the last window's count
        self.unread = True  # no total of this window was read
        self.void = self.void_in_call = 0.0  # refill that found the store full: to be told next; told
        self.own = self.added = self.in_call = 0.0  # our use in the window; told; in a call
        self.calling, self.call_at = False, 0.0
        self.base: float | None = None  # last total read; None: nothing read in this life
        self.base_own = self.base_at = 0.0  # what it held of ours, when
        self.most = plan.quota_burst  # left if the others use nothing
        self.others = plan.quota_rate / 1000 * (1 - 1 / width)  # estimate of the others' use, units per ms
        # A restarted gateway has spent what it no longer knows: it earns its split anew.
        self.left, self.left_at = min(plan.quota_burst, plan.quota_rate * age / 1000) / width, now
        self.asking: list[tuple[RequestReceived, float, float]] = []  # wait for a total: request, aim, end
        self.open = 0
        self.ceiling = self.ceiling_at = 0.0
        self.luck = 1.0  # part of our asking that found something left


class _Patience:
    """The time left of a class's last tries, and what an uncut one has at least."""

    def __init__(self) -> None:
        self.lefts: deque[float] = deque(maxlen=TRIES)
        self.stale = 0  # tries since `least` was found
        self.least = 0.0

    def least_whole(self, left_ms: float) -> float:
        """Note one more try; the least time left of one that no deadline cut, 0 while that does not show."""
        self.lefts.append(left_ms)
        self.stale += 1
        if self.stale >= TRIES // 8:  # to sort for each request would be the dearest part of it
            self.stale = 0
            usual = sorted(self.lefts)[len(self.lefts) * 7 // 10]
            agree = sum(1 for left in self.lefts if abs(left - usual) <= 0.01 * usual)
            shows = len(self.lefts) >= TRIES // 2 and 3 * agree >= len(self.lefts)
            self.least = 0.99 * usual if shows else 0.0
        return self.least


class Gateway:
    """The decisions of one gateway."""

    def __init__(self, settings: Settings, seed: int) -> None:
        settings.check()
        self.s = settings
        self.rng = random.Random(seed)
        self.classes = {c.name: c for c in settings.classes}
        self.plans = {p.name: p for p in settings.plans}
        self.out: list[Action] = []
        self.hosts: dict[str, _Host] = {}
        self.subset = _Subset(settings, self.rng)
        self.held: dict[str, _Held] = {}
        # Names stay: gateways of two versions must count together while a new one is rolled out.
        lengths = [self._window_ms(p) if p.quota_rate > 0 else 0.0 for p in settings.plans]
        self.tags = {
            p.name: f".{i}" if lengths.count(lengths[i]) > 1 else "" for i, p in enumerate(settings.plans)
        }
        self.uses: dict[tuple[str, str], _Use] = {}  # by customer and plan, the longest unseen first
        self.calls: dict[str, _Use] = {}  # by the name of its count
        self.asking: dict[str, _Use] = {}  # by the request that waits for a total
        self.askers: dict[_Use, None] = {}  # those with a request that waits, or has left while it waited
        self.admission = Admission(settings.classes)
        self.latency = {
            c.name: c.latency_objective_ms / 10 for c in settings.classes
        }  # usual latency per unit
        self.answers = dict.fromkeys(self.classes, 0)  # that the usual latencies are learned from
        self.patience = {c.name: _Patience() for c in settings.classes}
        self.now = 0.0
        self.born: float | None = None
        self.sweep_due = 0.0
        self.stalled_at = -1.0
        self.out_now = 0  # attempts of ours that are out
        self.mid, self.many_fail = 1.0, False  # the hosts' median slowness; whether over half of them fail
        self.done = self.done_rate = 0.0  # good completions since the last sweep, and per ms
        self.warm_work = self.warm_rate = 0.0  # work sent to warm hosts, and per ms and host
        self.let_in = self.let_in_rate = 0.0  # work let in, whether or not a host was free for it, and per ms
        self.sends, self.send_rate = 0, 0.0  # since the last sweep, and per ms
        self.grow, self.thin = 1.0, True  # of the subset; whether our traffic keeps few connections
        self.trials = TRIAL_BANK  # requests that may try a failing host
        self.bank = RETRY_BANK
        self.heard, self.call_at = 1.0, 0.0  # part of our counter calls answered; the last one's time
        self.cuts = 0  # calls cut off since the last answer
        self.said: dict[str, float] = {}

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """The actions that answer one event at `now_ms`; times never run backwards."""
        self.now = max(self.now, now_ms)
        self.out = []
        if self.born is None:
            self.born, self.sweep_due = self.now, self.now + SWEEP_MS
            self.out.append(StartTimer("sweep", SWEEP_MS))
            if self.s.discovery_by_polling:
                self.out.append(SubscribeToEndpoints())
        if self.now > self.sweep_due + STALL * SWEEP_MS:
            # Our own stall looks like a slow back end: what was out during it is no sample.
            self.stalled_at = self.now
        match event:
            case RequestReceived():
                self._request(event)
            case AttemptEnded():
                self._outcome(event)
            case TimerFired(name="sweep"):
                self._sweep()
            case TimerFired(name="subscribe"):
                self.out.append(SubscribeToEndpoints())
            case CounterReply():
                self._count_reply(event)
            case EndpointUpdate():
                self._server_list(event)
            case ResponseStarted():
                self._stream_started(event)
            case ClientDisconnected():
                self.asking.pop(event.request_id, None)
                self._finish(self.held.get(event.request_id))
            case TimerFired() | HealthCheckEnded() | GossipReceived():
                pass
            case _:
                raise TypeError(f"not an event of api_gateway.model.events: {event!r}")
        return self.out

    def _server_list(self, event: EndpointUpdate) -> None:
        if event.kind is UpdateKind.FAILED:
            self.out.append(StartTimer("subscribe", BACKOFF_MS * (1 + self.rng.random())))
            return
        if event.kind is not UpdateKind.CHANGES:
            named = {s.name for s in event.endpoints}
            for name in [n for n in self.hosts if n not in named]:
                self.subset.drop(self.hosts.pop(name))
        for server in event.endpoints:
            host = self.hosts.get(server.name)
            if server.status is EndpointStatus.REMOVED:
                if host is not None:
                    self.subset.drop(self.hosts.pop(server.name))
            elif host is None:
                host = self.hosts[server.name] = _Host(server)
                self.subset.take(host)
            elif (host.zone, host.failure_domain, host.up) == (
                server.zone,
                server.failure_domain,
                server.status is EndpointStatus.UP,
            ):
                host.update(server)
                self.subset.stale = True
            else:
                self.subset.drop(host)
                host.update(server)
                self.subset.take(host)

    def _request(self, req: RequestReceived) -> None:
        cls, plan = self.classes.get(req.class_name), self.plans.get(req.plan_name)
        if req.request_id in self.held or req.request_id in self.asking:
            return
        if cls is None or plan is None or req.time_left_ms <= 0 or not self.hosts:
            self._refuse(req.request_id)
            return
        end_at = self.now + req.time_left_ms
        aim_at = (
            end_at
            if cls.late_priority_weight > 0
            else min(self.now + cls.latency_objective_ms - self._spent(req, cls), end_at)
        )
        if aim_at <= self.now:
            self._refuse(req.request_id)  # its aim has passed: whatever we did would be waste
            return
        use = self._use(req, plan)
        if use is None:
            self._refuse(req.request_id)
            return
        # A try with little time left would be held past its end; it is decided at once.
        if aim_at - self.now > self.s.counter_timeout_ms + 2 * SWEEP_MS and self._unsure(use, req.units):
            if not self.admission.admit(cls, plan, self.latency[cls.name], req.units):
                self._refuse_new(req, use, False)
                return
            self.asking[req.request_id] = use
            self.askers[use] = None
            use.asking.append((req, aim_at, end_at))
            self._sync(use, req.units)
        else:
            self._decide(req, cls, use, aim_at, end_at, False)

    def _spent(self, req: RequestReceived, cls: RequestClass) -> float:
        """Time that the client spent on earlier tries: first ones share one time left, a shorter one was cut
        by the class's deadline. 0 unless a third of the last tries agree on the usual time."""
        if req.time_left_ms >= self.patience[cls.name].least_whole(req.time_left_ms):
            return 0.0
        return max(cls.deadline_ms - req.time_left_ms, 0.0)

    def _decide(
        self, req: RequestReceived, cls: RequestClass, use: _Use, aim_at: float, end_at: float, admitted: bool
    ) -> None:
        """Send on or refuse, at once."""
        plan = use.plan
        over = not self._quota_has(use, req.units)
        if over:
            fits = plan.over_quota_weight > plan.over_quota_cost and self.admission.occupancy.q < ROOM * Q_MIN
        else:
            fits = admitted or self.admission.admit(cls, plan, self.latency[cls.name], req.units)
        if not fits or not self._ceiling_has(use, req.units):
            self._refuse_new(req, use, over)
            return
        held = _Held(req, cls, use, aim_at, end_at, self.latency[cls.name] * max(req.units, 0.0))
        self.let_in += held.work
        host = self._pick(held) if held.aim_at > self.now else None
        if host is None:
            self._refuse_new(req, use, over)
            return
        self.held[req.request_id] = held
        self.bank = min(self.bank + RETRY_SHARE, RETRY_BANK)
        self.trials = min(self.trials + TRIAL_SHARE, TRIAL_BANK)
        use.ceiling -= req.units
        use.open += 1
        if not over:
            self._spend(use, req.units)
        self._sync(use)
        self._send(held, host)

    def _refuse_new(self, req: RequestReceived, use: _Use, over: bool) -> None:
        self._refuse(
            req.request_id, 1000 * req.units / use.plan.quota_rate if over and use.plan.quota_rate else 0.0
        )

    def _refuse(self, rid: str, wait_ms: float = 0.0) -> None:
        """Refuse at once, and say when to come back: by the quota, or by the pressure on the back end."""
        wait_ms = max(wait_ms, SWEEP_MS / self.admission.fraction)
        self.out.append(RejectRequest(rid, min(wait_ms, self.s.max_retry_after_ms)))

    def _sample(self, held: _Held, attempt: _Attempt, event: AttemptEnded) -> None:
        """One outcome's occupancy: the part of the aim that it used up, or that a new one would."""
        latency = self.admission.occupancy.classes[held.cls.name]
        share = self._share_of_aim(held, attempt, event)
        latency.end(attempt.block, share, self.now)
        if self.admission.occupancy.pending >= OUTCOMES:
            self._update_f()

    def _share_of_aim(self, held: _Held, attempt: _Attempt, event: AttemptEnded) -> float | None:
        """The part of its aim that an outcome used up; None if it tells nothing of that."""
        if attempt.sent < self.stalled_at or event.result in NO_SAMPLE:
            return None
        if self._unwell(attempt.host):
            return None  # a few bad hosts would cut f for all; they are the business of health
        occupancy, name = self.admission.occupancy, held.cls.name
        if event.result in (AttemptResult.OK, AttemptResult.ERROR):
            share = min(event.duration_ms / held.cls.latency_objective_ms, 1.0)
            # Foretold from two or three completions it is noise.
            trust = min(self.done_rate * (self.now - self.born) / (3 * FEW), 1.0)
            occupancy.note_answer(name, share, *self._foretold_ms(), trust)
            return share
        if event.result == AttemptResult.TIMED_OUT:
            late = occupancy.note_timeout(name)
            self.done += late and occupancy.classes[name].reaches_aim
            return 1.0 if late else None
        occupancy.note_full()
        return None

    def _foretold_ms(self) -> tuple[float, float]:
        """What the requests out foretell that a new one waits beyond the usual (Little's law; below 0 for
        less), and by how much that differs by chance: what is out varies by its root."""
        rate, usual = self.done_rate, self.admission.occupancy.unpressed_ms
        if rate <= 0:
            return 0.0, 0.0
        out = self.out_now - sum(h.open for h in self.subset.failing)
        return out / rate - usual, CHANCE * math.sqrt(usual / rate)

    def _update_f(self) -> None:
        occupancy = self.admission.occupancy
        if not occupancy.update(self.admission.fraction) and not self.held:
            # With few requests near F_MIN, q would hold on long after a jam.
            occupancy.q *= 1 - SWEEP_MS / max(c.latency_objective_ms for c in self.s.classes)
        late = 0
        if occupancy.seen < FEW_SAMPLES:
            late = sum(
                a.open
                and self.now - a.sent > OUT_TOO_LONG * h.cls.latency_objective_ms  # outcomes come too late
                for h in self.held.values()
                for a in h.attempts
            )
        self.admission.update(late)
        if (part := self.admission.fraction) < 0.9:
            self._say("pressed", f"back end pressed: q {occupancy.q:.2f}, letting in {part:.0%}")

    def _use(self, req: RequestReceived, plan: Plan) -> _Use | None:
        """What is known of a customer under a plan; None where there is no room to know one more."""
        width = max(1, min(req.gateway_count, self.s.fleet_size))
        key = (req.tenant, plan.name)
        use = self.uses.pop(key, None)
        if use is None:
            if len(self.uses) >= MOST_USES and not self._forget_one():
                return None
            use = _Use(key, plan, width, self.now, self.now - (self.born or 0.0))
            use.ceiling_at = self.born or 0.0
        self.uses[key] = use
        use.seen = self.now
        if plan.quota_rate > 0:
            length = self._window_ms(plan)
            clock = self.now / length + use.phase
            if int(clock) != use.window:
                self._roll(use, int(clock), self.now - clock % 1 * length)
        use.widest = max(use.widest, width)
        use.gateway_count = max(use.gateway_count, width)
        return use

    def _forget_one(self) -> bool:
        """Make room for a customer by forgetting the one unseen for the longest that may go early."""
        use = next(filter(self._may_forget, islice(self.uses.values(), LOOKS)), None)
        if use is not None:
            self._forget(use)
        return use is not None

    def _forget(self, use: _Use) -> None:
        del self.uses[use.key]
        self.calls.pop(use.name, None)
        self.calls.pop(use.before, None)

    @staticmethod
    def _window_ms(plan: Plan) -> float:
        return min(max(WINDOWS * 1000.0 * plan.quota_burst / plan.quota_rate, 1.0), KEEP_MAX_MS / 2)

    def _roll(self, use: _Use, window: int, start: float) -> None:
        """A new window: a new count. What we take to be left goes on."""
        self.calls.pop(use.name, None)
        self.calls.pop(use.before, None)
        self._settle(use)
        name = f"{use.digest}{self.tags[use.plan.name]}."
        # What is not told yet is told in the new window, unless refill has made up for it.
        use.own = use.own - use.added if self.heard >= 0.5 and window == use.window + 1 else 0.0
        use.window, use.name, use.before = window, f"{name}{window}", f"{name}{window - 1}"
        use.gateway_count, use.widest, use.unread, use.start = use.widest, 1, True, start
        use.void = use.added = use.base_own = 0.0
        use.base_at, use.calling = start, False
        use.base = None if use.base is None else 0.0

    def _left(self, use: _Use) -> float:
        """What is left of the quota: carried + rate x time - our use - the others' as read or estimated."""
        span = max(self.now - use.left_at, 0.0)
        burst, rate = use.plan.quota_burst, use.plan.quota_rate / 1000
        part = min(1.0, (SPLIT if self.admission.fraction >= 1 else 1.0) / use.gateway_count)
        use.most = min(burst, use.most + rate * span)
        gain, most = (0.0, burst * part) if use.base is None else (rate - use.others, burst)
        if use.base is None or self.heard < 0.5:  # nothing is known, or no more: our split at least
            gain = max(gain, rate * part)
        use.left = min(most, use.left + gain * span)
        use.left_at += span
        return use.left

    def _unsure(self, use: _Use, units: float) -> bool:
        """Nothing was read, or the estimate says no or maybe and the last total does not."""
        if not self.s.counter_enabled or use.plan.quota_rate <= 0 or not self._may_call():
            return False
        doubt = (max(use.others, 0.0) * (self.now - use.base_at)) ** 0.5  # the others' use may vary so much
        maybe = self._left(use) - doubt < units <= use.most
        return use.unread or (maybe and self.rng.random() < max(use.luck, self.heard**CROWD))

    def _may_call(self) -> bool:
        """The crowd at the counter is us: unanswered calls thin out ours."""
        return self.rng.random() < self.heard**CROWD or self.now > self.call_at + CALL_REST_MS

    @staticmethod
    def _spend(use: _Use, units: float) -> None:
        use.own += units
        use.left -= units
        use.most -= units

    def _quota_has(self, use: _Use, units: float) -> bool:
        plan = use.plan
        if plan.max_concurrent_requests and use.open >= max(
            1, plan.max_concurrent_requests // use.gateway_count
        ):
            return False
        if plan.quota_rate <= 0:
            return True
        if use.base is None and use.own == 0:
            return True  # one request costs nearly nothing, and its count call tells us more
        self._left(use)
        if use.base is None or self.heard < 0.5:
            use.left = self._draw(use.left, units)  # hurts: small parts serve by luck
        return use.left >= units - 1e-9

    def _ceiling_has(self, use: _Use, units: float) -> bool:
        """This gateway's part of the ceiling, 1 / width of its rate and burst, empty at our start.

        So the parts of all gateways never sum to more than the customer's store.
        """
        plan = use.plan
        if plan.ceiling_rate <= 0:
            return True
        full = plan.ceiling_burst / use.gateway_count
        gained = (self.now - use.ceiling_at) * plan.ceiling_rate / 1000 / use.gateway_count
        use.ceiling = min(full, use.ceiling + gained)
        use.ceiling_at = self.now
        return units <= use.ceiling + 1e-9

    def _sync(self, use: _Use, reserve: float = 0.0, at_once: bool = False) -> None:
        """Tell the counter, in batches that shrink as the customer nears its limit."""
        newer = use.own - use.added + reserve  # asked and told in one; a refusal is taken off again
        if not self.s.counter_enabled or use.plan.quota_rate <= 0 or use.calling:
            return
        due = newer and not 0 < newer * use.gateway_count < self._left(use)
        if not (reserve or at_once or (due and self._may_call())):
            return
        newer += use.void
        use.own += use.void
        use.void_in_call, use.void = use.void, 0.0
        use.added += newer
        self._call(use, use.name, newer)

    def _call(self, use: _Use, name: str, amount: float) -> None:
        use.calling, use.call_at, self.call_at, use.in_call = True, self.now, self.now, amount
        self.calls[name] = use
        self.out.append(IncrementCounter(name, amount, min(2 * self._window_ms(use.plan), KEEP_MAX_MS)))

    def _count_reply(self, reply: CounterReply) -> None:
        ok = reply.result == CounterResult.OK
        self._hear(reply.result)
        use = self.calls.get(reply.name)
        if use is None or not use.calling:
            return
        use.calling = False
        if reply.name == use.before:
            self._owe(use, reply.total if ok else 0.0)
        elif ok:
            first = use.unread and use.in_call > 0 and abs(reply.total - use.in_call) < 1e-6
            self._read(use, reply.total)
            if first and self._ask_before(use):
                return
        elif reply.result not in (
            CounterResult.TIMED_OUT,
            CounterResult.CONNECTION_LOST,
            CounterResult.MALFORMED_RESPONSE,
        ):
            use.added -= use.in_call  # a call that may have counted is not added twice
            use.own -= use.void_in_call
        self._settle(use)
        if ok:
            self._sync(use)

    def _ask_before(self, use: _Use) -> bool:
        """As the first to count in this window, ask for the last one's total; whether that is worth a call.
        What has refilled a full store since the window's start is void."""
        refilled = use.plan.quota_rate * (self.now - use.start) / 1000
        if 2 * refilled >= use.plan.quota_burst or not self._may_call():
            use.void = refilled
            return False
        self._call(use, use.before, 0.0)
        return True

    def _owe(self, use: _Use, total: float) -> None:
        """Count what went beyond the last window's refill in this one, too: so any gateway reads from one
        total what is left of the store, whoever used it."""
        rate = use.plan.quota_rate / 1000
        owed = min(max(total - rate * self._window_ms(use.plan), 0.0), use.plan.quota_burst)
        refilled = rate * (self.now - use.start)
        use.void = max(refilled - owed, 0.0)
        if owed:
            self._spend(use, owed)
            self._sync(use, at_once=True)

    def _hear(self, result: CounterResult) -> None:
        """Note one call's end in the share of calls that are answered. A spoilt answer is one all the same,
        and only cuts with no answer between them mean a counter that is gone."""
        answered = result in (CounterResult.OK, CounterResult.MALFORMED_RESPONSE)
        self.cuts = 0 if answered else self.cuts + (result == CounterResult.CONNECTION_LOST)
        if result != CounterResult.CONNECTION_LOST or self.cuts > CUTS:
            self.heard += HEED * (answered - self.heard)
        if self.heard < 0.5:
            self._say("counter", "counter silent or crowded: calling less, quotas go by our estimates")

    def _settle(self, use: _Use) -> None:
        """Decide the requests that waited for a total."""
        waiting, use.asking = use.asking, []
        self.askers.pop(use, None)
        if waiting:  # all gateways would ask again and again for a customer who floods them
            found = use.left >= waiting[0][0].units
            use.luck = max(use.luck + HEED * (found - use.luck), 1 / use.gateway_count)
        for req, aim_at, end_at in waiting:
            if self.asking.pop(req.request_id, None) is not None:
                self._decide(req, self.classes[req.class_name], use, aim_at, end_at, True)

    def _read(self, use: _Use, total: float) -> None:
        """A total: what all have used in this window and what was owed at its start."""
        span = max(self.now - use.base_at, 1.0)
        others = total - (use.base or 0.0) - (use.added - use.base_own)
        self._left(use)
        if total >= use.added - 1e-6 and others >= -1e-6:
            full = use.most - others
            if use.unread:
                full = use.plan.quota_burst + use.plan.quota_rate * (self.now - use.start) / 1000 - total
                full = min(full - (use.own - use.added), use.most)
            # What overshot took nothing from the store, so it must not be owed ever after.
            use.left = use.most = max(full, 0.0)
            if use.base is None:
                # The first total holds what the others used since the window's start, not in a few ms.
                rate = others / max(self.now - use.start, OTHERS_MS)
                use.others = min(rate, use.plan.quota_rate / 1000)
            elif not use.unread:
                memory = max(OTHERS_MS, 1000 * use.plan.quota_burst / use.plan.quota_rate)
                keep = memory / (memory + span)
                use.others = keep * use.others + (1 - keep) * others / span
            use.unread = False
        use.base, use.base_own, use.base_at = total, use.added, self.now

    def _warmth(self, host: _Host) -> float:
        """The least part of its capacity that a host may have after its start."""
        age = self.now - host.cold_from_ms
        if not host.cold_from_ms or age >= self.s.slow_start_ms or self.s.slow_start_ms <= 0:
            return 1.0
        return (
            self.s.slow_start_min_weight
            + (1 - self.s.slow_start_min_weight) * max(age, 0.0) / self.s.slow_start_ms
        )

    def _cold_room(self, host: _Host, warmth: float, work: float) -> bool:
        """Whether our part of a cold host's budget holds `work`; a part of it is drawn for.

        The yardstick is what this gateway itself sends to a warm host, so the parts of all gateways add up to
        what the fleet sends to one, times warmth. Those with no yardstick yet send lone requests in turn.
        """
        if self.warm_rate <= 0 and self.now - self.born < RATE_MEMORY_MS:
            return host.open == 0 and self._our_turn(host, warmth)
        margin = COLD_MARGIN * self.s.overload_multiple
        # With most hosts cold the warm ones are sent more than any can bear, until latency tells: what each
        # would have if all were warm bounds it, by what was let in, sent on or not.
        rate = margin * self.let_in_rate / max(len(self.subset), 1)
        if self.subset.warm and self.warm_rate > 0:
            rate = min(rate, min(margin, 1.0) * self.warm_rate)
        rate *= warmth
        span = self.now - max(host.credit_at, host.cold_from_ms)
        host.credit = min(host.credit + rate * span, rate * self.s.overload_window_ms / 2)
        host.credit_at = self.now
        host.credit = self._draw(host.credit, work)
        return host.credit >= work

    def _our_turn(self, host: _Host, warmth: float) -> bool:
        """Whether it is our turn to send a cold host one request, as those with no yardstick take turns.

        One at a time is what any host can do, at `warmth` of its pace: a turn is as long as that takes. All
        gateways read the same clock, so the turns of those that know the host add up to no more.
        """
        # In powers of two: a length of each gateway's own would put their turns out of step.
        length = 2.0 ** math.ceil(math.log2(max(max(self.latency.values()) / max(warmth, 0.01), 1.0)))
        turn = int(self.now / length) + digest(host.name)
        peers = max(round(self.s.fleet_size * len(self.subset) / max(len(self.subset.ring), 1)), 1)
        if turn == host.turn or turn % peers != self.s.gateway_index % peers:
            return False
        host.turn = turn
        return True

    def _draw(self, part: float, whole: float) -> float:
        """A part of one unit serves nobody: a fair draw for the whole keeps the sum of all gateways right."""
        if part >= whole or part <= 0:
            return part
        return whole if self.rng.random() * whole < part else 0.0

    def _pick(self, held: _Held) -> _Host | None:
        """A cold host while our part lasts, else the least loaded; a failing one gets lone trials."""
        subset = self.subset.chosen(self.now)
        tried = [a.host for a in held.attempts]
        host = None
        if subset.cold:
            host = next(
                (h for h in subset.look_cold() if self._may_send(held, h) and self._spared(h, held.work)),
                None,
            )
        if host is None and subset.failing:
            host = self._trial(held, tried)
        if host is None:
            host = self._least(held, tried, subset.look())
        if host is None and held.attempts:  # only hosts of one group may repeat it
            group = [h for a in tried for h in subset.cell_of(a) if self._spared(h, held.work)]
            host = self._least(held, tried, group)
        if host is None:
            resting = [
                h
                for h in subset.failing
                if h not in tried and self._may_send(held, h) and self._spared(h, held.work)
            ]
            host = min(resting, key=lambda h: h.down_until, default=None)
        return host

    def _spared(self, host: _Host, work: float) -> bool:
        """Whether a host may have `work`, cold or not."""
        warmth = self._warmth(host)
        return warmth >= 1 or self._cold_room(host, warmth, work)

    def _trial(self, held: _Held, tried: list[_Host]) -> _Host | None:
        """A failing host whose rest is over: one safe request tries it, as far as the trials' budget goes."""
        if held.cls.idempotency is not Idempotency.IDEMPOTENT or held.attempts or self.trials < 1:
            return None
        for host in self.subset.failing:
            rested = not host.open and self.now >= host.down_until and host not in tried
            if rested and self._may_send(held, host) and self._spared(host, held.work):
                self.trials -= 1
                return host
        return None

    def _least(self, held: _Held, tried: list[_Host], hosts: Iterable[_Host]) -> _Host | None:
        """The least loaded of some warm hosts; of equal ones that which has waited longest.

        Speed is partly noise of what others send; weighing it in full would herd us onto one host. No zone is
        preferred: where traffic leans to one for good, its hosts alone would bear it.
        """
        best, best_score = None, 0.0
        kept_ms = KEPT_SHARE * self.s.idle_connection_timeout_ms
        round_ms = self.subset.round_ms
        for host in hosts:
            if host.fails or not self._may_send(held, host):
                continue
            # In turn: so the connections to all of a subset are kept, by all alike, and one that was slow by
            # chance is not left for good.
            score = (host.open + 1) * host.slow**0.5 / host.weight
            score *= 1.3 + 0.1 * self.rng.random() - 0.1 * min((self.now - host.sent_at) / round_ms, 3.0)
            if self.thin and self.now - host.idle_at > kept_ms:
                score *= DIAL  # each new one costs a handshake, and fills a table that all share
            if host in tried:
                score *= 4
            if best is None or score < best_score:
                best, best_score = host, score
        return best

    def _unwell(self, host: _Host) -> bool:
        """Worse than its fellows. When all are slow or failing none is: then it is f that must act."""
        return host.slow > BAD * self.mid or (host.fails > 0 and not self.many_fail)

    def _judge(self, held: _Held, host: _Host, event: AttemptEnded) -> None:
        """What an outcome says of its host."""
        usual = self._usual(held)
        if event.result == AttemptResult.OK:
            if host.died:
                # A host back from the dead is cold long before the list says so.
                host.cold_from_ms, host.died = max(host.cold_from_ms, self.now), False
                self.subset.stale = True
            self.subset.stale |= host.fails > 0
            host.strikes = host.fails = 0
            host.slow += GAIN * (min(event.duration_ms / usual, 20.0) - host.slow)
            host.idle_at = self.now
            units = max(event.actual_units or held.req.units, 1e-6)
            self.answers[held.cls.name] += 1
            weight = max(GAIN / 4, 1 / (self.answers[held.cls.name] + 1))  # the start weighs as one answer
            self.latency[held.cls.name] += weight * (event.duration_ms / units - self.latency[held.cls.name])
            self.done += 1
        elif event.result == AttemptResult.CONNECT_FAILED:
            # A reset, unlike this, is one connection's end: a dead host refuses the next dial.
            host.died = True
            self._down(host)
        elif event.result in (AttemptResult.CONNECTION_RESET, AttemptResult.NOT_SENT):
            host.strikes += 1
            if host.fails or host.strikes >= STRIKES:
                self._down(host)
        elif event.result in (AttemptResult.ERROR, AttemptResult.TIMED_OUT, AttemptResult.OVERLOADED):
            host.slow += GAIN * (min(max(held.cls.latency_objective_ms / usual, 2.0), 20.0) - host.slow)
            late = event.result == AttemptResult.TIMED_OUT and self._unwell(host)
            host.strikes += late or event.result == AttemptResult.ERROR
            if host.fails or host.strikes >= STRIKES:
                self._down(host)

    def _down(self, host: _Host) -> None:
        if host.fails and self.now < host.down_until:
            return
        host.down_until = self.now + min(BACKOFF_MS * 2**host.fails, BACKOFF_MAX_MS)
        host.fails = min(host.fails + 1, 10)
        self.subset.stale = True
        self._say("host", f"{host.name} fails: resting it")

    def _may_send(self, held: _Held, host: _Host) -> bool:
        """The rules on drains and repeats, for every send."""
        if not host.up or len(held.attempts) >= self.s.max_attempts or held.answered or held.stream:
            return False
        if not self.s.hedging_allowed and any(a.open for a in held.attempts):
            return False
        risky = [a for a in held.attempts if a.ran]
        if not risky or held.cls.idempotency is Idempotency.IDEMPOTENT:
            return True
        if held.cls.idempotency is Idempotency.NOT_IDEMPOTENT or self._window_left(held) < 0:
            return False
        scope = held.cls.idempotency_key_scope
        return scope is KeyScope.ALL or all(
            a.host.zone == host.zone
            and (scope is KeyScope.ZONE or a.host.failure_domain == host.failure_domain)
            for a in risky
        )

    def _window_left(self, held: _Held) -> float:
        """How long a repeat may still be written: the window runs from the decision on the first attempt that
        may have run."""
        first = next((a.sent for a in held.attempts if a.ran), None)
        if first is None or held.cls.idempotency is not Idempotency.WITH_KEY:
            return math.inf
        return first + held.cls.idempotency_window_ms - 2 * self.s.clock_tick_ms - self.now

    def _send(self, held: _Held, host: _Host) -> None:
        """One attempt, given up when it can no longer be in time, or when it is better asked for again.

        While answers get lost beside fast ones, what may be repeated ends early.
        """
        timeout = max(held.aim_at - self.now - self.s.clock_tick_ms, min(1.0, held.end_at - self.now))
        early = max(timeout / 2, PATIENCE * self._usual(held))
        if (
            self.admission.occupancy.lost > LOST
            and held.cls.idempotency is not Idempotency.NOT_IDEMPOTENT
            and self.bank >= 1
            and len(held.attempts) + 1 < self.s.max_attempts
            and early + self._usual(held) < timeout
        ):
            timeout = early
        write_by = self._window_left(held)
        block = self.admission.occupancy.classes[held.cls.name].send(self.now)
        held.attempts.append(_Attempt(host, self.now, block))
        host.open += 1
        host.sent_at = self.now
        self.out_now += 1
        self.sends += 1
        if self._warmth(host) < 1:
            host.credit -= held.work
        else:
            self.warm_work += held.work
        self.out.append(StartAttempt(held.req.request_id, host.name, timeout, write_by))

    def _answer(self, held: _Held) -> None:
        """The final answer of a request that will not be served."""
        may_have_run = any(a.ran for a in held.attempts)  # then a refusal would promise too much
        if may_have_run:
            self.out.append(FailRequest(held.req.request_id))
        else:
            self._refuse(held.req.request_id)
        self._finish(held)

    def _finish(self, held: _Held | None) -> None:
        """No more is sent; attempts still out are called off, and awaited."""
        if held is None:
            return
        still = [i for i, a in enumerate(held.attempts) if a.open]
        if self.s.cancellation_supported and not held.stream and not held.answered:
            self.out.extend(CancelAttempt(held.req.request_id, i) for i in still)
        held.answered = True
        if not still and self.held.pop(held.req.request_id, None) is not None:
            held.use.open -= 1

    def _stream_started(self, event: ResponseStarted) -> None:
        held = self.held.get(event.request_id)
        if held is not None:
            held.stream = True

    def _outcome(self, event: AttemptEnded) -> None:
        held = self.held.get(event.request_id)
        if held is None or not 0 <= event.attempt < len(held.attempts):
            return
        attempt = held.attempts[event.attempt]
        if not attempt.open:
            return
        attempt.open = False
        attempt.host.open -= 1
        self.out_now -= 1
        attempt.ran = not event.result.never_ran
        self._sample(held, attempt, event)
        if event.result != AttemptResult.NOT_STARTED:
            self._judge(held, attempt.host, event)
        if event.result == AttemptResult.OK and event.actual_units > 0 and held.use.plan.quota_rate > 0:
            self._spend(held.use, event.actual_units - held.req.units)
            self._sync(held.use)
        if event.is_final or event.result == AttemptResult.OK or held.answered:
            self._finish(held)
        elif not any(a.open for a in held.attempts):
            # Another host does not mend a bound of our own; asking it again at once is a loop.
            if event.result == AttemptResult.LOCAL_LIMIT or not self._again(held, event):
                self._answer(held)

    def _usual(self, held: _Held) -> float:
        return self.latency[held.cls.name] * max(held.req.units, 1e-6)

    def _again(self, held: _Held, event: AttemptEnded) -> bool:
        """A further attempt if it can be in time and is paid for, by what the last one cost the hosts."""
        price = 1.0
        if event.result in BROKEN:
            price = min(event.duration_ms / max(self._usual(held), 1e-6), 1.0)
        if self.bank < price or held.aim_at - self.now <= max(self._usual(held), 2 * self.s.clock_tick_ms):
            return False
        host = self._pick(held)
        if host is not None:
            self.bank -= price
            self._send(held, host)
        return host is not None

    def _sweep(self) -> None:
        span = max(self.now - self.sweep_due + SWEEP_MS, 1.0)
        # A rate of two a second means nothing over one second: its memory holds some outcomes, too.
        memory = max(RATE_MEMORY_MS, 3 * FEW / max(self.done_rate, 1e-9))
        memory = min(memory, self.now - self.born)
        keep = memory / (memory + span)
        self.done_rate = keep * self.done_rate + (1 - keep) * self.done / span
        subset = self.subset.chosen(self.now)
        slow = sorted(h.slow for h in subset)
        self.mid = max(slow[len(slow) // 2], 1.0) if slow else 1.0
        self.many_fail = 2 * len(subset.failing) > len(slow)
        if subset.warm:
            self.warm_rate = keep * self.warm_rate + (1 - keep) * self.warm_work / span / len(subset.warm)
        self.done = self.warm_work = 0.0
        out = self.out_now / max(len(self.hosts), 1)
        self.admission.per_host = keep * self.admission.per_host + (1 - keep) * out
        self.admission.forget(keep)
        self._update_f()
        self._size_subset(span)
        for use in list(self.askers):
            if self.now - use.call_at > self.s.counter_timeout_ms + SWEEP_MS:  # a reply that never comes
                use.calling = False
                self._settle(use)
        for use in list(islice(self.uses.values(), LOOKS)):
            if self._stale(use):
                self._forget(use)
        self.sweep_due = self.now + SWEEP_MS
        self.out.append(StartTimer("sweep", SWEEP_MS))

    def _size_subset(self, span: float) -> None:
        """As many hosts as our traffic visits often, more while they are pressed or failing."""
        memory = min(SUBSET_MEMORY_MS, self.now - self.born)
        keep = memory / (memory + span)
        self.send_rate = keep * self.send_rate + (1 - keep) * self.sends / span
        self.let_in_rate = keep * self.let_in_rate + (1 - keep) * self.let_in / span
        self.sends, self.let_in = 0, 0.0
        pressed = self.admission.fraction < 0.9 or self.many_fail or 2 * self.out_now > len(self.subset.warm)
        self.grow = min(self.grow * GROW, GROW_MOST) if pressed else max(self.grow * SHRINK, 1.0)
        # Subsets smaller than our part of the ring would leave hosts that nobody works with.
        cover = min(COVER * len(self.subset.ring) / self.s.fleet_size, self.send_rate * SPARSE_MS)
        self.subset.resize(max(SUBSET_MIN, self.send_rate * PAIR_MS, cover) * self.grow)
        self.subset.round_ms = min(len(self.subset.warm) / max(self.send_rate, 1e-9), 10 * PAIR_MS) or PAIR_MS
        visits = self.send_rate * KEPT_SHARE * self.s.idle_connection_timeout_ms
        self.thin = visits < REUSE * len(self.subset.warm)

    def _stale(self, use: _Use) -> bool:
        memory = self._window_ms(use.plan) if use.plan.quota_rate > 0 else RATE_MEMORY_MS
        return self.now - use.seen >= FORGET_WINDOWS * memory and self._may_forget(use)

    def _may_forget(self, use: _Use) -> bool:
        plan = use.plan
        # A forgotten ceiling part starts anew from our start: only one that would be full again may go.
        full = (self.now - use.seen) * plan.ceiling_rate >= 1000 * plan.ceiling_burst
        return not use.open and not use.asking and full

    def _say(self, cause: str, text: str) -> None:
        if self.now - self.said.get(cause, -1e9) >= 5000:
            self.said[cause] = self.now
            self.out.append(WriteLog(text))
