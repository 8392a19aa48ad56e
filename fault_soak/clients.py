"""Stub clients, which send requests, wait, leave early, send again on another connection, or misbehave."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import uuid
from collections.abc import Coroutine
from dataclasses import dataclass, replace

from fault_soak.history import (
    ClientLeft,
    History,
    IncompleteRequestReleased,
    IncompleteRequestStopped,
    RequestSent,
    ResponseMissing,
    ResponseReceived,
)
from fault_soak.http import Message, read_message
from fault_soak.nodes import NodeProcess
from fault_soak.plan import Plan
from fault_soak.proxy import HOST

GIVE_UP_AFTER_S = 0.7  # after the deadline: a request counts as lost half a second after it
CONNECT_TIMEOUT_S = 1.5
METHODS = {"look": "GET", "move": "POST", "book": "POST"}
BODY_BYTES = (0, 40, 3000)
STOPPED_FOR_S = 4.5
SLOW_PIECES = 4
SLOW_INTERVAL_S = 0.05


@dataclass(slots=True)
class ClientConnection:
    """A connection to one process of a node; answered is set once a response has come on it."""

    node: NodeProcess
    incarnation: int
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    answered: bool = False


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A request before it is sent."""

    request_id: str
    class_name: str
    deadline_s: float
    text: bytes


@dataclass(slots=True)
class ClientBehaviour:
    """What clients do at present; the faults of a schedule change it.

    Attributes:
        rate_factor: the load as a multiple of the planned one.
        leave_fraction: the fraction of requests whose client leaves early.
        slow: requests are written in pieces.
    """

    rate_factor: float = 1.0
    leave_fraction: float = 0.0
    slow: bool = False


