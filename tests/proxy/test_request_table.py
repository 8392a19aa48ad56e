"""Tests that a request id cannot be used again while it is in use, or if its request must not run again."""

from __future__ import annotations

import asyncio

import pytest

from load_balancer.proxy.executed_ids import REMEMBERED_ID_BYTES, ExecutedIds
from tests.proxy.async_support import TIMEOUT_S, async_test, until
from tests.proxy.node_environment import running_node
from tests.proxy.sample_settings import policy_limits
from tests.proxy.stub_client import request
from tests.proxy.stub_discovery import row
from tests.proxy.stub_server import StubServer, reply, silent, when_released
from tests.proxy.traced_memory import traced_bytes, without_garbage_collection


@async_test
async def test_client_id_is_reserved_until_attempts_have_ended() -> None:
    behaviours = [when_released(reply("200 OK", b"first"))]
    async with StubServer(behaviours) as endpoint, running_node(row("a", endpoint.address)) as environment:
        first_client, other_client = await environment.connect_client(), await environment.connect_client()
        first_client.writer.write(request("book", name="one"))
        await asyncio.wait_for(endpoint.request_received.wait(), TIMEOUT_S)
        assert (await other_client.fetch("book", name="one")).status == 409
        assert len(endpoint.received) == 1
        endpoint.release.set()
        assert (await first_client.read_response()).body == b"first"
        assert not environment.node.requests.reserved_client_ids
        assert (await first_client.fetch("book", name="one")).status == 409
        assert len(endpoint.received) == 1, "a request that must not run again ran twice"


@async_test
async def test_id_of_idempotent_request_may_be_used_again() -> None:
    async with (
        StubServer([reply("200 OK", b"first"), reply("200 OK", b"second")]) as endpoint,
        running_node(row("a", endpoint.address)) as environment,
    ):
        client = await environment.connect_client()
        assert (await client.fetch("look", name="one")).body == b"first"
        assert (await client.fetch("look", name="one")).body == b"second"


@pytest.mark.parametrize("kind", ["book", "move"])
@async_test
async def test_request_does_not_run_again_after_its_client_has_left(kind: str) -> None:
    # A client left while its request was in service and sent it again under the same id: it ran twice.
    async with (
        StubServer([silent, reply("200 OK", b"x")]) as endpoint,
        running_node(row("a", endpoint.address)) as environment,
    ):
        client = await environment.connect_client()
        client.writer.write(request(kind, name="one"))
        await asyncio.wait_for(endpoint.request_received.wait(), TIMEOUT_S)
        client.close()
        await until(lambda: not environment.node.requests.reserved_client_ids)
        assert (await (await environment.connect_client()).fetch(kind, name="one")).status == 409
        assert (await (await environment.connect_client()).fetch(kind, name="two")).status == 200
        assert len(endpoint.received) == 2, "the request ran again"
        endpoint.release.set()


@async_test
async def test_request_that_never_ran_may_be_sent_again() -> None:
    rejected = reply("503 Service Unavailable", extra="X-Not-Run: 1\r\n")
    async with (
        StubServer([rejected, reply("200 OK", b"x")]) as endpoint,
        running_node(row("a", endpoint.address), **policy_limits(tryLimit=1)) as environment,
    ):
        client = await environment.connect_client()
        assert (await client.fetch("book", name="one")).status == 503
        assert (await client.fetch("book", name="one")).status == 200


def test_ids_are_remembered_up_to_the_capacity() -> None:
    ids = ExecutedIds(2 * REMEMBERED_ID_BYTES)
    for client_id in (b"a", b"b", b"b", b"c"):
        ids.add(client_id)
    assert len(ids) == ids.capacity == 2
    assert [client_id in ids for client_id in (b"a", b"b", b"c")] == [False, True, True]


def test_remembered_ids_take_no_more_memory_than_they_count() -> None:
    ids = ExecutedIds(20_000 * REMEMBERED_ID_BYTES)
    with without_garbage_collection():
        for number in range(2 * ids.capacity):
            ids.add(b"%256d" % number)
        assert traced_bytes() <= ids.capacity * REMEMBERED_ID_BYTES
