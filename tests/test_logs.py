"""The rate limit of log lines."""

from __future__ import annotations

import logging

import pytest

from api_gateway import logs


def record() -> logging.LogRecord:
    return logging.LogRecord("gateway", logging.INFO, "file", 1, "event", None, None)


def test_lines_beyond_the_rate_are_dropped_and_counted(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    now = 100.0
    monkeypatch.setattr(logs.time, "monotonic", lambda: now)
    rate_limit = logs.RateLimitFilter()
    passed = [rate_limit.filter(record()) for _ in range(logs.MAX_LINES_PER_S + 3)]
    assert passed == [True] * logs.MAX_LINES_PER_S + [False] * 3
    assert capsys.readouterr().err == ""
    now = 101.0
    assert rate_limit.filter(record())
    assert capsys.readouterr().err == "log_lines_dropped count=3\n"


def test_lines_within_the_rate_are_not_reported_as_dropped(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    now = 100.0
    monkeypatch.setattr(logs.time, "monotonic", lambda: now)
    rate_limit = logs.RateLimitFilter()
    assert all(rate_limit.filter(record()) for _ in range(logs.MAX_LINES_PER_S))
    now = 101.0
    assert rate_limit.filter(record())
    assert capsys.readouterr().err == ""


def test_lifecycle_lines_are_never_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(logs.time, "monotonic", lambda: 100.0)
    rate_limit = logs.RateLimitFilter()
    for _ in range(logs.MAX_LINES_PER_S + 3):
        rate_limit.filter(record())
    assert not rate_limit.filter(record())
    name = logs.lifecycle_log.name
    assert rate_limit.filter(logging.LogRecord(name, logging.INFO, "file", 1, "listening", None, None))
