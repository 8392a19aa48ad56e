"""The server for clients, which composes the listener, the connections, their timeouts and the routing."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from load_balancer.proxy.downstream.connection import DownstreamConnection
from load_balancer.proxy.downstream.connection_state import IDLE
from load_balancer.proxy.downstream.connection_table import ConnectionTable
from load_balancer.proxy.downstream.disconnect_poller import DisconnectPoller
from load_balancer.proxy.downstream.input_pacer import InputPacer
from load_balancer.proxy.downstream.listener import Listener
from load_balancer.proxy.downstream.memory_budget import MemoryBudget
from load_balancer.proxy.downstream.request_parsing import RequestParser
from load_balancer.proxy.downstream.request_router import OVERLOAD_RETRY_AFTER, AcceptRequest, RequestRouter
from load_balancer.proxy.downstream.response_slot import ResponseSlot
from load_balancer.proxy.downstream.timeouts import TIMEOUT_CHECK_INTERVAL_S, enforce_timeouts
from load_balancer.proxy.event_loop.loop_iterations import LoopIterations
from load_balancer.proxy.http.reader import HttpMessage
from load_balancer.proxy.observability.counters import CloseReason, NodeCounters
from load_balancer.proxy.observability.rule_monitor import RuleMonitor


class DownstreamServer:
    """The listening socket and all client connections.

    Attributes:
        iterations: provides the earliest time at which input can have arrived.
        counters: counts responses and closed connections.
        rules: records rule violations.
        pacer: limits the bulk input that one iteration of the event loop reads.
        draining: whether the node is draining, so that responses close their connections.
        last_activity: when a connection was last opened or a request was last read (monotonic, seconds).
        memory: counts the memory that the connections hold.
        table: the table of the open connections, which also evicts connections.
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
        max_memory_bytes: int,
    ) -> None:
        self.iterations = iterations
        self.counters = counters
        self.rules = rules
        self.pacer = InputPacer()
        self.draining = False
        self.last_activity = 0.0
        self.memory: MemoryBudget[DownstreamConnection] = MemoryBudget(max_memory_bytes)
        self.table = ConnectionTable(max_connections)
        self.router = RequestRouter(
            parser,
            accept_request,
            lambda: is_ready() and not self.draining,
            self.table.is_over_limit,
            self.memory,
        )
        self.disconnect_poller = DisconnectPoller()
        self._listener = Listener(
            lambda accepted_after: DownstreamConnection(self, accepted_after), self._has_capacity, iterations
        )
        self._loop = asyncio.get_running_loop()
        self._timeout_check_timer = self._loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts)

    # State.

    @property
    def connections(self) -> frozenset[DownstreamConnection]:
        """The open connections, without evicted connections that are still closing."""
        return frozenset(self.table)

    @staticmethod
    def now() -> float:
        """Return the monotonic time in seconds.

        The event loop's own time is too coarse to determine which connection has been idle longest.
        """
        return time.monotonic()

    def is_listening(self) -> bool:
        """Return whether the listening socket is open."""
        return self._listener.is_listening()

    def is_busy(self) -> bool:
        """Return whether a response is due or unsent, a request is arriving, or a connection is pending."""
        busy = any(c.is_busy() or c.has_unread_input() for c in self.table)
        return busy or self._listener.has_pending_connections()

    # Lifecycle.

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Listen on this address only.

        Returns:
            The address with the port that was bound.

        Raises:
            OSError: the node cannot listen on the address.
        """
        return self._listener.listen(address)

    def drain(self) -> None:
        """Start to drain: responses close their connections from now on, and idle connections close at once.

        Two kinds of idle connections stay open.  The first kind has had no response yet: its client has
        connected to send a request, which would fail if the connection were closed.  The second kind has
        unread input, which counts as an accepted request.
        """
        self.draining = True
        idle = [c for c in self.table if c.phase is IDLE and c.answered and not c.has_unread_input()]
        for connection in idle:
            connection.close(CloseReason.DRAINED)

    def reject_requests(self) -> None:
        """Reject every request under /api from now on.  Open requests can still be answered."""
        self.router.rejects_all = True

    def close(self) -> None:
        """Close the listening socket and abort every connection."""
        self._timeout_check_timer.cancel()
        self.disconnect_poller.cancel()
        self.pacer.cancel()
        self._listener.close()
        for connection in list(self.table):
            connection.abort(CloseReason.STOPPED)

    # Connections.

    def _has_capacity(self) -> bool:
        """Return whether one more connection may be accepted, and evict a connection if not.

        The evicted connection counts as open until it is closed, so the capacity is available only later.
        """
        if self.table.has_capacity(self._listener.opening):
            return True
        self.table.evict_one()
        return False

    def connection_opened(self, connection: DownstreamConnection) -> None:
        """Handle a newly accepted connection, and evict another connection if the limit is exceeded."""
        self.table.add(connection)
        self.last_activity = self.now()
        if self.table.is_over_limit():
            self.table.evict_one(connection)

    def connection_closed(self, connection: DownstreamConnection) -> None:
        """Handle a connection that has been closed or lost."""
        self.table.remove(connection)
        self.disconnect_poller.remove(connection)
        self.pacer.remove(connection)
        self.memory.remove(connection)
        self._listener.connection_closed()

    def reading_paused(self, connection: DownstreamConnection) -> None:
        """Start to poll a connection that is no longer read, to detect when its client leaves."""
        self.disconnect_poller.add(connection)

    def reading_resumed(self, connection: DownstreamConnection) -> None:
        """Stop polling a connection that is read again."""
        self.disconnect_poller.remove(connection)

    def _check_timeouts(self) -> None:
        self._timeout_check_timer = self._loop.call_later(TIMEOUT_CHECK_INTERVAL_S, self._check_timeouts)
        now = self.now()
        for connection in list(self.table):
            enforce_timeouts(connection, now)

    # Requests.

    def route(self, message: HttpMessage, slot: ResponseSlot) -> bool:
        """Answer a request or pass it on to be forwarded.

        Returns:
            Whether it was a valid request under /api.

        Raises:
            HttpMessageError: the request is invalid, or the node does not serve its path or method.
        """
        self.last_activity = self.now()
        return self.router.route(message, slot)

    def release_memory(self, slot: ResponseSlot) -> None:
        """Stop counting the request of this slot towards the limit on memory."""
        self.router.release_memory(slot)

    def shed_incomplete_requests(self) -> None:
        """Refuse incomplete requests while more memory is held than allowed, if there are any.

        A request that is not complete has not been accepted, so its client may send it again.
        """
        while (connection := self.memory.excess_holder()) is not None:
            self.counters.shed_incomplete += 1
            connection.refuse_incomplete_request(503, OVERLOAD_RETRY_AFTER)
