"""Tests of endpoints that fail: every request gets one complete response before its deadline.

A non-idempotent request is sent only once, in whichever way its endpoint fails.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator

import pytest

from tests.proxy.async_support import HOST, async_test, until
from tests.proxy.node_environment import NodeEnvironment, running_node
from tests.proxy.sample_settings import policy_limits
from tests.proxy.stub_discovery import row
from tests.proxy.stub_server import Behaviour, ReceivedRequest, StubServer, reply, reset_connection, silent

DEADLINE_S = 0.6
LOST_AFTER_S = 0.5  # a response that arrives more than this after its deadline counts as lost

HEAD = b"HTTP/1.1 200 OK\r\n"
WITHOUT_LENGTH = "within a body without length"
TRUNCATED_RESPONSES = {
    "before the first byte": b"",
    "within the first line": b"HTTP/1.1 2",
    "within the head": HEAD + b"Content-Length: 10\r\nX-Lo",
    "after the head": HEAD + b"Content-Length: 10\r\n\r\n",
    "within the body": HEAD + b"Content-Length: 10\r\n\r\nwhole",
    "within a chunk": HEAD + b"Transfer-Encoding: chunked\r\n\r\na\r\nwhole",
    "before the last chunk": HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n",
    WITHOUT_LENGTH: HEAD + b"\r\nwhole",
    "after an interim response": b"HTTP/1.1 102 Processing\r\n\r\n",
}
TRUNCATIONS = [
    (where, how)
    for where in TRUNCATED_RESPONSES
    for how in ("reset", "close", "silence")
    if (where, how) != (WITHOUT_LENGTH, "close")  # this is a complete response
]


def truncated(text: bytes, how: str) -> Behaviour:
    """Return a behaviour that writes the truncated response, and then resets, closes or stays silent."""

    async def behave(endpoint: StubServer, _: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(text)
        await asyncio.sleep(0)  # the bytes are sent before the connection ends
        if how == "reset":
            reset_connection(writer)
        elif how == "close":
            writer.close()
        else:
            await endpoint.release.wait()

    return behave


@contextlib.contextmanager
def unreachable() -> Iterator[str]:
    """Yield an address at which no connection is ever established, as on a machine without a network."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind((HOST, 0))
        listener.listen(0)
        address = listener.getsockname()
        for _ in range(2):  # these connections fill the backlog
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(address)
        yield f"{HOST}:{address[1]}"


@pytest.mark.parametrize("kind", ["look", "move", "book"])
@async_test
async def test_response_without_length_is_complete_at_its_close(kind: str) -> None:
    """An orderly close ends the body; a truncated body cannot be distinguished from a complete one."""
    async with (
        StubServer([truncated(TRUNCATED_RESPONSES[WITHOUT_LENGTH], "close")]) as endpoint,
        running_node(row("a", endpoint.address)) as environment,
    ):
        response = await (await environment.connect_client()).fetch(kind)
        assert (response.status, response.body) == (200, b"whole")
        assert len(endpoint.received) == 1


@pytest.mark.parametrize(("where", "how"), TRUNCATIONS)
@pytest.mark.parametrize("kind", ["look", "move", "book"])
@async_test
async def test_truncated_response_is_not_served(kind: str, where: str, how: str) -> None:
    """All endpoints truncate their responses: no response is forwarded, and the request ends in time."""
    text = TRUNCATED_RESPONSES[where]
    loop = asyncio.get_running_loop()
    async with (
        StubServer([truncated(text, how)]) as endpoint_a,
        StubServer([truncated(text, how)]) as endpoint_b,
        running_node(row("a", endpoint_a.address), row("b", endpoint_b.address)) as environment,
    ):
        started_at = loop.time()
        response = await (await environment.connect_client()).fetch(kind, deadline=str(DEADLINE_S))
        assert loop.time() - started_at < DEADLINE_S + LOST_AFTER_S
        assert response.status in (
            (502,) if kind == "book" else (502, 503)
        ), "a request that may have run was rejected, as if a retry were safe"
        assert response.body == b""
        if kind == "book":
            assert len(endpoint_a.received) + len(endpoint_b.received) == 1
        endpoint_a.release.set()
        endpoint_b.release.set()
        await until(
            lambda: not environment.node.requests.attempts_in_flight
            and not environment.node.requests.reserved_client_ids
        )


async def _never_end_trailers(_: StubServer, __: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX-Sum: ")
    with contextlib.suppress(ConnectionError):
        while not writer.is_closing():
            writer.write(b"1" * 65536)
            await writer.drain()


@pytest.mark.parametrize("kind", ["look", "move", "book"])
@async_test
async def test_response_whose_trailers_never_end_is_ended_at_once(kind: str) -> None:
    # One endpoint that sent trailers without end held up the node's event loop and exhausted its memory.
    async with (
        StubServer([_never_end_trailers]) as endpoint,
        running_node(row("a", endpoint.address), **policy_limits(tryLimit=1)) as environment,
    ):
        response = await (await environment.connect_client()).fetch(kind, deadline="600")
        assert response.status in ((502,) if kind == "book" else (502, 503))
        assert response.body == b""
        assert len(endpoint.received) == 1


@pytest.mark.parametrize("duplicate", [True, False])
@pytest.mark.parametrize("cancel", [True, False])
@async_test
async def test_requests_are_answered_in_time_while_an_endpoint_is_silent(
    duplicate: bool, cancel: bool
) -> None:
    """Of six listed endpoints, one accepts requests but never responds, and one is unreachable."""

    async def timed_fetch(environment: NodeEnvironment, kind: str) -> tuple[float, int]:
        started_at = asyncio.get_running_loop().time()
        client = await environment.connect_client()
        response = await client.fetch(kind, deadline=str(DEADLINE_S))
        return asyncio.get_running_loop().time() - started_at, response.status

    async with contextlib.AsyncExitStack() as stack:
        healthy_endpoints = [
            await stack.enter_async_context(StubServer([reply("200 OK", b"x")])) for _ in range(4)
        ]
        silent_endpoint = await stack.enter_async_context(StubServer([silent]))
        unreachable_address = stack.enter_context(unreachable())
        rows = [
            row(f"s{i}", endpoint.address) for i, endpoint in enumerate([*healthy_endpoints, silent_endpoint])
        ]
        rows.append(row("lost", unreachable_address))
        environment = await stack.enter_async_context(
            running_node(*rows, **policy_limits(mayDuplicate=duplicate, cancel=cancel))
        )
        kinds = ("look", "move", "book") * 20
        results = await asyncio.gather(*(timed_fetch(environment, kind) for kind in kinds))
        assert max(elapsed_s for elapsed_s, _ in results) < DEADLINE_S + LOST_AFTER_S
        served = [kind for kind, (_, status) in zip(kinds, results, strict=True) if status == 200]
        assert len(served) > len(kinds) / 2
        post_requests = [
            r
            for endpoint in [*healthy_endpoints, silent_endpoint]
            for r in endpoint.received
            if r.method == "POST"
        ]
        request_ids = [r.headers["x-request-id"] for r in post_requests if "idempotency-key" not in r.headers]
        assert len(request_ids) == len(set(request_ids))
        silent_endpoint.release.set()
        await until(
            lambda: not environment.node.requests.attempts_in_flight
            and not environment.node.requests.reserved_client_ids
        )
