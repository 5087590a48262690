"""Odd but legal settings and any order of odd events: nothing raises, no request gets two answers."""

from __future__ import annotations

import random

import pytest

from api_gateway import Gateway
from api_gateway.model.actions import FailRequest, IncrementCounter, RejectRequest, StartAttempt
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

RESULTS = [
    AttemptResult.OK,
    AttemptResult.ERROR,
    AttemptResult.OVERLOADED,
    AttemptResult.TIMED_OUT,
    AttemptResult.CONNECT_FAILED,
    AttemptResult.CONNECTION_RESET,
    AttemptResult.CANCELLED,
    AttemptResult.NOT_STARTED,
]


def odd_settings(r: random.Random) -> Settings:
    classes = tuple(
        RequestClass(
            f"c{i}",
            latency_objective_ms=r.choice([1, 50, 1000]),
            deadline_ms=r.choice([10, 4000]),
            priority_weight=r.choice([0, 1, 5]),
            late_priority_weight=r.choice([0, 0.5]),
            idempotency=r.choice(list(Idempotency)),
            idempotency_key_scope=r.choice(list(KeyScope)),
            idempotency_window_ms=r.choice([0, 100, 3000]),
            streamed=r.random() < 0.3,
        )
        for i in range(3)
    )
    plans = tuple(
        Plan(
            f"p{i}",
            quota_rate=r.choice([0, 0.01, 2, 50]),
            quota_burst=r.choice([0, 1, 6]),
            max_concurrent_requests=r.choice([0, 2]),
            over_quota_weight=r.choice([0, 0.5]),
            ceiling_rate=r.choice([0, 3]),
            ceiling_burst=r.choice([0, 8]),
        )
        for i in range(3)
    )
    return Settings(
        classes=classes,
        plans=plans,
        fleet_size=r.choice([1, 3, 300]),
        max_attempts=r.choice([0, 1, 4]),
        hedging_allowed=r.random() < 0.5,
        cancellation_supported=r.random() < 0.5,
        max_retry_after_ms=r.choice([0, 500]),
        discovery_by_polling=r.random() < 0.5,
        counter_enabled=r.random() < 0.6,
        clock_tick_ms=r.choice([0, 4]),
        slow_start_min_weight=r.choice([0, 0.2, 1]),
        slow_start_ms=r.choice([0, 9000]),
        overload_multiple=r.choice([0, 3]),
        overload_window_ms=r.choice([0, 2000]),
        counter_timeout_ms=30,
    )


def odd_event(
    r: random.Random,
    step: int,
    now: float,
    ids: list[str],
    calls: list[str],
    sends: list[tuple[str, int, str]],
) -> Event:
    kind = r.choice(
        ["list", "request", "request", "request", "outcome", "outcome", "count", "other", "sweep"]
    )
    if kind == "request":
        ids.append(f"r{step}")
        return RequestReceived(
            ids[-1],
            r.choice(["c0", "c1", "c2", "zz"]),
            r.choice(["p0", "p1", "p2", "zz"]),
            f"k{r.randrange(6)}",
            r.choice([-1, 0, 5, 4000]),
            r.choice([0, 0.5, 1, 4]),
            r.choice([0, 1, 2, 3, 4, 10**6]),
            r.choice([-7, 0, 1, 10**6]),
        )
    if kind == "outcome" and sends:
        rid, attempt, host = r.choice(sends)
        return AttemptEnded(
            rid,
            r.choice([attempt, attempt, 9]),
            r.choice([host, "zz"]),
            r.choice(RESULTS),
            r.choice([0, 50, 1e5]),
            r.random() < 0.3,
            actual_units=r.choice([0, 3]),
            load_report=r.choice([{}, {"mean_ms": -1.0}, {"x9": 1e300}]),
        )
    if kind == "list":
        servers = [
            Endpoint(
                f"h{i}",
                r.choice("ab"),
                i % 2,
                r.choice([EndpointStatus.UP, *EndpointStatus]),
                r.choice([0, 1, 2]),
                r.choice([0, now]),
            )
            for i in range(r.randrange(5))
        ]
        return EndpointUpdate(r.choice(list(UpdateKind)), tuple(servers))
    if kind == "count":
        return CounterReply(
            r.choice(calls or ["x"]),
            r.choice(
                [
                    CounterResult.OK,
                    CounterResult.OVERLOADED,
                    CounterResult.TIMED_OUT,
                    CounterResult.CONNECTION_LOST,
                ]
            ),
            r.choice([0, 5, -3, 1e9]),
        )
    if kind == "other" and ids:
        return r.choice(
            [
                ClientDisconnected(r.choice(ids)),
                ResponseStarted(r.choice(ids), 0),
                TimerFired("old"),
                HealthCheckEnded("h0", AttemptResult.OK, 1.0, {"x9": -1.0}),
                HealthCheckEnded("zz", AttemptResult.TIMED_OUT, 1e9),
                GossipReceived(1, b"x"),
                GossipReceived(-1, b""),
                GossipReceived(10**6, bytes(256)),
            ]
        )
    return TimerFired("sweep")


@pytest.mark.parametrize("seed", range(60))
def test_nothing_raises_and_no_answer_comes_twice(seed: int) -> None:
    r = random.Random(seed)
    gateway, now = Gateway(odd_settings(r), seed), 1e5
    ids: list[str] = []
    calls: list[str] = []
    sends: list[tuple[str, int, str]] = []
    answered: set[str] = set()
    for step in range(300):
        now += r.expovariate(1 / 20)
        for act in gateway.handle(now, odd_event(r, step, now, ids, calls, sends)):
            if isinstance(act, StartAttempt):
                assert act.request_id not in answered
                sends.append((act.request_id, sum(1 for s in sends if s[0] == act.request_id), act.endpoint))
            elif isinstance(act, RejectRequest | FailRequest):
                assert act.request_id not in answered
                answered.add(act.request_id)
            elif isinstance(act, IncrementCounter):
                calls.append(act.name)
                assert len(act.name) <= 64
    assert answered
