"""The log of a process whose standard error nobody reads."""

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


def _fill_pipe(writing_end: int) -> None:
    """Write to a pipe until it takes no further byte, through an open file of our own."""
    own_end = os.open(f"/proc/self/fd/{writing_end}", os.O_WRONLY | os.O_NONBLOCK)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(own_end, b"x")
    os.close(own_end)


@async_test
async def test_log_that_nobody_reads_does_not_stop_the_node(tmp_path: Path) -> None:
    """The reader of the log has stopped, and the pipe to it is full."""
    reading_end, writing_end = os.pipe()
    fcntl.fcntl(writing_end, fcntl.F_SETPIPE_SZ, 4096)
    async with StubServer([reply("200 OK", b"served")]) as endpoint, StubDiscovery() as discovery:
        cached_list = listing(1, row("a", endpoint.address))
        configuration = ConfigurationFile.write(tmp_path, sockets=256, known=cached_list)
        process = await start_process(configuration.environment(discovery), stderr=writing_end)
        line = (await asyncio.to_thread(os.read, reading_end, 4096)).decode()
        client = await Client.connect(listening_address(line))
        assert (await client.fetch("look")).body == b"served"
        _fill_pipe(writing_end)
        async with StubDiscovery() as moved:
            configuration.name_discovery(moved)
            process.send_signal(signal.SIGHUP)  # which is logged
            await moved.watch()
            assert (await client.fetch("look")).body == b"served"
        process.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(process.wait(), TIMEOUT_S) == 0
    os.close(reading_end)
    os.close(writing_end)
