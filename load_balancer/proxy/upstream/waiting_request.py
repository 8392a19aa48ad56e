"""Manages the requests that wait until a connection to their endpoint is established."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from load_balancer.events import Outcome
from load_balancer.proxy.upstream.connection import UpstreamConnection
from load_balancer.proxy.upstream.endpoint_pool import EndpointPool
from load_balancer.proxy.upstream.request import UpstreamRequest


class WaitingRequest:
    """A request that waits for a connection, with its timers.

    Until the wait is finished, the request alternates between two phases.  In the connecting phase, which
    lasts at most for the connect timeout, further connections are opened in parallel if the first one is not
    established soon.  A connect that fails on the node's own machine starts the backoff phase; connections
    that were opened in parallel before may still be established in this phase.

    Attributes:
        pool: the pool of the endpoint.
        request: the request that waits.
        is_finished: whether the wait is finished: the request was written or has ended, or the node stops.
        connects: the number of connects that were started in the current connecting phase.
        local_failures: the number of connects for this request that have failed on the node's own machine.
    """

    __slots__ = (
        "_loop",
        "_next_connect",
        "_timeout",
        "connects",
        "is_finished",
        "local_failures",
        "pool",
        "request",
    )

    def __init__(self, pool: EndpointPool, request: UpstreamRequest) -> None:
        self.pool = pool
        self.request = request
        self.is_finished = False
        self.connects = 0
        self.local_failures = 0
        self._timeout: asyncio.TimerHandle | None = None
        self._next_connect: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()

    def begin_connecting(self, timeout_s: float, on_timeout: Callable[[WaitingRequest], None]) -> None:
        """Start the connecting phase; call ``on_timeout`` if no connection is established in time."""
        self.connects = 0
        self._timeout = self._loop.call_later(timeout_s, on_timeout, self)

    def begin_backoff(self, delay_s: float, on_end: Callable[[WaitingRequest], None]) -> None:
        """Start the backoff phase: cancel the connect timeout, and call ``on_end`` after the delay."""
        self._cancel_timers()
        self._next_connect = self._loop.call_later(delay_s, on_end, self)

    def schedule_parallel_connect(
        self, delay_s: float, start_connect: Callable[[WaitingRequest], None]
    ) -> None:
        """Call ``start_connect`` after the delay, unless the wait ends or a backoff starts before then."""
        self._next_connect = self._loop.call_later(delay_s, start_connect, self)

    def finish(self) -> None:
        """Finish the wait and cancel the timers."""
        self.is_finished = True
        self._cancel_timers()

    def needs_connection(self) -> bool:
        """Return whether the request still needs a connection.

        It needs none if it has ended, its response is no longer wanted, or the pool is retired.
        """
        return not (self.request.ended or self.pool.retired) and self.request.outbound.is_wanted()

    def send_on(self, connection: UpstreamConnection) -> bool:
        """Write the request to a connection that has just been established, or end the request.

        Returns:
            Whether the request was written; otherwise, it has ended.
        """
        request = self.request
        if request.ended:
            return False
        # The pool is retired when its process drains, is removed or restarts.  A request for that process
        # must not be sent to a process that replaces it.
        wanted = not self.pool.retired and request.has_time_left() and request.outbound.is_wanted()
        if not wanted or not request.outbound.may_write(
            to_listed_process=self.pool.leads_to_listed_process(connection)
        ):
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
    """The waiting requests of all pools; those of each pool are in the order of their arrival."""

    __slots__ = ("_by_pool",)

    def __init__(self) -> None:
        self._by_pool: dict[EndpointPool, list[WaitingRequest]] = {}

    def add(self, waiting: WaitingRequest) -> None:
        """Append a request to the waiting requests of its pool."""
        self._by_pool.setdefault(waiting.pool, []).append(waiting)

    def first(self, pool: EndpointPool) -> WaitingRequest | None:
        """Return the request of this pool that has waited longest, or None if no request waits."""
        queue = self._by_pool.get(pool)
        return queue[0] if queue else None

    def finish(self, waiting: WaitingRequest) -> None:
        """Remove a request, which must be present, and cancel its timers."""
        waiting.finish()
        queue = self._by_pool[waiting.pool]
        queue.remove(waiting)
        if not queue:
            del self._by_pool[waiting.pool]

    def finish_all(self) -> None:
        """Remove all requests and cancel their timers."""
        for queue in self._by_pool.values():
            for waiting in queue:
                waiting.finish()
        self._by_pool.clear()
