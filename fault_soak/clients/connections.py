"""Connections of stub clients to nodes."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

from fault_soak.nodes import NodeProcess
from fault_soak.proxy import HOST

CONNECT_TIMEOUT_S = 1.5


@dataclass(slots=True, eq=False)
class ClientConnection:
    """A connection to one process of a node; answered is set once a response has come on it."""

    node: NodeProcess
    incarnation: int
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    answered: bool = False

    @property
    def is_open(self) -> bool:
        """Whether neither side has closed it, as far as this side has noticed."""
        return not self.writer.transport.is_closing() and not self.reader.at_eof()

    def abort(self) -> None:
        """Close it at once."""
        self.writer.transport.abort()


async def connect(node: NodeProcess) -> ClientConnection | None:
    """Open a connection; returns None where the node could not be reached."""
    incarnation = node.incarnation
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(HOST, node.port)
    except (OSError, TimeoutError):
        return None
    return ClientConnection(node, incarnation, reader, writer)


class IdleConnections:
    """The idle connections to each node."""

    def __init__(self, nodes: Iterable[NodeProcess]) -> None:
        self._by_node: dict[str, list[ClientConnection]] = {node.name: [] for node in nodes}

    def add(self, connection: ClientConnection) -> None:
        """Keep a connection for a later request."""
        self._by_node[connection.node.name].append(connection)

    def discard(self, connection: ClientConnection) -> None:
        """Keep a connection no longer, if it was kept."""
        idle = self._by_node[connection.node.name]
        if connection in idle:
            idle.remove(connection)

    def take(self, node: NodeProcess) -> ClientConnection | None:
        """The latest connection that is open to the node's present process; others are closed."""
        idle = self._by_node[node.name]
        while idle:
            connection = idle.pop()
            if connection.incarnation == node.incarnation and connection.is_open:
                return connection
            connection.writer.close()
        return None
