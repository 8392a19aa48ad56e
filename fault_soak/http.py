"""A minimal HTTP/1.1 for the stubs."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Message:
    """A message that was read; first_byte_at is in monotonic seconds."""

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
        """Whether the sender closes the connection after it."""
        return self.headers.get("connection", "") == "close"

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.start_line.split(" ")[1]


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message with a Content-Length; raises asyncio.IncompleteReadError where the input ends early."""
    first = await reader.readexactly(1)
    first_byte_at = asyncio.get_running_loop().time()
    head = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start_line, *lines = head.rstrip("\r\n").split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    headers = {name.lower(): value.strip() for name, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(start_line, headers, body, first_byte_at)


def render(status: str, body: bytes = b"", extra: str = "") -> bytes:
    """A response with its Content-Length."""
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{extra}\r\n".encode() + body
