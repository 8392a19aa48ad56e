"""Tests of connections that cannot be accepted when they arrive."""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
from collections.abc import Iterator

from tests.proxy.async_support import TIMEOUT_S, async_test
from tests.proxy.blocking_client import blocking_client
from tests.proxy.node_environment import running_node
from tests.proxy.stub_discovery import row
from tests.proxy.stub_server import StubServer, reply


@contextlib.contextmanager
def _no_free_descriptor() -> Iterator[None]:
    """Prevent the process from opening file descriptors, as if the system's descriptor table were full."""
    lowest_free = os.dup(0)
    os.close(lowest_free)
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (lowest_free, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@async_test
async def test_client_is_served_after_descriptor_shortage() -> None:
    """Check that the node leaves a connection in the backlog while it has no free descriptor.

    The operating system has already accepted the connection.  A close would reset it with its request unread.
    """
    async with (
        StubServer([reply("200 OK")]) as endpoint,
        running_node(row("a", endpoint.address)) as environment,
    ):
        other_client = await environment.connect_client()
        assert (await other_client.fetch("look")).status == 200
        with blocking_client(environment.address) as client:
            with _no_free_descriptor():
                for _ in range(20):  # event-loop iterations
                    await asyncio.sleep(0)
            assert b"200 OK" in await asyncio.wait_for(asyncio.to_thread(client.recv, 4096), TIMEOUT_S)
