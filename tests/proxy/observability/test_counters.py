"""Tests of the counters of a node and of their summary in the log."""

from __future__ import annotations

from load_balancer.events import Outcome
from tests.proxy.async_support import async_test, until
from tests.proxy.node_environment import running_node
from tests.proxy.stub_discovery import row
from tests.proxy.stub_server import StubServer, reply, reset


@async_test
async def test_counters_follow_requests_and_attempts() -> None:
    async with (
        StubServer([reply("200 OK"), reset]) as endpoint,
        running_node(row("a", endpoint.address)) as environment,
    ):
        client = await environment.connect_client()
        await client.fetch("look")
        await client.fetch("book")
        client.close()
        counters = environment.node.counters
        assert (counters.accepted, counters.written) == (2, 2)
        assert counters.responses == {200: 1, 502: 1}
        assert counters.outcomes == {Outcome.OK: 1, Outcome.RESET: 1}
        summary = counters.summary(environment.node.rules)
        assert "accepted=2" in summary and "finished=not_repeatable:1" in summary
        await until(lambda: not environment.node.downstream.connections)
