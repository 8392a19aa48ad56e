"""Tests of the clock of a node."""

from __future__ import annotations

import time

import pytest

from load_balancer.proxy.event_loop.clock import Clock


def test_clock_reads_unix_time_and_ignores_step_back(monkeypatch: pytest.MonkeyPatch) -> None:
    """Endpoints' start times are Unix times; setting the system clock back must not prolong a slow start."""
    clock = Clock()
    assert abs(clock.now() - 1000.0 * time.time()) < 1000.0
    before = clock.now()
    monkeypatch.setattr(time, "time", lambda: 0.0)
    assert clock.now() >= before
