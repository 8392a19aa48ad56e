"""Test of the rate limit on log lines."""

from __future__ import annotations

import logging
import time

import pytest

from load_balancer.logging_setup import LogRateLimit


def test_log_lines_over_rate_are_suppressed_and_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    now = 100.0
    monkeypatch.setattr(time, "monotonic", lambda: now)
    limit = LogRateLimit(lines_per_s=1.0, burst=3.0)

    def record() -> logging.LogRecord:
        return logging.LogRecord("x", logging.WARNING, "", 0, "event endpoint=%s", ("a",), None)

    assert [limit.filter(record()) for _ in range(5)] == [True, True, True, False, False]
    now += 1.0
    last = record()
    assert limit.filter(last) and last.getMessage() == "event endpoint=a suppressed_lines=2"
