"""Tests of the turns in which connections with bulk input are read."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from load_balancer.proxy.downstream.connection import DownstreamConnection
from load_balancer.proxy.downstream.input_pacer import TURNS_PER_ITERATION, InputPacer
from load_balancer.proxy.http.reader import MAX_BODY_BYTES
from tests.proxy.async_support import async_test, until
from tests.proxy.node_environment import running_node
from tests.proxy.stub_client import request
from tests.proxy.stub_discovery import row
from tests.proxy.stub_server import StubServer, reply

BULK_CLIENTS = 20
BULK_REQUEST = b"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * (
    MAX_BODY_BYTES // 4
)
# The event loop may be busy with bulk input for some 15 ms, which chunks of one byte take in this many bytes.
MAX_ITERATION_BYTES = 256 * 1024


class _Connection:
    """A connection that records its turns in a list shared with others."""

    def __init__(self, turns: list[_Connection]) -> None:
        self._turns = turns

    def continue_reading(self) -> None:
        self._turns.append(self)


@async_test
async def test_connections_get_their_turns_in_order_and_few_in_one_iteration() -> None:
    turns: list[_Connection] = []
    pacer = InputPacer()
    connections = [_Connection(turns) for _ in range(TURNS_PER_ITERATION + 2)]
    for connection in connections:
        pacer.wait_for_turn(connection)
    await asyncio.sleep(0)
    assert turns == connections[:TURNS_PER_ITERATION]
    await asyncio.sleep(0)
    assert turns == connections


@async_test
async def test_removed_connection_gets_no_turn() -> None:
    turns: list[_Connection] = []
    pacer = InputPacer()
    connections = [_Connection(turns) for _ in range(2)]
    for connection in connections:
        pacer.wait_for_turn(connection)
    pacer.remove(connections[0])
    pacer.remove(connections[0])
    await asyncio.sleep(0)
    assert turns == connections[1:]


@async_test
async def test_one_iteration_reads_little_of_the_bulk_input_of_many_clients(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Bodies in chunks of one byte, sent by hundreds of clients, held up the event loop for seconds: requests
    # of other clients were answered late or not at all.
    read_bytes: list[int] = []  # by iteration of the event loop, since all bulk input has arrived
    buffer_updated = DownstreamConnection.buffer_updated

    def record_size(connection: DownstreamConnection, nbytes: int) -> None:
        if read_bytes:
            read_bytes[-1] += nbytes
        buffer_updated(connection, nbytes)

    monkeypatch.setattr(DownstreamConnection, "buffer_updated", record_size)
    async with running_node() as environment:
        with contextlib.ExitStack() as stack:
            clients = [
                stack.enter_context(socket.create_connection(environment.address))
                for _ in range(BULK_CLIENTS)
            ]
            downstream = environment.node.downstream
            await until(lambda: len(downstream.connections) == BULK_CLIENTS)
            for client in clients:
                client.sendall(BULK_REQUEST)  # the event loop does not run, so that all of it is unread
            for _ in range(2 * BULK_CLIENTS):
                read_bytes.append(0)
                await asyncio.sleep(0)
    assert max(read_bytes) <= MAX_ITERATION_BYTES
    assert sum(read_bytes) > MAX_ITERATION_BYTES, "reading must go on in later iterations"


@async_test
async def test_largest_body_is_read_in_turns() -> None:
    body = b"x" * MAX_BODY_BYTES
    async with (
        StubServer([reply("200 OK", b"y")]) as endpoint,
        running_node(row("a", endpoint.address)) as environment,
    ):
        clients = [await environment.connect_client() for _ in range(BULK_CLIENTS)]
        for client in clients:
            client.writer.write(request("book", body=body, deadline="600"))
        responses = [await client.read_response() for client in clients]
        assert {response.status for response in responses} == {200}
        assert [received.body for received in endpoint.received] == [body] * BULK_CLIENTS
