"""Tests of requests that cannot be started, and of the limit on the number of connections."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from load_balancer.events import Outcome
from tests.proxy.async_support import HOST, TIMEOUT_S, async_test
from tests.proxy.stub_discovery import row
from tests.proxy.stub_server import StubServer, reply, silent
from tests.proxy.upstream.harness import upstream


@async_test
async def test_refused_connection_is_connect_failure() -> None:
    with socket.socket() as free:
        free.bind((HOST, 0))
        async with upstream(f"{HOST}:{free.getsockname()[1]}") as harness:
            assert await harness.send() == (Outcome.CONNECT_FAILED, b"")


@pytest.mark.usefixtures("no_reuse_delay")
@async_test
async def test_request_with_too_little_time_left_is_not_written() -> None:
    """The request would tell the endpoint a deadline of zero or less."""
    async with StubServer([reply("200 OK")]) as endpoint, upstream(endpoint.address) as harness:
        await harness.send()
        assert await harness.send(timeout_s=0.0004) == (Outcome.NOT_SENT, b"")
        assert len(endpoint.received) == 1


@async_test
async def test_connect_timeout_is_connect_failure() -> None:
    """A listening socket with a full backlog leaves connects unanswered, like a broken network link."""
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
