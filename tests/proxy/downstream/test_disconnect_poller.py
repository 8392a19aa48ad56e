"""Tests of the detection of clients that leave while their connections are not read."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable

import pytest

from load_balancer.proxy.downstream.connection import PAUSE_READING_AT
from tests.proxy.async_support import async_test, until
from tests.proxy.blocking_client import open_requests
from tests.proxy.node_environment import running_node
from tests.proxy.stub_client import Client
from tests.proxy.stub_discovery import row
from tests.proxy.stub_server import StubServer, reply, when_released


def _reset(client: Client) -> None:
    client_socket = client.writer.get_extra_info("socket")
    client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


@pytest.mark.parametrize(
    "leave", [Client.close, _reset, lambda client: client.writer.write_eof()], ids=["close", "reset", "eof"]
)
@async_test
async def test_client_that_leaves_while_reading_is_paused_is_detected(
    leave: Callable[[Client], None],
) -> None:
    """Check that the node detects that a client has left although an unread request precedes the close.

    Two responses are due, so the node does not read the third request from the connection.
    """
    async with (
        StubServer([when_released(reply("200 OK"))]) as endpoint,
        running_node(row("a", endpoint.address)) as environment,
    ):
        client = await environment.connect_client()
        client.writer.write(open_requests(2))
        await until(lambda: len(endpoint.received) == PAUSE_READING_AT)
        (connection,) = environment.node.downstream.connections
        assert connection.transport.client_socket is not None and not connection.transport.is_reading
        client.writer.write(open_requests(1))
        await client.writer.drain()
        leave(client)
        await until(lambda: not environment.node.requests)
        await until(lambda: not environment.node.downstream.connections)
        endpoint.release.set()
        await until(lambda: not environment.node.requests.attempts_in_flight)
        assert (await (await environment.connect_client()).fetch("look")).status == 200
        assert len(endpoint.received) == PAUSE_READING_AT + 1, "forwarded after the client had left"
        assert not environment.node.downstream.disconnect_poller.connections
