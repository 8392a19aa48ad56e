"""Tests of how a pool selects idle connections for requests, and for how long it keeps them."""

from __future__ import annotations

import asyncio
import os
import socket
import time

import pytest

from load_balancer.events import Outcome
from load_balancer.proxy.upstream.endpoint_pool import REUSE_DELAY_S
from tests.proxy.async_support import TIMEOUT_S, async_test, until
from tests.proxy.stub_server import Behaviour, ReceivedRequest, StubServer, reply, silent
from tests.proxy.upstream.harness import upstream


@pytest.mark.usefixtures("no_reuse_delay")
@async_test
async def test_connection_with_unread_input_is_not_reused() -> None:
    """Unread surplus bytes after a response would be read as the next response."""
    behaviours = [reply("200 OK", b"1"), reply("200 OK", b"2")]
    async with StubServer(behaviours) as endpoint, upstream(endpoint.address) as harness:
        assert await harness.send() == (Outcome.OK, b"1")
        (connection,) = harness.pools.open_connections
        assert connection.has_no_unread_input()
        os.write(endpoint.writers[0].get_extra_info("socket").fileno(), b"HTTP/1.1 500 No\r\n")
        while connection.has_no_unread_input():
            time.sleep(0)  # do not yield to the event loop, which would read the bytes
        assert await harness.send() == (Outcome.OK, b"2")
        assert endpoint.accepted_connections == 2


def _without_nodelay(*behaviours: Behaviour) -> Behaviour:
    """Return a behaviour that runs these behaviours on a socket without TCP_NODELAY.

    The system then holds back small writes until the previous write is acknowledged.
    """

    async def behave(server: StubServer, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 0)
        for behaviour in behaviours:
            await behaviour(server, received, writer)
            await asyncio.sleep(0)  # the output of each behaviour is written separately

    return behave


@async_test
async def test_surplus_that_system_holds_back_is_not_read_as_next_response() -> None:
    """The system sends the surplus bytes only when it receives the acknowledgement of the response.

    The acknowledgement is sent together with the next request, if it was not sent earlier.
    """
    single = _without_nodelay(reply("200 OK", b"answer"))
    doubled = _without_nodelay(reply("200 OK", b"answer"), reply("200 OK", b"surplus"))
    # After a few exchanges, the system delays each acknowledgement until it sends data, but at most by 40 ms.
    exchanges = 8
    behaviours = [*[single] * exchanges, doubled, single]
    async with StubServer(behaviours) as endpoint, upstream(endpoint.address) as harness:
        (pool,) = harness.pools.pools
        loop = asyncio.get_running_loop()
        for _ in range(exchanges + 2):
            assert await harness.send() == (Outcome.OK, b"answer")
            idle_since = pool.oldest_idle_since
            await until(lambda since=idle_since: loop.time() - since > REUSE_DELAY_S + 0.001)  # type: ignore[misc]


@async_test
async def test_idle_connections_are_closed_before_endpoint_would_close_them() -> None:
    async with (
        StubServer([reply("200 OK")]) as endpoint,
        upstream(endpoint.address, endpoint_idle_s=0.0) as harness,
    ):
        await harness.send()
        await asyncio.wait_for(endpoint.disconnected.wait(), TIMEOUT_S)


@pytest.mark.usefixtures("no_reuse_delay")
@async_test
async def test_early_close_by_endpoint_shortens_idle_timeout(monkeypatch: pytest.MonkeyPatch) -> None:
    """The node must not use an idle connection at the time at which the endpoint closes it.

    A request that is sent during the close may have been processed.  It must not be sent again if it must not
    run twice, and is therefore lost.
    """
    monkeypatch.setattr("load_balancer.proxy.upstream.idle_timeout.MIN_RECORDED_IDLE_S", 0.0)
    async with StubServer([reply("200 OK")]) as endpoint, upstream(endpoint.address) as harness:
        (pool,) = harness.pools.pools
        configured = pool.idle_timeout.current_s
        await harness.send()
        endpoint.writers[0].close()
        await until(lambda: not harness.pools.open_connections)
        assert pool.idle_timeout.current_s < configured
        pool.idle_timeout.current_s = 0.0
        await harness.send()
        await until(lambda: asyncio.get_running_loop().time() > pool.oldest_idle_since)
        await harness.send()
        assert (
            endpoint.accepted_connections == 3
        ), "a connection that had been idle for longer than the timeout was used"
        pool.idle_timeout.current_s = configured / 2
        harness.pools.reap_idle()
        assert (
            configured / 2 < pool.idle_timeout.current_s < configured
        ), "the timeout did not recover gradually"


@async_test
async def test_close_idle_keeps_connections_in_use() -> None:
    async with StubServer([reply("200 OK"), silent]) as endpoint, upstream(endpoint.address) as harness:
        await harness.send()
        harness.pools.close_idle(b"a")
        await asyncio.wait_for(endpoint.disconnected.wait(), TIMEOUT_S)
        endpoint.request_received.clear()
        request, future = harness.start()
        await asyncio.wait_for(endpoint.request_received.wait(), TIMEOUT_S)
        harness.pools.close_idle(b"a")
        assert not future.done()
        request.cancel(Outcome.CANCELLED)
        endpoint.release.set()
