"""The open client connections, their limit, and the eviction of one to admit another."""

from __future__ import annotations

import time
from collections.abc import Iterator

from load_balancer.proxy.descriptors import overflow_of
from load_balancer.proxy.downstream.connection import DownstreamConnection
from load_balancer.proxy.downstream.eviction import (
    EVICTABLE_AFTER_S,
    EvictionPriority,
    EvictionQueues,
    evict,
    eviction_priority,
    is_evictable,
)

# Of the connection limit: with more idle connections that brought no request these evict one another.
MAX_UNUSED_FRACTION = 0.5
MIN_BURST_CONNECTIONS = 5  # fewer unused connections are no burst, however small the table
SMALL_TABLE_GRACE_S = 0.05  # for the request of a new connection to come where the table is smaller than that


class ConnectionTable:
    """The connections of a server.

    Attributes:
        max_connections: connections that may be open; a few more are answered 503.
    """

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self._connections: set[DownstreamConnection] = set()
        self._evicted: set[DownstreamConnection] = set()  # those that are not closed yet
        self._eviction_queues: EvictionQueues[DownstreamConnection] = EvictionQueues()

    def __iter__(self) -> Iterator[DownstreamConnection]:
        return iter(self._connections)

    @property
    def eviction_queues(self) -> EvictionQueues[DownstreamConnection]:
        """The connections that may be evicted."""
        return self._eviction_queues

    def add(self, connection: DownstreamConnection) -> None:
        """Enter a connection that has been accepted."""
        self._connections.add(connection)
        self.update_eviction(connection)

    def remove(self, connection: DownstreamConnection) -> None:
        """Remove a connection that is closed, evicted or not."""
        self._remove_open(connection)
        self._evicted.discard(connection)

    def _remove_open(self, connection: DownstreamConnection) -> None:
        self._connections.discard(connection)
        self._eviction_queues.remove(connection)

    # Limits.

    def is_over_limit(self) -> bool:
        """Whether more than the limit are open, as none could be evicted; requests are rejected."""
        return len(self._connections) > self.max_connections

    def has_capacity(self, opening: int) -> bool:
        """Whether one more connection may be accepted while this many are being opened.

        An evicted connection holds its place until it is closed.
        """
        taken = len(self._connections) + len(self._evicted) + opening
        return taken < self.max_connections + overflow_of(self.max_connections)

    # Eviction.

    def update_eviction(self, connection: DownstreamConnection) -> None:
        """Queue the connection for eviction by its present priority, behind the others."""
        priority = eviction_priority(connection) if connection in self._connections else None
        self._eviction_queues.enqueue(connection, priority)

    def refresh_eviction(self, connection: DownstreamConnection) -> None:
        """Queue the connection anew if its priority has changed; else it keeps its place."""
        if self._eviction_queues.priority_of(connection) != eviction_priority(connection):
            self.update_eviction(connection)

    def evict_one(self, newest: DownstreamConnection | None = None) -> bool:
        """Close the connection that comes first in the order of eviction.

        Args:
            newest: the connection that the place is for, which is spared.

        Returns:
            Whether there was one that could be closed.
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
        """For how long a connection that brought no request yet is spared when capacity is short.

        Where such connections fill half of the table they are a connection burst, and none of them is spared.
        In a small table one or two of them are half of it without being a burst: their requests are on
        their way.
        """
        unused = self._eviction_queues.count(EvictionPriority.IDLE_UNUSED)
        if unused <= MAX_UNUSED_FRACTION * self.max_connections:
            return EVICTABLE_AFTER_S
        return 0.0 if unused >= MIN_BURST_CONNECTIONS else SMALL_TABLE_GRACE_S
