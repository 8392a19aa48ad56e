"""Fixtures of the tests of sockets."""

from __future__ import annotations

import pytest


@pytest.fixture
def no_reuse_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    """Idle connections may be used again at once."""
    monkeypatch.setattr("load_balancer.proxy.upstream.endpoint_pool.REUSE_DELAY_S", 0.0)
