"""Tests that a node is ready once its endpoint list is known to be current, or after a wait."""

from __future__ import annotations

import pytest

from load_balancer.proxy.lifecycle import readiness
from tests.proxy.async_support import async_test, until
from tests.proxy.node_environment import running_node
from tests.proxy.stub_discovery import listing, row, send_line
from tests.proxy.stub_server import StubServer, reply


@async_test
async def test_not_ready_with_list_that_may_be_stale() -> None:
    """The cached list may show an endpoint as serving that the agent already lists as draining."""
    async with (
        StubServer([reply("200 OK", b"a")]) as endpoint_a,
        StubServer([reply("200 OK", b"b")]) as endpoint_b,
        running_node(
            row("a", endpoint_a.address), row("b", endpoint_b.address), registryMode="pushed"
        ) as environment,
    ):
        watch = await environment.discovery.watch()
        client = await environment.connect_client()
        assert (await client.fetch(target="/ready")).status == 503
        send_line(watch, listing(2, row("a", endpoint_a.address, "DRAINING"), reset=False))
        await until(lambda: environment.endpoint_discovery.has_received_input)
        assert (await client.fetch(target="/ready")).status == 200
        assert {(await client.fetch("look")).body for _ in range(5)} == {b"b"}


@async_test
async def test_ready_after_wait_though_agent_sends_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(readiness, "FIRST_LIST_WAIT_S", 0.0)
    async with (
        StubServer([reply("200 OK")]) as endpoint,
        running_node(row("a", endpoint.address), registryMode="pushed") as environment,
    ):
        assert (await (await environment.connect_client()).fetch(target="/ready")).status == 200
