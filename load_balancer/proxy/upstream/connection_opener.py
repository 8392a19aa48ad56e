"""Opens connections to endpoints for the requests that wait for one.

A connection may come up late, as when the first packet of its handshake was lost.  Another one is then raced
against it: whichever comes up first carries the request, and the others are kept for later requests.
"""

from __future__ import annotations

import asyncio
import errno
import logging
from collections.abc import Callable
from dataclasses import dataclass

from load_balancer.events import Outcome
from load_balancer.proxy.upstream.connection import UpstreamConnection
from load_balancer.proxy.upstream.endpoint_pool import EndpointPool
from load_balancer.proxy.upstream.request import UpstreamRequest

# Of the connect timeout: a connection that takes longer is late, and another is raced against it.
RACE_DELAY_FRACTION = 1 / 6
MAX_RACED_CONNECTIONS = 3  # for one request
# A handshake whose first packet was lost completes when that is sent again, after a second (RFC 6298).  The
# connection is then still of use for a later request.
MAX_CONNECT_S = 2.0
# What says nothing of the endpoint: the node's own machine is short of something, as a rule for a moment.
LOCAL_ERRORS = frozenset(
    {
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.EMFILE,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    }
)
FIRST_LOCAL_RETRY_S = 0.01
MAX_LOCAL_RETRY_S = 0.1

log = logging.getLogger(__name__)


@dataclass(eq=False, slots=True)
class _WaitingRequest:
    """A request without a connection yet.

    Attributes:
        request: the request.
        timeout: ends it when no connection has come up in time.
        race: starts another connection; None where there is none to start.
        connections: how many have been started for it.
        local_failures: connects that failed in a row on the node's own machine.
    """

    request: UpstreamRequest
    timeout: asyncio.TimerHandle
    race: asyncio.TimerHandle | None = None
    connections: int = 0
    local_failures: int = 0

    def cancel_timers(self) -> None:
        """It waits no longer."""
        self.timeout.cancel()
        if self.race is not None:
            self.race.cancel()


