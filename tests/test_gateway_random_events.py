"""Unusual but valid settings, and unusual events in any order: no exception, and no second final response."""

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


def random_settings(rng: random.Random) -> Settings:
    """Return valid settings, many of them at their limits."""
    classes = tuple(
        RequestClass(
            f"c{i}",
            latency_objective_ms=rng.choice([1, 50, 1000]),
            deadline_ms=rng.choice([10, 4000]),
            priority_weight=rng.choice([0, 1, 5]),
            late_priority_weight=rng.choice([0, 0.5]),
            idempotency=rng.choice(list(Idempotency)),
            idempotency_key_scope=rng.choice(list(KeyScope)),
            idempotency_window_ms=rng.choice([0, 100, 3000]),
            streamed=rng.random() < 0.3,
        )
        for i in range(3)
    )
    plans = tuple(
        Plan(
            f"p{i}",
            quota_rate=rng.choice([0, 0.01, 2, 50]),
            quota_burst=rng.choice([0, 1, 6]),
            max_concurrent_requests=rng.choice([0, 2]),
            over_quota_weight=rng.choice([0, 0.5]),
            ceiling_rate=rng.choice([0, 3]),
            ceiling_burst=rng.choice([0, 8]),
        )
        for i in range(3)
    )
    return Settings(
        classes=classes,
        plans=plans,
        fleet_size=rng.choice([1, 3, 300]),
        max_attempts=rng.choice([0, 1, 4]),
        hedging_allowed=rng.random() < 0.5,
        cancellation_supported=rng.random() < 0.5,
        max_retry_after_ms=rng.choice([0, 500]),
        discovery_by_polling=rng.random() < 0.5,
        counter_enabled=rng.random() < 0.6,
        clock_tick_ms=rng.choice([0, 4]),
        slow_start_min_weight=rng.choice([0, 0.2, 1]),
        slow_start_ms=rng.choice([0, 9000]),
        overload_multiple=rng.choice([0, 3]),
        overload_window_ms=rng.choice([0, 2000]),
        counter_timeout_ms=30,
    )


def random_event(
    rng: random.Random,
    step: int,
    now_ms: float,
    request_ids: list[str],
    count_names: list[str],
    attempts: list[tuple[str, int, str]],
) -> Event:
    """Return a random event, which may refer to unknown or finished requests.

    Args:
        rng: Source of the random draws.
        step: Number of the step, which names a new request.
        now_ms: The current time.
        request_ids: Ids of the requests so far; a new request is appended.
        count_names: Names of the counts that were called.
        attempts: Request id, number and endpoint of each attempt.
    """
    kind = rng.choice(
        ["list", "request", "request", "request", "outcome", "outcome", "count", "other", "sweep"]
    )
    if kind == "request":
        request_ids.append(f"r{step}")
        return RequestReceived(
            request_ids[-1],
            rng.choice(["c0", "c1", "c2", "zz"]),
            rng.choice(["p0", "p1", "p2", "zz"]),
            f"k{rng.randrange(6)}",
            rng.choice([-1, 0, 5, 4000]),
            rng.choice([0, 0.5, 1, 4]),
            rng.choice([0, 1, 2, 3, 4, 10**6]),
            rng.choice([-7, 0, 1, 10**6]),
        )
    if kind == "outcome" and attempts:
        request_id, attempt, endpoint_name = rng.choice(attempts)
        return AttemptEnded(
            request_id,
            rng.choice([attempt, attempt, 9]),
            rng.choice([endpoint_name, "zz"]),
            rng.choice(RESULTS),
            rng.choice([0, 50, 1e5]),
            rng.random() < 0.3,
            actual_units=rng.choice([0, 3]),
            load_report=rng.choice([{}, {"mean_ms": -1.0}, {"x9": 1e300}]),
        )
    if kind == "list":
        endpoints = [
            Endpoint(
                f"h{i}",
                rng.choice("ab"),
                i % 2,
                rng.choice([EndpointStatus.UP, *EndpointStatus]),
                rng.choice([0, 1, 2]),
                rng.choice([0, now_ms]),
            )
            for i in range(rng.randrange(5))
        ]
        return EndpointUpdate(rng.choice(list(UpdateKind)), tuple(endpoints))
    if kind == "count":
        return CounterReply(
            rng.choice(count_names or ["x"]),
            rng.choice(
                [
                    CounterResult.OK,
                    CounterResult.OVERLOADED,
                    CounterResult.TIMED_OUT,
                    CounterResult.CONNECTION_LOST,
                ]
            ),
            rng.choice([0, 5, -3, 1e9]),
        )
    if kind == "other" and request_ids:
        return rng.choice(
            [
                ClientDisconnected(rng.choice(request_ids)),
                ResponseStarted(rng.choice(request_ids), 0),
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
def test_no_event_raises_and_no_request_has_two_final_responses(seed: int) -> None:
    """Also checks that no attempt follows the final response, and that names of counts stay short."""
    rng = random.Random(seed)
    gateway, now_ms = Gateway(random_settings(rng), seed), 1e5
    request_ids: list[str] = []
    count_names: list[str] = []
    attempts: list[tuple[str, int, str]] = []
    finished: set[str] = set()
    for step in range(300):
        now_ms += rng.expovariate(1 / 20)
        for action in gateway.handle(
            now_ms, random_event(rng, step, now_ms, request_ids, count_names, attempts)
        ):
            if isinstance(action, StartAttempt):
                assert action.request_id not in finished
                attempts.append(
                    (
                        action.request_id,
                        sum(1 for s in attempts if s[0] == action.request_id),
                        action.endpoint,
                    )
                )
            elif isinstance(action, RejectRequest | FailRequest):
                assert action.request_id not in finished
                finished.add(action.request_id)
            elif isinstance(action, IncrementCounter):
                count_names.append(action.name)
                assert len(action.name) <= 64
    assert finished
