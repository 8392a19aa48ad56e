"""Tests that a node applies the endpoint list: draining and restarted endpoints, and broken watches."""

from __future__ import annotations

import asyncio
import time

import pytest

from load_balancer.actions import Action
from load_balancer.events import EndpointListKind, EndpointListUpdate, EndpointState, Event
from tests.proxy.async_support import TIMEOUT_S, async_test, until
from tests.proxy.node_environment import running_node
from tests.proxy.policy_recorder import PolicyRecorder, ignore_events, replace_policy
from tests.proxy.stub_discovery import listing, row, send_line
from tests.proxy.stub_server import StubServer, reply


@async_test
async def test_draining_endpoint_gets_no_request_and_idle_connections_close() -> None:
    async with (
        StubServer([reply("200 OK", b"a")]) as endpoint_a,
        StubServer([reply("200 OK", b"b")]) as endpoint_b,
        running_node(row("a", endpoint_a.address)) as environment,
    ):
        client = await environment.connect_client()
        assert (await client.fetch("look")).body == b"a"
        watch = await environment.discovery.watch()
        send_line(
            watch,
            listing(2, row("a", endpoint_a.address, "DRAINING"), row("b", endpoint_b.address), reset=False),
        )
        await asyncio.wait_for(endpoint_a.disconnected.wait(), TIMEOUT_S)
        assert {(await client.fetch("look")).body for _ in range(5)} == {b"b"}
        assert len(endpoint_a.received) == 1


@async_test
async def test_restarted_endpoint_is_called_at_new_address() -> None:
    async with (
        StubServer([reply("200 OK", b"old")]) as old,
        StubServer([reply("200 OK", b"new")]) as new,
        running_node(row("a", old.address)) as environment,
    ):
        client = await environment.connect_client()
        assert (await client.fetch("look")).body == b"old"
        watch = await environment.discovery.watch()
        send_line(watch, listing(2, row("a", new.address, started=1000.0)))
        await asyncio.wait_for(old.disconnected.wait(), TIMEOUT_S)
        assert (await client.fetch("look")).body == b"new"


@pytest.mark.parametrize("fault", ["reset", "bad line", "bad list"])
@async_test
async def test_broken_watch_is_reopened_from_last_version(fault: str) -> None:
    async with (
        StubServer([reply("200 OK")]) as endpoint,
        running_node(row("a", endpoint.address)) as environment,
    ):
        watch = await environment.discovery.watch()
        send_line(watch, listing(41, row("a", endpoint.address)))
        if fault == "reset":
            await watch.drain()
            watch.close()
        else:
            send_line(watch, b"{nonsense" if fault == "bad line" else b'{"generation":42,"reset":true}')
        again = await environment.discovery.watch()
        assert environment.discovery.targets == [
            "/v1/endpoints?watch=1&from=1",
            "/v1/endpoints?watch=1&from=41",
        ]
        send_line(again, listing(42, reset=False))
        assert (
            await (await environment.connect_client()).fetch("look")
        ).status == 200, "the node did not keep the last list"


@async_test
async def test_pushed_list_is_watched_from_start_and_after_break() -> None:
    async with (
        StubServer([reply("200 OK")]) as endpoint,
        running_node(has_cached_list=False, registryMode="pushed") as environment,
    ):
        recorder = PolicyRecorder(environment.node)
        (await environment.discovery.watch()).close()
        watch = await environment.discovery.watch()
        client = await environment.connect_client()
        assert (await client.fetch(target="/ready")).status == 503, "the node was ready without a list"
        send_line(watch, listing(5, row("a", endpoint.address)))
        await until(lambda: recorder.events)
        assert (await client.fetch(target="/ready")).status == 200
        assert (await client.fetch("look")).status == 200


def _use_processor(seconds: float) -> None:
    until_s = time.thread_time() + seconds
    while time.thread_time() < until_s:
        pass


@async_test
async def test_changes_that_cost_much_are_applied_together() -> None:
    # A release in a fleet of 3,200 servers, told change by change, kept a node busy with the list alone:
    # clients got no answer for as long as the changes and their backlog lasted.
    changes, cost_s = 200, 0.02
    async with running_node(has_cached_list=False, registryMode="pushed") as environment:
        updates: list[EndpointListUpdate] = []

        def handle_slowly(event: Event, _: float) -> list[Action]:
            if isinstance(event, EndpointListUpdate):
                updates.append(event)
                _use_processor(cost_s)
            return []

        replace_policy(environment.node, handle_slowly)
        watch = await environment.discovery.watch()
        for i in range(changes):
            send_line(watch, listing(i + 1, row(f"s{i}", f"127.0.0.1:{i + 1}"), reset=False))
            send_line(watch, listing(i + 1, row(f"s{i}", f"127.0.0.1:{i + 1}", "DRAINING"), reset=False))
        await until(lambda: updates and updates[-1].version == changes)
        applied = [endpoint for update in updates for endpoint in update.endpoints]
        assert len(updates) < changes / 10
        assert {e.id for e in applied if e.state is EndpointState.DRAINING} == {
            b"s%d" % i for i in range(changes)
        }


@async_test
async def test_failed_poll_is_reported_after_the_lists_before_it() -> None:
    async with running_node(row("a", "127.0.0.1:1")) as environment:
        recorder = PolicyRecorder(environment.node)
        watch = await environment.discovery.watch()
        for i in range(3):
            send_line(watch, listing(i + 2, row("a", "127.0.0.1:1"), reset=False))
        send_line(watch, b"{nonsense")
        versions = await until(
            lambda: [
                event.version
                for event in recorder.events
                if isinstance(event, EndpointListUpdate) and event.kind is EndpointListKind.FAILED
            ]
            and [event.version for event in recorder.events if isinstance(event, EndpointListUpdate)]
        )
        assert versions[-2] == 4, "the changes before the failure were not applied"


@async_test
async def test_endpoint_that_drains_during_the_pause_gets_no_request() -> None:
    async with (
        StubServer([reply("200 OK", b"a")]) as endpoint_a,
        StubServer([reply("200 OK", b"b")]) as endpoint_b,
        running_node(row("a", endpoint_a.address)) as environment,
    ):
        recorder = PolicyRecorder(environment.node)
        node_handle = replace_policy(environment.node, ignore_events)

        def handle_slowly(event: Event, now: float) -> list[Action]:
            if isinstance(event, EndpointListUpdate):
                _use_processor(0.02)
            return node_handle(event, now)

        replace_policy(environment.node, handle_slowly)
        watch = await environment.discovery.watch()
        send_line(watch, listing(2, row("b", endpoint_b.address), reset=False))
        send_line(watch, listing(3, row("a", endpoint_a.address, "DRAINING"), reset=False))
        await until(lambda: environment.endpoint_discovery.version == 3)
        versions = [event.version for event in recorder.events if isinstance(event, EndpointListUpdate)]
        assert versions == [2], "the policy must not have the second change yet"
        client = await environment.connect_client()
        assert {(await client.fetch("look")).body for _ in range(5)} == {b"b"}
        assert not endpoint_a.received
