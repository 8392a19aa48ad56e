"""Clients that misbehave."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
from collections.abc import Sequence
from dataclasses import replace

from fault_soak.clients.connections import ClientConnection, connect
from fault_soak.clients.exchange import GIVE_UP_AFTER_S, RequestExchange
from fault_soak.clients.requests import ClientRequest, RequestFactory
from fault_soak.history import History, IncompleteRequestEnded, IncompleteRequestStopped
from fault_soak.http import read_message
from fault_soak.nodes import NodeProcess

MAX_WAIT_S = 4.5
"""The time in seconds for which a faulty client waits for a response or the close of its connection."""

INCOMPLETE_DEADLINE_S = 1.0
GARBAGE = (b"\x00\x01\x02\r\n\r\n", b"GET /api HTTP/9.9\r\n\r\n", b"A" * 70000)


class FaultyClients:
    """Clients that misbehave.

    They stop writing in the middle of a request, pipeline requests, send invalid input or only open
    connections.
    """

    _client_numbers = itertools.count(1)

    def __init__(self, requests: RequestFactory, exchange: RequestExchange, rng: random.Random) -> None:
        self._requests = requests
        self._exchange = exchange
        self._recorder = exchange.recorder
        self._history = exchange.recorder.history
        self._rng = rng

    async def stop_within_request(self, node: NodeProcess, *, first: bool) -> None:
        """Send a part of a request, and wait until the node responds or closes the connection.

        Args:
            node: the node to connect to.
            first: whether the request is the first request on its connection; otherwise a complete request
                is sent before it.
        """
        connection = await connect(node)
        if connection is None:
            return
        if not first:
            await self._exchange.run(connection, self._requests.build("look"))
            if not connection.is_open:
                return
            self._exchange.idle.discard(connection)
        text = self._requests.build("move", INCOMPLETE_DEADLINE_S).text
        with contextlib.suppress(ConnectionError):
            connection.writer.write(text[: len(text) - 1 - self._rng.randrange(len(text) // 2)])
            await connection.writer.drain()
        client = next(self._client_numbers)
        self._history.add(IncompleteRequestStopped(History.now(), client, node.name, connection.incarnation))
        with contextlib.suppress(TimeoutError, ConnectionError):
            async with asyncio.timeout(MAX_WAIT_S):
                await connection.reader.read(1)
            self._history.add(IncompleteRequestEnded(History.now(), client))
        connection.abort()

    async def pipeline(self, node: NodeProcess, count: int) -> None:
        """Send many requests at once on one connection and read the responses in order."""
        connection = await connect(node)
        if connection is None:
            return
        drawn = [self._requests.draw() for _ in range(count)]
        first_byte_at = History.now()
        connection.writer.write(b"".join(request.text for request in drawn))
        requests = _with_pipelined_deadlines(drawn)
        for request in requests:
            self._recorder.sent(connection, request, first_byte_at)
        await self._read_pipelined(connection, requests)
        connection.abort()

    async def _read_pipelined(self, connection: ClientConnection, requests: Sequence[ClientRequest]) -> None:
        # Whether the last response announced that the node closes the connection. The node then reads none of
        # the requests that follow on the connection.
        closing = False
        for position, request in enumerate(requests):
            try:
                async with asyncio.timeout(request.deadline_s + GIVE_UP_AFTER_S):
                    message = await read_message(connection.reader)
            except (TimeoutError, ConnectionError, asyncio.IncompleteReadError) as error:
                closed = not isinstance(error, TimeoutError)
                for unanswered in requests[position:]:
                    self._recorder.missing(unanswered, closed=closed, unread_allowed=closing)
                return
            self._recorder.received(request, message)
            closing = message.closes_connection

    async def send_garbage(self, node: NodeProcess) -> None:
        """Send invalid input, and wait until the node responds with an error or closes the connection."""
        connection = await connect(node)
        if connection is None:
            return
        garbage = self._rng.choice(GARBAGE)
        with contextlib.suppress(ConnectionError, TimeoutError):
            connection.writer.write(garbage)
            async with asyncio.timeout(MAX_WAIT_S):
                await connection.reader.read(100)
        connection.abort()

    async def hold_idle_connections(self, node: NodeProcess, count: int, seconds: float) -> None:
        """Open connections and keep them idle for the given time."""
        opened = [c for c in [await connect(node) for _ in range(count)] if c is not None]
        await asyncio.sleep(seconds)
        for connection in opened:
            connection.abort()


def _with_pipelined_deadlines(requests: Sequence[ClientRequest]) -> list[ClientRequest]:
    """Return the requests, each with the longest of its own deadline and the deadlines of earlier requests.

    Responses are sent in order, so a response may have to wait until an earlier request has been served.
    """
    deadlines_s = itertools.accumulate((request.deadline_s for request in requests), max)
    return [
        replace(request, deadline_s=deadline_s)
        for request, deadline_s in zip(requests, deadlines_s, strict=True)
    ]
