"""Limits the number of connections to endpoints."""

from __future__ import annotations

import asyncio

from load_balancer.proxy.upstream.listed_pools import ListedPools


class ConnectionLimit:
    """Limits the total number of connections to all endpoints that are open or being opened.

    Attributes:
        max_open: the maximum number of connections that are open or being opened.
    """

    def __init__(self, max_open: int, pools: ListedPools) -> None:
        """Create the limit, with no connection being opened.

        Args:
            max_open: the maximum number of connections that are open or being opened.
            pools: contain the open connections, and close an idle connection when the limit is reached.
        """
        self.max_open = max_open
        self._pools = pools
        self._connects: set[asyncio.Task[None]] = set()

    @property
    def pending_connects(self) -> int:
        """The number of connections that are being opened."""
        return len(self._connects)

    def add_connect(self, connect: asyncio.Task[None]) -> None:
        """Count a connection that is being opened, until the task that opens it is done."""
        self._connects.add(connect)
        connect.add_done_callback(self._connects.discard)

    def cancel_connects(self) -> None:
        """Cancel the opening of all connections."""
        for connect in list(self._connects):
            connect.cancel()

    def make_capacity(self) -> bool:
        """Make room for one more connection; at the limit, close the connection that has been idle longest.

        Returns:
            Whether one more connection may be opened.
        """
        if len(self._pools.open_connections) + len(self._connects) < self.max_open:
            return True
        return self._pools.close_oldest_idle()
