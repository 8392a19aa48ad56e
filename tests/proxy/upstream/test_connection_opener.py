"""Tests of connects that are slow or fail locally, and of the requests that wait for them."""

from __future__ import annotations

import asyncio
import errno

import pytest

from load_balancer.events import Outcome
from load_balancer.proxy.upstream.connection_opener import MAX_PARALLEL_CONNECTS
from tests.proxy.async_support import TIMEOUT_S, async_test, until
from tests.proxy.stub_discovery import row
from tests.proxy.stub_server import StubServer, reply, when_released
from tests.proxy.upstream.faulty_connects import DelayedConnects, FailingConnects
from tests.proxy.upstream.harness import upstream


@async_test
async def test_parallel_connection_carries_request_when_first_connect_is_slow(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with StubServer([reply("200 OK", b"x")]) as endpoint, upstream(endpoint.address) as harness:
        delayed = DelayedConnects(monkeypatch)
        _, future = harness.start()
        await delayed.wait_until_started(2)
        delayed.gates[1].set()
        assert await future == (Outcome.OK, b"x")
        assert len(endpoint.received) == 1


@pytest.mark.usefixtures("no_reuse_delay")
@async_test
async def test_connection_established_after_connect_timeout_is_kept_for_later_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The request for which the connection was opened has already ended."""
    async with StubServer([reply("200 OK", b"x")]) as endpoint, upstream(endpoint.address) as harness:
        delayed = DelayedConnects(monkeypatch)
        assert await harness.send() == (Outcome.CONNECT_FAILED, b"")
        delayed.gates[0].set()
        await until(lambda: harness.pools.pools[0].has_idle)
        started = len(delayed.gates)
        assert await harness.send() == (Outcome.OK, b"x")
        assert len(delayed.gates) == started and len(endpoint.received) == 1


@async_test
async def test_new_connection_carries_request_that_has_waited_longest(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with (
        StubServer([when_released(reply("200 OK"))]) as endpoint,
        upstream(endpoint.address) as harness,
    ):
        delayed = DelayedConnects(monkeypatch)
        first, _ = harness.start()
        second, _ = harness.start()
        await delayed.wait_until_started(2)
        delayed.gates[1].set()
        await until(lambda: first.written or second.written)
        assert first.written and not second.written
        endpoint.release.set()


@async_test
async def test_parallel_connects_of_one_request_are_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    async with StubServer([reply("200 OK")]) as endpoint, upstream(endpoint.address) as harness:
        delayed = DelayedConnects(monkeypatch)
        assert await harness.send() == (Outcome.CONNECT_FAILED, b"")
        assert len(delayed.gates) == MAX_PARALLEL_CONNECTS == harness.pools.pending_connects
        assert not endpoint.received


@async_test
async def test_parallel_connects_respect_connection_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    async with (
        StubServer([reply("200 OK")]) as endpoint,
        upstream(endpoint.address, max_open=2) as harness,
    ):
        delayed = DelayedConnects(monkeypatch)
        assert await harness.send() == (Outcome.CONNECT_FAILED, b"")
        assert len(delayed.gates) == 2


@async_test
async def test_connection_to_replaced_process_is_not_used(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with StubServer([reply("200 OK", b"x")]) as endpoint, upstream(endpoint.address) as harness:
        delayed = DelayedConnects(monkeypatch)
        _, future = harness.start()
        await delayed.wait_until_started(1)
        harness.update(2, row("a", endpoint.address, started=5.0))
        delayed.gates[0].set()
        assert await future == (Outcome.NOT_SENT, b"")
        await asyncio.wait_for(endpoint.disconnected.wait(), TIMEOUT_S)
        assert not endpoint.received and not harness.pools.pools[0].has_idle


@async_test
async def test_request_is_sent_when_local_connect_errors_have_stopped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for error in (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EAGAIN, errno.ENFILE, errno.ENOBUFS):
        async with StubServer([reply("200 OK", b"x")]) as endpoint, upstream(endpoint.address) as harness:
            failing = FailingConnects(monkeypatch, error)
            _, future = harness.start()
            await until(lambda failing=failing: failing.failures)  # type: ignore[misc]
            await asyncio.sleep(0)
            failing.recovered = True
            assert await future == (Outcome.OK, b"x"), errno.errorcode[error]
            assert len(endpoint.received) == 1


@async_test
async def test_persistent_local_connect_error_ends_request_as_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with StubServer([reply("200 OK")]) as endpoint, upstream(endpoint.address) as harness:
        failing = FailingConnects(monkeypatch, errno.EADDRNOTAVAIL)
        assert await harness.send(timeout_s=0.3) == (Outcome.NOT_SENT, b"")
        assert 2 <= failing.failures <= 30, "the connects were not repeated with a backoff"
        assert not harness.pools.pending_connects
