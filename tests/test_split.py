"""The conditions of a split day, on real connections.

Whatever becomes of an answer or its server, each request that was taken gets one whole answer in its time,
and what may not be repeated is sent once.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from typing import Any

import pytest

from tests.stubs import (
    HOST,
    Behaviour,
    Received,
    StubServer,
    World,
    reply,
    row,
    run,
    settings,
    silent,
    until,
    world,
)

DEADLINE_S = 0.6
LOST_S = 0.5  # later than this after its time an answer counts as none

HEAD = b"HTTP/1.1 200 OK\r\n"
CUT = {
    "before the first byte": b"",
    "within the first line": b"HTTP/1.1 2",
    "within the head": HEAD + b"Content-Length: 10\r\nX-Lo",
    "after the head": HEAD + b"Content-Length: 10\r\n\r\n",
    "within the body": HEAD + b"Content-Length: 10\r\n\r\nwhole",
    "within a chunk": HEAD + b"Transfer-Encoding: chunked\r\n\r\na\r\nwhole",
    "before the last chunk": HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n",
    "within a body without length": HEAD + b"\r\nwhole",
    "after an interim answer": b"HTTP/1.1 102 Processing\r\n\r\n",
}


def cut(text: bytes, how: str) -> Behaviour:
    """Write that much of an answer, then reset, close, or say no more."""

    async def behave(server: StubServer, _: Received, writer: asyncio.StreamWriter) -> None:
        writer.write(text)
        await asyncio.sleep(0)  # the bytes go out before the end does
        if how == "reset":
            writer.transport.abort()
        elif how == "close":
            writer.close()
        else:
            await server.release.wait()

    return behave


def limits(**changes: Any) -> dict[str, Any]:
    return {"policyLimits": {**settings()["policyLimits"], **changes}}


@pytest.mark.parametrize("how", ["reset", "close", "silence"])
@pytest.mark.parametrize("text", list(CUT.values()), ids=list(CUT))
@pytest.mark.parametrize("kind", ["look", "move", "book"])
def test_an_answer_that_is_cut_short_is_no_answer(kind: str, text: bytes, how: str) -> None:
    """All servers cut theirs: nothing is served, and the request ends in its time all the same."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        async with (
            StubServer([cut(text, how)]) as one,
            StubServer([cut(text, how)]) as two,
            world(row("a", one.address), row("b", two.address)) as w,
        ):
            began = loop.time()
            answer = await (await w.caller()).ask(kind, deadline=str(DEADLINE_S))
            assert loop.time() - began < DEADLINE_S + LOST_S
            assert answer.status in (
                (502,) if kind == "book" else (502, 503)
            ), "what may have run is not refused"
            assert answer.body == b""
            if kind == "book":
                assert len(one.received) + len(two.received) == 1
            one.release.set()
            two.release.set()
            await until(
                lambda: not w.node.requests.attempts_in_flight and not w.node.requests.reserved_client_ids
            )

    run(main())


@contextlib.contextmanager
def unreachable() -> Iterator[str]:
    """An address at which connections never come up, as of a machine that is cut off."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind((HOST, 0))
        listener.listen(0)
        address = listener.getsockname()
        for _ in range(2):  # the backlog is full from then on
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(address)
        yield f"{HOST}:{address[1]}"


@pytest.mark.parametrize("duplicate", [True, False])
@pytest.mark.parametrize("cancel", [True, False])
def test_while_a_fifth_of_the_servers_is_silent_every_request_is_answered_in_time(
    duplicate: bool, cancel: bool
) -> None:
    """One of five takes requests and says nothing, and the list still names another that never comes up."""

    async def ask(w: World, kind: str) -> tuple[float, int]:
        began = asyncio.get_running_loop().time()
        caller = await w.caller()
        answer = await caller.ask(kind, deadline=str(DEADLINE_S))
        return asyncio.get_running_loop().time() - began, answer.status

    async def main() -> None:
        async with contextlib.AsyncExitStack() as stack:
            good = [await stack.enter_async_context(StubServer([reply("200 OK", b"x")])) for _ in range(4)]
            mute = await stack.enter_async_context(StubServer([silent]))
            lost = stack.enter_context(unreachable())
            rows = [row(f"s{i}", server.address) for i, server in enumerate([*good, mute])]
            rows.append(row("lost", lost))
            w = await stack.enter_async_context(world(*rows, **limits(mayDuplicate=duplicate, cancel=cancel)))
            kinds = ("look", "move", "book") * 20
            ends = await asyncio.gather(*(ask(w, kind) for kind in kinds))
            assert max(took for took, _ in ends) < DEADLINE_S + LOST_S
            served = [kind for kind, (_, status) in zip(kinds, ends, strict=True) if status == 200]
            assert len(served) > len(kinds) / 2
            bookings = [r for server in [*good, mute] for r in server.received if r.method == "POST"]
            names = [r.headers["x-request-id"] for r in bookings if "idempotency-key" not in r.headers]
            assert len(names) == len(set(names))
            mute.release.set()
            await until(
                lambda: not w.node.requests.attempts_in_flight and not w.node.requests.reserved_client_ids
            )

    run(main())
