"""The listening socket and all client connections: admission, reaping, eviction and routing."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from load_balancer.proxy.descriptors import overflow_of
from load_balancer.proxy.downstream.connection import DownstreamConnection
from load_balancer.proxy.downstream.connection_state import IDLE
from load_balancer.proxy.downstream.eviction import (
    EVICTABLE_AFTER_S,
    EvictionPriority,
    EvictionQueues,
    evict,
    eviction_priority,
    is_evictable,
)
from load_balancer.proxy.downstream.listener import Listener
from load_balancer.proxy.downstream.request_parsing import ParsedRequest, RequestParser
from load_balancer.proxy.downstream.response_slot import ResponseSlot
from load_balancer.proxy.downstream.timeouts import REAP_INTERVAL_S, enforce_timeouts
from load_balancer.proxy.event_loop.loop_iterations import LoopIterations
from load_balancer.proxy.http.reader import HttpMessage, HttpMessageError
from load_balancer.proxy.observability.counters import CloseReason, NodeCounters
from load_balancer.proxy.observability.rule_guard import RuleMonitor

# While a connection is not read only a poll of its socket reveals that the client has left.  Each attempt
# polls for itself before it begins; this ends what waits without an attempt to begin.
DISCONNECT_CHECK_S = 0.1
# Of the connection limit: with more idle connections that brought no request these evict one another.
MAX_UNUSED_FRACTION = 0.5
MIN_CROWD = 5  # connections; fewer are no crowd, however small the table
SMALL_TABLE_GRACE_S = 0.05  # for a newcomer's request to come where the table is smaller than that
OVERLOAD_RETRY_AFTER_S = 0.5

AcceptRequest = Callable[[ParsedRequest, ResponseSlot], None]


class DownstreamServer:
    """The listening socket and all connections of clients.

    Attributes:
        iterations: bounds the arrival times of what is read.
        counters: counts responses and closed connections.
        rules: gets what is found broken.
        draining: every response closes its connection.
        last_activity: when a connection or a request last came (monotonic, seconds).
        max_connections: connections that may be open; a few more are answered 503.
        max_body_bytes: the bodies of open requests may have this size together.
    """

    def __init__(
        self,
        parser: RequestParser,
        accept_request: AcceptRequest,
        is_ready: Callable[[], bool],
        iterations: LoopIterations,
        counters: NodeCounters,
        rules: RuleMonitor,
        *,
        max_connections: int,
        max_body_bytes: int,
    ) -> None:
        self.iterations = iterations
        self.counters = counters
        self.rules = rules
        self.draining = False
        self.last_activity = 0.0
        self.max_connections = max_connections
        self.max_body_bytes = max_body_bytes
        self._parser = parser
        self._accept_request = accept_request
        self._is_ready = is_ready
        self._body_bytes = 0
        self._loop = asyncio.get_running_loop()
        self._connections: set[DownstreamConnection] = set()
        self._evicted: set[DownstreamConnection] = set()  # those that are not closed yet
        self._paused: set[DownstreamConnection] = set()  # those that are not read
        self._eviction_queues: EvictionQueues[DownstreamConnection] = EvictionQueues()
        self._listener = Listener(
            lambda accepted_after: DownstreamConnection(self, accepted_after), self._has_place, iterations
        )
        self._disconnect_timer: asyncio.TimerHandle | None = None
        self._reap_timer = self._loop.call_later(REAP_INTERVAL_S, self._reap)

    # State.

    @property
    def connections(self) -> frozenset[DownstreamConnection]:
        """The connections that are open."""
        return frozenset(self._connections)

    @property
    def paused_connections(self) -> frozenset[DownstreamConnection]:
        """The connections that are not read."""
        return frozenset(self._paused)

    @property
    def eviction_queues(self) -> EvictionQueues[DownstreamConnection]:
        """The connections that may be evicted."""
        return self._eviction_queues

    @staticmethod
    def now() -> float:
        """Monotonic seconds; the loop's own time is too coarse to tell which connection is idle longest."""
        return time.monotonic()

    def is_listening(self) -> bool:
        """Whether new connections are accepted."""
        return self._listener.is_listening()

    def is_busy(self) -> bool:
        """Whether a client is still owed something, is sending, or waits to be accepted."""
        busy = any(c.is_busy() or c.has_unread_input() for c in self._connections)
        return busy or self._listener.has_waiting()

    # The listening socket.

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Listen on this address only; returns it with the port that was bound.  OSError if that fails."""
        return self._listener.listen(address)

    def _has_place(self) -> bool:
        """Whether one more connection may be accepted; else one is evicted, whose place is free later."""
        taken = len(self._connections) + len(self._evicted) + self._listener.opening
        if taken < self.max_connections + overflow_of(self.max_connections):
            return True
        self.evict_one()
        return False

    def drain(self) -> None:
        """From now on every response closes its connection, and idle ones are closed at once.

        But not those that have had no response yet: a client connects because it has a request, and one whose
        new connection is closed has been refused.  Nor those with a request that is only to be read.
        """
        self.draining = True
        idle = [c for c in self._connections if c.phase is IDLE and c.answered and not c.has_unread_input()]
        for connection in idle:
            connection.close(CloseReason.DRAINED)

    def end_input(self) -> None:
        """Accept no further connection and no further request; open requests can still be answered."""
        self._listener.close()
        for connection in list(self._connections):
            connection.end_input()

    def close(self) -> None:
        """Close the listening socket and drop every connection."""
        self._reap_timer.cancel()
        if self._disconnect_timer is not None:
            self._disconnect_timer.cancel()
        self._listener.close()
        for connection in list(self._connections):
            connection.abort(CloseReason.STOPPED)

    # Connections.

    def connection_opened(self, connection: DownstreamConnection) -> None:
        """A connection has been accepted; where there are too many, one is closed."""
        self._connections.add(connection)
        self.update_eviction(connection)
        self.last_activity = self.now()
        if self.is_over_limit():
            self.evict_one(connection)

    def connection_closed(self, connection: DownstreamConnection) -> None:
        """A connection is gone."""
        self._forget(connection)
        self._evicted.discard(connection)
        self._paused.discard(connection)
        self._listener.place_freed()

    def _forget(self, connection: DownstreamConnection) -> None:
        self._connections.discard(connection)
        self._eviction_queues.remove(connection)

    def _reap(self) -> None:
        self._reap_timer = self._loop.call_later(REAP_INTERVAL_S, self._reap)
        now = self.now()
        for connection in list(self._connections):
            enforce_timeouts(connection, now)

    def reading_paused(self, connection: DownstreamConnection) -> None:
        """From now on only a poll of its socket reveals that this client has left."""
        self._paused.add(connection)
        if self._disconnect_timer is None:
            self._start_disconnect_timer()

    def reading_resumed(self, connection: DownstreamConnection) -> None:
        """The connection is read again."""
        self._paused.discard(connection)

    def _start_disconnect_timer(self) -> None:
        self._disconnect_timer = self._loop.call_later(DISCONNECT_CHECK_S, self._check_disconnects)

    def _check_disconnects(self) -> None:
        self._disconnect_timer = None
        for connection in [c for c in self._paused if c.transport.client_has_left()]:
            self._paused.discard(connection)
            connection.end_after_client_left()
        if self._paused:
            self._start_disconnect_timer()

    # Eviction.

    def is_over_limit(self) -> bool:
        """More connections than the limit, and none could be evicted: new requests are refused."""
        return len(self._connections) > self.max_connections

    def _unused_grace_s(self) -> float:
        """For how long a connection that brought no request yet is spared when places are short.

        Where such connections fill half of the table they are a crowd, and none of them is waited for.  In a
        small table one or two of them are half of it, and say nothing: their requests are on their way.
        """
        unused = self._eviction_queues.count(EvictionPriority.IDLE_UNUSED)
        if unused <= MAX_UNUSED_FRACTION * self.max_connections:
            return EVICTABLE_AFTER_S
        return 0.0 if unused >= MIN_CROWD else SMALL_TABLE_GRACE_S

    def update_eviction(self, connection: DownstreamConnection) -> None:
        """Queue the connection for eviction by its present priority, behind the others."""
        priority = eviction_priority(connection) if connection in self._connections else None
        self._eviction_queues.enqueue(connection, priority)

    def eviction_priority_of(self, connection: DownstreamConnection) -> EvictionPriority | None:
        """The priority that the connection is queued with; None if it is not queued."""
        return self._eviction_queues.priority_of(connection)

    def evict_one(self, newest: DownstreamConnection | None = None) -> bool:
        """Close the connection that is evicted most readily; returns whether there was one."""
        now = self.now()
        unused_grace_s = self._unused_grace_s()
        for connection in self._eviction_queues.candidates():
            if connection is not newest and is_evictable(connection, now, unused_grace_s):
                self._forget(connection)
                self._evicted.add(connection)
                evict(connection)
                return True
        return False

    # Requests.

    def route(self, message: HttpMessage, slot: ResponseSlot) -> bool:
        """Take one complete request; returns whether it is one for the servers.

        Raises HttpMessageError if the node serves no such request.
        """
        self.last_activity = self.now()
        path = message.target.partition(b"?")[0]
        if path == b"/ready":
            if message.method != b"GET":
                raise HttpMessageError(400, "method")
            slot.respond(200 if self._is_ready() and not self.draining else 503)
            return False
        if path != b"/api" and not path.startswith(b"/api/"):
            raise HttpMessageError(404, "path")
        request = self._parser.parse(message, path)
        if self.is_over_limit() or self._body_bytes + len(message.body) > self.max_body_bytes:
            slot.close_after = True
            slot.respond(503, extra=b"Retry-After: %.3f\r\n" % OVERLOAD_RETRY_AFTER_S)
            return True
        slot.body_bytes = len(message.body)
        self._body_bytes += slot.body_bytes
        self._accept_request(request, slot)
        return True

    def release_body(self, slot: ResponseSlot) -> None:
        """The body of a request that is over no longer counts against the limit."""
        self._body_bytes -= slot.body_bytes
        slot.body_bytes = 0
