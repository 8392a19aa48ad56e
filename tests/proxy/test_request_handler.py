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

DEADLINE_S = 0.6


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
        responses = environment.node.counters.responses
        responses_at_deadline: list[int] = []
        # A timer of the node's own event loop marks the deadline.  Timers that are due run in the order of
        # their times, so that the result does not depend on how long a busy machine delays this process.
        asyncio.get_running_loop().call_later(
            DEADLINE_S, lambda: responses_at_deadline.append(responses.total())
        )
        response = await client.fetch(kind, deadline=str(DEADLINE_S))
        await until(lambda: responses_at_deadline)
        assert responses_at_deadline == [1], "the response was too late"
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
