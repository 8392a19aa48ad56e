"""Readiness, reload at SIGHUP, and graceful shutdown at SIGTERM."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from pathlib import Path
from typing import Any

import pytest

from load_balancer.events import (
    EndpointListKind,
    EndpointListUpdate,
)
from load_balancer.proxy import lifecycle
from load_balancer.proxy.configuration import load_configuration
from load_balancer.proxy.node import Node
from tests.proxy.async_support import HOST, TIMEOUT_S, async_test, until
from tests.proxy.blocking_client import blocking_client, open_requests, read_to_end
from tests.proxy.node_environment import running_node
from tests.proxy.policy_recorder import PolicyRecorder
from tests.proxy.sample_settings import settings
from tests.proxy.stub_client import request
from tests.proxy.stub_discovery import StubDiscovery, listing, row, send_line
from tests.proxy.stub_server import StubServer, reply, silent, when_released


def _classes(*deadlines_ms: float) -> list[dict[str, Any]]:
    return [
        {"name": f"c{i}", "effect": "safe", "aimMs": 100.0, "deadlineMs": deadline}
        for i, deadline in enumerate(deadlines_ms)
    ]


@async_test
async def test_sighup_opens_new_watch_before_old_one_closes(tmp_path: Path) -> None:
    config = tmp_path / "config.json"
    async with (
        StubServer([reply("200 OK", b"a")]) as one,
        StubServer([reply("200 OK", b"b")]) as two,
        StubDiscovery() as moved,
        running_node(row("a", one.address), path=str(config)) as environment,
    ):
        old = await environment.discovery.watch()
        send_line(old, listing(41, row("a", one.address)))
        await until(lambda: environment.endpoint_discovery.version == 41)
        config.write_text(json.dumps({"discovery": moved.address}))
        os.kill(os.getpid(), signal.SIGHUP)
        new = await moved.watch()
        assert moved.targets == ["/v1/endpoints?watch=1&from=41"]
        send_line(old, listing(42, row("b", two.address), reset=False))
        await until(lambda: environment.endpoint_discovery.version == 42)
        assert (
            environment.endpoint_discovery.watch is not environment.endpoint_discovery.successor is not None
        )
        send_line(new, listing(43, row("a", one.address, "DRAINING"), reset=False))
        await until(lambda: environment.endpoint_discovery.version == 43)
        await asyncio.wait_for(environment.discovery.disconnected.wait(), TIMEOUT_S)
        client = await environment.connect_client()
        assert {(await client.fetch("look")).body for _ in range(5)} == {b"b"}
        assert len(environment.discovery.targets) == 1, "the old address was asked again"


@async_test
async def test_failing_new_address_keeps_old_watch_and_is_retried(tmp_path: Path) -> None:
    config = tmp_path / "config.json"
    async with (
        StubServer([reply("200 OK", b"a")]) as endpoint,
        StubDiscovery() as moved,
        running_node(row("a", endpoint.address), path=str(config)) as environment,
    ):
        recorder = PolicyRecorder(environment.node)
        old = await environment.discovery.watch()
        send_line(old, listing(41, row("a", endpoint.address)))
        config.write_text(json.dumps({"discovery": moved.address}))
        await until(lambda: environment.endpoint_discovery.version == 41)
        environment.node.reload()
        (await moved.watch()).transport.abort()
        new = await moved.watch()
        old.close()  # as the old discovery does some time after
        send_line(new, listing(42, reset=False))
        await until(lambda: environment.endpoint_discovery.version == 42)
        assert not [
            e
            for e in recorder.events
            if isinstance(e, EndpointListUpdate) and e.kind is EndpointListKind.FAILED
        ]


@async_test
async def test_reload_is_followed_at_once_after_failed_watch(tmp_path: Path) -> None:
    config = tmp_path / "config.json"
    async with (
        StubServer([reply("200 OK", b"a")]) as endpoint,
        StubDiscovery() as moved,
        running_node(
            row("a", endpoint.address),
            path=str(config),
            guarantees={"mustAskInMs": 60_000.0},
        ) as environment,
    ):
        environment.endpoint_discovery.subscribe()
        (await environment.discovery.watch()).transport.abort()
        await until(lambda: not environment.endpoint_discovery.watch is not None)
        config.write_text(json.dumps({"discovery": moved.address}))
        environment.node.reload()  # the policy's next poll is seconds away
        send_line(await moved.watch(), listing(41, row("a", endpoint.address)))
        await until(lambda: environment.endpoint_discovery.version == 41)
        assert environment.endpoint_discovery.watch is not None


@async_test
async def test_configuration_replaced_between_its_reading_and_the_start_is_followed(tmp_path: Path) -> None:
    """The signal of that came before it could be handled."""
    path = tmp_path / "config.json"
    async with StubDiscovery() as old, StubDiscovery() as moved:
        limits = {"memory_mb": 192, "sockets": 256}
        content = {"name": "n0", "seed": "1", "limits": limits, "settings": settings(registryMode="pushed")}
        path.write_text(json.dumps({**content, "discovery": old.address}))
        environment = {"NODE_CONFIG": str(path), "NODE_LISTEN": f"{HOST}:0", "NODE_DISCOVERY": old.address}
        node = Node(load_configuration(environment))
        path.write_text(json.dumps({**content, "discovery": moved.address}))
        await node.start()
        try:
            await moved.watch()
        finally:
            node.stop()


@async_test
async def test_reload_of_half_written_configuration_is_tried_again(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    async with StubServer([reply("200 OK")]) as endpoint, StubDiscovery() as moved:
        text = json.dumps({"discovery": moved.address})
        async with running_node(row("a", endpoint.address), path=str(path)) as environment:
            await environment.discovery.watch()
            path.write_text(text[:-2])
            environment.node.reload()
            path.write_text(text)  # and no other signal
            await moved.watch()


@pytest.mark.parametrize("text", ["", "{", "[]", '{"discovery": "nowhere"}', '{"discovery": 5}', "{}"])
@async_test
async def test_unreadable_configuration_at_reload_is_ignored(
    tmp_path: Path, text: str, caplog: pytest.LogCaptureFixture
) -> None:
    config = tmp_path / "config.json"
    config.write_text(text)
    async with (
        StubServer([reply("200 OK")]) as endpoint,
        running_node(row("a", endpoint.address), path=str(config)) as environment,
    ):
        watch = await environment.discovery.watch()
        environment.node.reload()
        assert "configuration_reload_failed" in caplog.text
        send_line(watch, listing(41, row("a", endpoint.address)))
        assert (await (await environment.connect_client()).fetch("look")).status == 200


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
        idle, busy = await environment.connect_client(), await environment.connect_client()
        assert (await idle.fetch(target="/ready")).status == 200
        busy.writer.write(request("look"))
        await asyncio.wait_for(endpoint.request_received.wait(), TIMEOUT_S)
        environment.node.terminate()
        assert await idle.ends_without_output(), "an idle connection stayed open"
        response = await (await environment.connect_client()).fetch(target="/ready")
        assert (response.status, response.headers["connection"]) == (503, "close")
        response = await (await environment.connect_client()).fetch("look")
        assert (response.body, response.headers["connection"]) == (b"second", "close")
        assert not environment.serving.done(), "it ended with a request open"
        endpoint.release.set()
        response = await busy.read_response()
        assert (response.body, response.headers["connection"]) == (b"first", "close")
        await asyncio.wait_for(environment.serving, TIMEOUT_S)


@async_test
async def test_request_open_when_shutdown_time_is_over_is_failed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with StubServer([silent]) as endpoint, running_node(row("a", endpoint.address)) as environment:
        client = await environment.connect_client()
        client.writer.write(request("book", deadline="30"))
        await asyncio.wait_for(endpoint.request_received.wait(), TIMEOUT_S)
        monkeypatch.setattr(environment.node.shutdown, "answer_within_s", 0.0)
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
        last = environment.node.shutdown.answer_within_s
        assert last >= min(max(deadlines_ms) / 1000.0, 3.0), "what came before SIGTERM has its time"
        end = last + lifecycle.KILL_MARGIN_S / 2 + lifecycle.DRAIN_CHECK_S + lifecycle.FLUSH_S
        assert end + 0.1 <= kill_s


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
            client.sendall(request("look"))  # and before the loop's next iteration
            environment.node.terminate()
            responses = await read_to_end(client)
            assert responses.count(b"200 OK") == 2


@async_test
async def test_unaccepted_connection_at_shutdown_end_gets_response(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(lifecycle, "MIN_DRAIN_S", TIMEOUT_S)  # the check is made below
    monkeypatch.setattr(lifecycle, "QUIET_PERIOD_S", 0.0)
    async with (
        StubServer([reply("200 OK", b"x")]) as endpoint,
        running_node(row("a", endpoint.address)) as environment,
    ):
        environment.node.terminate()
        with blocking_client(environment.address) as client:
            environment.node.shutdown.check_drained()  # in the iteration in which it came
            assert b"200 OK" in await read_to_end(client)
        await asyncio.wait_for(environment.serving, TIMEOUT_S)


@async_test
async def test_shutdown_deadline_answers_open_requests_and_accepts_none(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with StubServer([silent]) as endpoint, running_node(row("a", endpoint.address)) as environment:
        client = await environment.connect_client()
        client.writer.write(open_requests(1))
        await asyncio.wait_for(endpoint.request_received.wait(), TIMEOUT_S)
        environment.node.terminate()
        monkeypatch.setattr(environment.node.shutdown, "answer_within_s", -1.0)  # the time has run out
        with blocking_client(environment.address):
            environment.node.shutdown.check_drained()
            assert (await client.read_response()).status == 500
            await asyncio.wait_for(environment.serving, TIMEOUT_S)
        assert len(endpoint.received) == 1
        endpoint.release.set()


@async_test
async def test_not_ready_on_list_that_may_be_stale() -> None:
    """What the agent has counts as notified from the start; the cached list may still name what drains."""
    async with (
        StubServer([reply("200 OK", b"a")]) as one,
        StubServer([reply("200 OK", b"b")]) as two,
        running_node(row("a", one.address), row("b", two.address), registryMode="pushed") as environment,
    ):
        watch = await environment.discovery.watch()
        client = await environment.connect_client()
        assert (await client.fetch(target="/ready")).status == 503
        send_line(watch, listing(2, row("a", one.address, "DRAINING"), reset=False))
        await until(lambda: environment.endpoint_discovery.has_received_input)
        assert (await client.fetch(target="/ready")).status == 200
        assert {(await client.fetch("look")).body for _ in range(5)} == {b"b"}


@async_test
async def test_ready_though_agent_stays_silent(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(lifecycle, "FIRST_LIST_WAIT_S", 0.0)
    async with (
        StubServer([reply("200 OK")]) as endpoint,
        running_node(row("a", endpoint.address), registryMode="pushed") as environment,
    ):
        assert (await (await environment.connect_client()).fetch(target="/ready")).status == 200


@async_test
async def test_sighup_after_sigterm_is_followed(tmp_path: Path) -> None:
    config = tmp_path / "config.json"
    async with (
        StubServer([when_released(reply("200 OK", b"x"))]) as endpoint,
        StubDiscovery() as moved,
        running_node(row("a", endpoint.address), path=str(config), registryMode="pushed") as environment,
    ):
        (await environment.discovery.watch()).transport.abort()  # and its watch is broken as well
        client = await environment.connect_client()
        client.writer.write(open_requests(1))
        await asyncio.wait_for(endpoint.request_received.wait(), TIMEOUT_S)
        environment.node.terminate()
        config.write_text(json.dumps({"discovery": moved.address}))
        environment.node.reload()
        await moved.watch()
        endpoint.release.set()
        assert (await client.read_response()).body == b"x"
        await asyncio.wait_for(environment.serving, TIMEOUT_S)


@async_test
async def test_signals_in_a_row_are_handled_once_in_an_iteration() -> None:
    """Each costs no more than a note, so that a storm of them cannot hold up the loop."""
    handled = 0

    def handle() -> None:
        nonlocal handled
        handled += 1

    once = lifecycle.OncePerIteration(handle)
    for _ in range(100):
        once.request()
    assert handled == 0
    await until(lambda: handled)
    assert handled == 1
    once.request()
    await until(lambda: handled == 2)
