"""Tests that a request's budget counts from its arrival, even if a busy event loop reads it late."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from load_balancer.proxy.request_handler import BUDGET_RESERVE_MS
from tests.proxy.async_support import TIMEOUT_S, async_test, until
from tests.proxy.blocking_client import blocking_client
from tests.proxy.node_environment import running_node
from tests.proxy.policy_recorder import PolicyRecorder
from tests.proxy.stub_client import request
from tests.proxy.stub_discovery import row
from tests.proxy.stub_server import StubServer, reply


class _ManualClock:
    """Replaces the monotonic clock that the node reads with a clock that only the test advances."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = time.monotonic()
        monkeypatch.setattr(time, "monotonic", lambda: self.now)


async def _idle_iterations(clock: _ManualClock) -> None:
    """Run iterations that do no work and whose polls of the sockets take one second each."""
    for _ in range(5):
        await asyncio.sleep(0)
        clock.now += 1.0


@pytest.mark.parametrize("on_new_connection", [True, False], ids=["new connection", "open connection"])
@async_test
async def test_budget_counts_from_arrival_when_loop_is_busy(
    on_new_connection: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The event loop is occupied for 0.8 s, while requests with deadlines of 1 s and 0.5 s arrive."""
    async with (
        StubServer([reply("200 OK", b"x")]) as endpoint,
        running_node(row("a", endpoint.address)) as environment,
    ):
        clients = [] if on_new_connection else [blocking_client(environment.address) for _ in range(2)]
        await until(
            lambda: len([c for c in environment.node.downstream.connections if c.answered]) == len(clients)
        )
        recorder = PolicyRecorder(environment.node)
        clock = _ManualClock(monkeypatch)
        await _idle_iterations(clock)
        environment.node.downstream.iterations.mark_activity()  # from here on, the event loop is busy
        for i, deadline in enumerate(("1.0", "0.5")):
            if on_new_connection:
                clients.append(socket.create_connection(environment.address, timeout=TIMEOUT_S))
            clients[i].sendall(request("look", deadline=deadline))
        clock.now += 0.8
        await until(lambda: len(recorder.budgets) == 2)
        assert sorted(recorder.budgets) == [
            1.0,
            pytest.approx(200.0 - BUDGET_RESERVE_MS, abs=1e-3),
        ]
        monkeypatch.undo()
        for client in clients:
            client.close()


@async_test
async def test_budget_is_not_cut_when_loop_is_idle(monkeypatch: pytest.MonkeyPatch) -> None:
    async with (
        StubServer([reply("200 OK", b"x")]) as endpoint,
        running_node(row("a", endpoint.address)) as environment,
    ):
        with blocking_client(environment.address) as client:
            await until(lambda: any(c.answered for c in environment.node.downstream.connections))
            recorder = PolicyRecorder(environment.node)
            clock = _ManualClock(monkeypatch)
            environment.node.downstream.iterations.mark_activity()
            await _idle_iterations(clock)
            client.sendall(request("look", deadline="1.0"))
            await until(lambda: recorder.budgets)
            assert recorder.budgets == [pytest.approx(1000.0 - BUDGET_RESERVE_MS, abs=1e-3)]
            monkeypatch.undo()
