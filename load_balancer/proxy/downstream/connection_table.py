"""The open client connections, their limit, and the eviction of a connection to admit a new one."""

from __future__ import annotations

import time
from collections.abc import Iterator

from load_balancer.proxy.descriptors import overflow_limit
from load_balancer.proxy.downstream.connection import DownstreamConnection
from load_balancer.proxy.downstream.eviction import (
    EVICTABLE_AFTER_S,
    EvictionPriority,
    EvictionQueues,
    evict,
    eviction_priority,
    is_evictable,
)

# A fraction of the connection limit.  If more connections than this are idle and unused (they have sent no
# valid request under /api), unused connections may be evicted without a grace period.
MAX_UNUSED_FRACTION = 0.5
# Fewer unused connections than this do not count as a connection burst, even if the connection limit is
# small.
MIN_BURST_CONNECTIONS = 5
# The grace period in which an unused connection is not evicted, if the number of unused connections exceeds
# MAX_UNUSED_FRACTION of the connection limit but is less than MIN_BURST_CONNECTIONS.  In this time the
# request of a new connection can arrive.
SMALL_TABLE_GRACE_S = 0.05


class ConnectionTable:
    """The open connections of a ``DownstreamServer``.

    Attributes:
        max_connections: the limit for open connections.  A few more connections are accepted.  While the
            limit is exceeded, new requests under /api are answered 503.
    """

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self._connections: set[DownstreamConnection] = set()
        self._evicted: set[DownstreamConnection] = set()  # evicted connections that are not closed yet
        self._eviction_queues: EvictionQueues[DownstreamConnection] = EvictionQueues()

    def __iter__(self) -> Iterator[DownstreamConnection]:
        return iter(self._connections)

    @property
    def eviction_queues(self) -> EvictionQueues[DownstreamConnection]:
        """The queues of the connections that may be evicted."""
        return self._eviction_queues

    def add(self, connection: DownstreamConnection) -> None:
        """Add a connection that has been accepted."""
        self._connections.add(connection)
        self.update_eviction(connection)

    def remove(self, connection: DownstreamConnection) -> None:
        """Remove a connection that is closed, whether it was evicted or not."""
        self._remove_open(connection)
        self._evicted.discard(connection)

    def _remove_open(self, connection: DownstreamConnection) -> None:
        self._connections.discard(connection)
        self._eviction_queues.remove(connection)

    # Limits.

    def is_over_limit(self) -> bool:
        """Return whether more connections than the limit are open.

        This occurs if no connection could be evicted.  New requests under /api are then rejected.
        """
        return len(self._connections) > self.max_connections

    def has_capacity(self, opening: int) -> bool:
        """Return whether one more connection may be accepted.

        An evicted connection counts as open until it is closed.

        Args:
            opening: the number of accepted connections that are not in the table yet.
        """
        taken = len(self._connections) + len(self._evicted) + opening
        return taken < self.max_connections + overflow_limit(self.max_connections)

    # Eviction.

    def update_eviction(self, connection: DownstreamConnection) -> None:
        """Move the connection to the end of the eviction queue of its current priority."""
        priority = eviction_priority(connection) if connection in self._connections else None
        self._eviction_queues.enqueue(connection, priority)

    def refresh_eviction(self, connection: DownstreamConnection) -> None:
        """Requeue the connection if its eviction priority has changed; otherwise keep its position."""
        if self._eviction_queues.priority_of(connection) != eviction_priority(connection):
            self.update_eviction(connection)

    def evict_one(self, newest: DownstreamConnection | None = None) -> bool:
        """Close the first connection in the order of eviction that may be closed.

        Args:
            newest: the new connection that needs capacity; it is not evicted.

        Returns:
            Whether a connection was closed.
        """
        now = time.monotonic()
        unused_grace_s = self._unused_grace_s()
        for connection in self._eviction_queues.candidates():
            if connection is not newest and is_evictable(connection, now, unused_grace_s):
                self._remove_open(connection)
                self._evicted.add(connection)
                evict(connection)
                return True
        return False

    def _unused_grace_s(self) -> float:
        """Return the time in seconds for which an unused connection must not be evicted.

        If unused connections fill more than half of the table, they are treated as a connection burst, and
        each of them may be evicted at once.  In a small table, one or two unused connections may exceed half
        of the table without being a burst.  They get a short grace period, because their requests may still
        arrive.
        """
        unused = self._eviction_queues.count(EvictionPriority.IDLE_UNUSED)
        if unused <= MAX_UNUSED_FRACTION * self.max_connections:
            return EVICTABLE_AFTER_S
        return 0.0 if unused >= MIN_BURST_CONNECTIONS else SMALL_TABLE_GRACE_S
