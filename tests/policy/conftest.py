"""Fixtures for the tests of the policy."""

from __future__ import annotations

import pytest

from tests.policy.sample_classes import IDEMPOTENT, NON_IDEMPOTENT
from tests.policy.simulated_host import SimulatedHost, make_host


@pytest.fixture
def host() -> SimulatedHost:
    """Return a simulated host with six endpoints and one idempotent request class."""
    return make_host()


@pytest.fixture
def two_class_host() -> SimulatedHost:
    """Return a simulated host with an idempotent class (index 0) and a non-idempotent class (index 1).

    It has six endpoints that warm up within 1 s, and health checks are allowed.
    """
    return make_host(IDEMPOTENT, NON_IDEMPOTENT, health_checks_allowed=True, warm_up_ms=1000.0)
