"""The connections that may be closed to admit a new one, in the order in which they are considered."""

from __future__ import annotations

from collections.abc import Iterator
from enum import IntEnum
from itertools import islice
from typing import Generic, TypeVar

SCAN_LIMIT = 8  # connections that are examined at the head of each queue, for each new connection

Connection = TypeVar("Connection")


class EvictionPriority(IntEnum):
    """How readily a connection is closed to admit a new one, the readiest first.

    Guards against refusing clients with requests while the table is full of connections of no use.
    """

    FINISHED = 0
    """Its last response has been written."""

    IDLE_UNUSED = 1
    """It never brought a request for the servers.  These go before those of clients with requests: a crowd of
    them is no reason to make such a client open a new connection."""

    IDLE = 2
    """It is between requests."""

    REQUEST_INCOMPLETE = 3
    """A request has begun and is not complete."""


class EvictionQueues(Generic[Connection]):
    """One queue for each priority, in each the connection that has waited longest first.

    Finding one to close must not scan all connections for each one of a crowd of newcomers.
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
        """The connections to examine, the readiest first; the iteration ends at the first change."""
        for queue in self._queues:
            yield from islice(queue, SCAN_LIMIT)
