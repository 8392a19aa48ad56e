"""Tests that a request gets one response before its deadline, or ends when its client leaves."""

from __future__ import annotations

import asyncio

import pytest

from load_balancer.events import RequestAbandoned
from tests.proxy.async_support import TIMEOUT_S, async_test, until
from tests.proxy.node_environment import running_node
from tests.proxy.policy_recorder import PolicyRecorder, ignore_events, replace_policy
from tests.proxy.stub_client import request
from tests.proxy.stub_discovery import row
from tests.proxy.stub_server import StubServer, silent


@async_test
async def test_attempt_ends_when_client_leaves() -> None:
    async with StubServer([silent]) as endpoint, running_node(row("a", endpoint.address)) as environment:
        recorder = PolicyRecorder(environment.node)
        client = await environment.connect_client()
        client.writer.write(request("look"))
        await asyncio.wait_for(endpoint.request_received.wait(), TIMEOUT_S)
        client.close()
        await until(lambda: any(isinstance(event, RequestAbandoned) for event in recorder.events))
        endpoint.release.set()
        await asyncio.wait_for(endpoint.disconnected.wait(), TIMEOUT_S)
        assert not environment.node.requests and not environment.node.requests.attempts_in_flight


@pytest.mark.parametrize(("kind", "status"), [("book", 502), ("look", 503)])
@async_test
async def test_response_comes_before_deadline_though_endpoint_is_silent(kind: str, status: int) -> None:
    async with StubServer([silent]) as endpoint, running_node(row("a", endpoint.address)) as environment:
        client = await environment.connect_client()
        started_at = asyncio.get_running_loop().time()
        response = await client.fetch(kind, deadline="0.6")
        assert asyncio.get_running_loop().time() - started_at < 0.6 + 0.05, "the response was too late"
        assert response.status == status
        assert len(endpoint.received) == 1
        endpoint.release.set()


@async_test
async def test_node_responds_before_deadline_when_policy_does_not(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async with StubServer([silent]) as endpoint, running_node(row("a", endpoint.address)) as environment:
        replace_policy(environment.node, ignore_events)
        response = await (await environment.connect_client()).fetch("look", deadline="0.3")
        assert response.status == 500
        assert "response_deadline_missed" in caplog.text
