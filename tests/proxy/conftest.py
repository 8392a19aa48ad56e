"""Fixtures of the tests of the proxy."""

from __future__ import annotations

import pytest


@pytest.fixture
def no_reuse_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let idle connections to endpoints be used again at once."""
    monkeypatch.setattr("load_balancer.proxy.upstream.endpoint_pool.REUSE_DELAY_S", 0.0)
