"""A minimal implementation of HTTP/1.1 for the stubs."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Message:
    """A request or response that was read.

    Attributes:
        start_line: the request line or status line.
        headers: the values of the headers, by name in lower case.
        body: the body.
        first_byte_at: the time when the first byte was read, in monotonic seconds.
    """

    start_line: str
    headers: dict[str, str]
    body: bytes
    first_byte_at: float

    @property
    def status(self) -> int:
        """The status code of a response."""
        return int(self.start_line.split(" ")[1])

    @property
    def closes_connection(self) -> bool:
        """Whether the sender closes the connection after the message."""
        return self.headers.get("connection", "") == "close"

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.start_line.split(" ")[1]


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message with a Content-Length or without a body.

    Raises:
        asyncio.IncompleteReadError: if the input ends before the message is complete.
    """
    first = await reader.readexactly(1)
    first_byte_at = asyncio.get_running_loop().time()
    head = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start_line, *lines = head.rstrip("\r\n").split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    headers = {name.lower(): value.strip() for name, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(start_line, headers, body, first_byte_at)


def render_response(status: str, body: bytes = b"", extra_headers: str = "") -> bytes:
    """Return the bytes of a response with a Content-Length and the header lines of ``extra_headers``."""
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{extra_headers}\r\n".encode() + body
