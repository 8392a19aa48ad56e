"""Pairs of events that may come in either order, each forced into the bad one: docs/races.md lists them.

The order is kept by barriers in what surrounds the node, never by sleeping; connections are real ones.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import struct
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from load_balancer.actions import Action
from load_balancer.events import AttemptEnded, Event, Outcome, RequestArrived, TimerFired
from load_balancer.policy.balancer import Balancer
from load_balancer.proxy import downstream, downstream_connection, eviction, lifecycle
from load_balancer.proxy import server as node_module
from load_balancer.proxy.downstream_connection import PAUSE_READING_AT, DownstreamConnection
from load_balancer.proxy.request_table import RequestTable
from load_balancer.proxy.server import Node
from tests.stubs import (
    HOST,
    PATIENCE_S,
    Caller,
    StubDiscovery,
    StubServer,
    World,
    held,
    listing,
    read_head,
    reply,
    request,
    row,
    run,
    settings,
    silent,
    tell,
    until,
    world,
)


class LateConnections:
    """A loop whose connections come up only when released; the rest is the real loop's."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self.begun = asyncio.Event()
        self.release = asyncio.Event()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)

    async def create_connection(self, *args: Any, **kwargs: Any) -> Any:
        self.begun.set()
        await self.release.wait()
        return await self._loop.create_connection(*args, **kwargs)


def _late(node: Node, monkeypatch: pytest.MonkeyPatch) -> LateConnections:
    """From here on connections to servers come up when released, and are waited for as long as it takes."""
    late = LateConnections(asyncio.get_running_loop())
    monkeypatch.setattr(node._pools, "_loop", late)
    monkeypatch.setattr(node._pools, "_connect_s", PATIENCE_S)
    return late


def _events(node: Node, monkeypatch: pytest.MonkeyPatch) -> list[Event]:
    """What the module is told, as it comes."""
    events: list[Event] = []
    handle = node.policy.handle

    def recording(event: Event, now: float) -> list[Action]:
        events.append(event)
        return handle(event, now)

    monkeypatch.setattr(node.policy, "handle", recording)
    return events


def _outcomes(events: list[Event]) -> list[Outcome]:
    return [event.outcome for event in events if isinstance(event, AttemptEnded)]


def _budgets(events: list[Event]) -> list[float]:
    """The time that the module is given for each request."""
    return [event.budget_ms for event in events if isinstance(event, RequestArrived)]


def _nothing_left(requests: RequestTable) -> bool:
    """Whether no request is open, no attempt in flight, and no client id reserved."""
    return not requests and not requests.attempts_in_flight and not requests.reserved_client_ids


def _second_copy(node: Node, number: int, server: bytes) -> None:
    """Have the module send this request to that server, too."""
    balancer = node.policy
    assert isinstance(balancer, Balancer)
    on_timer = balancer._on_timer
    balancer._on_timer = lambda: balancer._send(  # type: ignore[method-assign,assignment]
        balancer._requests[number], balancer._servers[server]
    )
    node.handle_event(TimerFired(0))
    balancer._on_timer = on_timer  # type: ignore[method-assign]


def _limits(**changes: Any) -> dict[str, Any]:
    return {"policyLimits": {**settings()["policyLimits"], **changes}}


# ---------------------------------------------------------------- a client's departure


def _bookings(count: int) -> bytes:
    """Requests that do not end by themselves while a test runs."""
    return b"".join(request("book", deadline="600") for _ in range(count))


def _reset(caller: Caller) -> None:
    os_socket = caller.writer.get_extra_info("socket")
    os_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    caller.close()


