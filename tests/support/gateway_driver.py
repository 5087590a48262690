"""Driver of one gateway in tests: its settings, clock and events."""

from __future__ import annotations

import dataclasses

from api_gateway.decisions.gateway import Gateway
from api_gateway.decisions.tenants import DEFAULT_MAX_TENANTS
from api_gateway.model.actions import Action, IncrementCounter, StartAttempt
from api_gateway.model.endpoints import Endpoint, UpdateKind
from api_gateway.model.events import (
    AttemptEnded,
    CounterReply,
    EndpointUpdate,
    Event,
    RequestReceived,
    TimerFired,
)
from api_gateway.model.results import AttemptResult, CounterResult
from api_gateway.model.settings import Idempotency, KeyScope, Plan, RequestClass, Settings

READ_CLASS = RequestClass("read", latency_objective_ms=1000, deadline_ms=4000, priority_weight=3)
PUT_CLASS = RequestClass(
    "put",
    latency_objective_ms=1000,
    deadline_ms=4000,
    priority_weight=5,
    idempotency=Idempotency.WITH_KEY,
    idempotency_key_scope=KeyScope.ZONE,
    idempotency_window_ms=3000,
)
PAY_CLASS = RequestClass(
    "pay",
    latency_objective_ms=1000,
    deadline_ms=4000,
    priority_weight=5,
    idempotency=Idempotency.NOT_IDEMPOTENT,
)
BASIC_PLAN = Plan("basic", quota_rate=2, quota_burst=6)
CAPPED_PLAN = Plan(
    "capped",
    quota_rate=5,
    quota_burst=10,
    priority_weight=1.4,
    over_quota_weight=0.2,
    ceiling_rate=10,
    ceiling_burst=20,
    ceiling_tolerance=2,
)
OPEN_PLAN = Plan("open")


def settings(**changes: object) -> Settings:
    """Return settings with three classes and three plans, with the given fields changed."""
    base = Settings(
        classes=(READ_CLASS, PUT_CLASS, PAY_CLASS),
        plans=(BASIC_PLAN, CAPPED_PLAN, OPEN_PLAN),
        fleet_size=3,
        zone="a",
        max_attempts=4,
        cancellation_supported=True,
        max_retry_after_ms=2000,
        counter_enabled=True,
        clock_tick_ms=2,
        drain_grace_ms=500,
        slow_start_min_weight=0.2,
        slow_start_ms=10000,
        overload_multiple=3,
        overload_window_ms=2000,
    )
    return dataclasses.replace(base, **changes)


class GatewayDriver:
    """Delivers events to one gateway, and logs its actions.

    Attributes:
        gateway: The gateway.
        now_ms: Time of the last event.
        serial: Number of requests sent; request ids are `r1`, `r2`, ...
        counter_values: Values of the counts at the simulated counter service, by name.
        counter_replies: Number of counter calls that `send_requests` has replied to.
        action_log: All actions, with the times of their events.
    """

    def __init__(
        self,
        endpoints: int = 4,
        seed: int = 1,
        now_ms: float = 1e6,
        max_tenants: int = DEFAULT_MAX_TENANTS,
        **changes: object,
    ) -> None:
        self.gateway = Gateway(settings(**changes), seed, max_tenants)
        self.now_ms = now_ms
        self.serial = 0
        self.counter_values: dict[str, float] = {}
        self.counter_replies = 0
        self.action_log: list[tuple[float, Action]] = []
        self.deliver(EndpointUpdate(UpdateKind.CACHED, tuple(endpoint(i) for i in range(endpoints))))

    def deliver(self, event: Event, after_ms: float = 0.0) -> list[Action]:
        """Deliver an event after a delay in milliseconds, and return the actions."""
        self.now_ms += after_ms
        actions = self.gateway.handle(self.now_ms, event)
        self.action_log += [(self.now_ms, action) for action in actions]
        return actions

    def send_request(
        self,
        class_name: str = "read",
        plan: str = "open",
        tenant: str = "c",
        remaining_time_ms: float = 4000,
        units: float = 1,
        after_ms: float = 0.0,
        gateway_count: int = 3,
    ) -> tuple[str, list[Action]]:
        """Deliver a new request after a delay in milliseconds, and return its id and the actions."""
        self.serial += 1
        request_id = f"r{self.serial}"
        return request_id, self.deliver(
            RequestReceived(request_id, class_name, plan, tenant, remaining_time_ms, units, gateway_count, 0),
            after_ms,
        )

    def end_attempt(
        self,
        request_id: str,
        result: AttemptResult = AttemptResult.OK,
        duration_ms: float = 50,
        attempt: int | None = None,
        actual_units: float = 0.0,
        after_ms: float = 0.0,
    ) -> list[Action]:
        """Deliver the end of an attempt, the last of its request by default, and return the actions."""
        starts = [a for _, a in self.action_log if isinstance(a, StartAttempt) and a.request_id == request_id]
        number = len(starts) - 1 if attempt is None else attempt
        return self.deliver(
            AttemptEnded(
                request_id,
                number,
                starts[number].endpoint,
                result,
                duration_ms,
                result == AttemptResult.OK,
                actual_units=actual_units,
            ),
            after_ms,
        )

    def sweep(self, times: int = 1, interval_ms: float = 100) -> None:
        """Fire the sweep timer a number of times, each after an interval in milliseconds."""
        for _ in range(times):
            self.deliver(TimerFired("sweep"), interval_ms)


