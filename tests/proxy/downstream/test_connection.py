"""One client connection: pipelining, timeouts, slow readers, and clients that leave."""

from __future__ import annotations

import asyncio
import socket

import pytest

from load_balancer.proxy.downstream.connection import MAX_PIPELINED_REQUESTS, DownstreamConnection
from load_balancer.proxy.downstream.connection_state import ConnectionPhase, ConnectionState
from load_balancer.proxy.downstream.eviction import evict
from load_balancer.proxy.downstream.timeouts import IDLE_TIMEOUT_S, REQUEST_TIMEOUT_S, enforce_timeouts
from tests.proxy.async_support import TIMEOUT_S, async_test, until
from tests.proxy.blocking_client import (
    answered_client,
    connect_with_small_buffers,
    open_requests,
    read_to_end,
)
from tests.proxy.node_environment import running_node
from tests.proxy.policy_recorder import PolicyRecorder
from tests.proxy.stub_client import request
from tests.proxy.stub_discovery import row
from tests.proxy.stub_server import StubServer, reply, silent, when_released


@async_test
async def test_unreadable_input_is_answered_before_open_requests() -> None:
    async with StubServer([silent]) as endpoint, running_node(row("a", endpoint.address)) as environment:
        client = await environment.connect_client()
        client.writer.write(request("book"))
        await asyncio.wait_for(endpoint.request_received.wait(), TIMEOUT_S)
        loop = asyncio.get_running_loop()
        written_at = loop.time()
        client.writer.write(b"nonsense\r\n\r\n" * 5)
        assert (await client.read_response()).status == 400
        assert loop.time() - written_at < 3.0
        assert await client.ends_without_output(), "more than one response"
        assert not environment.node.requests and not environment.node.requests.reserved_client_ids
        endpoint.release.set()


