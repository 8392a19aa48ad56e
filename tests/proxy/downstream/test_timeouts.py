"""Tests of the timeouts of connections, and of input that has arrived in time but is unread."""

from __future__ import annotations

import asyncio

import pytest

from load_balancer.proxy.downstream.connection_state import ConnectionPhase
from load_balancer.proxy.downstream.eviction import evict
from load_balancer.proxy.downstream.timeouts import IDLE_TIMEOUT_S, REQUEST_TIMEOUT_S, enforce_timeouts
from tests.proxy.async_support import async_test, until
from tests.proxy.blocking_client import answered_client, read_to_end
from tests.proxy.node_environment import running_node
from tests.proxy.stub_client import request
from tests.proxy.stub_discovery import row
from tests.proxy.stub_server import StubServer, reply, silent


@pytest.mark.parametrize(
    ("request_start", "status"), [(b"", None), (request("book", body=b"x")[:-1], 408), (b"POST /api HT", 408)]
)
@async_test
async def test_missing_or_incomplete_first_request_times_out(
    request_start: bytes, status: int | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("load_balancer.proxy.downstream.timeouts.FIRST_REQUEST_TIMEOUT_S", 0.05)
    monkeypatch.setattr("load_balancer.proxy.downstream.timeouts.UNUSED_IDLE_TIMEOUT_S", 0.05)
    async with StubServer([silent]) as endpoint, running_node(row("a", endpoint.address)) as environment:
        client = await environment.connect_client()
        client.writer.write(request_start)
        if status is not None:
            assert (await client.read_response()).status == status
        assert await client.ends_without_output()
        assert not endpoint.received


@async_test
async def test_stalled_later_request_is_answered_within_3_s() -> None:
    """Check that a later request on a connection has the same time limit for an error response as the first.

    The client stops sending in the middle of the later request.
    """
    async with (
        StubServer([reply("200 OK")]) as endpoint,
        running_node(row("a", endpoint.address)) as environment,
    ):
        client = await environment.connect_client()
        assert (await client.fetch("look")).status == 200
        loop = asyncio.get_running_loop()
        client.writer.write(request("move", body=b"x" * 10)[:-5])
        stopped_at = loop.time()
        assert (await client.read_response()).status == 408
        assert loop.time() - stopped_at < 3.0
        assert await client.ends_without_output()


@pytest.mark.parametrize("request_begun", [False, True], ids=["idle", "incomplete request"])
@async_test
async def test_connection_with_unread_request_is_not_timed_out(
    request_begun: bool,
) -> None:
    async with (
        StubServer([reply("200 OK", b"x")]) as endpoint,
        running_node(row("a", endpoint.address)) as environment,
    ):
        client, connection = await answered_client(environment)
        text = request("look")
        with client:
            if request_begun:
                client.sendall(text[:30])
                await until(lambda: connection.phase is ConnectionPhase.RECEIVING)
            client.sendall(text[30 if request_begun else 0 :])
            timeout_s = REQUEST_TIMEOUT_S if request_begun else IDLE_TIMEOUT_S
            # The event loop has not read the input yet.
            enforce_timeouts(connection, connection.waiting_since + timeout_s + 0.01)
            responses = asyncio.create_task(read_to_end(client))
            await until(lambda: len(endpoint.received) == 2)
            evict(connection)
            assert (await responses).count(b"200 OK") == 2
