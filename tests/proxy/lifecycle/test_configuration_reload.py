"""Tests that a node applies a changed address of discovery, after SIGHUP and after a start."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from pathlib import Path

import pytest

from load_balancer.events import EndpointListKind, EndpointListUpdate
from load_balancer.proxy.configuration import load_configuration
from load_balancer.proxy.node import Node
from tests.proxy.async_support import HOST, TIMEOUT_S, async_test, until
from tests.proxy.blocking_client import open_requests
from tests.proxy.node_environment import running_node
from tests.proxy.policy_recorder import PolicyRecorder
from tests.proxy.sample_settings import settings
from tests.proxy.stub_discovery import StubDiscovery, listing, row, send_line
from tests.proxy.stub_server import StubServer, reply, when_released


@async_test
async def test_sighup_opens_new_watch_before_old_one_closes(tmp_path: Path) -> None:
    config = tmp_path / "config.json"
    async with (
        StubServer([reply("200 OK", b"a")]) as endpoint_a,
        StubServer([reply("200 OK", b"b")]) as endpoint_b,
        StubDiscovery() as new_discovery,
        running_node(row("a", endpoint_a.address), path=str(config)) as environment,
    ):
        old_watch = await environment.discovery.watch()
        send_line(old_watch, listing(41, row("a", endpoint_a.address)))
        await until(lambda: environment.endpoint_discovery.version == 41)
        config.write_text(json.dumps({"discovery": new_discovery.address}))
        os.kill(os.getpid(), signal.SIGHUP)
        new_watch = await new_discovery.watch()
        assert new_discovery.targets == ["/v1/endpoints?watch=1&from=41"]
        send_line(old_watch, listing(42, row("b", endpoint_b.address), reset=False))
        await until(lambda: environment.endpoint_discovery.version == 42)
        assert (
            environment.endpoint_discovery.watch is not environment.endpoint_discovery.successor is not None
        )
        send_line(new_watch, listing(43, row("a", endpoint_a.address, "DRAINING"), reset=False))
        await until(lambda: environment.endpoint_discovery.version == 43)
        await asyncio.wait_for(environment.discovery.disconnected.wait(), TIMEOUT_S)
        client = await environment.connect_client()
        assert {(await client.fetch("look")).body for _ in range(5)} == {b"b"}
        assert len(environment.discovery.targets) == 1, "the node opened another watch at the old address"


@async_test
async def test_failing_new_address_keeps_old_watch_and_is_retried(tmp_path: Path) -> None:
    config = tmp_path / "config.json"
    async with (
        StubServer([reply("200 OK", b"a")]) as endpoint,
        StubDiscovery() as new_discovery,
        running_node(row("a", endpoint.address), path=str(config)) as environment,
    ):
        recorder = PolicyRecorder(environment.node)
        old_watch = await environment.discovery.watch()
        send_line(old_watch, listing(41, row("a", endpoint.address)))
        config.write_text(json.dumps({"discovery": new_discovery.address}))
        await until(lambda: environment.endpoint_discovery.version == 41)
        environment.node.reload()
        (await new_discovery.watch()).transport.abort()
        new_watch = await new_discovery.watch()
        old_watch.close()  # the old discovery also closes its watch some time later
        send_line(new_watch, listing(42, reset=False))
        await until(lambda: environment.endpoint_discovery.version == 42)
        assert not [
            e
            for e in recorder.events
            if isinstance(e, EndpointListUpdate) and e.kind is EndpointListKind.FAILED
        ]


@async_test
async def test_reload_is_applied_at_once_after_failed_watch(tmp_path: Path) -> None:
    config = tmp_path / "config.json"
    async with (
        StubServer([reply("200 OK", b"a")]) as endpoint,
        StubDiscovery() as new_discovery,
        running_node(
            row("a", endpoint.address),
            path=str(config),
            guarantees={"mustAskInMs": 60_000.0},
        ) as environment,
    ):
        environment.endpoint_discovery.subscribe()
        (await environment.discovery.watch()).transport.abort()
        await until(lambda: not environment.endpoint_discovery.watch is not None)
        config.write_text(json.dumps({"discovery": new_discovery.address}))
        # The policy polls again only after its backoff, of up to 1 s; the reload must open a watch at once.
        environment.node.reload()
        send_line(await new_discovery.watch(), listing(41, row("a", endpoint.address)))
        await until(lambda: environment.endpoint_discovery.version == 41)
        assert environment.endpoint_discovery.watch is not None


@async_test
async def test_configuration_replaced_between_read_and_start_is_applied(tmp_path: Path) -> None:
    """Check that a node uses a configuration that was replaced after the node read it and before it started.

    If SIGHUP for this change arrives before the node handles signals, the node gets no further signal.
    """
    path = tmp_path / "config.json"
    async with StubDiscovery() as old_discovery, StubDiscovery() as new_discovery:
        limits = {"memory_mb": 192, "sockets": 256}
        content = {"name": "n0", "seed": "1", "limits": limits, "settings": settings(registryMode="pushed")}
        path.write_text(json.dumps({**content, "discovery": old_discovery.address}))
        environment = {
            "NODE_CONFIG": str(path),
            "NODE_LISTEN": f"{HOST}:0",
            "NODE_DISCOVERY": old_discovery.address,
        }
        node = Node(load_configuration(environment))
        path.write_text(json.dumps({**content, "discovery": new_discovery.address}))
        await node.start()
        try:
            await new_discovery.watch()
        finally:
            node.stop()


@async_test
async def test_reload_of_half_written_configuration_is_retried(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    async with StubServer([reply("200 OK")]) as endpoint, StubDiscovery() as new_discovery:
        text = json.dumps({"discovery": new_discovery.address})
        async with running_node(row("a", endpoint.address), path=str(path)) as environment:
            await environment.discovery.watch()
            path.write_text(text[:-2])
            environment.node.reload()
            path.write_text(text)  # completes the file, but sends no further signal
            await new_discovery.watch()


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
async def test_sighup_after_sigterm_is_applied(tmp_path: Path) -> None:
    config = tmp_path / "config.json"
    async with (
        StubServer([when_released(reply("200 OK", b"x"))]) as endpoint,
        StubDiscovery() as new_discovery,
        running_node(row("a", endpoint.address), path=str(config), registryMode="pushed") as environment,
    ):
        (await environment.discovery.watch()).transport.abort()  # the node's watch breaks before the SIGTERM
        client = await environment.connect_client()
        client.writer.write(open_requests(1))
        await asyncio.wait_for(endpoint.request_received.wait(), TIMEOUT_S)
        environment.node.terminate()
        config.write_text(json.dumps({"discovery": new_discovery.address}))
        environment.node.reload()
        await new_discovery.watch()
        endpoint.release.set()
        assert (await client.read_response()).body == b"x"
        await asyncio.wait_for(environment.serving, TIMEOUT_S)
