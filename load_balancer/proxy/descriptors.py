"""Divides the descriptor limit between downstream and upstream connections."""

from __future__ import annotations

from typing import NamedTuple

# Not divided: 20 descriptors that the process uses with nothing open, the watch and its successor, and
# connections that are being accepted or closed.
RESERVED_DESCRIPTORS = 28
DOWNSTREAM_FRACTION = 0.42  # of the remainder
MIN_DOWNSTREAM_FRACTION = 1 / 3  # of the limit: clients with requests may hold as many connections
MIN_UPSTREAM_FRACTION = 1 / 3  # of the remainder, under a tight limit
# Of the limit on downstream connections: this many connections beyond it are accepted, and answered 503 while
# no connection can be evicted.
OVERFLOW_FRACTION = 0.1
MIN_OVERFLOW = 2


class DescriptorShares(NamedTuple):
    """How many connections each side of the node may have open."""

    downstream: int
    upstream: int


def overflow_of(downstream: int) -> int:
    """How many connections beyond the limit are accepted, to be answered 503."""
    return max(MIN_OVERFLOW, int(OVERFLOW_FRACTION * downstream))


def divide_descriptors(limit: int) -> DescriptorShares:
    """Divide the limit so that neither side can use up the descriptors of the other or of discovery."""
    remainder = limit - RESERVED_DESCRIPTORS
    wanted = max(DOWNSTREAM_FRACTION * remainder, MIN_DOWNSTREAM_FRACTION * limit)
    bound = (1.0 - MIN_UPSTREAM_FRACTION) * remainder / (1.0 + OVERFLOW_FRACTION)
    downstream = max(1, int(min(wanted, bound)))
    upstream = max(1, int(remainder - downstream * (1.0 + OVERFLOW_FRACTION)))
    return DescriptorShares(downstream, upstream)
