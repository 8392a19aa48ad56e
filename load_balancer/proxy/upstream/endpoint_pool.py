"""The connections to one endpoint that are idle, and how long they may be idle to be used again."""

from __future__ import annotations

import asyncio
import math

from load_balancer.events import Endpoint
from load_balancer.proxy.address import Address
from load_balancer.proxy.upstream.connection import UpstreamConnection

IDLE_TIMEOUT_FRACTION = 0.5  # of the time after which an endpoint closes: a request must never cross that
# Endpoints may close idle connections sooner than they are configured to, and a request that crosses that
# close may have run.  One that has closed an idle connection, or reset a request on one, has its connections
# used for half as long from then on, and after some time as before.  A close right behind a response says
# nothing: it is seen before the next request.
MIN_RECORDED_IDLE_S = 0.05
IDLE_TIMEOUT_RECOVERY = 1.03  # factor at each pass of the idle reaper
# Surplus that an endpoint sends behind a response must not be taken for the next response.  It may come some
# milliseconds late: up to 4 ms were measured in two runs with joining and failing endpoints, and this leaves
# some margin above that.
REUSE_DELAY_S = 0.02


class EndpointPool:
    """The idle connections to one process of an endpoint; the owner of every connection to it.

    Attributes:
        name: the endpoint's id as text, for log lines.
        address: host and port.
        endpoint: its row in the endpoint list, as it is listed now.
        idle_timeout_s: how long a connection may have been idle to be used again.
    """

    __slots__ = (
        "_idle",
        "_loop",
        "_max_idle_timeout_s",
        "_open_connections",
        "_retired",
        "address",
        "endpoint",
        "idle_timeout_s",
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
        self.idle_timeout_s = max_idle_timeout_s
        self._max_idle_timeout_s = max_idle_timeout_s
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
        """Since when the connection that has been idle for longest is so; infinite where none is idle."""
        return self._idle[0].idle_since if self._idle else math.inf

    # What a connection reports: ConnectionOwner.

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
        """A connection has closed: if the endpoint closed it while it was kept, keep others for less long."""
        self._open_connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
            self._record_close_after(self._loop.time() - connection.idle_since)
        elif connection.in_use:
            self._record_close_after(connection.idle_before_request_s)

    def _record_close_after(self, idle_s: float) -> None:
        """The endpoint closed a connection that had been idle for so long."""
        if idle_s >= MIN_RECORDED_IDLE_S:
            self.idle_timeout_s = min(self.idle_timeout_s, IDLE_TIMEOUT_FRACTION * idle_s)

    # What the node does with idle connections.

    def take_idle(self) -> UpstreamConnection | None:
        """Take out the connection used last among those that have been idle for REUSE_DELAY_S.

        Those found on the way that have been idle for too long, or have unread input, are closed.
        """
        now = self._loop.time()
        for i in range(len(self._idle) - 1, -1, -1):
            connection = self._idle[i]
            idle_s = now - connection.idle_since
            if idle_s < REUSE_DELAY_S:
                continue
            del self._idle[i]
            if idle_s <= self.idle_timeout_s and connection.has_no_unread_input():
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
        """Close what has been idle for too long; the idle timeout recovers by one step."""
        self.idle_timeout_s = min(self._max_idle_timeout_s, IDLE_TIMEOUT_RECOVERY * self.idle_timeout_s)
        expired = [c for c in self._idle if now - c.idle_since > self.idle_timeout_s]
        for connection in expired:
            self._idle.remove(connection)
            connection.abort()
