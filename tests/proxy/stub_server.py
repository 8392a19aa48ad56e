"""A stub of an endpoint on a loopback socket; a test sets its behaviour."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from tests.proxy.async_support import HOST
from tests.proxy.http_text import read_head


@dataclass
class ReceivedRequest:
    """A request in the form in which the endpoint received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


Behaviour = Callable[["StubServer", ReceivedRequest, asyncio.StreamWriter], Awaitable[None]]
"""A function that handles one request in place of an endpoint."""


def reply(status: str, body: bytes = b"", extra: str = "") -> Behaviour:
    """Return a behaviour that responds with this status, such as "200 OK", body and extra header lines."""

    async def behave(_: StubServer, __: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{extra}\r\n"
        writer.write(head.encode() + body)

    return behave


def raw(text: bytes, *, close: bool = False, times: int = 1) -> Behaviour:
    """Return a behaviour that writes these bytes the given number of times, and closes if close is set."""

    async def behave(_: StubServer, __: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(text * times)
        if close:
            writer.close()

    return behave


def when_released(behaviour: Behaviour) -> Behaviour:
    """Return a behaviour that waits until the endpoint's release is set and then runs the given behaviour."""

    async def behave(server: StubServer, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await server.release.wait()
        await behaviour(server, received, writer)

    return behave


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close the connection with a TCP reset instead of an orderly end."""
    with socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno())) as connection:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def reset(_: StubServer, __: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Reset the connection instead of sending a response."""
    reset_connection(writer)


def then_reset(text: bytes) -> Behaviour:
    """Return a behaviour that writes these bytes and then resets the connection."""

    async def behave(_: StubServer, __: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(text)
        await asyncio.sleep(0)  # the bytes are sent before the connection ends
        reset_connection(writer)

    return behave


def in_pieces(*pieces: bytes) -> Behaviour:
    """Return a behaviour that waits for release before each piece that it writes, and closes at the end.

    The behaviour sets request_received after each piece.
    """

    async def behave(server: StubServer, _: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        for piece in pieces:
            await server.release.wait()
            server.release.clear()
            writer.write(piece)
            server.request_received.set()
        writer.close()

    return behave


async def silent(server: StubServer, _: ReceivedRequest, __: asyncio.StreamWriter) -> None:
    """Send no response; return when the endpoint's release is set."""
    await server.release.wait()


async def _read_request(reader: asyncio.StreamReader) -> ReceivedRequest:
    start_line, headers = await read_head(reader)
    method, target, _ = start_line.split(" ")
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return ReceivedRequest(method, target, headers, body)


@dataclass
class StubServer:
    """An endpoint that uses its behaviours in order, one for each request, and then repeats the last one.

    Attributes:
        behaviours: the behaviours for the next requests, in order.
        address: the address at which the endpoint listens, as host:port.
        received: all requests that were received, in order.
        release: set by a test to let the behaviours that wait for it continue.
        request_received: set when a request has been received, and by in_pieces() after each piece.
        disconnected: set when a connection has been closed.
        accepted_connections: the number of connections that were accepted.
        writers: the writing ends of all connections, in the order in which they were accepted.
    """

    behaviours: list[Behaviour]
    address: str = ""
    received: list[ReceivedRequest] = field(default_factory=list)
    release: asyncio.Event = field(default_factory=asyncio.Event)
    request_received: asyncio.Event = field(default_factory=asyncio.Event)
    disconnected: asyncio.Event = field(default_factory=asyncio.Event)
    accepted_connections: int = 0
    writers: list[asyncio.StreamWriter] = field(default_factory=list)

    async def __aenter__(self) -> StubServer:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()

    def vanish(self) -> None:
        """Send no more responses on open connections, and refuse new connections."""
        self.behaviours[:] = [silent]
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted_connections += 1
        self.writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                request = await _read_request(reader)
                self.received.append(request)
                self.request_received.set()
                behave = self.behaviours.pop(0) if len(self.behaviours) > 1 else self.behaviours[0]
                await behave(self, request, writer)
        self.disconnected.set()
        writer.close()
