"""Dispatch of events, and invalid settings."""

from __future__ import annotations

import pytest
from support.gateway_driver import (
    GatewayDriver,
    settings,
)

from api_gateway.decisions.gateway import Gateway
from api_gateway.model.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterReply,
    TimerFired,
)
from api_gateway.model.results import AttemptResult, CounterResult
from api_gateway.model.settings import Plan


def test_late_and_unknown_events_are_ignored() -> None:
    """Events of finished or unknown requests, calls and timers must not cause actions."""
    driver = GatewayDriver()
    request_id, _ = driver.send_request()
    driver.end_attempt(request_id)
    assert driver.end_attempt(request_id) == []
    assert driver.deliver(AttemptEnded("nobody", 0, "h0", AttemptResult.OK, 5, True)) == []
    assert driver.deliver(CounterReply("no.such", CounterResult.OK, 5)) == []
    assert driver.deliver(TimerFired("of an earlier life")) == []
    assert driver.deliver(ClientDisconnected("nobody")) == []


def test_errors_name_the_wrong_event_or_setting() -> None:
    """An unknown event or an invalid setting raises an error that names it."""
    driver = GatewayDriver()
    with pytest.raises(TypeError, match="not an event"):
        driver.deliver("hello")
    for changes, word in [
        ({"classes": ()}, "classes"),
        ({"gateway_index": 3}, "gateway_index"),
        ({"fleet_size": 0}, "fleet_size"),
        ({"plans": (Plan("p", quota_rate=-1),)}, "quota_rate"),
    ]:
        with pytest.raises(ValueError, match=word):
            Gateway(settings(**changes), 1)


def test_actions_of_an_event_that_raised_are_not_returned_with_the_next(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The actions added before an exception must not be returned for the next, unrelated event."""
    driver = GatewayDriver()

    def fail(*arguments: object) -> None:
        raise RuntimeError

    with monkeypatch.context() as patch:
        patch.setattr(driver.gateway.attempt_flow, "start_attempt", fail)
        with pytest.raises(RuntimeError):
            # Fails after it has added a counter call.
            driver.send_request(plan="basic", remaining_time_ms=200)
    assert driver.deliver(TimerFired("unknown")) == []
