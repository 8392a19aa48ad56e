"""An endpoint on a loopback socket whose behaviour a test sets."""

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
    """A request as an endpoint received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


Behaviour = Callable[["StubServer", ReceivedRequest, asyncio.StreamWriter], Awaitable[None]]
"""What an endpoint does with one request."""


def reply(status: str, body: bytes = b"", extra: str = "") -> Behaviour:
    """Respond with this status line, body and header lines."""

    async def behave(_: StubServer, __: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{extra}\r\n"
        writer.write(head.encode() + body)

    return behave


def raw(text: bytes, *, close: bool = False, times: int = 1) -> Behaviour:
    """Write these bytes as they are, the given number of times."""

    async def behave(_: StubServer, __: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(text * times)
        if close:
            writer.close()

    return behave


def when_released(behaviour: Behaviour) -> Behaviour:
    """Wait until the endpoint's release is set, then behave as given."""

    async def behave(server: StubServer, received: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await server.release.wait()
        await behaviour(server, received, writer)

    return behave


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close with a reset in place of an orderly end."""
    with socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno())) as connection:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def reset(_: StubServer, __: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Reset the connection."""
    reset_connection(writer)


def then_reset(text: bytes) -> Behaviour:
    """Write these bytes, then reset the connection."""

    async def behave(_: StubServer, __: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(text)
        await asyncio.sleep(0)  # the bytes are sent before the connection ends
        reset_connection(writer)

    return behave


def in_pieces(*pieces: bytes) -> Behaviour:
    """Write each piece when the endpoint's release is set for it, then close in order."""

    async def behave(server: StubServer, _: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        for piece in pieces:
            await server.release.wait()
            server.release.clear()
            writer.write(piece)
            server.request_received.set()
        writer.close()

    return behave


async def silent(server: StubServer, _: ReceivedRequest, __: asyncio.StreamWriter) -> None:
    """Send no response until the endpoint's release is set, and none after that."""
    await server.release.wait()


async def _read_request(reader: asyncio.StreamReader) -> ReceivedRequest:
    first, headers = await read_head(reader)
    method, target, _ = first.split(" ")
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return ReceivedRequest(method, target, headers, body)


@dataclass
class StubServer:
    """An endpoint that goes through its behaviours, one for each request; the last one stays.

    Attributes:
        behaviours: what it does with the requests to come.
        address: where it listens.
        received: all requests, in order.
        release: set by a test to let behaviours go on.
        request_received: a request has been received.
        disconnected: a connection has been closed.
        accepted_connections: how many connections were accepted.
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
        """Leave open connections without a response, and refuse new ones."""
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
