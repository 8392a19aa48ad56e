"""Tests of the parsing of request headers, and of the node's responses to invalid requests."""

from __future__ import annotations

import pytest

from tests.proxy.async_support import async_test
from tests.proxy.node_environment import running_node
from tests.proxy.stub_client import request
from tests.proxy.stub_discovery import row
from tests.proxy.stub_server import StubServer, reply


@pytest.mark.parametrize(
    ("invalid_request", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (request("look", target="/other"), 404),
        (request("nosuch"), 400),
        (request("look", drop=("X-Tenant",)), 400),
        (request("look", drop=("X-Request-Id",)), 400),
        (request("look", drop=("X-Deadline",)), 400),
        (request("look", drop=("X-Class",)), 400),
        (request("look", drop=("X-Tenant",), extra="X-Tenant: nobody\r\n"), 400),
        (request("look", extra="X-Class: book\r\n"), 400),
        (request("look", deadline="soon"), 400),
        (request("look", deadline="-1"), 400),
        (request("look", deadline="nan"), 400),
        (request("look", deadline="inf"), 400),
        (request("look", deadline="1e1"), 400),
        (request("look", deadline="1_0"), 400),
        (request("look", deadline="+1"), 400),
        (request("look", name="a b"), 400),
        (request("book", extra="Transfer-Encoding: chunked\r\n") + b"0\r\n\r\n", 400),
        (request("look", extra="Transfer-Encoding: gzip, chunked\r\n") + b"0\r\n\r\n", 400),
        (request("look", method="POST"), 400),
        (request("book", method="GET"), 400),
        (request("look", body=b"x"), 400),
        (request("move", drop=("Idempotency-Key",)), 400),
        (request("book", extra="Idempotency-Key: k\r\n"), 400),
        (request("look", extra="Connection: Upgrade\r\nUpgrade: websocket\r\n"), 400),
        (request("book", body=b"x" * 65537), 413),
        (request("look", extra="X-Long: " + "x" * 20000 + "\r\n"), 400),
    ],
)
@async_test
async def test_invalid_request_is_answered_at_once_and_not_forwarded(
    invalid_request: bytes, status: int
) -> None:
    async with (
        StubServer([reply("200 OK")]) as endpoint,
        running_node(row("a", endpoint.address)) as environment,
    ):
        client = await environment.connect_client()
        client.writer.write(invalid_request)
        assert (await client.read_response()).status == status
        assert (
            await client.ends_without_output()
        ), "the connection stays open, so the client can repeat invalid requests at full speed"
        assert not endpoint.received
        assert (await (await environment.connect_client()).fetch("look")).status == 200


@async_test
async def test_trailer_does_not_override_head() -> None:
    async with (
        StubServer([reply("200 OK")]) as endpoint,
        running_node(row("a", endpoint.address)) as environment,
    ):
        client = await environment.connect_client()
        head = request("book", name="mine", drop=("Content-Length",), extra="Transfer-Encoding: chunked\r\n")
        client.writer.write(head + b"1\r\nx\r\n0\r\nX-Request-Id: another\r\nX-Class: move\r\n\r\n")
        assert (await client.read_response()).status == 200
        (received,) = endpoint.received
        assert (received.headers["x-request-id"], received.body) == ("mine", b"x")


@async_test
async def test_chunked_body_over_limit_is_rejected_before_it_is_complete() -> None:
    async with (
        StubServer([reply("200 OK")]) as endpoint,
        running_node(row("a", endpoint.address)) as environment,
    ):
        client = await environment.connect_client()
        head = request("book", drop=("Content-Length",), extra="Transfer-Encoding: chunked\r\n")
        client.writer.write(head + b"11000\r\n" + b"x" * 0x11000)
        assert (await client.read_response()).status == 413
        assert not endpoint.received


@pytest.mark.parametrize(
    "deadline", ["2", "2.5", "0.30000000000000004", "1.2000000000000001776356839400250464677811"]
)
@async_test
async def test_deadline_may_have_any_number_of_decimals(deadline: str) -> None:
    """Check long decimal fractions, because clients print calculated values with all their decimals."""
    async with (
        StubServer([reply("200 OK")]) as endpoint,
        running_node(row("a", endpoint.address)) as environment,
    ):
        assert (await (await environment.connect_client()).fetch("look", deadline=deadline)).status == 200


@pytest.mark.parametrize("hint", ["much", "0", "inf", "250000"])
@async_test
async def test_request_with_any_cost_hint_is_served(hint: str) -> None:
    async with (
        StubServer([reply("200 OK")]) as endpoint,
        running_node(row("a", endpoint.address)) as environment,
    ):
        response = await (await environment.connect_client()).fetch("look", extra=f"X-Cost-Hint: {hint}\r\n")
        assert response.status == 200
