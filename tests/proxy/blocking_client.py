"""Clients on blocking sockets, which work even while the node's event loop is blocked."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from load_balancer.proxy.downstream.connection import DownstreamConnection
from tests.proxy.async_support import TIMEOUT_S, until
from tests.proxy.node_environment import NodeEnvironment
from tests.proxy.stub_client import request


def open_requests(count: int) -> bytes:
    """Return the bytes of ``count`` requests, each with a deadline that is longer than any test takes."""
    return b"".join(request("book", deadline="600") for _ in range(count))


def blocking_client(address: tuple[str, int]) -> socket.socket:
    """Connect a client and send a request; the socket works even while the node's event loop is blocked."""
    client = socket.create_connection(address, timeout=TIMEOUT_S)
    client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    client.sendall(request("look"))
    return client


async def answered_client(environment: NodeEnvironment) -> tuple[socket.socket, DownstreamConnection]:
    """Return a blocking client whose request has been answered, and the node's end of its connection."""
    client = blocking_client(environment.address)
    (connection,) = await until(lambda: [c for c in environment.node.downstream.connections if c.answered])
    return client, connection


async def read_to_end(client: socket.socket) -> bytes:
    """Return all bytes that the client receives until its connection ends."""
    client.setblocking(False)
    received = b""
    loop = asyncio.get_running_loop()
    with contextlib.suppress(ConnectionError):
        while part := await asyncio.wait_for(loop.sock_recv(client, 4096), TIMEOUT_S):
            received += part
    return received


async def connect_with_small_buffers(
    client: socket.socket, environment: NodeEnvironment
) -> DownstreamConnection:
    """Connect with buffers too small for a long response, and return the node's end of the connection."""
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    client.setblocking(False)
    await asyncio.get_running_loop().sock_connect(client, environment.address)
    (connection,) = await until(lambda: list(environment.node.downstream.connections))
    assert connection.transport.client_socket is not None
    connection.transport.client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
    return connection
