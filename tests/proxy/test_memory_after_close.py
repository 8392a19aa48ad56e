"""Tests that the input of a connection is freed when the connection ends, and not only by the collector.

The cyclic garbage collector counts objects and not their size, so that a few thousand closed connections with
incomplete messages would exceed the memory limit of a node before it runs its oldest generation.
"""

from __future__ import annotations

import socket

from load_balancer.proxy.http.reader import MAX_BODY_BYTES, MAX_HEAD_BYTES
from tests.proxy.async_support import async_test, until
from tests.proxy.node_environment import NodeEnvironment, running_node
from tests.proxy.stub_discovery import row, send_line
from tests.proxy.stub_server import StubServer, raw
from tests.proxy.traced_memory import traced_bytes, without_garbage_collection

CONNECTIONS = 20
INCOMPLETE_BODY = b"x" * (MAX_BODY_BYTES - 1)
INCOMPLETE_REQUEST = b"POST /api HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % MAX_BODY_BYTES + INCOMPLETE_BODY
INCOMPLETE_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % MAX_BODY_BYTES + INCOMPLETE_BODY
INCOMPLETE_LIST = b'{"generation":9,"instances":[' + b"0," * 500_000


async def _leave_in_the_middle_of_a_request(environment: NodeEnvironment) -> None:
    downstream = environment.node.downstream
    with socket.create_connection(environment.address) as client:
        client.setblocking(False)
        unsent = memoryview(INCOMPLETE_REQUEST)
        while unsent:
            unsent = unsent[client.send(unsent) :]
            await until(lambda: any(c.last_input_at for c in downstream.connections))
    await until(lambda: not downstream.connections)


@async_test
async def test_request_that_client_leaves_incomplete_is_freed() -> None:
    # Closed connections kept up to 64 KB each until the cyclic garbage collector ran.
    async with running_node() as environment:
        await _leave_in_the_middle_of_a_request(environment)
        with without_garbage_collection():
            for _ in range(CONNECTIONS):
                await _leave_in_the_middle_of_a_request(environment)
            assert traced_bytes() < CONNECTIONS * MAX_HEAD_BYTES


@async_test
async def test_response_that_endpoint_leaves_incomplete_is_freed() -> None:
    # Closed connections to endpoints kept up to 64 KB each until the cyclic garbage collector ran.
    async with (
        StubServer([raw(INCOMPLETE_RESPONSE, close=True)]) as endpoint,
        running_node(row("a", endpoint.address)) as environment,
    ):
        client = await environment.connect_client()
        assert (await client.fetch("book")).status != 200
        with without_garbage_collection():
            for _ in range(CONNECTIONS):
                assert (await client.fetch("book")).status != 200
            assert traced_bytes() < CONNECTIONS * MAX_HEAD_BYTES


@async_test
async def test_list_that_discovery_leaves_incomplete_is_freed() -> None:
    # A watch that had ended kept up to 4 MB until the cyclic garbage collector ran.
    async with running_node(registryMode="pushed") as environment:
        watches = 3
        with without_garbage_collection():
            for _ in range(watches):
                watch = await environment.discovery.watch()
                send_line(watch, INCOMPLETE_LIST)
                watch.write(b"nonsense\r\n")
                del watch
            await environment.discovery.watch()
            assert traced_bytes() < watches * len(INCOMPLETE_LIST) / 2
