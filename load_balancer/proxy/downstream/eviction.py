"""Eviction: which connections may be closed to admit a new one, and in which order they are considered."""

from __future__ import annotations

from collections.abc import Iterator
from enum import IntEnum
from itertools import islice
from typing import Generic, Protocol, TypeVar

from load_balancer.proxy.downstream.client_transport import ClientTransport
from load_balancer.proxy.downstream.connection_state import (
    CLOSING,
    IDLE,
    RECEIVING,
    RESPONSE_DUE,
    ConnectionPhase,
)
from load_balancer.proxy.observability.counters import CloseReason

SCAN_LIMIT = 8  # connections that are examined at the head of each queue, for each new connection
EVICTABLE_AFTER_S = 0.5  # a request that is not complete by then does not protect its connection any more

Connection = TypeVar("Connection")


class EvictionPriority(IntEnum):
    """The order in which connections are closed to admit a new one, the lowest value first.

    Without eviction, clients with requests would be refused while unused connections fill the table.
    """

    FINISHED = 0
    """Its last response has been written."""

    IDLE_UNUSED = 1
    """It is between requests and never brought one for the servers.

    A burst of unused connections must not make a client with requests open a new connection."""

    IDLE = 2
    """It is between requests, and has brought one for the servers."""

    REQUEST_INCOMPLETE = 3
    """A request has begun and is not complete."""


class EvictableConnection(Protocol):
    """A connection as its eviction sees it.

    Attributes:
        transport: its transport.
        waiting_since: when it was opened, a response was last written, or a request last began after a
            response (monotonic, seconds).
        brought_request: it has brought a request for the servers.
    """

    transport: ClientTransport
    waiting_since: float
    brought_request: bool

    @property
    def phase(self) -> ConnectionPhase:
        """What the connection waits for."""

    def has_unread_input(self) -> bool:
        """Whether input that will be accepted has arrived and is not read yet."""

    def abort(self, reason: CloseReason) -> None:
        """Close at once."""

    def close(self, reason: CloseReason) -> None:
        """Close when what was written has been sent."""


def eviction_priority(connection: EvictableConnection) -> EvictionPriority | None:
    """The priority by the connection's phase; None while it has a request open."""
    phase = connection.phase
    if phase is RESPONSE_DUE:
        return None
    if phase is CLOSING:
        return EvictionPriority.FINISHED
    if phase is RECEIVING:
        return EvictionPriority.REQUEST_INCOMPLETE
    return EvictionPriority.IDLE if connection.brought_request else EvictionPriority.IDLE_UNUSED


def is_evictable(connection: EvictableConnection, now: float, unused_grace_s: float) -> bool:
    """Whether the connection may be closed right now.

    Args:
        connection: a connection that is queued for eviction.
        now: monotonic time in seconds.
        unused_grace_s: for how long an idle connection that brought no request yet is spared.  A client
            connects because it has a request: without this time each client of a burst would evict the one
            before it, whose request is on its way, while idle connections stay open.
    """
    phase = connection.phase
    waited_s = now - connection.waiting_since
    if phase is CLOSING:
        return not connection.transport.has_unsent_output()
    if phase is IDLE:
        grace_is_over = connection.brought_request or waited_s >= unused_grace_s
        # A request that lies unread counts as accepted.
        return grace_is_over and not connection.has_unread_input()
    return waited_s > EVICTABLE_AFTER_S


def evict(connection: EvictableConnection) -> None:
    """Close the connection: at once after its last response, else when what was written has been sent."""
    if connection.phase is CLOSING:
        connection.abort(CloseReason.EVICTED)
    else:
        connection.close(CloseReason.EVICTED)


class EvictionQueues(Generic[Connection]):
    """One queue for each priority, in each the connection that has waited longest first.

    In a burst of new connections, finding one to close must not scan all connections for each of them.
    """

    def __init__(self) -> None:
        self._queues: tuple[dict[Connection, None], ...] = tuple({} for _ in EvictionPriority)
        self._priorities: dict[Connection, EvictionPriority] = {}

    def __len__(self) -> int:
        return len(self._priorities)

    def count(self, priority: EvictionPriority) -> int:
        """How many connections are queued with this priority."""
        return len(self._queues[priority])

    def priority_of(self, connection: Connection) -> EvictionPriority | None:
        """The priority that the connection is queued with; None if it is in no queue."""
        return self._priorities.get(connection)

    def enqueue(self, connection: Connection, priority: EvictionPriority | None) -> None:
        """Put the connection at the end of the queue of its priority; None only removes it."""
        self.remove(connection)
        if priority is not None:
            self._queues[priority][connection] = None
            self._priorities[connection] = priority

    def remove(self, connection: Connection) -> None:
        """Take the connection out of its queue, if it is in one."""
        priority = self._priorities.pop(connection, None)
        if priority is not None:
            del self._queues[priority][connection]

    def candidates(self) -> Iterator[Connection]:
        """The connections to examine, by priority; the iteration ends at the first change."""
        for queue in self._queues:
            yield from islice(queue, SCAN_LIMIT)
