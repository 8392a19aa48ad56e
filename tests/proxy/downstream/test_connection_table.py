"""Tests of the connection limit, and of the eviction of a connection to admit a new one."""

from __future__ import annotations

import asyncio

import pytest

from load_balancer.proxy.descriptors import MIN_OVERFLOW_CONNECTIONS
from load_balancer.proxy.downstream import eviction
from load_balancer.proxy.downstream.connection import DownstreamConnection
from load_balancer.proxy.downstream.eviction import SCAN_LIMIT, EvictionPriority, evict
from tests.proxy.async_support import TIMEOUT_S, async_test, until
from tests.proxy.blocking_client import answered_client, read_to_end
from tests.proxy.node_environment import running_node
from tests.proxy.policy_recorder import ignore_events, replace_policy
from tests.proxy.stub_client import request
from tests.proxy.stub_discovery import row
from tests.proxy.stub_server import StubServer, reply, silent, when_released


@async_test
async def test_unused_connections_are_evicted_before_used_ones() -> None:
    async with (
        StubServer([reply("200 OK")]) as endpoint,
        running_node(row("a", endpoint.address), sockets=64) as environment,
    ):
        used = await environment.connect_client()
        assert (await used.fetch("look")).status == 200
        max_connections = environment.node.downstream.table.max_connections
        unused = [await environment.connect_client() for _ in range(max_connections - 1)]
        for client in unused:
            assert (await client.fetch(target="/ready")).status == 200
        later_unused = [await environment.connect_client() for _ in range(max_connections)]
        assert await unused[0].ends_without_output() and await later_unused[0].ends_without_output()
        new_client = await environment.connect_client()
        assert (
            await new_client.fetch("look")
        ).status == 200, "rejected, although unused connections were open"
        assert (await used.fetch("look")).status == 200
        assert len(environment.node.downstream.connections) <= max_connections


@async_test
async def test_new_connections_do_not_evict_each_other_while_others_are_idle() -> None:
    """Check that, with a full table of idle connections, new clients have time to send their requests."""
    async with (
        StubServer([reply("200 OK")]) as endpoint,
        running_node(row("a", endpoint.address), sockets=96) as environment,
    ):
        max_connections = environment.node.downstream.table.max_connections
        idle = [await environment.connect_client() for _ in range(max_connections)]
        for client in idle:
            assert (await client.fetch("look")).status == 200
        new_clients = [await environment.connect_client() for _ in range(max_connections // 2)]
        for client in new_clients:
            assert (await client.fetch("look")).status == 200, "closed before its request could arrive"
        assert await idle[0].ends_without_output()
        assert len(environment.node.downstream.connections) <= max_connections


@async_test
async def test_connections_over_limit_are_rejected_and_idle_ones_evicted() -> None:
    async with (
        StubServer([silent]) as endpoint,
        running_node(row("a", endpoint.address), sockets=64) as environment,
    ):
        replace_policy(environment.node, ignore_events)
        max_connections = environment.node.downstream.table.max_connections
        idle = await environment.connect_client()
        assert (await idle.fetch(target="/ready")).status == 200
        busy = [await environment.connect_client() for _ in range(max_connections)]
        assert await idle.ends_without_output(), "the idle connection was not evicted"
        for client in busy:
            client.writer.write(request("look", deadline="5"))
        await until(lambda: len(environment.node.requests) >= max_connections)
        response = await (await environment.connect_client()).fetch("look")
        assert response.status == 503
        assert float(response.headers["retry-after"]) > 0
        assert len(environment.node.requests) == max_connections
        endpoint.release.set()
        for client in busy:
            client.close()


@async_test
async def test_connection_with_unread_request_is_not_evicted() -> None:
    """Check that a connection with an unread request stays open and that the request is answered.

    A request that has arrived counts as accepted even if it has not been read.  A close would reset the
    connection without a response.
    """
    async with (
        StubServer([reply("200 OK", b"x")]) as endpoint,
        running_node(row("a", endpoint.address)) as environment,
    ):
        client, connection = await answered_client(environment)
        with client:
            client.sendall(request("look"))  # The event loop cannot read this before the next await.
            assert not environment.node.downstream.table.evict_one(
                DownstreamConnection(environment.node.downstream)
            )
            assert connection in environment.node.downstream.connections
            responses = asyncio.create_task(read_to_end(client))
            await until(lambda: len(endpoint.received) == 2)
            evict(connection)
            assert (await responses).count(b"200 OK") == 2


@async_test
async def test_eviction_scan_is_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    examined: list[DownstreamConnection] = []
    is_evictable = eviction.is_evictable

    def record_and_check(connection: DownstreamConnection, now: float, unused_grace_s: float) -> bool:
        examined.append(connection)
        return is_evictable(connection, now, unused_grace_s)

    monkeypatch.setattr("load_balancer.proxy.downstream.connection_table.is_evictable", record_and_check)
    async with (
        StubServer([reply("200 OK")]) as endpoint,
        running_node(row("a", endpoint.address)) as environment,
    ):
        max_connections = environment.node.downstream.table.max_connections
        incomplete = EvictionPriority.REQUEST_INCOMPLETE
        clients = [await environment.connect_client() for _ in range(max_connections)]
        for client in clients:
            client.writer.write(request("look")[:30])  # The incomplete request prevents eviction at first.
        await until(
            lambda: environment.node.downstream.table.eviction_queues.count(incomplete) == max_connections
        )
        examined.clear()
        new_client = await environment.connect_client()
        await until(lambda: len(environment.node.downstream.connections) == max_connections + 1)
        assert 0 < len(examined) <= 4 * SCAN_LIMIT
        for client in clients:
            client.close()
        new_client.close()
        await until(lambda: not environment.node.downstream.connections)
        assert not environment.node.downstream.table.eviction_queues, "a closed connection is still queued"


@async_test
async def test_connections_over_small_limit_are_answered_or_accepted_later() -> None:
    """Check that all clients get responses if descriptors are scarce.

    A few connections over the limit are answered 503.  Further connections wait in the backlog.
    """
    async with (
        StubServer([when_released(reply("200 OK"))]) as endpoint,
        running_node(row("a", endpoint.address), sockets=30) as environment,
    ):
        clients = []
        for _ in range(12):
            clients.append(await environment.connect_client())
            clients[-1].writer.write(request("look", deadline="8"))
        await asyncio.wait_for(endpoint.request_received.wait(), TIMEOUT_S)
        endpoint.release.set()
        statuses = [(await client.read_response()).status for client in clients]
        assert set(statuses) <= {200, 503} and 200 in statuses


@async_test
async def test_new_connections_in_small_table_have_time_to_send_requests() -> None:
    """Check that new connections in a small table are not evicted, and that all clients get responses.

    The node is at its connection limit when the last client connects, so that the connection of this client
    waits in the backlog at first.
    """
    async with (
        StubServer([reply("200 OK")]) as endpoint,
        running_node(row("a", endpoint.address), sockets=30) as environment,
    ):
        downstream = environment.node.downstream
        capacity = downstream.table.max_connections + MIN_OVERFLOW_CONNECTIONS
        clients = [await environment.connect_client() for _ in range(capacity)]
        await until(lambda: len(downstream.connections) == capacity)
        clients.append(await environment.connect_client())
        for _ in range(20):  # event-loop iterations in which the last client is not accepted
            await asyncio.sleep(0)
        for client in clients:
            client.writer.write(request("look"))
        assert {(await client.read_response()).status for client in clients} <= {200, 503}
