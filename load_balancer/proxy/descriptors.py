"""Divides the descriptor limit between downstream and upstream connections."""

from __future__ import annotations

from typing import NamedTuple

# The number of descriptors that are left out of the division.  The process uses 20 of them when it has no
# connections.  The others are for the watch at discovery, for the watch that replaces it, and for connections
# that are being accepted or closed.
RESERVED_DESCRIPTORS = 28
DOWNSTREAM_FRACTION = 0.42  # of the descriptors that are not reserved
# The downstream share is at least this fraction of the descriptor limit, because clients with requests may
# use that many connections.  If the limit is low, MIN_UPSTREAM_FRACTION takes precedence.
MIN_DOWNSTREAM_FRACTION = 1 / 3
# The upstream share is at least this fraction of the descriptors that are not reserved.  This minimum has an
# effect only if the descriptor limit is low.
MIN_UPSTREAM_FRACTION = 1 / 3
# The node accepts this fraction of the limit on downstream connections in addition to the limit.  While no
# connection can be evicted, it answers requests on the additional connections with 503.
OVERFLOW_FRACTION = 0.1
MIN_OVERFLOW_CONNECTIONS = 2


class DescriptorShares(NamedTuple):
    """The maximum numbers of open connections.

    Attributes:
        downstream: the maximum number of connections to clients.
        upstream: the maximum number of connections to endpoints.
    """

    downstream: int
    upstream: int


def overflow_limit(downstream: int) -> int:
    """Return how many connections are accepted in addition to the limit on downstream connections."""
    return max(MIN_OVERFLOW_CONNECTIONS, int(OVERFLOW_FRACTION * downstream))


def divide_descriptors(limit: int) -> DescriptorShares:
    """Divide the limit so that neither side can use up the descriptors of the other side or of discovery."""
    remainder = limit - RESERVED_DESCRIPTORS
    preferred = max(DOWNSTREAM_FRACTION * remainder, MIN_DOWNSTREAM_FRACTION * limit)
    highest = (1.0 - MIN_UPSTREAM_FRACTION) * remainder / (1.0 + OVERFLOW_FRACTION)
    downstream = max(1, int(min(preferred, highest)))
    upstream = max(1, int(remainder - downstream * (1.0 + OVERFLOW_FRACTION)))
    return DescriptorShares(downstream, upstream)
