"""Processing of requests: one final response each, the rules on attempts, and reasons of rejections."""

from __future__ import annotations

import dataclasses
import random

import pytest
from support.gateway_driver import (
    BASIC_PLAN,
    CAPPED_PLAN,
    OPEN_PLAN,
    GatewayDriver,
    actions_of_type,
    endpoint,
)

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
    """State of one attempt, as the test tracks it."""

    endpoint: str
    sent_at_ms: float
    ends_at_ms: float
    may_have_run: bool = True
    is_in_flight: bool = True


class RandomEvents:
    """Drives a gateway with random requests, results and drains, and checks the rules on each action."""

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
        self.statuses = {f"h{i}": EndpointStatus.UP for i in range(6)}
        self.zones = {f"h{i}": "ab"[i % 2] for i in range(6)}

    def final_response_count(self, request_id: str) -> int:
        """Return how many final responses a request has."""
        rejected_or_failed = sum(
            isinstance(action, RejectRequest | FailRequest) and action.request_id == request_id
            for _, action in self.driver.action_log
        )
        return rejected_or_failed + (request_id in self.served)

    def check_actions(self, actions: list[Action]) -> None:
        """Check that each action keeps the rules."""
        for action in actions:
            if isinstance(action, StartAttempt):
                self.check_attempt(action)
            elif isinstance(action, RejectRequest):
                attempts = self.attempts.get(action.request_id, [])
                is_idempotent = self.class_names[action.request_id] == "read"
                assert is_idempotent or not any(attempt.may_have_run for attempt in attempts)

    def check_attempt(self, action: StartAttempt) -> None:
        """Check that an attempt keeps the rules on draining, final responses, hedging and retries."""
        earlier = self.attempts.setdefault(action.request_id, [])
        assert self.statuses[action.endpoint] is EndpointStatus.UP, "sent to a draining endpoint"
        assert self.final_response_count(action.request_id) == 0, "sent after the final response"
        assert action.timeout_ms > 0
        assert self.hedging_allowed or not any(attempt.is_in_flight for attempt in earlier)
        self.check_retry(action, [attempt for attempt in earlier if attempt.may_have_run])
        ends_at_ms = self.driver.now_ms + action.timeout_ms
        earlier.append(SentAttempt(action.endpoint, self.driver.now_ms, ends_at_ms))

    def check_retry(self, action: StartAttempt, may_have_run: list[SentAttempt]) -> None:
        """Check that an attempt keeps the rules on idempotency of its class."""
        class_name = self.class_names[action.request_id]
        assert class_name != "pay" or not may_have_run, "a request that is not idempotent was sent twice"
        if class_name == "put" and may_have_run:
            assert all(
                self.zones[attempt.endpoint] == self.zones[action.endpoint] for attempt in may_have_run
            )
            assert self.driver.now_ms - may_have_run[0].sent_at_ms < 3000

    def in_flight(self) -> list[tuple[str, int]]:
        """Return the attempts in flight as sorted pairs of request id and attempt number."""
        return sorted(
            (request_id, number)
            for request_id, attempts in self.attempts.items()
            for number, attempt in enumerate(attempts)
            if attempt.is_in_flight
        )

    def send_request(self) -> None:
        """Send a request of a random class."""
        class_name = self.rng.choice(["read", "put", "pay"])
        self.class_names[f"r{self.driver.serial + 1}"] = class_name
        self.check_actions(
            self.driver.send_request(class_name, remaining_time_ms=self.rng.choice([5, 400, 4000]))[1]
        )

    def end_some_attempt(self) -> None:
        """End the first attempt that has timed out; if there is none, sometimes end a random one."""
        overdue = [key for key in self.in_flight() if self.attempt(key).ends_at_ms <= self.driver.now_ms]
        if overdue:
            self.end_attempt(overdue[0], AttemptResult.TIMED_OUT)
        elif self.rng.random() < 0.6 and (in_flight := self.in_flight()):
            key = self.rng.choice(in_flight)
            self.end_attempt(key, self.rng.choice(self.RESULTS))

    def attempt(self, key: tuple[str, int]) -> SentAttempt:
        """Return the attempt with this request id and number."""
        return self.attempts[key[0]][key[1]]

    def end_attempt(self, key: tuple[str, int], result: AttemptResult, after_ms: float = 0.0) -> None:
        """Deliver the end of an attempt, and check the actions."""
        attempt = self.attempt(key)
        attempt.may_have_run, attempt.is_in_flight = not result.never_ran, False
        has_response = self.final_response_count(key[0]) > 0
        if result is AttemptResult.OK and not has_response:
            self.served.add(key[0])
        event = AttemptEnded(
            request_id=key[0],
            attempt=key[1],
            endpoint=attempt.endpoint,
            result=result,
            duration_ms=self.driver.now_ms - attempt.sent_at_ms,
            is_final=has_response or result is AttemptResult.OK,
        )
        self.check_actions(self.driver.deliver(event, after_ms))

    def drain_or_restore(self) -> None:
        """Set the status of a random endpoint to up or draining."""
        name = self.rng.choice(sorted(self.statuses))
        self.statuses[name] = self.rng.choice([EndpointStatus.UP, EndpointStatus.DRAINING])
        entry = endpoint(int(name[1:]), status=self.statuses[name])
        self.check_actions(self.driver.deliver(EndpointUpdate(UpdateKind.CHANGES, (entry,))))

    def run(self, steps: int) -> None:
        """Run a number of steps, then end all attempts in flight."""
        for step in range(steps):
            self.driver.now_ms += self.rng.expovariate(1 / 15)
            if self.rng.random() < 0.5:
                self.send_request()
            self.end_some_attempt()
            if step % 40 == 0:
                self.drain_or_restore()
            self.check_actions(self.driver.deliver(TimerFired("sweep")))
        while in_flight := self.in_flight():
            self.end_attempt(in_flight[0], AttemptResult.TIMED_OUT, after_ms=1)


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("hedging_allowed", [False, True])
def test_random_events_keep_the_rules_on_responses_retries_and_draining(
    seed: int, hedging_allowed: bool
) -> None:
    """Any order of requests, results and drains gives each request exactly one final response."""
    random_events = RandomEvents(seed, hedging_allowed)
    random_events.run(700)
    assert all(
        random_events.final_response_count(request_id) == 1 for request_id in random_events.class_names
    )
    assert not random_events.driver.gateway.pending_requests


