"""Stub servers, which take time to serve requests, have a queue, drain, restart and misbehave."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import itertools
import json
import random
from dataclasses import dataclass
from enum import Enum, auto

from fault_soak.endpoints import EndpointRow, ServerLocation
from fault_soak.history import (
    AttemptDone,
    AttemptReceived,
    AttemptResult,
    History,
    Lifecycle,
    ServerStarted,
)
from fault_soak.http import Message, read_message, render_response
from fault_soak.proxy import HOST, FaultProxy, LinkState, reset

MAX_REQUESTS_PER_SLOT = 8
"""The number of queued and running requests per slot at which a server rejects further requests."""

NOT_EXECUTED = "X-Not-Run: 1\r\n"
"""The header line with which a server declares that it did not execute a request."""

SERVED_BODY_BYTES = 24
ERROR_PROBABILITY = 0.7
MALFORMED_PROBABILITY = 0.6
EARLY_IDLE_CLOSE_S = (0.0, 0.03, 0.1, 0.3)
CONNECTION_ENDED = (
    asyncio.IncompleteReadError,
    asyncio.LimitOverrunError,
    asyncio.CancelledError,
    ConnectionError,
)
"""The exceptions that end the serving of a connection."""


class Misbehaviour(Enum):
    """A way in which a server misbehaves, independently of its network."""

    NONE = auto()
    HANG = auto()
    """The server receives requests and health checks but does not respond."""

    ERRORS = auto()
    """The server responds to many requests with status 500."""

    MALFORMED = auto()
    """The server writes malformed responses to many requests."""

    IDLE_CLOSE = auto()
    """The server closes connections after a short idle time."""


class Malformation(Enum):
    """A way in which a response is malformed."""

    TRUNCATED = 0
    """The response ends early, and the connection is closed."""

    NOT_HTTP = 1
    """The response is not HTTP, and the connection is closed."""

    SECOND_RESPONSE = 2
    """A correct response is followed by a second response at most 5 ms later."""

    RESET_WITHOUT_LENGTH = 3
    """The response has no Content-Length, and the connection is reset within the body."""

    COMPLETE_WITHOUT_LENGTH = 4
    """The response has no Content-Length and ends with the close of the connection."""

    NEVER_ENDING = 5
    """The last byte of the response is missing, and the connection is kept open."""


@dataclass(frozen=True, slots=True)
class ServedAttempt:
    """An attempt that a server has received."""

    history: History
    server: str
    connection: int
    request_id: str

    def end(self, result: AttemptResult) -> None:
        """Record the result of the attempt."""
        self.history.add(AttemptDone(History.now(), self.server, self.connection, self.request_id, result))


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """The capacity and the idle timeout of a server.

    Attributes:
        work_s: the planned service time in seconds, which is the median of the random service times.
        slots: the number of requests that the server serves concurrently.
        idle_s: the time in seconds after which the server closes an idle connection.
    """

    work_s: float
    slots: int
    idle_s: float


def served_body(server: str, request_id: str) -> bytes:
    """Return the only correct body of a server's response to a request."""
    digest = hashlib.sha256(f"{server}/{request_id}".encode()).hexdigest()
    return f"{server}:{digest[:SERVED_BODY_BYTES]}".encode()


