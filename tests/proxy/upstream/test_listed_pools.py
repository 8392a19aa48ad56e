"""Tests of endpoint list updates: endpoints that share or swap addresses, and the cost of an update."""

from __future__ import annotations

import pytest

from load_balancer.events import Outcome
from load_balancer.proxy.address import Address
from load_balancer.proxy.upstream.pools import UpstreamPools
from tests.proxy.async_support import HOST, async_test
from tests.proxy.stub_discovery import row
from tests.proxy.stub_server import StubServer, reply
from tests.proxy.upstream.harness import endpoint_listing, upstream


@pytest.mark.usefixtures("no_reuse_delay")
@async_test
async def test_newer_endpoint_takes_over_address() -> None:
    """Requests for the old process must not reach the new process, which is warming up."""
    async with StubServer([reply("200 OK")]) as endpoint, upstream(endpoint.address) as harness:
        newer = row("b", endpoint.address, started=5.0)
        assert harness.update(2, newer, reset=False) == [b"a"]
        assert await harness.send() == (Outcome.CONNECT_FAILED, b"")
        assert (await harness.send(endpoint_id=b"b"))[0] is Outcome.OK
        assert harness.update(3, row("a", endpoint.address), newer) == [b"a"]
        assert (await harness.send(endpoint_id=b"b"))[0] is Outcome.OK
        assert endpoint.accepted_connections == 1


@async_test
async def test_endpoints_that_swap_addresses_are_reached_at_new_addresses() -> None:
    async with (
        StubServer([reply("200 OK", b"1")]) as one,
        StubServer([reply("200 OK", b"2")]) as two,
        upstream(one.address) as harness,
    ):
        harness.update(2, row("b", two.address), reset=False)
        swapped = row("a", two.address, started=5.0), row("b", one.address, started=5.0)
        assert harness.update(3, *swapped, reset=False) == [], "a listed endpoint was reported as replaced"
        assert (await harness.send(endpoint_id=b"a"))[1] == b"2"
        assert (await harness.send(endpoint_id=b"b"))[1] == b"1"
        harness.update(4, row("a", two.address, "DRAINING"), reset=False)
        assert (await harness.send(endpoint_id=b"a"))[0] is Outcome.CONNECT_FAILED
        assert harness.update(5, row("c", two.address, started=9.0), reset=False) == []


class _CountedAddress(Address):
    """An address that counts how often addresses of this class are compared."""

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