@pytest.mark.parametrize(
    "leave", [Caller.close, _reset, lambda caller: caller.writer.write_eof()], ids=["close", "reset", "eof"]
)
def test_a_client_that_leaves_while_its_connection_is_not_read_is_seen_to_leave(
    leave: Callable[[Caller], None],
) -> None:
    """Two answers are due, a third request lies unread, and the client's end lies behind that."""

    async def main() -> None:
        async with StubServer([held(reply("200 OK"))]) as server, world(row("a", server.address)) as w:
            caller = await w.caller()
            caller.writer.write(_bookings(2))
            await until(lambda: len(server.received) == PAUSE_READING_AT)
            (connection,) = w.node.downstream.connections
            assert connection.client_socket is not None and not connection.is_reading
            caller.writer.write(_bookings(1))
            await caller.writer.drain()
            leave(caller)
            await until(lambda: not w.node.requests)
            await until(lambda: not w.node.downstream.connections)
            server.release.set()
            await until(lambda: not w.node.requests.attempts_in_flight)
            assert (await (await w.caller()).ask("look")).status == 200
            assert len(server.received) == PAUSE_READING_AT + 1, "what nobody waited for was sent on"
            assert not w.node.downstream.paused_connections

    run(main())


@pytest.mark.parametrize("cancel", [True, False])
def test_an_attempt_whose_connection_comes_up_after_the_client_left_is_not_written(
    cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            world(row("a", server.address), **_limits(cancel=cancel)) as w,
        ):
            late = _late(w.node, monkeypatch)
            events = _events(w.node, monkeypatch)
            caller = await w.caller()
            caller.writer.write(request("book"))
            await asyncio.wait_for(late.begun.wait(), PATIENCE_S)
            caller.close()
            await until(lambda: not w.node.requests)
            late.release.set()
            await until(lambda: not w.node._pools._opening)
            assert _outcomes(events) in ([Outcome.NOT_SENT], [Outcome.CANCELLED])
            assert (await (await w.caller()).ask("look", name="next")).status == 200
            assert [got.headers["x-request-id"] for got in server.received] == ["next"]
            assert not w.node.requests.attempts_in_flight
            assert not w.node.requests.reserved_client_ids

    run(main())


def test_a_client_that_leaves_with_an_answer_still_on_its_way_ends_what_waits_behind_it() -> None:
    async def main() -> None:
        behaviours = [reply("200 OK", b"x" * 60_000), silent]
        async with StubServer(behaviours) as server, world(row("a", server.address)) as w:
            with socket.socket() as caller:
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
                caller.setblocking(False)
                loop = asyncio.get_running_loop()
                await loop.sock_connect(caller, w.address)
                (connection,) = await until(lambda: list(w.node.downstream.connections))
                os_socket = connection.client_socket
                assert os_socket is not None
                os_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
                await loop.sock_sendall(caller, request("look"))
                await until(lambda: connection.answered)
                assert (
                    connection.has_unsent_output()
                ), "the test needs an answer that does not fit the buffers"
                await loop.sock_sendall(caller, _bookings(1))
                await until(lambda: len(server.received) == 2)
                caller.shutdown(socket.SHUT_WR)
                await until(lambda: not w.node.requests)
                assert connection.has_unsent_output(), "the test needs an answer that is still on its way"
                server.release.set()

    run(main())