class StubServer:
    """A server behind its own fault proxy; each start simulates a new process of the server.

    Attributes:
        location: the zone and the cell of the server.
        name: the name of the server.
        started_unix_ms: the start of the latest process in Unix milliseconds, or 0 if it started long ago.
        draining: whether the server is draining and rejects requests.
        misbehaviour: the current misbehaviour.
        fired: the number of times that a misbehaviour took effect.
        up: whether a process is running.
        proxy: the proxy of the latest process; None before the first start.
    """

    _connections = itertools.count(1)

    def __init__(self, location: ServerLocation, load: ServerLoad, history: History, seed: int) -> None:
        self.location = location
        self.name = location.server
        self.started_unix_ms = 0.0
        self.draining = False
        self.misbehaviour = Misbehaviour.NONE
        self.fired = 0
        self.up = False
        self.proxy: FaultProxy | None = None
        self._load = load
        self._history = history
        self._rng = random.Random(seed)
        self._slots = asyncio.Semaphore(load.slots)
        self._in_flight = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, *, started_unix_ms: float) -> None:
        """Start a process; if ``started_unix_ms`` is 0, the process counts as started long ago and warm."""
        self.started_unix_ms = started_unix_ms
        self.draining = False
        self._slots = asyncio.Semaphore(self._load.slots)
        self._in_flight = 0
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        port = self._server.sockets[0].getsockname()[1]
        address = 0 if self.proxy is None else self.proxy.port
        self.proxy = FaultProxy(port)
        self.proxy.port = address
        self.proxy.open()
        self.up = True
        self._history.add(ServerStarted(History.now(), self.name, cold=started_unix_ms > 0))

    def crash(self) -> None:
        """End the process: reset its connections and refuse new connections."""
        if not self.up:
            return
        self.up = False
        assert self.proxy is not None and self._server is not None
        self.proxy.close()
        self._server.close()
        for writer in list(self._writers):
            reset(writer)

    def set_link_state(self, state: LinkState) -> None:
        """Change the state of the network in front of the server."""
        if self.up and self.proxy is not None:
            self.proxy.set_state(state)

    @property
    def row(self) -> EndpointRow:
        """The server's row in the endpoint list."""
        assert self.proxy is not None
        return EndpointRow(
            location=self.location,
            address=f"{HOST}:{self.proxy.port}",
            lifecycle=Lifecycle.DRAINING if self.draining else Lifecycle.SERVING,
            started_unix_ms=int(self.started_unix_ms),
        )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = next(self._connections)
        self._writers.add(writer)
        try:
            with contextlib.suppress(*CONNECTION_ENDED):
                while await self._serve_one(connection, reader, writer):
                    pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(
        self, connection: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Serve one request and return whether the connection is kept."""
        idle_s = self._load.idle_s
        if self.misbehaviour is Misbehaviour.IDLE_CLOSE:
            idle_s = self._rng.choice(EARLY_IDLE_CLOSE_S)
        try:
            message = await asyncio.wait_for(read_message(reader), idle_s + 0.001)
        except TimeoutError:
            self.fired += self.misbehaviour is Misbehaviour.IDLE_CLOSE
            return False
        if message.target in ("/health", "/status/load"):
            if self.misbehaviour is Misbehaviour.HANG:
                return await self._hang(reader)
            writer.write(render_response("503 Unavailable" if self.draining else "200 OK"))
            return True
        attempt = self._record_attempt(connection, message)
        return await self._respond(attempt, reader, writer)

    def _record_attempt(self, connection: int, message: Message) -> ServedAttempt:
        request_id = message.headers.get("x-request-id", "")
        try:
            deadline_s = float(message.headers["x-deadline"])
        except (KeyError, ValueError):
            deadline_s = None
        host = message.headers.get("host", "")
        now = History.now()
        first_byte_at = min(now, message.first_byte_at)
        self._history.add(
            AttemptReceived(now, first_byte_at, self.name, connection, host, request_id, deadline_s)
        )
        return ServedAttempt(self._history, self.name, connection, request_id)

    async def _respond(
        self, attempt: ServedAttempt, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        if self.draining or self._in_flight >= MAX_REQUESTS_PER_SLOT * self._load.slots:
            attempt.end(AttemptResult.REJECTED)
            writer.write(render_response("503 Unavailable", extra_headers=NOT_EXECUTED))
            return True
        if self.misbehaviour is Misbehaviour.HANG:
            self.fired += 1
            await self._hang(reader)
            attempt.end(AttemptResult.ABANDONED)
            return False
        if not await self._work_unless_closed(reader):
            attempt.end(AttemptResult.ABANDONED)
            return False
        return self._write_response(attempt, writer)

    async def _work_unless_closed(self, reader: asyncio.StreamReader) -> bool:
        """Wait for a slot and for the service time of a request.

        Return False if the connection was closed, or more input arrived, before the end of the service time.
        """
        work = asyncio.ensure_future(self._work())
        closed = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait((work, closed), return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                return False
        finally:
            work.cancel()
            closed.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await closed
        return True

    async def _work(self) -> None:
        self._in_flight += 1
        try:
            async with self._slots:
                await asyncio.sleep(self._rng.lognormvariate(0.0, 0.6) * self._load.work_s)
        finally:
            self._in_flight -= 1

    def _write_response(self, attempt: ServedAttempt, writer: asyncio.StreamWriter) -> bool:
        body = served_body(self.name, attempt.request_id)
        if self.misbehaviour is Misbehaviour.ERRORS and self._rng.random() < ERROR_PROBABILITY:
            self.fired += 1
            attempt.end(AttemptResult.ERROR)
            writer.write(render_response("500 Error", b"broken"))
            return True
        attempt.end(AttemptResult.SERVED)
        if self.misbehaviour is Misbehaviour.MALFORMED and self._rng.random() < MALFORMED_PROBABILITY:
            self.fired += 1
            return self._write_malformed_response(body, writer)
        load_report = json.dumps({"inflight": self._in_flight})
        writer.write(render_response("200 OK", body, f"X-Load: {load_report}\r\n"))
        return True

    def _write_malformed_response(self, body: bytes, writer: asyncio.StreamWriter) -> bool:
        """Write a malformed response and return whether the connection is kept."""
        loop = asyncio.get_running_loop()
        complete = render_response("200 OK", body)
        match Malformation(self._rng.randrange(len(Malformation))):
            case Malformation.TRUNCATED:
                writer.write(complete[: self._rng.randrange(len(complete))])
                return False
            case Malformation.NOT_HTTP:
                writer.write(b"\x16\x03\x01 not a response\r\n\r\n")
                return False
            case Malformation.SECOND_RESPONSE:
                writer.write(complete)
                delay_s = self._rng.choice((0.0, 0.002, 0.005))
                loop.call_later(delay_s, writer.write, render_response("200 OK", b"stale:" + body))
                return True
            case Malformation.RESET_WITHOUT_LENGTH:
                writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + body[:5])
                loop.call_later(0.002, reset, writer)
                return True
            case Malformation.COMPLETE_WITHOUT_LENGTH:
                writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + body)
                return False
            case Malformation.NEVER_ENDING:
                writer.write(complete[:-1])
                return True

    async def _hang(self, reader: asyncio.StreamReader) -> bool:
        """Wait until the connection ends or more input arrives.

        Return False, so that the caller closes the connection.
        """
        with contextlib.suppress(ConnectionError):
            await reader.read(1)
        return False
