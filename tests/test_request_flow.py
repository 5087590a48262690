"""The way of a request: one answer in time, and the rules on attempts, whatever happens."""

from __future__ import annotations

import dataclasses
import random

import pytest
from support.gateway_driver import CAPPED, OPEN, PLAN, GatewayDriver, actions_of_type, endpoint

from api_gateway.model.actions import Action, FailRequest, RejectRequest, StartAttempt
from api_gateway.model.endpoints import EndpointStatus, UpdateKind
from api_gateway.model.events import (
    AttemptEnded,
    EndpointUpdate,
    TimerFired,
)
from api_gateway.model.results import AttemptResult, RejectReason


@dataclasses.dataclass
class SentAttempt:
    """What the test knows of one attempt."""

    endpoint: str
    sent_at_ms: float
    ends_at_ms: float
    may_have_run: bool = True
    is_in_flight: bool = True


class RandomLife:
    """A gateway between random requests, results and drains, with the rules checked at each action."""

    RESULTS = (
        AttemptResult.OK,
        AttemptResult.ERROR,
        AttemptResult.OVERLOADED,
        AttemptResult.TIMED_OUT,
        AttemptResult.CONNECT_FAILED,
        AttemptResult.CONNECTION_RESET,
    )

    def __init__(self, seed: int, hedging_allowed: bool) -> None:
        self.rng = random.Random(seed)
        self.driver = GatewayDriver(endpoints=6, seed=seed, hedging_allowed=hedging_allowed)
        self.hedging_allowed = hedging_allowed
        self.class_names: dict[str, str] = {}
        self.attempts: dict[str, list[SentAttempt]] = {}
        self.served: set[str] = set()
        self.status = {f"h{i}": EndpointStatus.UP for i in range(6)}
        self.zone = {f"h{i}": "ab"[i % 2] for i in range(6)}

    def answers(self, request_id: str) -> int:
        """How many final answers a request has."""
        rejected_or_failed = sum(
            isinstance(action, RejectRequest | FailRequest) and action.request_id == request_id
            for _, action in self.driver.log
        )
        return rejected_or_failed + (request_id in self.served)

    def check(self, actions: list[Action]) -> None:
        """Hold each action against the rules."""
        for action in actions:
            if isinstance(action, StartAttempt):
                self.check_attempt(action)
            elif isinstance(action, RejectRequest):
                attempts = self.attempts.get(action.request_id, [])
                is_repeatable = self.class_names[action.request_id] == "read"
                assert is_repeatable or not any(attempt.may_have_run for attempt in attempts)

    def check_attempt(self, action: StartAttempt) -> None:
        """Hold an attempt against the rules on drains, answers, hedging and repeats."""
        earlier = self.attempts.setdefault(action.request_id, [])
        assert self.status[action.endpoint] is EndpointStatus.UP, "sent to a draining endpoint"
        assert self.answers(action.request_id) == 0, "sent after the final answer"
        assert action.timeout_ms > 0
        assert self.hedging_allowed or not any(attempt.is_in_flight for attempt in earlier)
        self.check_repeat(action, [attempt for attempt in earlier if attempt.may_have_run])
        ends_at_ms = self.driver.now + action.timeout_ms
        earlier.append(SentAttempt(action.endpoint, self.driver.now, ends_at_ms))

    def check_repeat(self, action: StartAttempt, may_have_run: list[SentAttempt]) -> None:
        """Hold an attempt against the idempotency of its class."""
        class_name = self.class_names[action.request_id]
        assert class_name != "pay" or not may_have_run, "a request that is not idempotent was sent twice"
        if class_name == "put" and may_have_run:
            assert all(self.zone[attempt.endpoint] == self.zone[action.endpoint] for attempt in may_have_run)
            assert self.driver.now - may_have_run[0].sent_at_ms < 3000

    def in_flight(self) -> list[tuple[str, int]]:
        """The attempts in flight, by request and number, in order."""
        return sorted(
            (request_id, number)
            for request_id, attempts in self.attempts.items()
            for number, attempt in enumerate(attempts)
            if attempt.is_in_flight
        )

    def receive(self) -> None:
        """Send a request of a random class."""
        class_name = self.rng.choice(["read", "put", "pay"])
        self.class_names[f"r{self.driver.serial + 1}"] = class_name
        self.check(self.driver.ask(class_name, time_left_ms=self.rng.choice([5, 400, 4000]))[1])

    def end_some_attempt(self) -> None:
        """End the first attempt that has timed out, else now and then a random one."""
        overdue = [key for key in self.in_flight() if self.attempt(key).ends_at_ms <= self.driver.now]
        if overdue:
            self.end_attempt(overdue[0], AttemptResult.TIMED_OUT)
        elif self.rng.random() < 0.6 and (in_flight := self.in_flight()):
            key = self.rng.choice(in_flight)
            self.end_attempt(key, self.rng.choice(self.RESULTS))

    def attempt(self, key: tuple[str, int]) -> SentAttempt:
        """One attempt by request and number."""
        return self.attempts[key[0]][key[1]]

    def end_attempt(self, key: tuple[str, int], result: AttemptResult, after_ms: float = 0.0) -> None:
        """End one attempt."""
        attempt = self.attempt(key)
        attempt.may_have_run, attempt.is_in_flight = not result.never_ran, False
        is_answered = self.answers(key[0]) > 0
        if result is AttemptResult.OK and not is_answered:
            self.served.add(key[0])
        event = AttemptEnded(
            request_id=key[0],
            attempt=key[1],
            endpoint=attempt.endpoint,
            result=result,
            duration_ms=self.driver.now - attempt.sent_at_ms,
            is_final=is_answered or result is AttemptResult.OK,
        )
        self.check(self.driver.give(event, after_ms))

    def drain_or_restore(self) -> None:
        """Change the status of a random endpoint."""
        name = self.rng.choice(sorted(self.status))
        self.status[name] = self.rng.choice([EndpointStatus.UP, EndpointStatus.DRAINING])
        entry = endpoint(int(name[1:]), status=self.status[name])
        self.check(self.driver.give(EndpointUpdate(UpdateKind.CHANGES, (entry,))))

    def run(self, steps: int) -> None:
        """Live for so many steps, then end what is in flight."""
        for step in range(steps):
            self.driver.now += self.rng.expovariate(1 / 15)
            if self.rng.random() < 0.5:
                self.receive()
            self.end_some_attempt()
            if step % 40 == 0:
                self.drain_or_restore()
            self.check(self.driver.give(TimerFired("sweep")))
        while in_flight := self.in_flight():
            self.end_attempt(in_flight[0], AttemptResult.TIMED_OUT, after_ms=1)


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("hedging_allowed", [False, True])
def test_random_events_keep_the_rules_on_answers_repeats_and_drains(seed: int, hedging_allowed: bool) -> None:
    life = RandomLife(seed, hedging_allowed)
    life.run(700)
    assert all(life.answers(request_id) == 1 for request_id in life.class_names)
    assert not life.driver.gateway.pending


