"""Tests that a connection to an endpoint reads responses correctly and reports one outcome per request."""

from __future__ import annotations

import asyncio

import pytest

from load_balancer.events import Outcome
from tests.proxy.async_support import TIMEOUT_S, async_test, until
from tests.proxy.stub_server import Behaviour, StubServer, in_pieces, raw, reply, reset, silent, then_reset
from tests.proxy.upstream.harness import OutcomeAndBody, SampleRequest, upstream

NOT_RUN = "X-Not-Run: 1\r\n"
NO_LENGTH_HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
COMPLETE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
EARLY_HINTS = b"HTTP/1.1 103 Early\r\nX: " + b"x" * 9000 + b"\r\n\r\n"


@pytest.mark.parametrize(
    ("behaviour", "expected"),
    [
        (reply("200 OK", b"body"), Outcome.OK),
        # A response without a length is completed by an orderly close of the connection, but not by a reset.
        (raw(NO_LENGTH_HEAD + b"body", close=True), Outcome.OK),
        (raw(NO_LENGTH_HEAD + b"x" * 65537, close=True), Outcome.MALFORMED_RESPONSE),
        (then_reset(NO_LENGTH_HEAD + b"body"), Outcome.RESET),
        (then_reset(NO_LENGTH_HEAD), Outcome.RESET),
        (raw(b"HTTP/1.1 200 OK\r\nX: y", close=True), Outcome.RESET),
        (raw(b"HTTP/1.1 500 Internal Server Error\r\n\r\n", close=True), Outcome.ERROR),
        (raw(b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n\r\n", close=True), Outcome.REJECTED),
        (raw(CHUNKED_HEAD + b"4\r\nbody\r\n0\r\n\r\n"), Outcome.OK),
        (raw(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"), Outcome.OK),
        (reply("500 Internal Server Error"), Outcome.ERROR),
        (reply("503 Service Unavailable", extra=NOT_RUN), Outcome.REJECTED),
        (reply("504 Gateway Timeout", extra=NOT_RUN), Outcome.REJECTED),
        (reply("503 Service Unavailable"), Outcome.ERROR),
        (reply("500 Internal Server Error", extra=NOT_RUN), Outcome.ERROR),
        (reply("404 Not Found"), Outcome.CLIENT_ERROR),
        (reset, Outcome.RESET),
        (raw(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", close=True), Outcome.RESET),
        (raw(CHUNKED_HEAD + b"4\r\nbody\r\n", close=True), Outcome.RESET),
        (raw(b"nonsense\r\n\r\n"), Outcome.MALFORMED_RESPONSE),
        (reply("200 OK", b"x" * 65537), Outcome.MALFORMED_RESPONSE),
        (raw(b"HTTP/1.1 200 OK\r\nX: " + b"x" * 20000), Outcome.MALFORMED_RESPONSE),
        (raw(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nbody"), Outcome.MALFORMED_RESPONSE),
        (
            raw(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody"),
            Outcome.MALFORMED_RESPONSE,
        ),
        (raw(b"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nbody"), Outcome.MALFORMED_RESPONSE),
        (
            raw(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nbody", close=True),
            Outcome.MALFORMED_RESPONSE,
        ),
        (
            raw(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
            Outcome.MALFORMED_RESPONSE,
        ),
        (raw(EARLY_HINTS, times=2), Outcome.MALFORMED_RESPONSE),
        (raw(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Load: {\xff]\r\n\r\nbody"), Outcome.OK),
    ],
)
@async_test
async def test_response_determines_outcome(behaviour: Behaviour, expected: Outcome) -> None:
    async with StubServer([behaviour]) as endpoint, upstream(endpoint.address) as harness:
        outcome, body = await harness.send()
        assert outcome is expected
        if expected is Outcome.OK:
            assert body == b"body"
        assert len(endpoint.received) == 1


@pytest.mark.parametrize(
    "response",
    [
        pytest.param(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nbody", id="half"),
        pytest.param(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nbody", id="none"),
        pytest.param(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody\r\n", id="without line break"),
        pytest.param(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbodyH", id="without last byte"),
        pytest.param(
            b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nbody", id="interim"
        ),
        pytest.param(
            b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 2\r\n\r\nbody",
            id="rejected",
        ),
    ],
)
@async_test
async def test_response_whose_length_is_too_small_is_malformed(response: bytes) -> None:
    # Half of a body was served as a complete response, because its Content-Length was too small: the rest
    # counted as surplus, which only closed the connection.
    async with StubServer([raw(response)]) as endpoint, upstream(endpoint.address) as harness:
        assert (await harness.send())[0] is Outcome.MALFORMED_RESPONSE


@pytest.mark.parametrize("response", [COMPLETE, CHUNKED_HEAD + b"4\r\nbody\r\n0\r\n\r\n"])
@async_test
async def test_second_response_does_not_spoil_the_first(response: bytes) -> None:
    async with StubServer([raw(response, times=2)]) as endpoint, upstream(endpoint.address) as harness:
        assert await harness.send() == (Outcome.OK, b"body")


@async_test
async def test_missing_response_times_out_and_closes_connection() -> None:
    async with StubServer([silent]) as endpoint, upstream(endpoint.address) as harness:
        assert await harness.send(timeout_s=0.1) == (Outcome.TIMEOUT, b"")
        endpoint.release.set()
        await asyncio.wait_for(endpoint.disconnected.wait(), TIMEOUT_S)


@async_test
async def test_cancelled_request_reports_one_outcome() -> None:
    async with StubServer([silent]) as endpoint, upstream(endpoint.address) as harness:
        request, future = harness.start()
        await asyncio.wait_for(endpoint.request_received.wait(), TIMEOUT_S)
        request.cancel(Outcome.CANCELLED)
        request.cancel(Outcome.TIMEOUT)
        endpoint.release.set()
        await asyncio.wait_for(endpoint.disconnected.wait(), TIMEOUT_S)
        assert (await future)[0] is Outcome.CANCELLED
        assert harness.outcomes == [Outcome.CANCELLED]


@async_test
async def test_connection_close_response_is_complete_and_connection_is_not_reused() -> None:
    closing = reply("200 OK", b"body", "Connection: close\r\n")
    async with StubServer([closing]) as endpoint, upstream(endpoint.address) as harness:
        assert await harness.send() == (Outcome.OK, b"body")
        assert await harness.send() == (Outcome.OK, b"body")
        assert endpoint.accepted_connections == 2


@async_test
async def test_unsolicited_bytes_close_connection() -> None:
    """Surplus bytes after a response must not be read as the next response."""
    twice = raw(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1" * 2)
    async with StubServer([twice, reply("200 OK", b"2")]) as endpoint, upstream(endpoint.address) as harness:
        assert await harness.send() == (Outcome.OK, b"1")
        await asyncio.wait_for(endpoint.disconnected.wait(), TIMEOUT_S)
        assert await harness.send() == (Outcome.OK, b"2")


@pytest.mark.parametrize("surplus", [b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1", b"\x07noise", b"H"])
@async_test
async def test_surplus_after_response_is_not_read_as_next_response(surplus: bytes) -> None:
    """The next request starts while the input that contains the response is still being parsed."""
    both = raw(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1" + surplus)
    async with StubServer([both, reply("200 OK", b"2")]) as endpoint, upstream(endpoint.address) as harness:
        later: list[asyncio.Future[OutcomeAndBody]] = []
        first = SampleRequest(lambda outcome, response: later.append(harness.start()[1]))
        harness.pools.start_request(b"a", first, TIMEOUT_S)
        await until(lambda: later)
        assert await later[0] == (Outcome.OK, b"2")
        assert endpoint.accepted_connections == 2


@async_test
async def test_response_without_length_is_complete_only_when_endpoint_closes() -> None:
    pieces = (NO_LENGTH_HEAD[:9], NO_LENGTH_HEAD[9:], b"bo", b"dy")
    async with StubServer([in_pieces(*pieces)]) as endpoint, upstream(endpoint.address) as harness:
        _, future = harness.start()
        for _ in pieces:
            assert not future.done()
            endpoint.request_received.clear()
            endpoint.release.set()
            await asyncio.wait_for(endpoint.request_received.wait(), TIMEOUT_S)
        assert await future == (Outcome.OK, b"body")
        assert not harness.pools.pools[0].has_idle, "a connection that the endpoint closed was kept"


@pytest.mark.parametrize("size", [0, 65536])
@async_test
async def test_response_without_length_may_have_any_size_within_the_limit(size: int) -> None:
    behaviour = raw(NO_LENGTH_HEAD + b"x" * size, close=True)
    async with StubServer([behaviour]) as endpoint, upstream(endpoint.address) as harness:
        assert await harness.send() == (Outcome.OK, b"x" * size)
