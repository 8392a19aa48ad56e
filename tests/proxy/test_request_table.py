"""Tests that a client's request id is reserved until the request and all its attempts have ended."""

from __future__ import annotations

import asyncio

from tests.proxy.async_support import TIMEOUT_S, async_test
from tests.proxy.node_environment import running_node
from tests.proxy.stub_client import request
from tests.proxy.stub_discovery import row
from tests.proxy.stub_server import StubServer, reply, when_released


@async_test
async def test_client_id_is_reserved_until_attempts_have_ended() -> None:
    behaviours = [when_released(reply("200 OK", b"first")), reply("200 OK", b"second")]
    async with StubServer(behaviours) as endpoint, running_node(row("a", endpoint.address)) as environment:
        first_client, other_client = await environment.connect_client(), await environment.connect_client()
        first_client.writer.write(request("book", name="one"))
        await asyncio.wait_for(endpoint.request_received.wait(), TIMEOUT_S)
        assert (await other_client.fetch("book", name="one")).status == 409
        assert len(endpoint.received) == 1
        endpoint.release.set()
        assert (await first_client.read_response()).body == b"first"
        assert (await first_client.fetch("book", name="one")).body == b"second"
        assert not environment.node.requests.reserved_client_ids
