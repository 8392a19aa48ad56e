"""Fixtures of the policy's tests."""

from __future__ import annotations

import pytest

from tests.policy.sample_classes import IDEMPOTENT, NON_IDEMPOTENT
from tests.policy.simulated_host import SimulatedHost, make_host


@pytest.fixture
def host() -> SimulatedHost:
    """Six endpoints and one idempotent class."""
    return make_host()


@pytest.fixture
def two_class_host() -> SimulatedHost:
    """Six endpoints that recover within seconds, health checks, and a non-idempotent class of index 1."""
    return make_host(IDEMPOTENT, NON_IDEMPOTENT, health_checks_allowed=True, warm_up_ms=1000.0)
