"""Tests of the proxy between nodes and servers."""

from __future__ import annotations

import asyncio
import socket

from fault_soak.proxy import FaultProxy, LinkState
from tests.proxy.async_support import HOST, async_test


@async_test
async def test_connection_established_before_late_state_forwards_its_data() -> None:
    # A connection in the backlog was left there until the end of the state, so that a server received its
    # request late and the oracle held the forwarded deadline against the node.
    received = asyncio.Queue[bytes]()

    async def serve(reader: asyncio.StreamReader, _: asyncio.StreamWriter) -> None:
        received.put_nowait(await reader.read(100))

    server = await asyncio.start_server(serve, HOST, 0)
    proxy = FaultProxy(server.sockets[0].getsockname()[1])
    proxy.open()
    with socket.create_connection((HOST, proxy.port)) as client:  # the event loop does not accept it yet
        proxy.set_state(LinkState.LATE)
        client.sendall(b"request")
        assert await asyncio.wait_for(received.get(), 5.0) == b"request"
    proxy.set_state(LinkState.PASS)
    proxy.close()
    server.close()
