"""Tests that stub clients record slow requests so that the oracle interprets them correctly.

The oracle excuses a response that is missing because a read failed on the node. A slow client writes a
request over some time, so the fault that makes reads fail may end before the client has written the last
byte. The oracle therefore needs the times of the first and of the last byte.
"""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

import pytest

from fault_soak.clients.population import ClientPopulation
from fault_soak.drawing import draw_plan
from fault_soak.endpoints import EndpointList
from fault_soak.faults import FaultKind
from fault_soak.history import FaultBegan, FaultEnded, History, RequestSent, ResponseMissing
from fault_soak.nodes import NodeProcess
from fault_soak.oracle import find_violations
from fault_soak.plan import Plan
from fault_soak.proxy import HOST, reset
from fault_soak.result import ScenarioResult

NODE = "n0"
FAULT = (0, FaultKind.SYSCALL_READ.value, NODE)


def _node(server: asyncio.Server, plan: Plan, history: History, directory: Path) -> NodeProcess:
    """Create a node without a process; clients that connect to it reach the given server."""
    return NodeProcess(
        NODE,
        tree=directory,
        directory=directory,
        port=server.sockets[0].getsockname()[1],
        settings=plan.settings,
        descriptors=plan.descriptors,
        discovery_address=str,
        cached_list=lambda: EndpointList(0, True, ()),
        history=history,
    )


def test_read_that_fails_within_a_slow_request_is_excused_when_the_fault_ends_before_its_last_byte(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    asyncio.run(_run_read_failure_within_slow_request(monkeypatch, tmp_path))


async def _run_read_failure_within_slow_request(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    history, plan, fault_ended = History(), draw_plan(8), asyncio.Event()

    async def fail_first_read(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readexactly(1)
        reset(writer)
        history.add(FaultEnded(History.now(), *FAULT, fired=1))
        fault_ended.set()

    async def pause_until_fault_ended(_: float) -> None:
        await fault_ended.wait()

    server = await asyncio.start_server(fail_first_read, HOST, 0)
    node = _node(server, plan, history, tmp_path)
    clients = ClientPopulation(plan, [node], history, random.Random(1))
    clients.behaviour.slow = True
    monkeypatch.setattr("fault_soak.clients.exchange.asyncio.sleep", pause_until_fault_ended)
    history.add(FaultBegan(History.now(), *FAULT))
    # The first request is complete. The client sends no second request, because the connection is closed.
    await clients.faulty.stop_within_request(node, first=False)
    server.close()
    (sent,), (missing,) = history.events_of(RequestSent), history.events_of(ResponseMissing)
    (ended,) = history.events_of(FaultEnded)
    assert ended.at < sent.at
    assert missing.closed and not missing.unread_allowed
    result = ScenarioResult(plan, history, worst_lag_s=0.0, shim_loaded=True)
    assert [str(violation) for violation in find_violations(result)] == []


def test_slow_request_is_recorded_as_sent_before_its_last_byte_can_be_read(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    asyncio.run(_run_slow_request(monkeypatch, tmp_path))


async def _run_slow_request(monkeypatch: pytest.MonkeyPatch, tmp_path: Path) -> None:
    history, plan, pieces = History(), draw_plan(8), [asyncio.Event() for _ in range(4)]
    read_at: list[float] = []

    async def read_pieces_and_close(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for piece in pieces:
            await reader.read(4096)
            read_at.append(History.now())
            piece.set()
        writer.close()

    async def pause_until_piece_is_read(_: float) -> None:
        await next(piece for piece in pieces if not piece.is_set()).wait()

    server = await asyncio.start_server(read_pieces_and_close, HOST, 0)
    node = _node(server, plan, history, tmp_path)
    clients = ClientPopulation(plan, [node], history, random.Random(1))
    clients.behaviour.slow = True
    monkeypatch.setattr("fault_soak.clients.exchange.asyncio.sleep", pause_until_piece_is_read)
    await clients.faulty.stop_within_request(node, first=False)
    server.close()
    (sent,) = history.events_of(RequestSent)
    assert len(read_at) == len(pieces)
    assert read_at[-2] < sent.at < read_at[-1]
