"""Tests of attempts that race with a client's disconnect, with a response or with a broken connection."""

from __future__ import annotations

import asyncio
import os

import pytest

from load_balancer.actions import Action
from load_balancer.events import Event, Outcome, RequestArrived, TimerFired
from load_balancer.proxy.downstream import disconnect_poller
from load_balancer.proxy.node import Node
from tests.proxy.async_support import HOST, TIMEOUT_S, async_test, until
from tests.proxy.blocking_client import blocking_client
from tests.proxy.delayed_connections import DelayedConnections
from tests.proxy.http_text import read_head
from tests.proxy.node_environment import running_node
from tests.proxy.policy_recorder import PolicyRecorder, replace_policy
from tests.proxy.request_state import nothing_left
from tests.proxy.sample_settings import LONG_CONNECT_TIMEOUT, policy_limits
from tests.proxy.stub_client import request
from tests.proxy.stub_discovery import row
from tests.proxy.stub_server import StubServer, reply, silent, when_released


@pytest.mark.parametrize("cancel", [True, False])
@async_test
async def test_attempt_is_not_written_when_connection_comes_up_after_client_left(
    cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    limits = policy_limits(cancel=cancel, connectTimeoutMs=1000.0 * TIMEOUT_S)
    async with (
        StubServer([reply("200 OK")]) as endpoint,
        running_node(row("a", endpoint.address), **limits) as environment,
    ):
        delayed = DelayedConnections(monkeypatch, [endpoint])
        recorder = PolicyRecorder(environment.node)
        client = await environment.connect_client()
        client.writer.write(request("book"))
        await asyncio.wait_for(delayed.begun.wait(), TIMEOUT_S)
        client.close()
        await until(lambda: not environment.node.requests)
        delayed.release.set()
        await until(lambda: not delayed.opening)
        assert recorder.outcomes in ([Outcome.NOT_SENT], [Outcome.CANCELLED])
        assert (await (await environment.connect_client()).fetch("look", name="next")).status == 200
        assert [received.headers["x-request-id"] for received in endpoint.received] == ["next"]
        assert not environment.node.requests.attempts_in_flight
        assert not environment.node.requests.reserved_client_ids


@pytest.mark.parametrize("cancel", [True, False])
@async_test
async def test_hedged_attempt_is_not_written_when_connection_comes_up_after_response(
    cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The first attempt is answered while the hedged attempt still waits for its connection."""
    limits = policy_limits(cancel=cancel, connectTimeoutMs=1000.0 * TIMEOUT_S, tryLimit=2)
    async with (
        StubServer([reply("200 OK", extra="Connection: close\r\n")]) as endpoint_a,
        StubServer([reply("200 OK", extra="Connection: close\r\n")]) as endpoint_b,
        running_node(row("a", endpoint_a.address), row("b", endpoint_b.address), **limits) as environment,
    ):
        client = await environment.connect_client()
        # This response gives the policy a latency estimate.  The policy hedges attempts that take longer.
        assert (await client.fetch("look")).status == 200
        warm_up_requests = len(endpoint_a.received) + len(endpoint_b.received)
        endpoint_a.behaviours[:] = endpoint_b.behaviours[:] = [when_released(reply("200 OK", b"first"))]
        delayed = DelayedConnections(monkeypatch, [])
        recorder = PolicyRecorder(environment.node)
        other_endpoints = {b"a": endpoint_b, b"b": endpoint_a}
        recorder.on_attempt = lambda endpoint_id: delayed.delay([other_endpoints[endpoint_id]])
        client.writer.write(request("look", name="twice", deadline="600"))
        await asyncio.wait_for(delayed.begun.wait(), TIMEOUT_S)
        await until(lambda: len(endpoint_a.received) + len(endpoint_b.received) > warm_up_requests)
        endpoint_a.release.set()
        endpoint_b.release.set()
        assert (await client.read_response()).body == b"first"
        delayed.release.set()
        await until(lambda: not delayed.opening)
        assert recorder.outcomes[0] is Outcome.OK, "the outcome that ended the request was not reported first"
        assert len(recorder.outcomes) == 2
        assert len(endpoint_a.received) + len(endpoint_b.received) == warm_up_requests + 1
        assert not environment.node.requests.attempts_in_flight
        assert not environment.node.requests.reserved_client_ids


@async_test
async def test_attempt_is_not_written_after_client_left_unnoticed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Check that the node polls the client's connection for a disconnect before it writes an attempt.

    The node does not read from a connection with two open requests, and its periodic polls are too rare here.
    """
    monkeypatch.setattr(disconnect_poller, "DISCONNECT_CHECK_S", TIMEOUT_S)
    async with (
        StubServer([silent]) as endpoint,
        running_node(row("a", endpoint.address), **LONG_CONNECT_TIMEOUT) as environment,
    ):
        delayed = DelayedConnections(monkeypatch, [endpoint])
        client = await environment.connect_client()
        client.writer.write(request("look", deadline="600") + request("book", deadline="600"))
        await until(lambda: delayed.opening == 2)
        client.close()
        await until(lambda: next(iter(environment.node.downstream.connections)).transport.client_has_left())
        delayed.release.set()
        await until(lambda: not delayed.opening)
        assert nothing_left(environment.node.requests)
        await until(lambda: not environment.node.downstream.connections)
        assert not endpoint.received


@pytest.mark.parametrize("outcome", [Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.REJECTED])
@async_test
async def test_retry_is_not_sent_when_disconnect_is_unread(outcome: Outcome) -> None:
    """The disconnect and an outcome that causes a retry are handled in the same iteration."""
    async with (
        StubServer([silent]) as endpoint_a,
        StubServer([silent]) as endpoint_b,
        running_node(row("a", endpoint_a.address), row("b", endpoint_b.address)) as environment,
    ):
        recorder = PolicyRecorder(environment.node)
        client = blocking_client(environment.address)
        await until(lambda: endpoint_a.received or endpoint_b.received)
        client.close()
        (attempt,) = environment.node.requests.attempts_in_flight
        attempt.cancel(outcome)
        assert nothing_left(environment.node.requests)
        assert recorder.events and recorder.nothing_open
        await until(lambda: not environment.node.downstream.connections)
        assert len(endpoint_a.received) + len(endpoint_b.received) == 1


class _QueueingPolicy:
    """Withholds arrivals from a node's policy until a timer fires, as if the policy had queued them.

    Attributes:
        queue: the arrivals that are withheld.
    """

    def __init__(self, node: Node) -> None:
        self.queue: list[RequestArrived] = []
        self._handle = replace_policy(node, self._queue_arrivals)

    def _queue_arrivals(self, event: Event, now: float) -> list[Action]:
        if isinstance(event, RequestArrived):
            self.queue.append(event)
            return []
        if isinstance(event, TimerFired) and self.queue:
            return self._handle(self.queue.pop(), now)
        return self._handle(event, now)


@async_test
async def test_queued_request_of_client_that_left_is_not_sent(caplog: pytest.LogCaptureFixture) -> None:
    """The policy takes the request from its queue before the event loop reads the disconnect."""
    async with StubServer([silent]) as endpoint, running_node(row("a", endpoint.address)) as environment:
        policy = _QueueingPolicy(environment.node)
        recorder = PolicyRecorder(environment.node)
        client = blocking_client(environment.address)
        await until(lambda: policy.queue)
        client.close()
        environment.node.handle_event(TimerFired(0))
        assert not policy.queue and nothing_left(environment.node.requests)
        assert recorder.outcomes == [Outcome.NOT_SENT] and recorder.nothing_open
        await until(lambda: not environment.node.downstream.connections)
        assert not endpoint.received
        assert "policy_failed" not in caplog.text


@async_test
async def test_half_written_request_is_not_resent() -> None:
    """The node cannot know whether the last byte was sent, so the request may have been executed."""
    opened_connections = 0

    async def abort_after_head(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal opened_connections
        opened_connections += 1
        await read_head(reader)
        writer.transport.abort()

    server = await asyncio.start_server(abort_after_head, HOST, 0, limit=1024)
    address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
    async with running_node(
        row("a", address), row("b", address.replace("127.0.0.1", "127.0.0.2"))
    ) as environment:
        recorder = PolicyRecorder(environment.node)
        client = await environment.connect_client()
        response = await client.fetch("book", body=b"x" * 60_000)
        assert response.status == 502
        assert recorder.outcomes.count(Outcome.RESET) == 1 and opened_connections == 1
    server.close()


@async_test
async def test_response_and_disconnect_in_one_iteration_leave_nothing_open() -> None:
    """The response and the disconnect are both unread when the next iteration begins."""
    async with StubServer([silent]) as endpoint, running_node(row("a", endpoint.address)) as environment:
        recorder = PolicyRecorder(environment.node)
        client = blocking_client(environment.address)
        await until(lambda: endpoint.writers and endpoint.received)
        text = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"
        os.write(endpoint.writers[0].get_extra_info("socket").fileno(), text)
        client.close()
        await until(
            lambda: nothing_left(environment.node.requests) and not environment.node.downstream.connections
        )
        assert recorder.events and recorder.nothing_open
        endpoint.release.set()
