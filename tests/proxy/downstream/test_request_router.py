"""Test of the limit on the memory of open requests."""

from __future__ import annotations

import asyncio

from tests.proxy.async_support import TIMEOUT_S, async_test, until
from tests.proxy.node_environment import running_node
from tests.proxy.stub_client import request
from tests.proxy.stub_discovery import row
from tests.proxy.stub_server import StubServer, reply, silent


@async_test
async def test_requests_over_total_body_limit_are_rejected_until_body_is_released() -> None:
    """Check the limit that keeps simultaneous large bodies from exhausting the memory of the process."""
    async with (
        StubServer([silent, reply("200 OK")]) as endpoint,
        running_node(row("a", endpoint.address)) as environment,
    ):
        environment.node.downstream.memory.max_bytes = 90_000
        body = b"x" * 60_000
        first = await environment.connect_client()
        first.writer.write(request("book", body=body))
        await asyncio.wait_for(endpoint.request_received.wait(), TIMEOUT_S)
        response = await (await environment.connect_client()).fetch("book", body=body)
        assert response.status == 503
        assert float(response.headers["retry-after"]) > 0
        assert len(endpoint.received) == 1
        first.close()
        await until(lambda: not environment.node.requests)
        assert (await (await environment.connect_client()).fetch("book", body=body)).status == 200
        endpoint.release.set()
