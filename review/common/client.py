"""A usual client: one request at a time on a connection, which it keeps."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
import uuid
from dataclasses import dataclass, field

from review.common.http import Message, read_message
from review.common.node import HOST
from review.common.record import Record
from review.common.settings import TENANT

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@dataclass(slots=True)
class Answer:
    """The answer to one request.

    Attributes:
        request_id: the id of the request.
        status: the status code, or 0 if there was no whole answer.
        late_s: how long after the deadline the last byte came, in seconds; negative if it was in time.
        body: the body of the answer.
    """

    request_id: str
    status: int
    late_s: float
    body: bytes = b""


def render_request(
    request_id: str, class_name: str, effect: str, deadline_s: float, body: bytes = b"{}"
) -> bytes:
    """Return the bytes of a request, with the method that its effect determines."""
    safe = effect == "safe"
    key = f"Idempotency-Key: {uuid.uuid4().hex}\r\n" if effect == "keyed" else ""
    length = "" if safe else f"Content-Length: {len(body)}\r\n"
    head = (
        f"{'GET' if safe else 'POST'} /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {request_id}\r\n"
        f"X-Class: {class_name}\r\nX-Tenant: {TENANT}\r\nX-Deadline: {deadline_s:.3f}\r\n{key}{length}\r\n"
    )
    return head.encode() + (b"" if safe else body)


@dataclass(slots=True)
class Client:
    """Sends requests to one node on connections that it keeps.

    Attributes:
        record: the record of the case.
        port: the port of the node.
        answers: the answers so far.
        patience_s: how long after a deadline the client still waits for the answer, in seconds.
    """

    record: Record
    port: int
    answers: list[Answer] = field(default_factory=list)
    patience_s: float = 1.5
    _idle: list[Connection] = field(default_factory=list)
    _ids: itertools.count[int] = field(default_factory=lambda: itertools.count(1))

    async def ask(self, class_name: str, effect: str, deadline_s: float) -> Answer:
        """Send one request and wait for its answer."""
        request_id = f"{next(self._ids):06d}-{uuid.uuid4().hex[:10]}"
        data = render_request(request_id, class_name, effect, deadline_s)
        due = time.monotonic() + deadline_s
        message: Message | None = None
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            async with asyncio.timeout(deadline_s + self.patience_s):
                message = await self._exchange(request_id, data)
        answer = Answer(request_id, 0, time.monotonic() - due)
        if message is not None:
            answer.status, answer.body = message.status, message.body
        self.record.add("answered" if answer.status else "not_answered", id=request_id, class_=class_name,
                        status=answer.status, late_s=f"{answer.late_s:.3f}")  # fmt: skip
        self.answers.append(answer)
        return answer

    async def _exchange(self, request_id: str, data: bytes) -> Message:
        """Send a request and read its answer.

        A kept connection may end while the request crosses its end.  The request is then sent one more time,
        on a new connection.
        """
        connection = self._take_idle()
        if connection is not None:
            try:
                return await self._exchange_on(connection, request_id, data)
            except (ConnectionError, asyncio.IncompleteReadError) as error:
                if isinstance(error, asyncio.IncompleteReadError) and error.partial:
                    raise
                self.record.add("sent_again", id=request_id)
        return await self._exchange_on(await asyncio.open_connection(HOST, self.port), request_id, data)

    def _take_idle(self) -> Connection | None:
        while self._idle:
            reader, writer = self._idle.pop()
            if not reader.at_eof() and not writer.transport.is_closing():
                return reader, writer
            writer.close()
        return None

    async def _exchange_on(self, connection: Connection, request_id: str, data: bytes) -> Message:
        reader, writer = connection
        try:
            writer.write(data)
            self.record.add("sent", id=request_id)
            message = await read_message(reader)
        except BaseException:
            writer.transport.abort()
            raise
        if message.closes:
            writer.close()
        else:
            self._idle.append(connection)
        return message
