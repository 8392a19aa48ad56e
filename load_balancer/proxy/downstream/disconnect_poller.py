"""Detection of clients that leave while their connections are not read."""

from __future__ import annotations

import asyncio

from load_balancer.proxy.downstream.connection import DownstreamConnection

# The interval between polls in seconds.  While a connection is not read, only a poll of its socket shows that
# the client has left.  Each attempt polls the socket before it starts.  While a request waits and starts no
# attempt, only the polls at this interval can find that its client has left, and then end the request.
DISCONNECT_CHECK_S = 0.1


class DisconnectPoller:
    """Polls the sockets of the connections that are not read, and closes those whose clients have left."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._paused: set[DownstreamConnection] = set()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def connections(self) -> frozenset[DownstreamConnection]:
        """The connections that are not read."""
        return frozenset(self._paused)

    def add(self, connection: DownstreamConnection) -> None:
        """Start to poll a connection that is not read any more."""
        self._paused.add(connection)
        if self._timer is None:
            self._start_timer()

    def remove(self, connection: DownstreamConnection) -> None:
        """Stop polling a connection that is read again or is closed."""
        self._paused.discard(connection)

    def cancel(self) -> None:
        """Stop polling all connections."""
        if self._timer is not None:
            self._timer.cancel()

    def _start_timer(self) -> None:
        self._timer = self._loop.call_later(DISCONNECT_CHECK_S, self._check)

    def _check(self) -> None:
        self._timer = None
        for connection in [c for c in self._paused if c.transport.client_has_left()]:
            self._paused.discard(connection)
            connection.end_after_client_left()
        if self._paused:
            self._start_timer()
