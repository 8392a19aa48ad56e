"""The limit on the number of connections to endpoints."""

from __future__ import annotations

import asyncio

from load_balancer.proxy.upstream.listed_pools import ListedPools


class ConnectionLimit:
    """Bounds the connections that are open or being opened, to all endpoints together.

    Attributes:
        max_open: the limit.
    """

    def __init__(self, max_open: int, pools: ListedPools) -> None:
        """Start with no connection being opened.

        Args:
            max_open: how many connections may be open or being opened.
            pools: they know the open connections, and give up idle ones at the limit.
        """
        self.max_open = max_open
        self._pools = pools
        self._connects: set[asyncio.Task[None]] = set()

    @property
    def pending_connects(self) -> int:
        """How many connections are being opened."""
        return len(self._connects)

    def add_connect(self, connect: asyncio.Task[None]) -> None:
        """Count a connection that is being opened, until its task is done."""
        self._connects.add(connect)
        connect.add_done_callback(self._connects.discard)

    def cancel_connects(self) -> None:
        """Cancel the opening of all connections."""
        for connect in list(self._connects):
            connect.cancel()

    def make_capacity(self) -> bool:
        """Whether one more connection may be opened; at the limit an idle one is closed for it."""
        if len(self._pools.open_connections) + len(self._connects) < self.max_open:
            return True
        return self._pools.close_oldest_idle()