class ConnectionOpener:
    """The owner of all connections that are being opened, and of the requests that wait for them."""

    def __init__(self, connect_timeout_s: float, make_capacity: Callable[[], bool]) -> None:
        """Start with none.

        Args:
            connect_timeout_s: how long a request waits for a connection, in seconds.
            make_capacity: tells whether one more connection may be opened.
        """
        self._loop = asyncio.get_running_loop()
        self._connect_timeout_s = connect_timeout_s
        self._make_capacity = make_capacity
        self._tasks: set[asyncio.Task[None]] = set()
        self._waiting: dict[EndpointPool, list[_WaitingRequest]] = {}

    @property
    def pending_connects(self) -> int:
        """How many connections are being opened."""
        return len(self._tasks)

    def open_for(self, pool: EndpointPool, request: UpstreamRequest) -> None:
        """Open a connection for a request, which it carries as soon as one is up.

        The request ends with CONNECT_FAILED where none comes up in time or the endpoint refuses, and with
        NOT_SENT where nobody waits for it any more or the endpoint's process has been replaced by then.
        """
        timeout = self._loop.call_later(self._connect_timeout_s, self._give_up, pool, request)
        waiting = _WaitingRequest(request, timeout)
        self._waiting.setdefault(pool, []).append(waiting)
        self._start_connection(pool, waiting)

    def close(self) -> None:
        """Open nothing any more.  The requests that wait are left to their deadline timers."""
        for task in list(self._tasks):
            task.cancel()
        for waiting in [w for requests in self._waiting.values() for w in requests]:
            waiting.cancel_timers()
        self._waiting.clear()

    def _start_connection(self, pool: EndpointPool, waiting: _WaitingRequest) -> None:
        waiting.connections += 1
        waiting.race = None
        task = self._loop.create_task(self._connect(pool, waiting.request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if waiting.connections < MAX_RACED_CONNECTIONS:
            delay_s = RACE_DELAY_FRACTION * self._connect_timeout_s
            waiting.race = self._loop.call_later(delay_s, self._race, pool, waiting)

    def _race(self, pool: EndpointPool, waiting: _WaitingRequest) -> None:
        """The connection is late."""
        request = waiting.request
        if not (request.ended or pool.retired) and request.outbound.is_wanted() and self._make_capacity():
            self._start_connection(pool, waiting)

    async def _connect(self, pool: EndpointPool, request: UpstreamRequest) -> None:
        host, port = pool.address
        try:
            async with asyncio.timeout(MAX_CONNECT_S):
                _, connection = await self._loop.create_connection(
                    lambda: UpstreamConnection(pool.name, pool), host, port
                )
        except OSError as error:  # TimeoutError is one
            if error.errno in LOCAL_ERRORS:
                self._retry_later(pool, request, error)
            else:
                self._give_up(pool, request)
            return
        if connection.is_open():
            self._on_connected(pool, connection)
        else:
            self._give_up(pool, request)

    def _retry_later(self, pool: EndpointPool, request: UpstreamRequest, error: OSError) -> None:
        """Connect again after a backoff, within the request's own time; the endpoint is not to blame."""
        waiting = self._find(pool, request)
        if waiting is None:
            return
        waiting.cancel_timers()
        request.mark_held_up()
        if waiting.local_failures == 0:
            log.warning("connect_failed_locally endpoint=%s problem=%s", pool.name, error)
        delay_s = min(MAX_LOCAL_RETRY_S, FIRST_LOCAL_RETRY_S * 2.0**waiting.local_failures)
        waiting.local_failures += 1
        waiting.race = self._loop.call_later(delay_s, self._connect_again, pool, waiting)

    def _connect_again(self, pool: EndpointPool, waiting: _WaitingRequest) -> None:
        request = waiting.request
        if request.ended or pool.retired or not request.outbound.is_wanted():
            self._stop_waiting(pool, waiting)
            request.end(Outcome.NOT_SENT)
            return
        waiting.connections = 0
        waiting.timeout = self._loop.call_later(self._connect_timeout_s, self._give_up, pool, request)
        self._start_connection(pool, waiting)

    def _find(self, pool: EndpointPool, request: UpstreamRequest) -> _WaitingRequest | None:
        return next((w for w in self._waiting.get(pool, ()) if w.request is request), None)

    def _give_up(self, pool: EndpointPool, request: UpstreamRequest) -> None:
        """No connection is to be had for this request, if it still waits for one."""
        waiting = self._find(pool, request)
        if waiting is not None:
            self._stop_waiting(pool, waiting)
            request.end(Outcome.CONNECT_FAILED)

    def _stop_waiting(self, pool: EndpointPool, waiting: _WaitingRequest) -> None:
        waiting.cancel_timers()
        requests = self._waiting[pool]
        requests.remove(waiting)
        if not requests:
            del self._waiting[pool]

    def _on_connected(self, pool: EndpointPool, connection: UpstreamConnection) -> None:
        """Let the connection carry the request that has waited longest, else keep it for a later one."""
        while pool in self._waiting:
            waiting = self._waiting[pool][0]
            self._stop_waiting(pool, waiting)
            if self._send_first(pool, connection, waiting.request):
                return
        pool.connection_released(connection)

    @staticmethod
    def _send_first(pool: EndpointPool, connection: UpstreamConnection, request: UpstreamRequest) -> bool:
        """Whether the request went out on a connection that has just come up; else it ends."""
        if request.ended:
            return False
        # Drained, gone or restarted: what was decided for that process must not reach the next one.
        wanted = not pool.retired and request.has_time_left() and request.outbound.is_wanted()
        if not wanted or not request.outbound.may_write():
            request.end(Outcome.NOT_SENT)
            return False
        connection.send(request)
        return True
