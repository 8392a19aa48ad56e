"""Keeps the idle connections to one endpoint and selects the connection for the next request."""

from __future__ import annotations

import asyncio
import math

from load_balancer.events import Endpoint
from load_balancer.proxy.address import Address
from load_balancer.proxy.upstream.connection import UpstreamConnection
from load_balancer.proxy.upstream.idle_timeout import IdleTimeout
from load_balancer.proxy.upstream.process_continuity import ProcessContinuity

# How long a connection must have been idle before it is used again.  Surplus bytes that an endpoint sends
# after a response must not be read as the next response.  They may arrive later than the response: a delay of
# up to 4 ms was measured, and this value leaves a margin above that.
REUSE_DELAY_S = 0.02


class EndpointPool:
    """Keeps the idle connections to an endpoint, as long as the same process runs there.

    The pool is the owner of all connections to that process, including those that carry a request.  If the
    endpoint restarts, it gets a new pool.

    Attributes:
        name: the endpoint's id as text, for log lines.
        address: the host and port of the endpoint.
        endpoint: the current entry of the endpoint in the endpoint list.
        idle_timeout: how long a connection may have been idle and still be used again.
        continuity: tells whether a connection leads to the process that is listed.
    """

    __slots__ = (
        "_idle",
        "_loop",
        "_open_connections",
        "_retired",
        "continuity",
        "address",
        "endpoint",
        "idle_timeout",
        "name",
    )

    def __init__(
        self,
        endpoint: Endpoint,
        address: Address,
        *,
        max_idle_timeout_s: float,
        open_connections: set[UpstreamConnection],
    ) -> None:
        """Create a pool without connections.

        Args:
            endpoint: the entry of the endpoint in the endpoint list.
            address: the host and port of the endpoint.
            max_idle_timeout_s: the idle timeout, in seconds, as long as the endpoint closes no connection
                early.
            open_connections: the set to which the pool adds its open connections; all pools under one
                connection limit share it.
        """
        self.name = endpoint.id.decode(errors="replace")
        self.address = address
        self.endpoint = endpoint
        self.idle_timeout = IdleTimeout(max_idle_timeout_s)
        self.continuity = ProcessContinuity()
        self._open_connections = open_connections
        self._idle: list[UpstreamConnection] = []  # in the order in which they became idle
        self._retired = False
        self._loop = asyncio.get_running_loop()

    @property
    def started_ms(self) -> float:
        """The start time of the process, in milliseconds, from the endpoint list.

        A different start time at the same address means another process.
        """
        return self.endpoint.started_ms

    @property
    def retired(self) -> bool:
        """Whether the pool closes each connection after its request, instead of keeping it.

        This is the case when the process is draining, was removed from the endpoint list or was replaced.
        """
        return self._retired

    @property
    def has_idle(self) -> bool:
        """Whether the pool has an idle connection."""
        return bool(self._idle)

    @property
    def oldest_idle_since(self) -> float:
        """When the connection that has been idle longest became idle, in the time of the event loop.

        Infinity if no connection is idle.
        """
        return self._idle[0].idle_since if self._idle else math.inf

    # Callbacks from connections: the ConnectionOwner protocol.

    def connection_opened(self, connection: UpstreamConnection) -> None:
        """Register a connection that has just been established."""
        self._open_connections.add(connection)

    def connection_released(self, connection: UpstreamConnection) -> None:
        """Keep a connection for later requests, or close it if the pool is retired."""
        if self._retired:
            connection.abort()
            return
        connection.idle_since = self._loop.time()
        self._idle.append(connection)

    def connection_closed(self, connection: UpstreamConnection, *, was_reset: bool) -> None:
        """Remove a closed connection; if the endpoint closed it, record how long it had been idle.

        For a connection with a request in flight, the idle time before that request is recorded.

        Args:
            connection: the connection.
            was_reset: whether the connection was reset by the endpoint.
        """
        self._open_connections.discard(connection)
        if was_reset or connection.in_use:
            self.continuity.record_break(self._loop.time())
        if connection in self._idle:
            self._idle.remove(connection)
            self.idle_timeout.record_close(self._loop.time() - connection.idle_since)
        elif connection.in_use:
            self.idle_timeout.record_close(connection.idle_before_request_s)

    def leads_to_listed_process(self, connection: UpstreamConnection) -> bool:
        """Return whether the connection leads to the listed process, and not perhaps to its successor."""
        return self.continuity.is_confirmed(connection.established_at, self._loop.time())

    # Idle connections.

    def take_idle(self) -> UpstreamConnection | None:
        """Remove and return the most recently used connection that has been idle for at least REUSE_DELAY_S.

        Connections that have been idle for too long or have unread input are closed when the search finds
        them.

        Returns:
            The connection, or None if no idle connection can be used.
        """
        now = self._loop.time()
        for i in range(len(self._idle) - 1, -1, -1):
            connection = self._idle[i]
            idle_s = now - connection.idle_since
            if idle_s < REUSE_DELAY_S:
                continue
            del self._idle[i]
            if idle_s <= self.idle_timeout.current_s and connection.has_no_unread_input():
                return connection
            connection.abort()
        return None

    def close_oldest_idle(self) -> None:
        """Close the connection that has been idle longest; at least one connection must be idle."""
        self._idle.pop(0).abort()

    def close_idle(self) -> None:
        """Close all idle connections."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.abort()

    def retire(self) -> None:
        """Close all idle connections, and from now on keep no connection for later requests."""
        self._retired = True
        self.close_idle()

    def reap_idle(self, now: float) -> None:
        """Raise the idle timeout by one recovery step, and close connections that exceed the timeout.

        Args:
            now: the current time of the event loop, in seconds.
        """
        self.idle_timeout.recover()
        expired = [c for c in self._idle if now - c.idle_since > self.idle_timeout.current_s]
        for connection in expired:
            self._idle.remove(connection)
            connection.abort()