def test_requests_that_cannot_be_served_are_rejected_once() -> None:
    """Without endpoints, with an unknown class or plan, or past the deadline: one rejection each."""
    driver = GatewayDriver(endpoints=0)
    assert len(actions_of_type(driver.send_request()[1], RejectRequest)) == 1
    driver = GatewayDriver()
    assert len(actions_of_type(driver.send_request(class_name="unknown")[1], RejectRequest)) == 1
    assert len(actions_of_type(driver.send_request(plan="unknown")[1], RejectRequest)) == 1
    assert len(actions_of_type(driver.send_request(remaining_time_ms=0)[1], RejectRequest)) == 1
    assert len(actions_of_type(driver.send_request(remaining_time_ms=-5)[1], RejectRequest)) == 1


def test_a_withdrawn_attempt_is_retried_elsewhere_at_no_cost() -> None:
    """An attempt withdrawn since its endpoint drains is no sample of the load and costs no retry tokens."""
    driver = GatewayDriver(endpoints=2)
    request_id, actions = driver.send_request("pay")
    (first,) = actions_of_type(actions, StartAttempt)
    driver.deliver(
        EndpointUpdate(
            UpdateKind.CHANGES, (endpoint(int(first.endpoint[1:]), status=EndpointStatus.DRAINING),)
        )
    )
    samples_before, tokens_before = (
        driver.gateway.admission.occupancy.pending_samples,
        driver.gateway.retry_policy.budget.tokens,
    )
    (retry,) = actions_of_type(
        driver.end_attempt(request_id, AttemptResult.WITHDRAWN, duration_ms=0), StartAttempt
    )
    assert retry.endpoint != first.endpoint and not driver.gateway.endpoints[first.endpoint].ejection_count
    assert (
        driver.gateway.admission.occupancy.pending_samples,
        driver.gateway.retry_policy.budget.tokens,
    ) == (samples_before, tokens_before)


