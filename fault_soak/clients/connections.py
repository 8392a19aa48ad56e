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
    """A connection to one process of a node.

    Attributes:
        node: the node.
        incarnation: the number of the node process.
        reader: the reader of the connection.
        writer: the writer of the connection.
        answered: whether the client has received a response on the connection.
    """

    node: NodeProcess
    incarnation: int
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    answered: bool = False

    @property
    def is_open(self) -> bool:
        """Whether the connection is open, as far as the client has noticed."""
        return not self.writer.transport.is_closing() and not self.reader.at_eof()

    def abort(self) -> None:
        """Close the connection at once, without sending buffered data."""
        self.writer.transport.abort()


async def connect(node: NodeProcess) -> ClientConnection | None:
    """Open a connection and return it, or return None if the node could not be reached in time."""
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
        """Remove a connection if it is kept."""
        idle = self._by_node[connection.node.name]
        if connection in idle:
            idle.remove(connection)

    def take(self, node: NodeProcess) -> ClientConnection | None:
        """Remove and return the latest open connection to the node's current process, or return None.

        Connections that are found closed, or that were opened to an earlier process, are closed and removed.
        """
        idle = self._by_node[node.name]
        while idle:
            connection = idle.pop()
            if connection.incarnation == node.incarnation and connection.is_open:
                return connection
            connection.writer.close()
        return None
