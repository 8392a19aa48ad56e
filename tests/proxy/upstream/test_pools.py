"""Following the endpoint list, opening connections, and the limit on them."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from load_balancer.events import Outcome
from load_balancer.proxy.address import Address
from load_balancer.proxy.upstream.pools import UpstreamPools
from tests.proxy.async_support import HOST, TIMEOUT_S, async_test
from tests.proxy.stub_discovery import row
from tests.proxy.stub_server import StubServer, reply, silent
from tests.proxy.upstream.harness import endpoint_listing, upstream


@async_test
async def test_refused_connection_is_connect_failure() -> None:
    with socket.socket() as free:
        free.bind((HOST, 0))
        async with upstream(f"{HOST}:{free.getsockname()[1]}") as harness:
            assert await harness.send() == (Outcome.CONNECT_FAILED, b"")


@pytest.mark.usefixtures("no_reuse_delay")
@async_test
async def test_attempt_whose_time_is_over_is_not_written() -> None:
    """The time told to the endpoint would be nothing, or less."""
    async with StubServer([reply("200 OK")]) as endpoint, upstream(endpoint.address) as harness:
        await harness.send()
        assert await harness.send(timeout_s=0.0004) == (Outcome.NOT_SENT, b"")
        assert len(endpoint.received) == 1


@async_test
async def test_connect_timeout_is_connect_failure() -> None:
    """A listening socket whose backlog is full leaves connections unanswered, as a cut network link does."""
    with socket.socket() as listener, contextlib.ExitStack() as stack:
        listener.bind((HOST, 0))
        listener.listen(0)
        for _ in range(4):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        async with upstream(f"{HOST}:{listener.getsockname()[1]}") as harness:
            assert await harness.send() == (Outcome.CONNECT_FAILED, b"")


@async_test
async def test_unlisted_endpoint_is_connect_failure() -> None:
    async with upstream(f"{HOST}:1") as harness:
        harness.update(2)
        assert await harness.send() == (Outcome.CONNECT_FAILED, b"")


@async_test
async def test_endpoint_that_drains_during_connect_receives_nothing() -> None:
    async with StubServer([reply("200 OK")]) as endpoint, upstream(endpoint.address) as harness:
        _, future = harness.start()
        harness.update(2, row("a", endpoint.address, "DRAINING"))
        assert await future == (Outcome.NOT_SENT, b"")
        await asyncio.wait_for(endpoint.disconnected.wait(), TIMEOUT_S)
        assert not endpoint.received


@pytest.mark.usefixtures("no_reuse_delay")
@async_test
async def test_newer_endpoint_takes_over_address() -> None:
    """Guards against requests for the old process that would reach the new one, which is warming up."""
    async with StubServer([reply("200 OK")]) as endpoint, upstream(endpoint.address) as harness:
        newer = row("b", endpoint.address, started=5.0)
        assert harness.update(2, newer, reset=False) == [b"a"]
        assert await harness.send() == (Outcome.CONNECT_FAILED, b"")
        assert (await harness.send(endpoint_id=b"b"))[0] is Outcome.OK
        assert harness.update(3, row("a", endpoint.address), newer) == [b"a"]
        assert (await harness.send(endpoint_id=b"b"))[0] is Outcome.OK
        assert endpoint.accepted_connections == 1


@async_test
async def test_endpoints_that_swap_addresses_are_reached_at_new_ones() -> None:
    async with (
        StubServer([reply("200 OK", b"1")]) as one,
        StubServer([reply("200 OK", b"2")]) as two,
        upstream(one.address) as harness,
    ):
        harness.update(2, row("b", two.address), reset=False)
        swapped = row("a", two.address, started=5.0), row("b", one.address, started=5.0)
        assert harness.update(3, *swapped, reset=False) == [], "both are listed"
        assert (await harness.send(endpoint_id=b"a"))[1] == b"2"
        assert (await harness.send(endpoint_id=b"b"))[1] == b"1"
        harness.update(4, row("a", two.address, "DRAINING"), reset=False)
        assert (await harness.send(endpoint_id=b"a"))[0] is Outcome.CONNECT_FAILED
        assert harness.update(5, row("c", two.address, started=9.0), reset=False) == []


class _CountedAddress(Address):
    """An address that counts how often one is compared."""

    comparisons = 0

    def __hash__(self) -> int:
        return super().__hash__()

    def __eq__(self, other: object) -> bool:
        _CountedAddress.comparisons += 1
        return tuple.__eq__(self, other)


@pytest.mark.parametrize("count", [1024, 4096])
@async_test
async def test_update_cost_is_linear_in_list_length(count: int) -> None:
    pools = UpstreamPools(connect_timeout_s=0.15, endpoint_idle_s=30.0, max_open=100)
    complete = endpoint_listing(1, *(row(f"s{i}", f"{HOST}:{1 + i}") for i in range(count)))
    for endpoint_id, address in complete.addresses.items():
        complete.addresses[endpoint_id] = _CountedAddress(*address)
    _CountedAddress.comparisons = 0
    assert pools.update(complete) == []
    assert pools.update(complete) == []
    assert _CountedAddress.comparisons <= 8 * count
    assert len(pools.pools) == count
    pools.close()


@async_test
async def test_connection_limit_closes_idle_connection_then_fails_connect() -> None:
    async with (
        StubServer([reply("200 OK")]) as one,
        StubServer([silent]) as two,
        upstream(one.address, max_open=1) as harness,
    ):
        harness.update(2, row("a", one.address), row("b", two.address))
        await harness.send()
        request, future = harness.start(endpoint_id=b"b")
        await asyncio.wait_for(two.request_received.wait(), TIMEOUT_S)
        assert await harness.send() == (Outcome.CONNECT_FAILED, b"")
        assert not future.done()
        request.cancel(Outcome.CANCELLED)
        two.release.set()