@pytest.mark.parametrize("cancel", [True, False])
def test_a_second_copy_whose_connection_comes_up_after_the_answer_is_not_written(
    cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The first copy is answered while the second one's connection is still coming up."""

    async def main() -> None:
        async with (
            StubServer([held(reply("200 OK", b"first"))]) as one,
            StubServer([held(reply("200 OK", b"first"))]) as two,
            world(row("a", one.address), row("b", two.address), **_limits(cancel=cancel)) as w,
        ):
            caller = await w.caller()
            caller.writer.write(request("look", name="twice"))
            await until(lambda: one.received or two.received)
            late = _late(w.node, monkeypatch)
            events = _events(w.node, monkeypatch)
            (number,) = w.node.requests.open_ids
            other = b"b" if one.received else b"a"
            _second_copy(w.node, number, other)
            await asyncio.wait_for(late.begun.wait(), PATIENCE_S)
            one.release.set()
            two.release.set()
            assert (await caller.answer()).body == b"first"
            late.release.set()
            await until(lambda: not w.node._pools._opening)
            assert _outcomes(events)[0] is Outcome.OK, "the outcome that ended it comes first"
            assert len(_outcomes(events)) == 2
            assert len(one.received) + len(two.received) == 1
            assert not w.node.requests.attempts_in_flight
            assert not w.node.requests.reserved_client_ids

    run(main())


def _bookings_behind_one(late_check: pytest.MonkeyPatch) -> bytes:
    """Two requests on one connection, which is then read no further; only an attempt's own look remains."""
    late_check.setattr(downstream, "DISCONNECT_CHECK_S", PATIENCE_S)
    return request("look", deadline="600") + request("book", deadline="600")


def test_nothing_begins_on_a_connection_that_comes_up_after_an_unread_client_left(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        async with StubServer([silent]) as server, world(row("a", server.address)) as w:
            late = _late(w.node, monkeypatch)
            caller = await w.caller()
            caller.writer.write(_bookings_behind_one(monkeypatch))
            await until(lambda: len(w.node._pools._opening) == 2)
            caller.close()
            await until(lambda: next(iter(w.node.downstream.connections)).client_has_left())
            late.release.set()
            await until(lambda: not w.node._pools._opening)
            assert _nothing_left(w.node.requests)
            await until(lambda: not w.node.downstream.connections)
            assert not server.received

    run(main())


@pytest.mark.parametrize("outcome", [Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.REJECTED])
def test_no_further_attempt_begins_in_the_turn_before_the_client_s_end_is_read(outcome: Outcome) -> None:
    """The client's end and the outcome that asks for a retry are both there when the loop turns."""

    async def main() -> None:
        async with (
            StubServer([silent]) as one,
            StubServer([silent]) as two,
            world(row("a", one.address), row("b", two.address)) as w,
        ):
            caller = _blocking(w.address)
            await until(lambda: one.received or two.received)
            caller.close()
            (call,) = w.node.requests.attempts_in_flight
            call.give_up(outcome)
            assert _nothing_left(w.node.requests)
            policy: Any = w.node.policy
            assert not policy._requests and not policy._attempts
            await until(lambda: not w.node.downstream.connections)
            assert len(one.received) + len(two.received) == 1

    run(main())


def test_no_attempt_begins_for_a_client_that_left_while_its_request_was_queued(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """In the module's queue, with a place becoming free before the loop reads the client's end."""

    async def main() -> None:
        async with StubServer([silent]) as server, world(row("a", server.address)) as w:
            monkeypatch.setattr(w.node.policy, "_place", lambda *_: False)
            monkeypatch.setattr(w.node.policy, "_expire", lambda _: None)
            policy: Any = w.node.policy
            caller = _blocking(w.address)
            await until(lambda: policy._queue)
            caller.close()
            monkeypatch.undo()
            w.node.handle_event(TimerFired(0))
            assert not w.node.requests and not w.node.requests.attempts_in_flight and not policy._queue
            await until(lambda: not w.node.downstream.connections)
            assert not server.received

    run(main())


# ---------------------------------------------------------------- closing between requests


async def _rested(w: World) -> tuple[socket.socket, DownstreamConnection]:
    """A usual caller whose first request has been answered, and the node's end of its connection."""
    caller = _blocking(w.address)
    (connection,) = await until(lambda: [c for c in w.node.downstream.connections if c.answered])
    return caller, connection


def test_a_request_that_lies_unread_is_not_closed_on_to_make_way_for_a_newcomer() -> None:
    """It has been taken, and the close would reset it with no answer."""

    async def main() -> None:
        async with StubServer([reply("200 OK", b"x")]) as server, world(row("a", server.address)) as w:
            caller, connection = await _rested(w)
            with caller:
                caller.sendall(request("look"))  # and before the loop turns
                assert not w.node.downstream.evict_one(DownstreamConnection(w.node.downstream))
                assert connection in w.node.downstream.connections
                answers = asyncio.create_task(_read_answer(caller))
                await until(lambda: len(server.received) == 2)
                connection.evict()
                assert (await answers).count(b"200 OK") == 2

    run(main())


@pytest.mark.parametrize("within", [False, True], ids=["idle", "half a request"])
def test_a_request_that_lies_unread_is_not_closed_on_when_the_time_between_requests_is_over(
    within: bool,
) -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK", b"x")]) as server, world(row("a", server.address)) as w:
            caller, connection = await _rested(w)
            text = request("look")
            with caller:
                if within:
                    caller.sendall(text[:30])
                    await until(lambda: connection.is_receiving_request)
                caller.sendall(text[30 if within else 0 :])
                most = (
                    downstream_connection.REQUEST_TIMEOUT_S
                    if within
                    else downstream_connection.IDLE_TIMEOUT_S
                )
                connection.enforce_timeouts(connection.waiting_since + most + 0.01)  # before the loop turns
                answers = asyncio.create_task(_read_answer(caller))
                await until(lambda: len(server.received) == 2)
                connection.evict()
                assert (await answers).count(b"200 OK") == 2

    run(main())


def test_a_newcomer_costs_a_few_looks_however_many_connections_are_open(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    looks = 0
    is_evictable = DownstreamConnection.is_evictable

    def counted(connection: DownstreamConnection, now: float) -> bool:
        nonlocal looks
        looks += 1
        return is_evictable(connection, now)

    monkeypatch.setattr(DownstreamConnection, "is_evictable", counted)

    async def main() -> None:
        nonlocal looks
        async with StubServer([reply("200 OK")]) as server, world(row("a", server.address)) as w:
            most = w.node.downstream.max_connections
            incomplete = eviction.EvictionPriority.REQUEST_INCOMPLETE
            open_ones = [await w.caller() for _ in range(most)]
            for caller in open_ones:
                caller.writer.write(request("look")[:30])  # none of them may go yet
            await until(lambda: w.node.downstream.eviction_queues.count(incomplete) == most)
            looks = 0
            newcomer = await w.caller()
            await until(lambda: len(w.node.downstream.connections) == most + 1)
            assert 0 < looks <= 4 * eviction.SCAN_LIMIT
            for caller in open_ones:
                caller.close()
            newcomer.close()
            await until(lambda: not w.node.downstream.connections)
            assert not w.node.downstream.eviction_queues, "a line holds on to what has gone"

    run(main())


# ---------------------------------------------------------------- the end


def _profiles(*deadlines_ms: float) -> list[dict[str, Any]]:
    return [
        {"name": f"c{i}", "effect": "safe", "aimMs": 100.0, "deadlineMs": deadline}
        for i, deadline in enumerate(deadlines_ms)
    ]


@pytest.mark.parametrize(
    ("deadlines_ms", "kill_s"),
    [((250.0,), 0.95), ((400.0, 900.0), 1.6), ((2500.0,), 3.2), ((3000.0,), 3.7), ((9000.0, 50.0), 3.7)],
)
def test_all_is_answered_before_sigkill_can_come_whatever_the_longest_deadline(
    deadlines_ms: tuple[float, ...], kill_s: float
) -> None:
    async def main() -> None:
        async with world(row("a", f"{HOST}:1"), profiles=_profiles(*deadlines_ms)) as w:
            last = w.node.shutdown.answer_within_s
            assert last >= min(max(deadlines_ms) / 1000.0, 3.0), "what came before SIGTERM has its time"
            end = last + lifecycle.KILL_MARGIN_S / 2 + lifecycle.DRAIN_CHECK_S + lifecycle.FLUSH_S
            assert end + 0.1 <= kill_s

    run(main())


def test_a_connection_that_is_new_at_sigterm_gets_its_request_answered() -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK", b"late")]) as server, world(row("a", server.address)) as w:
            caller = await w.caller()
            await until(lambda: w.node.downstream.connections)
            w.node.terminate()
            answer = await caller.ask("look")
            assert (answer.body, answer.headers["connection"]) == (b"late", "close")
            assert await caller.ended()

    run(main())


def _blocking(address: tuple[str, int]) -> socket.socket:
    """A caller that acts at once, while the node's loop stands still."""
    caller = socket.create_connection(address, timeout=PATIENCE_S)
    caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    caller.sendall(request("look"))
    return caller


async def _read_answer(caller: socket.socket) -> bytes:
    caller.setblocking(False)
    got = b""
    loop = asyncio.get_running_loop()
    with contextlib.suppress(ConnectionError):
        while part := await asyncio.wait_for(loop.sock_recv(caller, 4096), PATIENCE_S):
            got += part
    return got


def test_a_request_that_lies_unread_on_an_idle_connection_at_sigterm_is_answered() -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK", b"x")]) as server, world(row("a", server.address)) as w:
            with _blocking(w.address) as caller:
                await until(lambda: any(c.answered for c in w.node.downstream.connections))
                caller.sendall(request("look"))  # and before the loop turns
                w.node.terminate()
                answers = await _read_answer(caller)
                assert answers.count(b"200 OK") == 2

    run(main())


def test_a_connection_that_waits_to_be_accepted_at_the_end_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(lifecycle, "MIN_DRAIN_S", PATIENCE_S)  # the end is looked for below
    monkeypatch.setattr(lifecycle, "QUIET_PERIOD_S", 0.0)

    async def main() -> None:
        async with StubServer([reply("200 OK", b"x")]) as server, world(row("a", server.address)) as w:
            w.node.terminate()
            with _blocking(w.address) as caller:
                w.node.shutdown.check_drained()  # in the turn in which it came
                assert b"200 OK" in await _read_answer(caller)
            await asyncio.wait_for(w.serving, PATIENCE_S)

    run(main())


def test_what_is_open_when_the_node_must_end_is_answered_and_nothing_more_is_taken(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        async with StubServer([silent]) as server, world(row("a", server.address)) as w:
            caller = await w.caller()
            caller.writer.write(_bookings(1))
            await asyncio.wait_for(server.got.wait(), PATIENCE_S)
            w.node.terminate()
            monkeypatch.setattr(w.node.shutdown, "answer_within_s", -1.0)  # the time has run out
            with _blocking(w.address):
                w.node.shutdown.check_drained()
                assert (await caller.answer()).status == 500
                await asyncio.wait_for(w.serving, PATIENCE_S)
            assert len(server.received) == 1
            server.release.set()

    run(main())


# ---------------------------------------------------------------- the first moments


def test_a_new_process_is_not_ready_on_a_list_that_may_be_old(monkeypatch: pytest.MonkeyPatch) -> None:
    """What the agent has counts as told from the first moment; the known list may still name what drains."""

    async def main() -> None:
        async with (
            StubServer([reply("200 OK", b"a")]) as one,
            StubServer([reply("200 OK", b"b")]) as two,
            world(row("a", one.address), row("b", two.address), registryMode="pushed") as w,
        ):
            watch = await w.discovery.watch()
            caller = await w.caller()
            assert (await caller.ask(target="/ready")).status == 503
            tell(watch, listing(2, row("a", one.address, "DRAINING"), reset=False))
            await until(lambda: w.node.discovery.heard)
            assert (await caller.ask(target="/ready")).status == 200
            assert {(await caller.ask("look")).body for _ in range(5)} == {b"b"}

    run(main())


def test_a_new_process_does_not_wait_for_an_agent_that_stays_silent(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(lifecycle, "FIRST_LIST_WAIT_S", 0.0)

    async def main() -> None:
        async with (
            StubServer([reply("200 OK")]) as server,
            world(row("a", server.address), registryMode="pushed") as w,
        ):
            assert (await (await w.caller()).ask(target="/ready")).status == 200

    run(main())


# ---------------------------------------------------------------- signals and servers


def test_sighup_after_sigterm_is_followed_and_does_not_stop_the_end(tmp_path: Path) -> None:
    config = tmp_path / "config.json"

    async def main() -> None:
        async with (
            StubServer([held(reply("200 OK", b"x"))]) as server,
            StubDiscovery() as moved,
            world(row("a", server.address), path=str(config), registryMode="pushed") as w,
        ):
            (await w.discovery.watch()).transport.abort()  # and its watch is broken as well
            caller = await w.caller()
            caller.writer.write(_bookings(1))
            await asyncio.wait_for(server.got.wait(), PATIENCE_S)
            w.node.terminate()
            config.write_text(json.dumps({"discovery": moved.address}))
            w.node.reload()
            await moved.watch()
            server.release.set()
            assert (await caller.answer()).body == b"x"
            await asyncio.wait_for(w.serving, PATIENCE_S)

    run(main())


def test_a_booking_whose_connection_breaks_under_its_half_written_body_is_not_sent_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its last byte may have left or not: what cannot be told counts as run."""

    async def main() -> None:
        opened = 0

        async def break_at_head(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal opened
            opened += 1
            await read_head(reader)
            writer.transport.abort()

        server = await asyncio.start_server(break_at_head, HOST, 0, limit=1024)
        address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        async with world(row("a", address), row("b", address.replace("127.0.0.1", "127.0.0.2"))) as w:
            events = _events(w.node, monkeypatch)
            caller = await w.caller()
            answer = await caller.ask("book", body=b"x" * 60_000)
            assert answer.status == 502
            assert _outcomes(events).count(Outcome.RESET) == 1 and opened == 1
        server.close()

    run(main())


def test_an_answer_and_the_client_s_departure_in_one_turn_leave_nothing_behind() -> None:
    """The server's answer and the client's end both lie unread when the loop turns."""

    async def main() -> None:
        async with StubServer([silent]) as server, world(row("a", server.address)) as w:
            caller = _blocking(w.address)
            await until(lambda: server.writers and server.received)
            text = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"
            os.write(server.writers[0].get_extra_info("socket").fileno(), text)
            caller.close()
            await until(lambda: _nothing_left(w.node.requests) and not w.node.downstream.connections)
            policy: Any = w.node.policy
            assert not policy._attempts and not policy._requests
            server.release.set()

    run(main())


# ---------------------------------------------------------------- a busy loop


class _StandingClock:
    """The time that the node reads: it moves only when told to, so that no test hangs on the machine."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = time.monotonic()
        monkeypatch.setattr(time, "monotonic", lambda: self.now)


async def _idle_turns(clock: _StandingClock) -> None:
    """Turns in which nothing is done, each look at the sockets waiting for a while."""
    for _ in range(5):
        await asyncio.sleep(0)
        clock.now += 1.0


@pytest.mark.parametrize("new", [True, False], ids=["new connection", "open connection"])
def test_the_time_of_a_request_counts_from_its_arrival_where_a_busy_loop_reads_it_late(
    new: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Something keeps the loop for 0.8 s, in which requests with deadlines of 1 s and 0.5 s come."""

    async def main() -> None:
        async with StubServer([reply("200 OK", b"x")]) as server, world(row("a", server.address)) as w:
            callers = [] if new else [_blocking(w.address) for _ in range(2)]
            await until(lambda: len([c for c in w.node.downstream.connections if c.answered]) == len(callers))
            events = _events(w.node, monkeypatch)
            clock = _StandingClock(monkeypatch)
            await _idle_turns(clock)
            w.node.downstream.iterations.mark_activity()  # here it begins to be busy
            for i, deadline in enumerate(("1.0", "0.5")):
                if new:
                    callers.append(socket.create_connection(w.address, timeout=PATIENCE_S))
                callers[i].sendall(request("look", deadline=deadline))
            clock.now += 0.8
            await until(lambda: len(_budgets(events)) == 2)
            assert sorted(_budgets(events)) == [
                1.0,
                pytest.approx(200.0 - node_module.BUDGET_RESERVE_MS, abs=1e-3),
            ]
            monkeypatch.undo()
            for caller in callers:
                caller.close()

    run(main())


def test_the_time_of_a_request_that_an_idle_loop_reads_is_not_cut(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        async with StubServer([reply("200 OK", b"x")]) as server, world(row("a", server.address)) as w:
            with _blocking(w.address) as caller:
                await until(lambda: any(c.answered for c in w.node.downstream.connections))
                events = _events(w.node, monkeypatch)
                clock = _StandingClock(monkeypatch)
                w.node.downstream.iterations.mark_activity()
                await _idle_turns(clock)
                caller.sendall(request("look", deadline="1.0"))
                await until(lambda: _budgets(events))
                assert _budgets(events) == [pytest.approx(1000.0 - node_module.BUDGET_RESERVE_MS, abs=1e-3)]
                monkeypatch.undo()

    run(main())
