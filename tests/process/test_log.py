"""Test of a node whose log, on standard error, is not read."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import os
import signal
from pathlib import Path

from tests.process.node_process import ConfigurationFile, listening_address, start_process
from tests.proxy.async_support import TIMEOUT_S, async_test
from tests.proxy.stub_client import Client
from tests.proxy.stub_discovery import StubDiscovery, listing, row
from tests.proxy.stub_server import StubServer, reply


def _fill_pipe(write_end: int) -> None:
    """Write to a pipe until it is full.

    The pipe is opened a second time for this, so that the node's own descriptor stays in blocking mode.
    """
    nonblocking_end = os.open(f"/proc/self/fd/{write_end}", os.O_WRONLY | os.O_NONBLOCK)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(nonblocking_end, b"x")
    os.close(nonblocking_end)


@async_test
async def test_node_keeps_serving_when_its_log_pipe_is_full(tmp_path: Path) -> None:
    """The pipe to which the node writes its log is full, because its reader has stopped reading."""
    read_end, write_end = os.pipe()
    fcntl.fcntl(write_end, fcntl.F_SETPIPE_SZ, 4096)
    async with StubServer([reply("200 OK", b"served")]) as endpoint, StubDiscovery() as discovery:
        cached_list = listing(1, row("a", endpoint.address))
        configuration = ConfigurationFile.write(tmp_path, sockets=256, known=cached_list)
        process = await start_process(configuration.environment(discovery), stderr=write_end)
        line = (await asyncio.to_thread(os.read, read_end, 4096)).decode()
        client = await Client.connect(listening_address(line))
        assert (await client.fetch("look")).body == b"served"
        _fill_pipe(write_end)
        async with StubDiscovery() as new_discovery:
            configuration.set_discovery_address(new_discovery)
            process.send_signal(signal.SIGHUP)  # the node logs the reload
            await new_discovery.watch()
            assert (await client.fetch("look")).body == b"served"
        process.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(process.wait(), TIMEOUT_S) == 0
    os.close(read_end)
    os.close(write_end)
