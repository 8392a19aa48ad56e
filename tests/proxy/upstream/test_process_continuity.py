"""Tests that a process which comes up at the address of another one is not taken for it."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from load_balancer.proxy.upstream.process_continuity import MAX_NOTIFICATION_DELAY_S, ProcessContinuity
from tests.proxy.async_support import TIMEOUT_S, async_test
from tests.proxy.node_environment import running_node
from tests.proxy.sample_settings import settings
from tests.proxy.stub_client import request
from tests.proxy.stub_discovery import row
from tests.proxy.stub_server import StubServer, reply, reset, when_released


def keyed_within(group: str) -> dict[str, Any]:
    """Return settings whose keyed class has this group of servers that discard repeats."""
    profiles = [{**profile, "group": group} for profile in settings()["profiles"]]
    return {"profiles": profiles}


@pytest.mark.parametrize(("group", "runs"), [("cell", 1), ("zone", 1), ("all", 2)])
@async_test
async def test_keyed_request_is_not_repeated_at_a_process_that_may_be_new(group: str, runs: int) -> None:
    # A server was replaced at its address.  The node took the new process, of another cell, for the old one
    # and repeated a keyed request there, which ran twice.
    async with (
        StubServer([when_released(reset), reply("200 OK", b"new")]) as endpoint,
        running_node(row("a", endpoint.address), **keyed_within(group)) as environment,
    ):
        client = await environment.connect_client()
        client.writer.write(request("move"))
        await asyncio.wait_for(endpoint.request_received.wait(), TIMEOUT_S)
        endpoint.release.set()
        response = await client.read_response()
        assert len(endpoint.received) == runs
        assert response.status == (200 if runs > 1 else 502)
        assert not environment.node.rules.violations


@pytest.mark.usefixtures("no_reuse_delay")
@async_test
async def test_keyed_request_is_repeated_on_a_connection_from_before_the_break() -> None:
    behaviours = [when_released(reply("200 OK", b"x")), when_released(reply("200 OK", b"x"))]
    async with (
        StubServer([*behaviours, reset, reply("200 OK", b"same")]) as endpoint,
        running_node(row("a", endpoint.address), **keyed_within("cell")) as environment,
    ):
        clients = [await environment.connect_client() for _ in range(2)]
        for client in clients:
            client.writer.write(request("look"))
        while len(endpoint.received) < len(clients):
            await asyncio.sleep(0)
        endpoint.release.set()
        assert [(await client.read_response()).status for client in clients] == [200, 200]
        assert endpoint.accepted_connections == 2
        assert (await clients[0].fetch("move")).body == b"same"
        assert endpoint.accepted_connections == 2


def test_connection_is_confirmed_unless_a_recent_break_precedes_it() -> None:
    continuity = ProcessContinuity()
    assert continuity.is_confirmed(5.0, now=5.0)
    continuity.record_break(10.0)
    continuity.record_break(12.0)
    assert continuity.is_confirmed(9.9, now=12.0)
    assert not continuity.is_confirmed(10.1, now=12.0)
    assert not continuity.is_confirmed(12.1, now=12.2)
    after_first_s = 10.0 + MAX_NOTIFICATION_DELAY_S + 0.1
    assert continuity.is_confirmed(10.1, now=after_first_s), "the list would tell of the first break by now"
    assert not continuity.is_confirmed(12.1, now=after_first_s)
