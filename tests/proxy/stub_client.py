"""A stub of a client: its connection to a node, and the requests that it sends."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from dataclasses import dataclass
from typing import TypedDict, Unpack

from tests.proxy.async_support import TIMEOUT_S
from tests.proxy.http_text import read_head


@dataclass
class Response:
    """A response in the form in which the client received it."""

    status: int
    headers: dict[str, str]
    body: bytes


class Client:
    """One connection of a client to a node."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, address: tuple[str, int]) -> Client:
        """Open a connection."""
        return cls(*await asyncio.open_connection(*address))

    async def read_response(self) -> Response:
        """Read the next response."""
        return await asyncio.wait_for(self._read_response(), TIMEOUT_S)

    async def _read_response(self) -> Response:
        start_line, headers = await read_head(self.reader)
        body = await self.reader.readexactly(int(headers["content-length"]))
        return Response(int(start_line.split(" ")[1]), headers, body)

    async def fetch(self, kind: str = "look", **options: Unpack[RequestOptions]) -> Response:
        """Send a request, which is built by request() from these options, and read the response."""
        self.writer.write(request(kind, **options))
        return await self.read_response()

    async def ends_without_output(self) -> bool:
        """Wait until the node closes the connection, and return whether no further byte was received.

        If the node resets the connection, the result is True.
        """
        with contextlib.suppress(ConnectionError):
            return await asyncio.wait_for(self.reader.read(), TIMEOUT_S) == b""
        return True

    def close(self) -> None:
        """Reset the connection."""
        self.writer.transport.abort()


_names = itertools.count(1)

_METHODS = {"look": "GET", "move": "POST", "book": "POST"}


class RequestOptions(TypedDict, total=False):
    """The parts of a request that differ from the defaults of ClientRequest, which documents them."""

    target: str
    method: str
    body: bytes
    deadline: str
    name: str
    drop: tuple[str, ...]
    extra: str


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A client's request.

    Attributes:
        kind: the request class.
        target: the request target.
        method: the method; by default the usual method of the request class.
        body: the body.
        deadline: the value of X-Deadline, the seconds that are left for a response.
        name: the request id; by default an id that no other request has.
        drop: the names of headers to leave out.
        extra: further header lines.
    """

    kind: str = "look"
    target: str = "/api/7f3a9c21e0b4d655"
    method: str = ""
    body: bytes = b""
    deadline: str = "3.0"
    name: str = ""
    drop: tuple[str, ...] = ()
    extra: str = ""

    def render(self) -> bytes:
        """Return the bytes of the request."""
        method = self.method or _METHODS.get(self.kind, "GET")
        headers = self._headers(method).items()
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers if name not in self.drop)
        head = f"{method} {self.target} HTTP/1.1\r\nHost: api.internal\r\n{lines}{self.extra}\r\n"
        return head.encode() + self.body

    def _headers(self, method: str) -> dict[str, str]:
        headers = {
            "X-Request-Id": self.name or f"{next(_names):016x}",
            "X-Class": self.kind,
            "X-Tenant": "acme",
            "X-Deadline": self.deadline,
        }
        if self.kind == "move":
            headers["Idempotency-Key"] = "5c0f6e1a2b3d4c59"
        if self.body or method == "POST":
            headers["Content-Length"] = str(len(self.body))
        return headers


def request(kind: str = "look", **options: Unpack[RequestOptions]) -> bytes:
    """Return the bytes of a client's request."""
    return ClientRequest(kind, **options).render()