def test_requests_that_cannot_be_served_are_rejected_once() -> None:
    driver = GatewayDriver(endpoints=0)
    assert len(actions_of_type(driver.ask()[1], RejectRequest)) == 1
    driver = GatewayDriver()
    assert len(actions_of_type(driver.ask(cls="unknown")[1], RejectRequest)) == 1
    assert len(actions_of_type(driver.ask(plan="unknown")[1], RejectRequest)) == 1
    assert len(actions_of_type(driver.ask(time_left_ms=0)[1], RejectRequest)) == 1
    assert len(actions_of_type(driver.ask(time_left_ms=-5)[1], RejectRequest)) == 1


def test_a_withdrawn_attempt_is_retried_elsewhere_at_no_cost() -> None:
    driver = GatewayDriver(endpoints=2)
    request_id, out = driver.ask("pay")
    (first,) = actions_of_type(out, StartAttempt)
    driver.give(
        EndpointUpdate(
            UpdateKind.CHANGES, (endpoint(int(first.endpoint[1:]), status=EndpointStatus.DRAINING),)
        )
    )
    q, bank = driver.gateway.admission.occupancy.pending_samples, driver.gateway.retry_policy.budget.tokens
    (again,) = actions_of_type(driver.end(request_id, AttemptResult.WITHDRAWN, duration_ms=0), StartAttempt)
    assert again.endpoint != first.endpoint and not driver.gateway.endpoints[first.endpoint].ejection_count
    assert (
        driver.gateway.admission.occupancy.pending_samples,
        driver.gateway.retry_policy.budget.tokens,
    ) == (q, bank)


