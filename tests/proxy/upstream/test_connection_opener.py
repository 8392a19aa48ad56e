"""Connections that come up late or fail locally, and the requests that wait for them."""

from __future__ import annotations

import asyncio
import errno

import pytest

from load_balancer.events import Outcome
from load_balancer.proxy.upstream.connection_opener import MAX_PARALLEL_CONNECTS
from tests.proxy.async_support import TIMEOUT_S, async_test, until
from tests.proxy.stub_discovery import row
from tests.proxy.stub_server import StubServer, reply, when_released
from tests.proxy.upstream.connects import FailingConnects, LateConnections
from tests.proxy.upstream.harness import upstream


@async_test
async def test_raced_connection_carries_the_request_when_the_first_is_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with StubServer([reply("200 OK", b"x")]) as endpoint, upstream(endpoint.address) as harness:
        late = LateConnections(monkeypatch)
        _, future = harness.start()
        await late.begun(2)
        late.gates[1].set()
        assert await future == (Outcome.OK, b"x")
        assert len(endpoint.received) == 1


@pytest.mark.usefixtures("no_reuse_delay")
@async_test
async def test_connection_that_comes_up_late_is_kept_for_a_later_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The request has timed out by then."""
    async with StubServer([reply("200 OK", b"x")]) as endpoint, upstream(endpoint.address) as harness:
        late = LateConnections(monkeypatch)
        assert await harness.send() == (Outcome.CONNECT_FAILED, b"")
        late.gates[0].set()
        await until(lambda: harness.pools.pools[0].has_idle)
        begun = len(late.gates)
        assert await harness.send() == (Outcome.OK, b"x")
        assert len(late.gates) == begun and len(endpoint.received) == 1


@async_test
async def test_connection_that_comes_up_carries_the_request_that_waits_longest(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with (
        StubServer([when_released(reply("200 OK"))]) as endpoint,
        upstream(endpoint.address) as harness,
    ):
        late = LateConnections(monkeypatch)
        first, _ = harness.start()
        second, _ = harness.start()
        await late.begun(2)
        late.gates[1].set()
        await until(lambda: first.written or second.written)
        assert first.written and not second.written
        endpoint.release.set()


@async_test
async def test_connections_that_one_request_opens_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    async with StubServer([reply("200 OK")]) as endpoint, upstream(endpoint.address) as harness:
        late = LateConnections(monkeypatch)
        assert await harness.send() == (Outcome.CONNECT_FAILED, b"")
        assert len(late.gates) == MAX_PARALLEL_CONNECTS == harness.pools.pending_connects
        assert not endpoint.received


@async_test
async def test_raced_connections_keep_to_the_connection_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    async with (
        StubServer([reply("200 OK")]) as endpoint,
        upstream(endpoint.address, max_open=2) as harness,
    ):
        late = LateConnections(monkeypatch)
        assert await harness.send() == (Outcome.CONNECT_FAILED, b"")
        assert len(late.gates) == 2


@async_test
async def test_late_connection_to_a_process_that_was_replaced_is_not_used(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with StubServer([reply("200 OK", b"x")]) as endpoint, upstream(endpoint.address) as harness:
        late = LateConnections(monkeypatch)
        _, future = harness.start()
        await late.begun(1)
        harness.update(2, row("a", endpoint.address, started=5.0))
        late.gates[0].set()
        assert await future == (Outcome.NOT_SENT, b"")
        await asyncio.wait_for(endpoint.disconnected.wait(), TIMEOUT_S)
        assert not endpoint.received and not harness.pools.pools[0].has_idle


@async_test
async def test_request_waits_until_the_machine_can_connect_again(monkeypatch: pytest.MonkeyPatch) -> None:
    for error in (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EAGAIN, errno.ENFILE, errno.ENOBUFS):
        async with StubServer([reply("200 OK", b"x")]) as endpoint, upstream(endpoint.address) as harness:
            failing = FailingConnects(monkeypatch, error)
            _, future = harness.start()
            await until(lambda failing=failing: failing.failed)  # type: ignore[misc]
            await asyncio.sleep(0)
            failing.over = True
            assert await future == (Outcome.OK, b"x"), errno.errorcode[error]
            assert len(endpoint.received) == 1


@async_test
async def test_machine_that_cannot_connect_is_no_fault_of_the_endpoint(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with StubServer([reply("200 OK")]) as endpoint, upstream(endpoint.address) as harness:
        failing = FailingConnects(monkeypatch, errno.EADDRNOTAVAIL)
        assert await harness.send(timeout_s=0.3) == (Outcome.NOT_SENT, b"")
        assert 2 <= failing.failed <= 30, "with a backoff"
        assert not harness.pools.pending_connects
