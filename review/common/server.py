"""A sound server of the tier."""

from __future__ import annotations

import asyncio
import contextlib

from review.common.http import Message, read_message, render_response
from review.common.node import HOST
from review.common.record import Record


def body_of(server: str, request_id: str) -> bytes:
    """Return the only right body of a server's answer to a request."""
    return f"served {request_id} by {server}".encode()


class Server:
    """Serves each request after a fixed time, one at a time on a connection.

    Attributes:
        name: the id of the server in the list.
        work_s: the time that a request takes, in seconds.
        runs: the ids of the requests that ran, in order.
    """

    def __init__(self, record: Record, name: str, work_s: float = 0.05) -> None:
        self.name = name
        self.work_s = work_s
        self.runs: list[str] = []
        self.record = record
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """The address at which the server listens."""
        assert self._server is not None
        return f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    async def open(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
                while True:
                    message = await read_message(reader)
                    if message.target in ("/health", "/status/load"):
                        writer.write(render_response("200 OK"))
                    elif not message.request_id:
                        writer.write(render_response("404 Not Found"))
                    else:
                        await self.answer(message, writer)
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Run one request and answer it."""
        self.runs.append(message.request_id)
        self.record.add("run", server=self.name, id=message.request_id)
        await asyncio.sleep(self.work_s)
        writer.write(render_response("200 OK", body_of(self.name, message.request_id)))
