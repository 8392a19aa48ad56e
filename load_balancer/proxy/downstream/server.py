"""The client side of the node: composes the listener, the connections, their timeouts and the routing."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from load_balancer.proxy.downstream.connection import DownstreamConnection
from load_balancer.proxy.downstream.connection_state import IDLE
from load_balancer.proxy.downstream.connection_table import ConnectionTable
from load_balancer.proxy.downstream.disconnect_poller import DisconnectPoller
from load_balancer.proxy.downstream.listener import Listener
from load_balancer.proxy.downstream.request_parsing import RequestParser
from load_balancer.proxy.downstream.request_router import AcceptRequest, RequestRouter
from load_balancer.proxy.downstream.response_slot import ResponseSlot
from load_balancer.proxy.downstream.timeouts import REAP_INTERVAL_S, enforce_timeouts
from load_balancer.proxy.event_loop.loop_iterations import LoopIterations
from load_balancer.proxy.http.reader import HttpMessage
from load_balancer.proxy.observability.counters import CloseReason, NodeCounters
from load_balancer.proxy.observability.rule_monitor import RuleMonitor


class DownstreamServer:
    """The listening socket and all connections of clients.

    Attributes:
        iterations: bounds the arrival times of what is read.
        counters: counts responses and closed connections.
        rules: records rule violations.
        draining: every response closes its connection.
        last_activity: when a connection or a request last came (monotonic, seconds).
        table: the open connections, and their eviction.
        router: routes the requests.
        disconnect_poller: polls the connections that are not read.
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
        self.table = ConnectionTable(max_connections)
        self.router = RequestRouter(
            parser,
            accept_request,
            lambda: is_ready() and not self.draining,
            self.table.is_over_limit,
            max_body_bytes,
        )
        self.disconnect_poller = DisconnectPoller()
        self._listener = Listener(
            lambda accepted_after: DownstreamConnection(self, accepted_after), self._has_capacity, iterations
        )
        self._loop = asyncio.get_running_loop()
        self._reap_timer = self._loop.call_later(REAP_INTERVAL_S, self._reap)

    # State.

    @property
    def connections(self) -> frozenset[DownstreamConnection]:
        """The connections that are open."""
        return frozenset(self.table)

    @staticmethod
    def now() -> float:
        """Monotonic seconds; the loop's own time is too coarse to tell which connection is idle longest."""
        return time.monotonic()

    def is_listening(self) -> bool:
        """Whether new connections are accepted."""
        return self._listener.is_listening()

    def is_busy(self) -> bool:
        """Whether a response is due, a client is sending, or a connection waits to be accepted."""
        busy = any(c.is_busy() or c.has_unread_input() for c in self.table)
        return busy or self._listener.has_pending_connections()

    # Lifecycle.

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Listen on this address only; returns it with the port that was bound.  OSError if that fails."""
        return self._listener.listen(address)

    def drain(self) -> None:
        """From now on every response closes its connection, and idle ones are closed at once.

        Two kinds of idle connections stay open.  One that has had no response yet: its client has connected
        to send a request, and the close would refuse it.  And one with a request that is not read yet.
        """
        self.draining = True
        idle = [c for c in self.table if c.phase is IDLE and c.answered and not c.has_unread_input()]
        for connection in idle:
            connection.close(CloseReason.DRAINED)

    def end_input(self) -> None:
        """Accept no further connection and no further request; open requests can still be answered."""
        self._listener.close()
        for connection in list(self.table):
            connection.end_input()

    def close(self) -> None:
        """Close the listening socket and drop every connection."""
        self._reap_timer.cancel()
        self.disconnect_poller.cancel()
        self._listener.close()
        for connection in list(self.table):
            connection.abort(CloseReason.STOPPED)

    # Connections.

    def _has_capacity(self) -> bool:
        """Whether one more connection may be accepted; else one is evicted, which frees its place later."""
        if self.table.has_capacity(self._listener.opening):
            return True
        self.table.evict_one()
        return False

    def connection_opened(self, connection: DownstreamConnection) -> None:
        """A connection has been accepted; where there are too many, one is closed."""
        self.table.add(connection)
        self.last_activity = self.now()
        if self.table.is_over_limit():
            self.table.evict_one(connection)

    def connection_closed(self, connection: DownstreamConnection) -> None:
        """A connection is gone."""
        self.table.remove(connection)
        self.disconnect_poller.remove(connection)
        self._listener.connection_closed()

    def reading_paused(self, connection: DownstreamConnection) -> None:
        """From now on only a poll of its socket reveals that this client has left."""
        self.disconnect_poller.add(connection)

    def reading_resumed(self, connection: DownstreamConnection) -> None:
        """The connection is read again."""
        self.disconnect_poller.remove(connection)

    def _reap(self) -> None:
        self._reap_timer = self._loop.call_later(REAP_INTERVAL_S, self._reap)
        now = self.now()
        for connection in list(self.table):
            enforce_timeouts(connection, now)

    # Requests.

    def route(self, message: HttpMessage, slot: ResponseSlot) -> bool:
        """Take a request; returns whether it is one for the servers.  HttpMessageError if it is invalid."""
        self.last_activity = self.now()
        return self.router.route(message, slot)

    def release_body(self, slot: ResponseSlot) -> None:
        """Count the body of a finished request no longer against the limit."""
        self.router.release_body(slot)
