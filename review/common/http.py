"""Reading and rendering of HTTP/1.1 messages with a Content-Length."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Message:
    """A request or a response.

    Attributes:
        start_line: the request line or the status line.
        headers: the values of the headers, by name in lower case.
        body: the body.
    """

    start_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status code of a response."""
        return int(self.start_line.split(" ")[1])

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.start_line.split(" ")[1]

    @property
    def request_id(self) -> str:
        """The id of a request, or an empty text."""
        return self.headers.get("x-request-id", "")

    @property
    def closes(self) -> bool:
        """Whether the sender closes the connection after this message."""
        return self.headers.get("connection", "").lower() == "close"


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message.

    Raises:
        EOFError: the connection ended before the message was complete.
        OSError: the connection was reset.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start_line, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {name.strip().lower(): value.strip() for name, _, value in (ln.partition(":") for ln in lines)}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(start_line, headers, body)


def render_response(status: str, body: bytes = b"", extra_headers: str = "") -> bytes:
    """Return the bytes of a response."""
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{extra_headers}\r\n".encode() + body