def endpoint(i: int, **changes: object) -> Endpoint:
    """Return the list entry of endpoint `h<i>`, in zone a or b, with the given fields changed."""
    return dataclasses.replace(Endpoint(f"h{i}", "ab"[i % 2], i % 2), **changes)


def actions_of_type(actions: list[Action], action_type: type) -> list:
    """Return the actions of one type."""
    return [a for a in actions if isinstance(a, action_type)]


def counter_calls(driver: GatewayDriver) -> list[IncrementCounter]:
    """Return all counter calls of the gateway so far."""
    return [a for _, a in driver.action_log if isinstance(a, IncrementCounter)]


def send_requests(
    driver: GatewayDriver,
    count: int,
    peer_usage: float = 0.0,
    reset_counter_at: int = -1,
    **request_options: object,
) -> int:
    """Send requests, 1 ms apart, and reply to their counter calls at once.

    Args:
        driver: The gateway.
        count: Number of requests.
        peer_usage: Units that other gateways add to each count before each request.
        reset_counter_at: Index of the request before which all counts are reset to 0; -1 for none.
        request_options: Options of `GatewayDriver.send_request`.

    Returns:
        Number of requests with an attempt.
    """
    sent = 0
    for i in range(count):
        if i == reset_counter_at:
            driver.counter_values = dict.fromkeys(driver.counter_values, 0.0)
        driver.counter_values = {name: value + peer_usage for name, value in driver.counter_values.items()}
        request_id, _ = driver.send_request(after_ms=1, **request_options)
        while driver.counter_replies < len(calls := counter_calls(driver)):
            action = calls[driver.counter_replies]
            driver.counter_replies += 1
            driver.counter_values[action.name] = driver.counter_values.get(action.name, 0.0) + action.amount
            driver.deliver(CounterReply(action.name, CounterResult.OK, driver.counter_values[action.name]))
        sent += any(isinstance(a, StartAttempt) and a.request_id == request_id for _, a in driver.action_log)
    return sent


def send_request_with_counter_values(
    driver: GatewayDriver,
    units: float,
    counter_value: float,
    after_ms: float = 0.0,
    previous_counter_value: float = 0.0,
) -> list[Action]:
    """Send a request of the plan "basic" that names 20 gateways, and reply to its counter call.

    If the gateway then queries the counter value of the previous window, reply to that call, too.

    Args:
        driver: The gateway.
        units: Units of the request.
        counter_value: Counter value of the current window.
        after_ms: Time before the request, in milliseconds.
        previous_counter_value: Counter value of the previous window.

    Returns:
        All actions.
    """
    _, actions = driver.send_request(plan="basic", units=units, after_ms=after_ms, gateway_count=20)
    actions = list(actions)
    call = next(a for a in actions if isinstance(a, IncrementCounter))
    actions += driver.deliver(CounterReply(call.name, CounterResult.OK, counter_value), 2)
    last = actions[-1]
    if isinstance(last, IncrementCounter) and last.name != call.name and last.amount == 0:
        actions += driver.deliver(CounterReply(last.name, CounterResult.OK, previous_counter_value), 2)
    return actions
