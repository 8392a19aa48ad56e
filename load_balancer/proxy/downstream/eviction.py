"""The rules of eviction: which connections may be closed to admit a new one, and in which order."""

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

# The number of connections that are examined at the head of each queue to find a connection to evict.
SCAN_LIMIT = 8
# A connection with an incomplete request may be evicted after this time.  Unless there is a connection burst,
# an unused connection may be evicted after this time too.
EVICTABLE_AFTER_S = 0.5

Connection = TypeVar("Connection")


class EvictionPriority(IntEnum):
    """The order in which connections are closed to admit a new one, with the lowest value first.

    Without eviction, unused connections could fill the table, so that clients with requests would be refused.
    """

    FINISHED = 0
    """The last response on the connection has been written."""

    IDLE_UNUSED = 1
    """The connection is between requests and has never sent a valid request under /api.

    Unused connections come before ``IDLE`` ones, so that a burst of unused connections does not force clients
    with requests to open new connections."""

    IDLE = 2
    """The connection is between requests and has sent a valid request under /api."""

    REQUEST_INCOMPLETE = 3
    """A part of a request has been read, and the request is not complete."""


class EvictableConnection(Protocol):
    """The interface of a connection that eviction uses.

    Attributes:
        transport: the transport of the connection.
        waiting_since: the start of the current wait (monotonic, seconds).  This is the time at which the
            connection was opened, the last response was written, or, once the connection has sent a
            response, the first input of the next request was read, whichever is latest.
        received_api_request: whether a valid request under /api has been read from the connection.
    """

    transport: ClientTransport
    waiting_since: float
    received_api_request: bool

    @property
    def phase(self) -> ConnectionPhase:
        """What the connection is waiting for."""

    def has_unread_input(self) -> bool:
        """Return whether unread input has arrived while the connection still accepts requests."""

    def abort(self, reason: CloseReason) -> None:
        """Close the connection at once and discard output that has not been sent."""

    def close(self, reason: CloseReason) -> None:
        """Close the connection once all written output has been sent."""


def eviction_priority(connection: EvictableConnection) -> EvictionPriority | None:
    """Return the eviction priority for the connection's phase, or None while a response is due."""
    phase = connection.phase
    if phase is RESPONSE_DUE:
        return None
    if phase is CLOSING:
        return EvictionPriority.FINISHED
    if phase is RECEIVING:
        return EvictionPriority.REQUEST_INCOMPLETE
    return EvictionPriority.IDLE if connection.received_api_request else EvictionPriority.IDLE_UNUSED


def is_evictable(connection: EvictableConnection, now: float, unused_grace_s: float) -> bool:
    """Return whether the connection may be closed now.

    Args:
        connection: a connection that is queued for eviction.
        now: the monotonic time in seconds.
        unused_grace_s: the time in seconds for which an idle connection that has sent no valid request under
            /api must not be evicted.  A client usually connects to send a request.  Without this grace
            period, each new client of a burst would evict the client that connected before it, although that
            client's request is about to arrive, while idle connections stay open.
    """
    phase = connection.phase
    waited_s = now - connection.waiting_since
    if phase is CLOSING:
        return not connection.transport.has_unsent_output()
    if phase is IDLE:
        grace_is_over = connection.received_api_request or waited_s >= unused_grace_s
        # A request that has arrived counts as accepted even if the event loop has not read it yet.  A close
        # would reset the connection without a response.
        return grace_is_over and not connection.has_unread_input()
    return waited_s > EVICTABLE_AFTER_S


def evict(connection: EvictableConnection) -> None:
    """Close a connection to admit a new one.

    Abort the connection if its last response has been written; otherwise close it once its output has been
    sent.
    """
    if connection.phase is CLOSING:
        connection.abort(CloseReason.EVICTED)
    else:
        connection.close(CloseReason.EVICTED)


class EvictionQueues(Generic[Connection]):
    """A queue of connections for each eviction priority, with the longest-waiting connection at the head.

    The queues avoid a scan of all connections for each new connection in a burst.
    """

    def __init__(self) -> None:
        self._queues: tuple[dict[Connection, None], ...] = tuple({} for _ in EvictionPriority)
        self._priorities: dict[Connection, EvictionPriority] = {}

    def __len__(self) -> int:
        return len(self._priorities)

    def count(self, priority: EvictionPriority) -> int:
        """Return the number of connections that are queued with this priority."""
        return len(self._queues[priority])

    def priority_of(self, connection: Connection) -> EvictionPriority | None:
        """Return the priority with which the connection is queued, or None if it is not queued."""
        return self._priorities.get(connection)

    def enqueue(self, connection: Connection, priority: EvictionPriority | None) -> None:
        """Move the connection to the end of the queue of this priority; None removes it from its queue."""
        self.remove(connection)
        if priority is not None:
            self._queues[priority][connection] = None
            self._priorities[connection] = priority

    def remove(self, connection: Connection) -> None:
        """Remove the connection from its queue, if it is queued."""
        priority = self._priorities.pop(connection, None)
        if priority is not None:
            del self._queues[priority][connection]

    def candidates(self) -> Iterator[Connection]:
        """Return an iterator over the first SCAN_LIMIT connections of each queue, in the order of eviction.

        The queues must not be changed while the iterator is in use.
        """
        for queue in self._queues:
            yield from islice(queue, SCAN_LIMIT)