def test_a_local_limit_rejects_the_request_at_once() -> None:
    driver = GatewayDriver(endpoints=4)
    request_id, _ = driver.ask()
    out = driver.end(request_id, AttemptResult.LOCAL_LIMIT)
    assert actions_of_type(out, RejectRequest) and not actions_of_type(out, StartAttempt)


def test_rejections_tell_when_to_come_again() -> None:
    driver = GatewayDriver(endpoints=0)
    (refused,) = actions_of_type(driver.ask()[1], RejectRequest)
    assert 0 < refused.retry_after_ms <= 2000
    driver = GatewayDriver(endpoints=1, max_attempts=1)
    request_id, _ = driver.ask()
    (refused,) = actions_of_type(driver.end(request_id, AttemptResult.OVERLOADED), RejectRequest)
    assert 0 < refused.retry_after_ms <= 2000


def reason_of(actions: list[Action]) -> RejectReason:
    """The reason of the one rejection among some actions."""
    (rejection,) = actions_of_type(actions, RejectRequest)
    return rejection.reason


def test_rejections_on_receipt_tell_their_reason() -> None:
    driver = GatewayDriver()
    assert reason_of(driver.ask(plan="unknown")[1]) is RejectReason.UNKNOWN_CLASS_OR_PLAN
    assert reason_of(driver.ask(time_left_ms=0)[1]) is RejectReason.DEADLINE_PASSED
    assert reason_of(GatewayDriver(endpoints=0).ask()[1]) is RejectReason.NO_ENDPOINTS


def test_rejections_by_quota_and_ceiling_tell_their_reason() -> None:
    limited = dataclasses.replace(OPEN, name="limited", max_concurrent_requests=1)
    driver = GatewayDriver(plans=(PLAN, CAPPED, limited), counter_enabled=False)
    driver.ask(plan="limited")
    assert reason_of(driver.ask(plan="limited")[1]) is RejectReason.CONCURRENCY_LIMIT
    driver.ask(plan="basic", gateway_count=1)
    assert reason_of(driver.ask(plan="basic", units=6, gateway_count=1)[1]) is RejectReason.OVER_QUOTA
    assert reason_of(driver.ask(plan="capped")[1]) is RejectReason.CEILING  # a share starts empty


def test_rejections_by_load_and_endpoints_tell_their_reason() -> None:
    driver = GatewayDriver(endpoints=1, max_attempts=1)
    request_id, _ = driver.ask()
    driver.gateway.admission.shares["read", "open"].admitted_fraction = 0.05
    assert reason_of(driver.ask()[1]) is RejectReason.LOAD_SHED
    assert reason_of(driver.end(request_id, AttemptResult.OVERLOADED)) is RejectReason.ATTEMPTS_EXHAUSTED
    driver.give(EndpointUpdate(UpdateKind.CHANGES, (endpoint(0, status=EndpointStatus.DRAINING),)))
    assert reason_of(driver.ask("put")[1]) is RejectReason.NO_ENDPOINT_AVAILABLE
