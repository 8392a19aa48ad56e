"""Requests that wait for a connection to come up."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from load_balancer.events import Outcome
from load_balancer.proxy.upstream.connection import UpstreamConnection
from load_balancer.proxy.upstream.endpoint_pool import EndpointPool
from load_balancer.proxy.upstream.request import UpstreamRequest


class WaitingRequest:
    """A request without a connection yet, and its timers.

    It connects and backs off in turn until it is over.  It connects until the connect timeout, where further
    connections are raced against a late one.  It backs off after a connect that failed on the node's own
    machine; a connection that was raced before may still come up then.

    Attributes:
        pool: the pool of its endpoint.
        request: the request.
        is_over: whether it waits no longer, as it was written or has ended.
        connects: how many connections have been started since it last began to connect.
        local_failures: how many of its connects have failed on the node's own machine.
    """

    __slots__ = (
        "_loop",
        "_next_connect",
        "_timeout",
        "connects",
        "is_over",
        "local_failures",
        "pool",
        "request",
    )

    def __init__(self, pool: EndpointPool, request: UpstreamRequest) -> None:
        self.pool = pool
        self.request = request
        self.is_over = False
        self.connects = 0
        self.local_failures = 0
        self._timeout: asyncio.TimerHandle | None = None
        self._next_connect: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()

    def begin_connecting(self, timeout_s: float, on_timeout: Callable[[WaitingRequest], None]) -> None:
        """Start the connect timeout."""
        self.connects = 0
        self._timeout = self._loop.call_later(timeout_s, on_timeout, self)

    def begin_backoff(self, delay_s: float, on_end: Callable[[WaitingRequest], None]) -> None:
        """Stop the connect timeout and the race; call back after this delay."""
        self._cancel_timers()
        self._next_connect = self._loop.call_later(delay_s, on_end, self)

    def schedule_race(self, delay_s: float, start_race: Callable[[WaitingRequest], None]) -> None:
        """Call back after this delay, unless a connection has come up or failed by then."""
        self._next_connect = self._loop.call_later(delay_s, start_race, self)

    def finish(self) -> None:
        """Wait no longer."""
        self.is_over = True
        self._cancel_timers()

    def needs_connection(self) -> bool:
        """Whether another connection would be of use to it."""
        return not (self.request.ended or self.pool.retired) and self.request.outbound.is_wanted()

    def send_on(self, connection: UpstreamConnection) -> bool:
        """Whether the request went out on a connection that has just come up; else it has ended."""
        request = self.request
        if request.ended:
            return False
        # Drained, removed or restarted: a request for that process must not reach the next one.
        wanted = not self.pool.retired and request.has_time_left() and request.outbound.is_wanted()
        if not wanted or not request.outbound.may_write():
            request.end(Outcome.NOT_SENT)
            return False
        connection.send(request)
        return True

    def _cancel_timers(self) -> None:
        if self._timeout is not None:
            self._timeout.cancel()
        if self._next_connect is not None:
            self._next_connect.cancel()


class WaitingRequests:
    """The waiting requests of all pools, of each pool in the order in which they came."""

    __slots__ = ("_by_pool",)

    def __init__(self) -> None:
        self._by_pool: dict[EndpointPool, list[WaitingRequest]] = {}

    def add(self, waiting: WaitingRequest) -> None:
        """Enter a request as the last one of its pool."""
        self._by_pool.setdefault(waiting.pool, []).append(waiting)

    def first(self, pool: EndpointPool) -> WaitingRequest | None:
        """The request of this pool that has waited longest; None where none waits."""
        queue = self._by_pool.get(pool)
        return queue[0] if queue else None

    def finish(self, waiting: WaitingRequest) -> None:
        """Take out a request, which must be in, and cancel its timers."""
        waiting.finish()
        queue = self._by_pool[waiting.pool]
        queue.remove(waiting)
        if not queue:
            del self._by_pool[waiting.pool]

    def finish_all(self) -> None:
        """Take out all requests and cancel their timers."""
        for queue in self._by_pool.values():
            for waiting in queue:
                waiting.finish()
        self._by_pool.clear()
