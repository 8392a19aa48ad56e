"""The idle connections to one endpoint, and which of them carries the next request."""

from __future__ import annotations

import asyncio
import math

from load_balancer.events import Endpoint
from load_balancer.proxy.address import Address
from load_balancer.proxy.upstream.connection import UpstreamConnection
from load_balancer.proxy.upstream.idle_timeout import IdleTimeout

# Surplus that an endpoint sends behind a response must not be taken for the next response.  It may come some
# milliseconds late: up to 4 ms were measured, and this leaves some margin above that.
REUSE_DELAY_S = 0.02


class EndpointPool:
    """The idle connections to one process of an endpoint; the owner of every connection to it.

    Attributes:
        name: the endpoint's id as text, for log lines.
        address: host and port.
        endpoint: its row in the endpoint list, as it is listed now.
        idle_timeout: how long a connection may have been idle to be used again.
    """

    __slots__ = (
        "_idle",
        "_loop",
        "_open_connections",
        "_retired",
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
        """Start with no connection.

        Args:
            endpoint: its row in the endpoint list.
            address: host and port.
            max_idle_timeout_s: the idle timeout as long as the endpoint closes no connection early.
            open_connections: where open connections are entered, shared by all pools under one limit.
        """
        self.name = endpoint.id.decode(errors="replace")
        self.address = address
        self.endpoint = endpoint
        self.idle_timeout = IdleTimeout(max_idle_timeout_s)
        self._open_connections = open_connections
        self._idle: list[UpstreamConnection] = []  # in the order in which they became idle
        self._retired = False
        self._loop = asyncio.get_running_loop()

    @property
    def started_ms(self) -> float:
        """When the process started; a later start at the same address is another process."""
        return self.endpoint.started_ms

    @property
    def retired(self) -> bool:
        """Whether the process is drained, gone or restarted, so that its connections are not kept."""
        return self._retired

    @property
    def has_idle(self) -> bool:
        """Whether a connection waits for a request."""
        return bool(self._idle)

    @property
    def oldest_idle_since(self) -> float:
        """When the connection that has been idle for longest became idle; infinite where none is idle."""
        return self._idle[0].idle_since if self._idle else math.inf

    # Callbacks of connections: ConnectionOwner.

    def connection_opened(self, connection: UpstreamConnection) -> None:
        """A connection came up."""
        self._open_connections.add(connection)

    def connection_released(self, connection: UpstreamConnection) -> None:
        """Keep a connection for the next request, if the endpoint is still the same process."""
        if self._retired:
            connection.abort()
            return
        connection.idle_since = self._loop.time()
        self._idle.append(connection)

    def connection_closed(self, connection: UpstreamConnection) -> None:
        """A connection has closed; if the endpoint closed it, record how long it had been idle."""
        self._open_connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
            self.idle_timeout.record_close(self._loop.time() - connection.idle_since)
        elif connection.in_use:
            self.idle_timeout.record_close(connection.idle_before_request_s)

    # Idle connections.

    def take_idle(self) -> UpstreamConnection | None:
        """Take out the most recently used connection of those that have been idle for REUSE_DELAY_S.

        The search closes the connections on its way that have been idle for too long or have unread input.
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
        """Close the connection that has been idle for longest; there must be one."""
        self._idle.pop(0).abort()

    def close_idle(self) -> None:
        """Close all idle connections."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.abort()

    def retire(self) -> None:
        """Close all idle connections, and keep none from now on."""
        self._retired = True
        self.close_idle()

    def reap_idle(self, now: float) -> None:
        """Close the connections that have been idle for too long; the idle timeout recovers by one step."""
        self.idle_timeout.recover()
        expired = [c for c in self._idle if now - c.idle_since > self.idle_timeout.current_s]
        for connection in expired:
            self._idle.remove(connection)
            connection.abort()