@async_test
async def test_slow_reader_gets_complete_last_response(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("load_balancer.proxy.downstream.connection.LINGER_S", 0.01)
    body = b"x" * 60_000
    async with (
        StubServer([reply("200 OK", body)]) as endpoint,
        running_node(row("a", endpoint.address)) as environment,
    ):
        loop = asyncio.get_running_loop()
        with socket.socket() as client:
            connection = await connect_with_small_buffers(client, environment)
            await loop.sock_sendall(client, request("look", extra="Connection: close\r\n"))
            await until(lambda: connection.state is ConnectionState.FINISHED)
            assert connection.transport.has_unsent_output(), "the test needs a response beyond the buffers"
            checks = 0
            abort_when_sent = DownstreamConnection.abort_when_sent

            def counted(checked: DownstreamConnection) -> None:
                nonlocal checks
                checks += 1
                abort_when_sent(checked)

            monkeypatch.setattr(DownstreamConnection, "abort_when_sent", counted)
            await until(lambda: checks > 2)
            received = b""
            while part := await loop.sock_recv(client, 4096):
                received += part
            assert received.endswith(body)


@async_test
async def test_pipelined_requests_are_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    """Those within the limit were accepted, and each of them gets a response."""
    monkeypatch.setattr("load_balancer.proxy.downstream.connection.OPEN_REQUESTS_TIMEOUT_S", 0.05)
    async with StubServer([silent]) as endpoint, running_node(row("a", endpoint.address)) as environment:
        recorder = PolicyRecorder(environment.node)
        client = await environment.connect_client()
        client.writer.write(b"".join(request("look") for _ in range(300)))
        statuses = [(await client.read_response()).status for _ in range(MAX_PIPELINED_REQUESTS)]
        assert set(statuses) <= {400, 503}, "503 where the policy rejects one in that time"
        assert await client.ends_without_output()
        assert len(recorder.budgets) == MAX_PIPELINED_REQUESTS
        assert not environment.node.requests
        endpoint.release.set()


@pytest.mark.parametrize(
    ("begun", "status"), [(b"", None), (request("book", body=b"x")[:-1], 408), (b"POST /api HT", 408)]
)
@async_test
async def test_missing_first_request_times_out(
    begun: bytes, status: int | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("load_balancer.proxy.downstream.timeouts.FIRST_REQUEST_TIMEOUT_S", 0.05)
    monkeypatch.setattr("load_balancer.proxy.downstream.timeouts.UNUSED_IDLE_TIMEOUT_S", 0.05)
    async with StubServer([silent]) as endpoint, running_node(row("a", endpoint.address)) as environment:
        client = await environment.connect_client()
        client.writer.write(begun)
        if status is not None:
            assert (await client.read_response()).status == status
        assert await client.ends_without_output()
        assert not endpoint.received


@async_test
async def test_pipelined_requests_are_answered_in_order() -> None:
    behaviours = [reply("200 OK", b"%d" % i) for i in range(8)]
    async with StubServer(behaviours) as endpoint, running_node(row("a", endpoint.address)) as environment:
        client = await environment.connect_client()
        client.writer.write(b"".join(request("look", target=f"/api/{i}") for i in range(8)))
        bodies = [(await client.read_response()).body for _ in range(8)]
        by_target = {received.target: b"%d" % i for i, received in enumerate(endpoint.received)}
        assert bodies == [by_target[f"/api/{i}"] for i in range(8)]


@async_test
async def test_client_that_leaves_during_a_response_ends_its_other_requests() -> None:
    behaviours = [reply("200 OK", b"x" * 60_000), silent]
    async with StubServer(behaviours) as endpoint, running_node(row("a", endpoint.address)) as environment:
        loop = asyncio.get_running_loop()
        with socket.socket() as client:
            connection = await connect_with_small_buffers(client, environment)
            await loop.sock_sendall(client, request("look"))
            await until(lambda: connection.answered)
            assert connection.transport.has_unsent_output(), "the test needs a response beyond the buffers"
            await loop.sock_sendall(client, open_requests(1))
            await until(lambda: len(endpoint.received) == 2)
            client.shutdown(socket.SHUT_WR)
            await until(lambda: not environment.node.requests)
            transport = connection.transport
            assert transport.has_unsent_output(), "the test needs a response that is still being sent"
            endpoint.release.set()


@async_test
async def test_later_request_that_stops_is_answered_within_3_s() -> None:
    """A client that has been served before is owed its error in no longer than a new one."""
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


@async_test
async def test_requests_before_unacceptable_input_get_their_responses() -> None:
    """They were accepted: what comes behind them is no reason to leave them without a response."""
    behaviours = [when_released(reply("200 OK", b"x"))]
    async with StubServer(behaviours) as endpoint, running_node(row("a", endpoint.address)) as environment:
        recorder = PolicyRecorder(environment.node)
        client = await environment.connect_client()
        client.writer.write(b"".join(request("look") for _ in range(MAX_PIPELINED_REQUESTS + 4)))
        await until(lambda: len(recorder.budgets) == MAX_PIPELINED_REQUESTS)
        endpoint.release.set()
        statuses = [(await client.read_response()).status for _ in range(MAX_PIPELINED_REQUESTS + 1)]
        assert statuses == [200] * MAX_PIPELINED_REQUESTS + [400]
        assert await client.ends_without_output()


@pytest.mark.parametrize("within", [False, True], ids=["idle", "half a request"])
@async_test
async def test_connection_with_unread_request_is_not_timed_out(
    within: bool,
) -> None:
    async with (
        StubServer([reply("200 OK", b"x")]) as endpoint,
        running_node(row("a", endpoint.address)) as environment,
    ):
        client, connection = await answered_client(environment)
        text = request("look")
        with client:
            if within:
                client.sendall(text[:30])
                await until(lambda: connection.phase is ConnectionPhase.RECEIVING)
            client.sendall(text[30 if within else 0 :])
            timeout_s = REQUEST_TIMEOUT_S if within else IDLE_TIMEOUT_S
            # Before the loop's next iteration.
            enforce_timeouts(connection, connection.waiting_since + timeout_s + 0.01)
            responses = asyncio.create_task(read_to_end(client))
            await until(lambda: len(endpoint.received) == 2)
            evict(connection)
            assert (await responses).count(b"200 OK") == 2
