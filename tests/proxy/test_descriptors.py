"""Tests of the division of the descriptor limit between connections to clients and to endpoints.

Neither kind of connection may use up the descriptors of the other kind or the reserved descriptors.
"""

from __future__ import annotations

import pytest

from load_balancer.proxy.descriptors import OVERFLOW_FRACTION, RESERVED_DESCRIPTORS, divide_descriptors


@pytest.mark.parametrize("limit", [64, 96, 256, 1024, 65536])
def test_shares_fit_limit_with_reserve_and_overflow(limit: int) -> None:
    shares = divide_descriptors(limit)
    max_downstream = int(shares.downstream * (1.0 + OVERFLOW_FRACTION))
    assert shares.downstream > 1 and shares.upstream > 1
    assert RESERVED_DESCRIPTORS + max_downstream + shares.upstream <= limit


@pytest.mark.parametrize("limit", [16, 28, 30])
def test_each_side_has_a_connection_under_the_tightest_limits(limit: int) -> None:
    shares = divide_descriptors(limit)
    assert shares.downstream >= 1 and shares.upstream >= 1
