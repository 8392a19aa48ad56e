"""Tests that the memory which clients make a node hold stays within a limit."""

from __future__ import annotations

import asyncio

import pytest

from load_balancer.proxy.downstream.connection import DownstreamConnection
from load_balancer.proxy.downstream.memory_budget import MemoryBudget
from tests.proxy.async_support import async_test
from tests.proxy.node_environment import NodeEnvironment, running_node
from tests.proxy.stub_client import Client, request
from tests.proxy.stub_discovery import row
from tests.proxy.stub_server import StubServer, reply

LONG_BODY = request("book", body=b"x" * 64_000)[:-100]
SHORT_HEADERS = request("book", extra="".join(f"a{i}:b\r\n" for i in range(90)))[:-2]


async def _until_read(environment: NodeEnvironment, seen: set[DownstreamConnection], count: int) -> None:
    """Wait until the node has read input of ``count`` connections, and add them to those that were seen."""
    while len(seen) < count:
        await asyncio.sleep(0)
        seen |= {c for c in environment.node.downstream.connections if c.last_input_at}


@pytest.mark.parametrize(
    ("incomplete", "rest", "clients"),
    [
        pytest.param(LONG_BODY, b"x" * 100, 40, id="long body"),
        pytest.param(SHORT_HEADERS, b"\r\n", 120, id="short headers"),
    ],
)
@async_test
async def test_requests_that_stop_in_the_middle_are_refused_when_they_hold_too_much(
    incomplete: bytes, rest: bytes, clients: int
) -> None:
    # Hundreds of clients that stopped in the middle of a long request, or of a head of many short headers,
    # took a node over its memory limit: each of them was bounded, but not their sum.
    async with (
        StubServer([reply("200 OK", b"x")]) as endpoint,
        running_node(row("a", endpoint.address), sockets=1024, memory_mb=4) as environment,
    ):
        memory = environment.node.downstream.memory
        stopped: list[Client] = []
        seen: set[DownstreamConnection] = set()
        for count in range(1, clients + 1):
            stopped.append(await environment.connect_client())
            stopped[-1].writer.write(incomplete)
            await _until_read(environment, seen, count)
            assert memory.used_bytes <= memory.max_bytes
        stopped[0].writer.write(rest)
        assert (await stopped[0].read_response()).status == 503, "the client that stopped first is refused"
        assert (await (await environment.connect_client()).fetch("book")).status == 200
        stopped[-1].writer.write(rest)
        assert (await stopped[-1].read_response()).status == 200, "the client that went on last is served"


def test_excess_is_taken_from_the_connection_without_input_for_longest() -> None:
    budget: MemoryBudget[str] = MemoryBudget(100)
    budget.set_incomplete("a", 40)
    budget.set_incomplete("b", 40)
    budget.set_incomplete("a", 50)
    assert budget.excess_holder() is None
    budget.reserve(20)
    assert budget.excess_holder() == "b"
    budget.remove("b")
    assert budget.excess_holder() is None
    budget.reserve(30)
    assert budget.used_bytes == 100
    budget.set_unread("c", 1)
    assert budget.excess_holder() == "a"
    budget.remove("a")
    budget.remove("c")
    budget.release(50)
    assert budget.used_bytes == 0


def test_incomplete_requests_leave_room_for_complete_ones() -> None:
    budget: MemoryBudget[str] = MemoryBudget(100)
    budget.set_incomplete("a", 100)
    assert budget.has_room_for(100)
    budget.reserve(60)
    budget.set_unread("b", 20)
    assert budget.has_room_for(20)
    assert not budget.has_room_for(21)
