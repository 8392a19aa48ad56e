"""Tests that the memory which clients make a node hold stays within a limit."""

from __future__ import annotations

import asyncio

import pytest

from load_balancer.proxy.downstream.connection_state import RECEIVING
from load_balancer.proxy.downstream.memory_budget import MemoryBudget
from tests.proxy.async_support import async_test
from tests.proxy.node_environment import NodeEnvironment, running_node
from tests.proxy.stub_client import request
from tests.proxy.stub_discovery import row
from tests.proxy.stub_server import StubServer, reply

LONG_BODY = request("book", body=b"x" * 64_000)[:-100]
SHORT_HEADERS = request("book", extra="".join(f"a{i}:b\r\n" for i in range(90)))[:-2]


def _stopped_clients(environment: NodeEnvironment) -> int:
    """Return how many clients have stopped in the middle of a request that the node has begun to read."""
    receiving = [c for c in environment.node.downstream.connections if c.phase is RECEIVING]
    return len(receiving) + environment.node.counters.shed_incomplete


@pytest.mark.parametrize(
    ("incomplete", "clients"),
    [pytest.param(LONG_BODY, 40, id="long body"), pytest.param(SHORT_HEADERS, 120, id="short headers")],
)
@async_test
async def test_requests_that_stop_in_the_middle_are_refused_when_they_hold_too_much(
    incomplete: bytes, clients: int
) -> None:
    # Hundreds of clients that stopped in the middle of a long request, or of a head of many short headers,
    # took a node over its memory limit: each of them was bounded, but not their sum.
    async with (
        StubServer([reply("200 OK", b"x")]) as endpoint,
        running_node(row("a", endpoint.address), sockets=1024, memory_mb=4) as environment,
    ):
        downstream = environment.node.downstream
        stopped = []
        for count in range(1, clients + 1):
            stopped.append(await environment.connect_client())
            stopped[-1].writer.write(incomplete)
            while _stopped_clients(environment) < count:
                await asyncio.sleep(0)
        assert (
            await stopped[0].read_response()
        ).status == 503, "the client that stopped first is refused first"
        assert downstream.memory.used_bytes <= downstream.memory.max_bytes
        assert (await (await environment.connect_client()).fetch("book")).status == 200
        stopped[-1].writer.write(b"y" * 100 if incomplete is LONG_BODY else b"\r\n")
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
