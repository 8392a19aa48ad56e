"""Opens connections to endpoints for the requests that wait for a connection.

Establishing a connection may take long, for example when the first packet of its handshake was lost.  Another
connection is then opened in parallel: the first connection that is established carries the request, and the
others are kept for later requests.
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

# Fraction of the connect timeout after which another connection is opened in parallel.
PARALLEL_CONNECT_DELAY_FRACTION = 1 / 6
MAX_PARALLEL_CONNECTS = 3  # connections opened in parallel for one request, including the first
# Timeout for opening one connection.  When the first packet of a handshake is lost, it is sent again after
# one second (RFC 6298), and the handshake can complete.  The connection is then still useful for a later
# request.
MAX_CONNECT_S = 2.0

log = logging.getLogger(__name__)


class ConnectionOpener:
    """Opens connections, and holds the requests that wait for them."""

    def __init__(self, connect_timeout_s: float, limit: ConnectionLimit) -> None:
        """Create an opener with no waiting requests.

        Args:
            connect_timeout_s: how long a request waits for a connection, in seconds.
            limit: limits the number of connections, and counts those that are being opened.
        """
        self._loop = asyncio.get_running_loop()
        self._connect_timeout_s = connect_timeout_s
        self._limit = limit
        self._waiting = WaitingRequests()

    def open_for(self, pool: EndpointPool, request: UpstreamRequest) -> None:
        """Open a connection for a request, which is written as soon as a connection is established.

        The caller must have checked that the connection limit allows one more connection.  The request ends
        with CONNECT_FAILED if no connection is established in time or the endpoint refuses the connection.
        It ends with NOT_SENT if its deadline expires after a connect has failed on the node's own machine.
        When a connection is established, the request also ends with NOT_SENT if its response is no longer
        wanted, if too little time is left, if the pool is retired or if ``may_write`` returns False.
        """
        waiting = WaitingRequest(pool, request)
        waiting.begin_connecting(self._connect_timeout_s, self._give_up)
        self._waiting.add(waiting)
        self._start_connect(waiting)

    def close(self) -> None:
        """Stop opening connections; waiting requests end later, when their deadline timers expire."""
        self._limit.cancel_connects()
        self._waiting.finish_all()

    # Parallel connects.

    def _start_connect(self, waiting: WaitingRequest) -> None:
        waiting.connects += 1
        self._limit.add_connect(self._loop.create_task(self._connect(waiting)))
        if waiting.connects < MAX_PARALLEL_CONNECTS:
            waiting.schedule_parallel_connect(
                PARALLEL_CONNECT_DELAY_FRACTION * self._connect_timeout_s, self._start_parallel_connect
            )

    def _start_parallel_connect(self, waiting: WaitingRequest) -> None:
        """Open another connection in parallel, because the previous one is not established yet."""
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
        except OSError as error:  # includes TimeoutError
            if local_errors.is_local(error):
                self._back_off(waiting, error)
                return
            if isinstance(error, ConnectionError):
                pool.continuity.record_break(self._loop.time())
            self._give_up(waiting)
            return
        if connection.is_open():
            self._on_connected(pool, connection)
        else:
            self._give_up(waiting)

    def _on_connected(self, pool: EndpointPool, connection: UpstreamConnection) -> None:
        """Write the request that has waited longest to the connection.

        A request that can no longer be written is ended, and the next waiting request is tried.  If no
        waiting request can be written, the connection is kept for later requests.
        """
        while (waiting := self._waiting.first(pool)) is not None:
            self._waiting.finish(waiting)
            if waiting.send_on(connection):
                return
        pool.connection_released(connection)

    def _give_up(self, waiting: WaitingRequest) -> None:
        """End a request with CONNECT_FAILED, if it is still waiting for a connection."""
        if not waiting.is_finished:
            self._waiting.finish(waiting)
            waiting.request.end(Outcome.CONNECT_FAILED)

    # Local errors.

    def _back_off(self, waiting: WaitingRequest, error: OSError) -> None:
        """Schedule another connect after a local error, which says nothing about the endpoint.

        The deadline of the request does not change.
        """
        if waiting.is_finished:
            return
        waiting.request.mark_connect_failed_locally()
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
