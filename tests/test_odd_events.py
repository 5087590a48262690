"""Odd but legal settings and any order of odd events: nothing raises, no request gets two answers."""

from __future__ import annotations

import random

import pytest

from api_gateway import Gateway
from api_gateway import interface as api

RESULTS = [api.OK, api.ERROR, api.FULL, api.TIMED_OUT, api.CONNECT_FAILED, api.RESET, api.CANCELLED, api.MOOT]


def odd_settings(r: random.Random) -> api.Settings:
    classes = tuple(
        api.RequestClass(
            f"c{i}",
            aim_ms=r.choice([1, 50, 1000]),
            deadline_ms=r.choice([10, 4000]),
            worth=r.choice([0, 1, 5]),
            late_worth=r.choice([0, 0.5]),
            effect=r.choice(["safe", "keyed", "unsafe"]),
            key_scope=r.choice(["all", "zone", "cell"]),
            window_ms=r.choice([0, 100, 3000]),
            stream=r.random() < 0.3,
        )
        for i in range(3)
    )
    plans = tuple(
        api.Plan(
            f"p{i}",
            rate=r.choice([0, 0.01, 2, 50]),
            burst=r.choice([0, 1, 6]),
            parallel=r.choice([0, 2]),
            over_worth=r.choice([0, 0.5]),
            ceiling_rate=r.choice([0, 3]),
            ceiling_burst=r.choice([0, 8]),
        )
        for i in range(3)
    )
    return api.Settings(
        classes=classes,
        plans=plans,
        fleet_size=r.choice([1, 3, 300]),
        try_limit=r.choice([0, 1, 4]),
        second_copies=r.random() < 0.5,
        cancel=r.random() < 0.5,
        max_retry_after_ms=r.choice([0, 500]),
        must_ask=r.random() < 0.5,
        may_count=r.random() < 0.6,
        tick_ms=r.choice([0, 4]),
        cold_from=r.choice([0, 0.2, 1]),
        cold_ms=r.choice([0, 9000]),
        fall_multiple=r.choice([0, 3]),
        tip_after_ms=r.choice([0, 2000]),
        count_wait_ms=30,
    )


def odd_event(
    r: random.Random,
    step: int,
    now: float,
    ids: list[str],
    calls: list[str],
    sends: list[tuple[str, int, str]],
) -> api.Event:
    kind = r.choice(
        ["list", "request", "request", "request", "outcome", "outcome", "count", "other", "sweep"]
    )
    if kind == "request":
        ids.append(f"r{step}")
        return api.Request(
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
        return api.Outcome(
            rid,
            r.choice([attempt, attempt, 9]),
            r.choice([host, "zz"]),
            r.choice(RESULTS),
            r.choice([0, 50, 1e5]),
            r.random() < 0.3,
            true_units=r.choice([0, 3]),
            report=r.choice([{}, {"mean_ms": -1.0}, {"x9": 1e300}]),
        )
    if kind == "list":
        servers = [
            api.Server(
                f"h{i}",
                r.choice("ab"),
                i % 2,
                r.choice(["up", "up", "draining", "removed"]),
                r.choice([0, 1, 2]),
                r.choice([0, now]),
            )
            for i in range(r.randrange(5))
        ]
        return api.ServerList(r.choice(["full", "kept", "changes", "failed"]), tuple(servers))
    if kind == "count":
        return api.CountReply(
            r.choice(calls or ["x"]),
            r.choice([api.OK, api.FULL, api.TIMED_OUT, api.CUT]),
            r.choice([0, 5, -3, 1e9]),
        )
    if kind == "other" and ids:
        return r.choice(
            [
                api.ClientLeft(r.choice(ids)),
                api.StreamStarted(r.choice(ids), 0),
                api.TimerDue("old"),
                api.ProbeReply("h0", api.OK, 1.0, {"x9": -1.0}),
                api.ProbeReply("zz", api.TIMED_OUT, 1e9),
                api.PeerMessage(1, b"x"),
                api.PeerMessage(-1, b""),
                api.PeerMessage(10**6, bytes(256)),
            ]
        )
    return api.TimerDue("sweep")


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
            if isinstance(act, api.Send):
                assert act.request not in answered
                sends.append((act.request, sum(1 for s in sends if s[0] == act.request), act.server))
            elif isinstance(act, api.Refuse | api.Fail):
                assert act.request not in answered
                answered.add(act.request)
            elif isinstance(act, api.Count):
                calls.append(act.name)
                assert len(act.name) <= 64
    assert answered