class ClientPopulation:
    """All clients of a scenario."""

    _clients = itertools.count(1)

    def __init__(self, plan: Plan, nodes: list[NodeProcess], history: History, rng: random.Random) -> None:
        self.behaviour = ClientBehaviour(leave_fraction=plan.client_leave_fraction)
        self._plan = plan
        self._nodes = nodes
        self._history = history
        self._rng = rng
        self._idle: dict[str, list[ClientConnection]] = {node.name: [] for node in nodes}
        self._tasks: set[asyncio.Task[None]] = set()
        self._deadlines = {c.name: c.deadline_ms / 1000.0 for c in plan.settings.classes}

    # The ordinary load.

    async def run(self, seconds: float) -> None:
        """Send the planned load for a time, then wait for the requests that are open."""
        until = History.now() + seconds
        while History.now() < until:
            rate = self._plan.requests_per_s * len(self._nodes) * self.behaviour.rate_factor
            await asyncio.sleep(self._rng.expovariate(rate))
            admitted = [node for node in self._nodes if node.admitted]
            if admitted:
                self.spawn(self._send(self._rng.choice(admitted)))
        while self._tasks:
            await asyncio.sleep(0.05)

    def spawn(self, coroutine: Coroutine[object, object, None]) -> None:
        """Run a client concurrently, and wait for it at the end of the load."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _draw_request(self) -> ClientRequest:
        name = self._rng.choice(("look", "look", "move", "book"))
        return self.build_request(name, self._deadlines[name])

    def build_request(self, class_name: str, deadline_s: float) -> ClientRequest:
        """A valid request of a class, with an id of its own."""
        request_id = uuid.UUID(int=self._rng.getrandbits(128)).hex
        body = b"" if class_name == "look" else b"x" * self._rng.choice(BODY_BYTES)
        lines = [
            f"{METHODS[class_name]} /api/item{self._rng.randrange(50)} HTTP/1.1",
            "Host: api.internal",
            f"X-Request-Id: {request_id}",
            f"X-Class: {class_name}",
            "X-Tenant: acme",
            f"X-Deadline: {deadline_s:.3f}",
        ]
        if class_name == "move":
            lines.append(f"Idempotency-Key: {request_id}")
        if class_name != "look":
            lines.append(f"Content-Length: {len(body)}")
        text = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        return ClientRequest(request_id, class_name, deadline_s, text)

    async def _send(self, node: NodeProcess) -> None:
        request = self._draw_request()
        connection = self._take_idle(node) or await self._connect(node)
        if connection is None:
            return
        leaves = self._rng.random() < self.behaviour.leave_fraction
        leave_s = self._rng.uniform(0.0, request.deadline_s) if leaves else None
        may_resend = await self._exchange(connection, request, leave_s, resent=False)
        if may_resend:
            new_connection = await self._connect(node)
            if new_connection is not None:
                await self._exchange(new_connection, request, leave_s, resent=True)

    def _take_idle(self, node: NodeProcess) -> ClientConnection | None:
        idle = self._idle[node.name]
        while idle:
            connection = idle.pop()
            current = connection.incarnation == node.incarnation
            if current and not connection.writer.transport.is_closing() and not connection.reader.at_eof():
                return connection
            connection.writer.close()
        return None

    async def _connect(self, node: NodeProcess) -> ClientConnection | None:
        """A new connection; None where the node could not be reached."""
        incarnation = node.incarnation
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(HOST, node.port)
        except (OSError, TimeoutError):
            return None
        return ClientConnection(node, incarnation, reader, writer)

    async def _exchange(
        self, connection: ClientConnection, request: ClientRequest, leave_s: float | None, *, resent: bool
    ) -> bool:
        """Send a request and wait; returns whether it may be sent again on a new connection."""
        reused = connection.answered
        try:
            await self._write(connection, request.text)
        except ConnectionError:
            connection.writer.close()
            return reused
        self._record_sent(connection, request, resent=resent)
        wait_s = request.deadline_s + GIVE_UP_AFTER_S if leave_s is None else leave_s
        try:
            async with asyncio.timeout(wait_s):
                message = await read_message(connection.reader)
        except TimeoutError:
            if leave_s is None:
                self._record_missing(request, closed=False, unread_allowed=False)
            else:
                self._history.add(ClientLeft(History.now(), request.request_id))
            connection.writer.transport.abort()
            return False
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            connection.writer.close()
            nothing_read = not isinstance(error, asyncio.IncompleteReadError) or not error.partial
            self._record_missing(request, closed=True, unread_allowed=reused and nothing_read)
            return reused and nothing_read
        self._record_response(request, message)
        self._release(connection, message)
        return False

    async def _write(self, connection: ClientConnection, text: bytes) -> None:
        if self.behaviour.slow:
            size = len(text) // SLOW_PIECES + 1
            for i in range(SLOW_PIECES):
                connection.writer.write(text[i * size : (i + 1) * size])
                await asyncio.sleep(SLOW_INTERVAL_S)
            return
        connection.writer.write(text)
        await connection.writer.drain()

    def _record_sent(self, connection: ClientConnection, request: ClientRequest, *, resent: bool) -> None:
        self._history.add(
            RequestSent(
                History.now(),
                request.request_id,
                connection.node.name,
                connection.incarnation,
                request.class_name,
                request.deadline_s,
                resent,
            )
        )

    def _record_missing(self, request: ClientRequest, *, closed: bool, unread_allowed: bool) -> None:
        self._history.add(ResponseMissing(History.now(), request.request_id, closed, unread_allowed))

    def _record_response(self, request: ClientRequest, message: Message) -> None:
        retry_after = message.headers.get("retry-after")
        retry_after_s = None if retry_after is None else float(retry_after)
        self._history.add(
            ResponseReceived(History.now(), request.request_id, message.status, message.body, retry_after_s)
        )

    def _release(self, connection: ClientConnection, message: Message) -> None:
        connection.answered = True
        if message.headers.get("connection", "") == "close":
            connection.writer.close()
        else:
            self._idle[connection.node.name].append(connection)

    # Misbehaviour.

    async def stop_within_request(self, node: NodeProcess, *, first: bool) -> None:
        """Send part of a request, as the first of a connection or after another one, and wait."""
        connection = await self._connect(node)
        if connection is None:
            return
        if not first:
            request = self.build_request("look", self._deadlines["look"])
            await self._exchange(connection, request, None, resent=False)
            if connection.writer.transport.is_closing() or connection.reader.at_eof():
                return
            idle = self._idle[node.name]
            if connection in idle:
                idle.remove(connection)
        text = self.build_request("move", 1.0).text
        with contextlib.suppress(ConnectionError):
            connection.writer.write(text[: len(text) - 1 - self._rng.randrange(len(text) // 2)])
            await connection.writer.drain()
        client = next(self._clients)
        self._history.add(IncompleteRequestStopped(History.now(), client, node.name, connection.incarnation))
        with contextlib.suppress(TimeoutError, ConnectionError):
            async with asyncio.timeout(STOPPED_FOR_S):
                await connection.reader.read(1)
            self._history.add(IncompleteRequestReleased(History.now(), client))
        connection.writer.transport.abort()

    async def pipeline(self, node: NodeProcess, count: int) -> None:
        """Send many requests at once on one connection, and read the responses in order."""
        connection = await self._connect(node)
        if connection is None:
            return
        requests = [self._draw_request() for _ in range(count)]
        connection.writer.write(b"".join(request.text for request in requests))
        due_s = 0.0
        for position, request in enumerate(requests):
            # Its response is sent after those before it.
            due_s = max(due_s, request.deadline_s)
            requests[position] = replace(request, deadline_s=due_s)
            self._record_sent(connection, requests[position], resent=False)
        closing = False  # the node reads nothing after a request whose response closes the connection
        for position, request in enumerate(requests):
            try:
                async with asyncio.timeout(request.deadline_s + GIVE_UP_AFTER_S):
                    message = await read_message(connection.reader)
            except (TimeoutError, ConnectionError, asyncio.IncompleteReadError) as error:
                closed = not isinstance(error, TimeoutError)
                for unanswered in requests[position:]:
                    self._record_missing(unanswered, closed=closed, unread_allowed=closing)
                break
            self._record_response(request, message)
            closing = message.headers.get("connection", "") == "close"
        connection.writer.transport.abort()

    async def send_garbage(self, node: NodeProcess) -> None:
        """Send input that is not a request, and wait for the error or the close."""
        connection = await self._connect(node)
        if connection is None:
            return
        garbage = self._rng.choice((b"\x00\x01\x02\r\n\r\n", b"GET /api HTTP/9.9\r\n\r\n", b"A" * 70000))
        with contextlib.suppress(ConnectionError, TimeoutError):
            connection.writer.write(garbage)
            async with asyncio.timeout(STOPPED_FOR_S):
                await connection.reader.read(100)
        connection.writer.transport.abort()

    async def hold_idle_connections(self, node: NodeProcess, count: int, seconds: float) -> None:
        """Open idle connections and keep them."""
        opened = [c for c in [await self._connect(node) for _ in range(count)] if c is not None]
        await asyncio.sleep(seconds)
        for connection in opened:
            connection.writer.transport.abort()