def test_a_local_limit_rejects_the_request_at_once() -> None:
    """A limit of the gateway itself applies to all endpoints, so a retry would fail as well."""
    driver = GatewayDriver(endpoints=4)
    request_id, _ = driver.send_request()
    actions = driver.end_attempt(request_id, AttemptResult.LOCAL_LIMIT)
    assert actions_of_type(actions, RejectRequest) and not actions_of_type(actions, StartAttempt)


def test_rejections_carry_a_retry_after() -> None:
    """Rejections without endpoints and after the last attempt have one up to `max_retry_after_ms`."""
    driver = GatewayDriver(endpoints=0)
    (rejection,) = actions_of_type(driver.send_request()[1], RejectRequest)
    assert 0 < rejection.retry_after_ms <= 2000
    driver = GatewayDriver(endpoints=1, max_attempts=1)
    request_id, _ = driver.send_request()
    (rejection,) = actions_of_type(driver.end_attempt(request_id, AttemptResult.OVERLOADED), RejectRequest)
    assert 0 < rejection.retry_after_ms <= 2000


def reason_of(actions: list[Action]) -> RejectReason:
    """Return the reason of the only rejection among the actions."""
    (rejection,) = actions_of_type(actions, RejectRequest)
    return rejection.reason


def test_rejections_on_receipt_carry_their_reason() -> None:
    driver = GatewayDriver()
    assert reason_of(driver.send_request(plan="unknown")[1]) is RejectReason.UNKNOWN_CLASS_OR_PLAN
    assert reason_of(driver.send_request(remaining_time_ms=0)[1]) is RejectReason.DEADLINE_PASSED
    assert reason_of(GatewayDriver(endpoints=0).send_request()[1]) is RejectReason.NO_ENDPOINTS


def test_rejections_by_quota_and_ceiling_carry_their_reason() -> None:
    limited = dataclasses.replace(OPEN_PLAN, name="limited", max_concurrent_requests=1)
    driver = GatewayDriver(plans=(BASIC_PLAN, CAPPED_PLAN, limited), counter_enabled=False)
    driver.send_request(plan="limited")
    assert reason_of(driver.send_request(plan="limited")[1]) is RejectReason.CONCURRENCY_LIMIT
    driver.send_request(plan="basic", gateway_count=1)
    assert (
        reason_of(driver.send_request(plan="basic", units=6, gateway_count=1)[1]) is RejectReason.OVER_QUOTA
    )
    # A gateway's share of the ceiling starts empty.
    assert reason_of(driver.send_request(plan="capped")[1]) is RejectReason.CEILING


def test_rejections_by_load_and_endpoints_carry_their_reason() -> None:
    driver = GatewayDriver(endpoints=1, max_attempts=1)
    request_id, _ = driver.send_request()
    driver.gateway.admission.shares["read", "open"].admitted_fraction = 0.05
    assert reason_of(driver.send_request()[1]) is RejectReason.LOAD_SHED
    assert (
        reason_of(driver.end_attempt(request_id, AttemptResult.OVERLOADED)) is RejectReason.ATTEMPTS_EXHAUSTED
    )
    driver.deliver(EndpointUpdate(UpdateKind.CHANGES, (endpoint(0, status=EndpointStatus.DRAINING),)))
    assert reason_of(driver.send_request("put")[1]) is RejectReason.NO_ENDPOINT_AVAILABLE
