"""Tests that open and new requests are answered after SIGTERM, before the node stops."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from load_balancer.proxy.lifecycle import graceful_shutdown
from load_balancer.proxy.lifecycle.shutdown_deadline import KILL_MARGIN_S
from tests.proxy.async_support import HOST, TIMEOUT_S, async_test, until
from tests.proxy.blocking_client import blocking_client, open_requests, read_to_end
from tests.proxy.node_environment import running_node
from tests.proxy.stub_client import request
from tests.proxy.stub_discovery import row
from tests.proxy.stub_server import StubServer, reply, silent, when_released


def _classes(*deadlines_ms: float) -> list[dict[str, Any]]:
    return [
        {"name": f"c{i}", "effect": "safe", "aimMs": 100.0, "deadlineMs": deadline}
        for i, deadline in enumerate(deadlines_ms)
    ]


@async_test
async def test_shutdown_closes_after_last_pipelined_request() -> None:
    behaviours = [when_released(reply("200 OK")), when_released(reply("200 OK"))]
    async with StubServer(behaviours) as endpoint, running_node(row("a", endpoint.address)) as environment:
        client = await environment.connect_client()
        client.writer.write(request("look") + request("look"))
        await until(lambda: len(environment.node.requests) >= 2)
        environment.node.terminate()
        endpoint.release.set()
        responses = [await client.read_response(), await client.read_response()]
        assert [response.status for response in responses] == [200, 200]


@async_test
async def test_shutdown_answers_open_and_new_requests() -> None:
    async with (
        StubServer([when_released(reply("200 OK", b"first")), reply("200 OK", b"second")]) as endpoint,
        running_node(row("a", endpoint.address)) as environment,
    ):
        idle_client, busy_client = await environment.connect_client(), await environment.connect_client()
        assert (await idle_client.fetch(target="/ready")).status == 200
        busy_client.writer.write(request("look"))
        await asyncio.wait_for(endpoint.request_received.wait(), TIMEOUT_S)
        environment.node.terminate()
        assert await idle_client.ends_without_output(), "an idle connection stayed open"
        response = await (await environment.connect_client()).fetch(target="/ready")
        assert (response.status, response.headers["connection"]) == (503, "close")
        response = await (await environment.connect_client()).fetch("look")
        assert (response.body, response.headers["connection"]) == (b"second", "close")
        assert not environment.serving.done(), "the node stopped while a request was open"
        endpoint.release.set()
        response = await busy_client.read_response()
        assert (response.body, response.headers["connection"]) == (b"first", "close")
        await asyncio.wait_for(environment.serving, TIMEOUT_S)


@async_test
async def test_request_open_at_shutdown_deadline_fails(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with StubServer([silent]) as endpoint, running_node(row("a", endpoint.address)) as environment:
        client = await environment.connect_client()
        client.writer.write(request("book", deadline="30"))
        await asyncio.wait_for(endpoint.request_received.wait(), TIMEOUT_S)
        monkeypatch.setattr(environment.node.shutdown.deadline, "answer_within_s", 0.0)
        environment.node.terminate()
        assert (await client.read_response()).status == 500
        endpoint.release.set()


@pytest.mark.parametrize(
    ("deadlines_ms", "kill_s"),
    [((250.0,), 0.95), ((400.0, 900.0), 1.6), ((2500.0,), 3.2), ((3000.0,), 3.7), ((9000.0, 50.0), 3.7)],
)
@async_test
async def test_shutdown_ends_before_sigkill(deadlines_ms: tuple[float, ...], kill_s: float) -> None:
    async with running_node(row("a", f"{HOST}:1"), profiles=_classes(*deadlines_ms)) as environment:
        answer_limit_s = environment.node.shutdown.deadline.answer_within_s
        assert answer_limit_s >= min(
            max(deadlines_ms) / 1000.0, 3.0
        ), "requests from before SIGTERM have less time than their deadlines allow"
        stop_limit_s = (
            answer_limit_s + KILL_MARGIN_S / 2 + graceful_shutdown.DRAIN_CHECK_S + graceful_shutdown.FLUSH_S
        )
        assert stop_limit_s + 0.1 <= kill_s


@async_test
async def test_new_connection_at_sigterm_gets_response() -> None:
    async with (
        StubServer([reply("200 OK", b"late")]) as endpoint,
        running_node(row("a", endpoint.address)) as environment,
    ):
        client = await environment.connect_client()
        await until(lambda: environment.node.downstream.connections)
        environment.node.terminate()
        response = await client.fetch("look")
        assert (response.body, response.headers["connection"]) == (b"late", "close")
        assert await client.ends_without_output()


@async_test
async def test_unread_request_at_sigterm_gets_response() -> None:
    async with (
        StubServer([reply("200 OK", b"x")]) as endpoint,
        running_node(row("a", endpoint.address)) as environment,
    ):
        with blocking_client(environment.address) as client:
            await until(lambda: any(c.answered for c in environment.node.downstream.connections))
            client.sendall(request("look"))  # SIGTERM follows before the event loop's next iteration
            environment.node.terminate()
            responses = await read_to_end(client)
            assert responses.count(b"200 OK") == 2


@async_test
async def test_unaccepted_connection_at_shutdown_end_gets_response(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # With this value, the node does not call check_drained() during the test; the test calls it below.
    monkeypatch.setattr(graceful_shutdown, "MIN_DRAIN_S", TIMEOUT_S)
    monkeypatch.setattr(graceful_shutdown, "QUIET_PERIOD_S", 0.0)
    async with (
        StubServer([reply("200 OK", b"x")]) as endpoint,
        running_node(row("a", endpoint.address)) as environment,
    ):
        environment.node.terminate()
        with blocking_client(environment.address) as client:
            environment.node.shutdown.check_drained()  # in the iteration in which the connection arrives
            assert b"200 OK" in await read_to_end(client)
        await asyncio.wait_for(environment.serving, TIMEOUT_S)


@async_test
async def test_request_between_shutdown_deadline_and_stop_is_rejected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Such a request was read and dropped, and its connection was closed with no answer.
    monkeypatch.setattr(graceful_shutdown, "FLUSH_S", TIMEOUT_S)  # the end of the test stops the node
    async with (
        StubServer([reply("200 OK")]) as endpoint,
        running_node(row("a", endpoint.address)) as environment,
    ):
        connected = await environment.connect_client()
        await until(lambda: environment.node.downstream.connections)
        environment.node.terminate()
        # The deadline of the shutdown has passed.
        monkeypatch.setattr(environment.node.shutdown.deadline, "answer_within_s", -1.0)
        environment.node.shutdown.check_drained()
        response = await connected.fetch("look")
        assert (response.status, response.headers["connection"]) == (503, "close")
        response = await (await environment.connect_client()).fetch("look")
        assert (response.status, response.headers["connection"]) == (503, "close")
        assert not endpoint.received


@async_test
async def test_shutdown_deadline_answers_open_requests_and_accepts_none(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with StubServer([silent]) as endpoint, running_node(row("a", endpoint.address)) as environment:
        client = await environment.connect_client()
        client.writer.write(open_requests(1))
        await asyncio.wait_for(endpoint.request_received.wait(), TIMEOUT_S)
        environment.node.terminate()
        # The deadline of the shutdown has passed.
        monkeypatch.setattr(environment.node.shutdown.deadline, "answer_within_s", -1.0)
        with blocking_client(environment.address):
            environment.node.shutdown.check_drained()
            assert (await client.read_response()).status == 500
            await asyncio.wait_for(environment.serving, TIMEOUT_S)
        assert len(endpoint.received) == 1
        endpoint.release.set()
