"""Tests of a client connection: pipelining, clients that read slowly, and clients that leave."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket

import pytest

from load_balancer.proxy.downstream.connection import (
    MAX_PIPELINED_REQUESTS,
    PAUSE_READING_AT,
    DownstreamConnection,
)
from load_balancer.proxy.downstream.connection_state import ConnectionState
from load_balancer.proxy.downstream.input_pacer import TURNS_PER_ITERATION
from load_balancer.proxy.observability.counters import CloseReason
from load_balancer.proxy.upstream.endpoint_pool import REUSE_DELAY_S
from tests.proxy.async_support import TIMEOUT_S, async_test, until
from tests.proxy.blocking_client import connect_with_small_buffers, open_requests
from tests.proxy.node_environment import NodeEnvironment, running_node
from tests.proxy.policy_recorder import PolicyRecorder, ignore_events, replace_policy
from tests.proxy.stub_client import Client, request
from tests.proxy.stub_discovery import row
from tests.proxy.stub_server import StubServer, reply, silent, when_released


@async_test
async def test_malformed_input_is_answered_within_3_s_while_request_is_open() -> None:
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
async def test_client_that_reads_slowly_gets_complete_last_response(monkeypatch: pytest.MonkeyPatch) -> None:
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
            assert connection.transport.has_unsent_output(), "the response must exceed the socket buffers"
            checks = 0
            abort_when_sent = DownstreamConnection.abort_when_sent

            def count_and_check(checked: DownstreamConnection) -> None:
                nonlocal checks
                checks += 1
                abort_when_sent(checked)

            monkeypatch.setattr(DownstreamConnection, "abort_when_sent", count_and_check)
            await until(lambda: checks > 2)
            received = b""
            while part := await loop.sock_recv(client, 4096):
                received += part
            assert received.endswith(body)


@async_test
async def test_pipelined_requests_are_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    """Check that requests up to the limit are accepted and answered, and further requests are not."""
    monkeypatch.setattr("load_balancer.proxy.downstream.connection.OPEN_REQUESTS_TIMEOUT_S", 0.05)
    async with StubServer([silent]) as endpoint, running_node(row("a", endpoint.address)) as environment:
        recorder = PolicyRecorder(environment.node)
        client = await environment.connect_client()
        client.writer.write(b"".join(request("look") for _ in range(300)))
        statuses = [(await client.read_response()).status for _ in range(MAX_PIPELINED_REQUESTS)]
        assert set(statuses) <= {400, 503}, "a status other than 400, or 503 for a rejection by the policy"
        assert await client.ends_without_output()
        assert len(recorder.budgets) == MAX_PIPELINED_REQUESTS
        assert not environment.node.requests
        endpoint.release.set()


@async_test
async def test_pipelined_requests_are_answered_in_order() -> None:
    behaviours = [reply("200 OK", b"%d" % i) for i in range(8)]
    async with StubServer(behaviours) as endpoint, running_node(row("a", endpoint.address)) as environment:
        client = await environment.connect_client()
        client.writer.write(b"".join(request("look", target=f"/api/{i}") for i in range(8)))
        bodies = [(await client.read_response()).body for _ in range(8)]
        by_target = {received.target: b"%d" % i for i, received in enumerate(endpoint.received)}
        assert bodies == [by_target[f"/api/{i}"] for i in range(8)]


async def _client_that_is_not_read(environment: NodeEnvironment) -> tuple[Client, DownstreamConnection]:
    """Connect a client that has so many open requests that its connection is not read; return both."""
    client = await environment.connect_client()
    client.writer.write(open_requests(PAUSE_READING_AT))
    (connection,) = await until(
        lambda: [c for c in environment.node.downstream.connections if c.last_input_at]
    )
    await until(lambda: not connection.transport.is_reading)
    return client, connection


@async_test
async def test_budget_of_request_includes_its_wait_for_earlier_responses() -> None:
    # A request that waited unread, because two requests of its connection were open, got its whole time anew
    # when it was read: endpoints were told more time than its client had left.
    waited_s, deadline_s = 0.3, 600.0
    behaviours = [when_released(reply("200 OK", b"x"))]
    async with StubServer(behaviours) as endpoint, running_node(row("a", endpoint.address)) as environment:
        recorder = PolicyRecorder(environment.node)
        client, connection = await _client_that_is_not_read(environment)
        client.writer.write(open_requests(1))
        await until(connection.has_unread_input)
        await asyncio.sleep(waited_s)
        endpoint.release.set()
        await until(lambda: len(recorder.budgets) == 3)
        assert recorder.budgets[2] <= 1000.0 * (deadline_s - waited_s)


@async_test
async def test_budget_of_request_after_a_pause_counts_from_its_arrival() -> None:
    paused_s, deadline_s = 1.0, 600.0
    behaviours = [when_released(reply("200 OK", b"x"))]
    async with StubServer(behaviours) as endpoint, running_node(row("a", endpoint.address)) as environment:
        recorder = PolicyRecorder(environment.node)
        client, connection = await _client_that_is_not_read(environment)
        await asyncio.sleep(paused_s)
        endpoint.release.set()
        await until(lambda: connection.transport.is_reading)
        client.writer.write(open_requests(1))
        await until(lambda: len(recorder.budgets) == 3)
        assert recorder.budgets[2] > 1000.0 * (deadline_s - paused_s)


@async_test
async def test_client_that_leaves_during_a_response_ends_its_other_requests() -> None:
    behaviours = [reply("200 OK", b"x" * 60_000), silent]
    async with StubServer(behaviours) as endpoint, running_node(row("a", endpoint.address)) as environment:
        loop = asyncio.get_running_loop()
        with socket.socket() as client:
            connection = await connect_with_small_buffers(client, environment)
            await loop.sock_sendall(client, request("look"))
            await until(lambda: connection.answered)
            assert connection.transport.has_unsent_output(), "the response must exceed the socket buffers"
            await loop.sock_sendall(client, open_requests(1))
            await until(lambda: len(endpoint.received) == 2)
            client.shutdown(socket.SHUT_WR)
            await until(lambda: not environment.node.requests)
            transport = connection.transport
            assert transport.has_unsent_output(), "a part of the response must be unsent"
            endpoint.release.set()


@async_test
async def test_requests_before_invalid_input_get_their_responses() -> None:
    """Check that accepted requests get their responses although too many requests follow them."""
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


@async_test
async def test_requests_behind_the_disconnect_of_a_client_are_not_forwarded() -> None:
    # A client sent several requests and closed.  The check of the first one found the disconnect, but the
    # requests behind it in the same input were forwarded, up to seconds after the close.
    async with (
        StubServer([reply("200 OK", b"x")]) as endpoint,
        running_node(row("a", endpoint.address)) as environment,
    ):
        earlier = await environment.connect_client()
        assert (await earlier.fetch("look")).status == 200
        await asyncio.sleep(2 * REUSE_DELAY_S)  # an attempt can be written at once, on an idle connection
        recorder = PolicyRecorder(environment.node)
        written = environment.node.counters.written
        with socket.create_connection(environment.address) as client:
            client.sendall(open_requests(4))  # the event loop does not run before the client closes
        await until(lambda: recorder.budgets and len(environment.node.downstream.connections) == 1)
        assert recorder.nothing_open
        assert environment.node.counters.written == written
        assert len(recorder.budgets) == 1, "requests behind the disconnect must not be accepted"


@async_test
async def test_no_attempt_starts_while_the_connection_of_the_client_is_closing() -> None:
    # The poll for the disconnect took a closing connection for one whose client waits, so that an attempt
    # could start between an abort and its report by the event loop.
    async with StubServer([silent]) as endpoint, running_node(row("a", endpoint.address)) as environment:
        client, connection = await _client_that_is_not_read(environment)
        assert not connection.transport.client_has_left()
        connection.abort(CloseReason.RESPONSE_UNREAD)
        assert connection.transport.client_has_left()
        client.close()
        endpoint.release.set()


@async_test
async def test_requests_behind_one_that_a_limit_rejects_are_answered() -> None:
    # A request that a limit of the node rejected closed the connection, so that a request behind it in the
    # same input ran, or was at least read, and got no answer.
    async with StubServer([silent]) as endpoint, running_node(row("a", endpoint.address)) as environment:
        environment.node.downstream.memory.max_bytes = 40_000
        client = await environment.connect_client()
        requests = [request("look"), request("book", body=b"x" * 60_000), request("book"), request("book")]
        client.writer.write(b"".join(requests))
        await until(lambda: environment.node.counters.accepted == 3)
        endpoint.behaviours[:] = [reply("200 OK", b"x")]
        endpoint.release.set()
        statuses = [(await client.read_response()).status for _ in requests]
        assert statuses[1] == 503
        assert not environment.node.rules.violations


@async_test
async def test_requests_of_one_read_are_handled_in_turns() -> None:
    # Hundreds of clients that sent 16 small requests at once held up the event loop for a second or two,
    # because each read of the event loop handled all requests that it brought.
    accepted: list[int] = []  # by iteration of the event loop
    async with running_node(row("a", "127.0.0.1:1")) as environment:
        node = environment.node
        replace_policy(node, ignore_events)
        with contextlib.ExitStack() as stack:
            clients = [stack.enter_context(socket.create_connection(environment.address)) for _ in range(10)]
            await until(lambda: len(node.downstream.connections) == len(clients))
            for client in clients:
                client.sendall(open_requests(MAX_PIPELINED_REQUESTS))  # the event loop does not run
            while node.counters.accepted < len(clients) * MAX_PIPELINED_REQUESTS:
                accepted.append(node.counters.accepted)
                await asyncio.sleep(0)
    steps = [later - earlier for earlier, later in itertools.pairwise(accepted)]
    assert max(steps) <= len(clients) + TURNS_PER_ITERATION
