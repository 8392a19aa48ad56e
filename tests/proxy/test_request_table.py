"""Client ids are reserved while a request is open."""

from __future__ import annotations

import asyncio

from tests.proxy.fakes import (
    PATIENCE_S,
    StubServer,
    async_test,
    held,
    reply,
    request,
    row,
    world,
)


@async_test
async def test_client_id_is_reserved_until_attempts_have_ended() -> None:
    behaviours = [held(reply("200 OK", b"first")), reply("200 OK", b"second")]
    async with StubServer(behaviours) as endpoint, world(row("a", endpoint.address)) as w:
        first, other = await w.caller(), await w.caller()
        first.writer.write(request("book", name="one"))
        await asyncio.wait_for(endpoint.got.wait(), PATIENCE_S)
        assert (await other.ask("book", name="one")).status == 409
        assert len(endpoint.received) == 1
        endpoint.release.set()
        assert (await first.answer()).body == b"first"
        assert (await first.ask("book", name="one")).body == b"second"
        assert not w.node.requests.reserved_client_ids
