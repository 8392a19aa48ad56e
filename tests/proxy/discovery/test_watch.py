"""Tests of the input that a watch reads, and of the conditions under which it is kept or reopened."""

from __future__ import annotations

import asyncio
import json
import os

import pytest

from load_balancer.proxy.discovery import watch as discovery_watch
from tests.proxy.async_support import HOST, async_test, until
from tests.proxy.node_environment import running_node
from tests.proxy.stub_discovery import listing, row, send_line
from tests.proxy.stub_server import StubServer, reply


def _send_pieces(watch: asyncio.StreamWriter, *pieces: bytes) -> None:
    for piece in pieces:
        watch.write(b"%x\r\n%s\r\n" % (len(piece), piece))


@async_test
async def test_indented_list_is_applied() -> None:
    async with (
        StubServer([reply("200 OK")]) as endpoint,
        running_node(has_cached_list=False, registryMode="pushed") as environment,
    ):
        watch = await environment.discovery.watch()
        text = json.dumps(listing(5, row("a", endpoint.address)), indent=2).encode() + b"\n"
        _send_pieces(watch, b"\n", text[:50], text[50:])
        await until(lambda: environment.endpoint_discovery.version == 5)
        assert (await (await environment.connect_client()).fetch("look")).status == 200


@pytest.mark.parametrize(
    "pieces", [(b"{nonsense\n",), (b'{"generation":9,', b'"inst\n'), (b'{"a":[\n', b"\n")]
)
@async_test
async def test_malformed_list_reopens_watch_with_one_log_line(
    pieces: tuple[bytes, ...], monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """In the last case, the object is cut off and only heartbeats follow."""
    monkeypatch.setattr(discovery_watch, "OBJECT_TIMEOUT_S", 0.05)
    async with (
        StubServer([reply("200 OK")]) as endpoint,
        running_node(row("a", endpoint.address), registryMode="pushed") as environment,
    ):
        watch = await environment.discovery.watch()
        send_line(watch, listing(41, row("a", endpoint.address)))
        _send_pieces(watch, *pieces)
        reopened = await environment.discovery.watch()
        assert environment.discovery.targets[-1].endswith("from=41")
        send_line(reopened, listing(42, reset=False))
        await until(lambda: environment.endpoint_discovery.version == 42)
        assert len([record for record in caplog.records if "discovery" in record.message]) <= 1
        assert (
            await (await environment.connect_client()).fetch("look")
        ).status == 200, "the last valid list is no longer in use"


@async_test
async def test_unread_input_at_silence_timeout_keeps_watch(monkeypatch: pytest.MonkeyPatch) -> None:
    """The event loop was blocked for longer than the silence timeout, and a heartbeat arrived meanwhile."""
    monkeypatch.setattr(discovery_watch, "SILENCE_TIMEOUT_S", 0.2)
    async with running_node(registryMode="pushed") as environment:
        stream = await environment.discovery.watch()
        send_line(stream, b"")
        await until(lambda: environment.endpoint_discovery.has_received_input)
        os.write(stream.get_extra_info("socket").fileno(), b"1\r\n\n\r\n")
        watch = environment.endpoint_discovery.watch
        assert watch is not None
        watch.check_silence()  # before the loop reads the heartbeat
        send_line(stream, listing(9, row("a", f"{HOST}:1")))
        await until(lambda: environment.endpoint_discovery.version == 9)
        assert len(environment.discovery.targets) == 1
