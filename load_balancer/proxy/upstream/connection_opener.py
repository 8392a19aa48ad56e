"""Opens connections to endpoints for the requests that wait for one.

A connection may come up late, as when the first packet of its handshake was lost.  Another one is then raced
against it: whichever comes up first carries the request, and the others are kept for later requests.
"""

from __future__ import annotations

import asyncio
import logging

from load_balancer.events import Outcome
from load_balancer.proxy.upstream import local_errors
from load_balancer.proxy.upstream.connection import UpstreamConnection
from load_balancer.proxy.upstream.connection_limit import ConnectionLimit
from load_balancer.proxy.upstream.endpoint_pool import EndpointPool
from load_balancer.proxy.upstream.request import UpstreamRequest
from load_balancer.proxy.upstream.waiting_request import WaitingRequest, WaitingRequests

# Of the connect timeout: a connection that takes longer is late, and another is raced against it.
RACE_DELAY_FRACTION = 1 / 6
MAX_RACED_CONNECTIONS = 3  # for one request
# A handshake whose first packet was lost completes when that is sent again, after a second (RFC 6298).  The
# connection is then still of use for a later request.
MAX_CONNECT_S = 2.0

log = logging.getLogger(__name__)


class ConnectionOpener:
    """Opens connections, and owns the requests that wait for them."""

    def __init__(self, connect_timeout_s: float, limit: ConnectionLimit) -> None:
        """Start with none.

        Args:
            connect_timeout_s: how long a request waits for a connection, in seconds.
            limit: counts the connections that are being opened.
        """
        self._loop = asyncio.get_running_loop()
        self._connect_timeout_s = connect_timeout_s
        self._limit = limit
        self._waiting = WaitingRequests()

    def open_for(self, pool: EndpointPool, request: UpstreamRequest) -> None:
        """Open a connection for a request, which it carries as soon as one is up.

        The limit must have capacity.  The request ends with CONNECT_FAILED where no connection comes up in
        time or the endpoint refuses, and with NOT_SENT where nobody waits for it any more or the endpoint's
        process has been replaced by then.
        """
        waiting = WaitingRequest(pool, request)
        waiting.begin_connecting(self._connect_timeout_s, self._give_up)
        self._waiting.add(waiting)
        self._start_connect(waiting)

    def close(self) -> None:
        """Stop opening connections.  The requests that wait are left to their deadline timers."""
        self._limit.cancel_connects()
        self._waiting.finish_all()

    # The race.

    def _start_connect(self, waiting: WaitingRequest) -> None:
        waiting.connects += 1
        self._limit.add_connect(self._loop.create_task(self._connect(waiting)))
        if waiting.connects < MAX_RACED_CONNECTIONS:
            waiting.schedule_race(RACE_DELAY_FRACTION * self._connect_timeout_s, self._start_race)

    def _start_race(self, waiting: WaitingRequest) -> None:
        """Start another connection, as the last one is late."""
        if waiting.needs_connection() and self._limit.make_capacity():
            self._start_connect(waiting)

    async def _connect(self, waiting: WaitingRequest) -> None:
        pool = waiting.pool
        host, port = pool.address
        try:
            async with asyncio.timeout(MAX_CONNECT_S):
                _, connection = await self._loop.create_connection(
                    lambda: UpstreamConnection(pool.name, pool), host, port
                )
        except OSError as error:  # TimeoutError is one
            if local_errors.is_local(error):
                self._back_off(waiting, error)
            else:
                self._give_up(waiting)
            return
        if connection.is_open():
            self._on_connected(pool, connection)
        else:
            self._give_up(waiting)

    def _on_connected(self, pool: EndpointPool, connection: UpstreamConnection) -> None:
        """Let the connection carry the request that has waited longest, else keep it for a later one."""
        while (waiting := self._waiting.first(pool)) is not None:
            self._waiting.finish(waiting)
            if waiting.send_on(connection):
                return
        pool.connection_released(connection)

    def _give_up(self, waiting: WaitingRequest) -> None:
        """End a request for which no connection came up, if it still waits for one."""
        if not waiting.is_over:
            self._waiting.finish(waiting)
            waiting.request.end(Outcome.CONNECT_FAILED)

    # Local errors.

    def _back_off(self, waiting: WaitingRequest, error: OSError) -> None:
        """Connect again after a backoff, within the request's own time; the endpoint is not to blame."""
        if waiting.is_over:
            return
        waiting.request.mark_held_up()
        if waiting.local_failures == 0:
            log.warning("local_connect_failed endpoint=%s problem=%s", waiting.pool.name, error)
        waiting.begin_backoff(local_errors.retry_delay_s(waiting.local_failures), self._connect_again)
        waiting.local_failures += 1

    def _connect_again(self, waiting: WaitingRequest) -> None:
        if not waiting.needs_connection():
            self._waiting.finish(waiting)
            waiting.request.end(Outcome.NOT_SENT)
            return
        waiting.begin_connecting(self._connect_timeout_s, self._give_up)
        self._start_connect(waiting)
