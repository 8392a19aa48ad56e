"""The exchange of requests and responses on connections, and the recording of both."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from fault_soak.clients.connections import ClientConnection, IdleConnections
from fault_soak.clients.requests import ClientRequest
from fault_soak.history import ClientLeft, History, RequestSent, ResponseMissing, ResponseReceived
from fault_soak.http import Message, read_message

GIVE_UP_AFTER_S = 0.7
"""The time in seconds after the deadline at which a client stops waiting for a response.

It is longer than 0.5 s, because a request counts as lost 0.5 s after its deadline.
"""

SLOW_PARTS = 4
SLOW_INTERVAL_S = 0.05


@dataclass(slots=True)
class ClientBehaviour:
    """The current behaviour of the ordinary clients, which the faults of a schedule change.

    Attributes:
        rate_factor: the load as a multiple of the planned load.
        leave_fraction: the fraction of requests whose client leaves before the response.
        slow: whether clients write requests slowly, in several parts.
    """

    rate_factor: float = 1.0
    leave_fraction: float = 0.0
    slow: bool = False


@dataclass(frozen=True, slots=True)
class ClientRecorder:
    """A recorder of the requests that clients send and of the responses that they receive."""

    history: History

    def sent(
        self,
        connection: ClientConnection,
        request: ClientRequest,
        first_byte_at: float,
        *,
        resent: bool = False,
    ) -> None:
        """Record that a request was written from ``first_byte_at`` until now."""
        self.history.add(
            RequestSent(
                History.now(),
                first_byte_at,
                request.request_id,
                connection.node.name,
                connection.incarnation,
                request.class_name,
                request.deadline_s,
                resent,
            )
        )

    def received(self, request: ClientRequest, message: Message) -> None:
        """Record the response to a request."""
        retry_after = message.headers.get("retry-after")
        retry_after_s = None if retry_after is None else float(retry_after)
        self.history.add(
            ResponseReceived(History.now(), request.request_id, message.status, message.body, retry_after_s)
        )

    def missing(self, request: ClientRequest, *, closed: bool, unread_allowed: bool) -> None:
        """Record that the client stopped waiting without having received a complete response."""
        self.history.add(ResponseMissing(History.now(), request.request_id, closed, unread_allowed))

    def left(self, request: ClientRequest) -> None:
        """Record that the client closed the connection before the response."""
        self.history.add(ClientLeft(History.now(), request.request_id))


@dataclass(frozen=True, slots=True)
class RequestExchange:
    """The exchange of one request at a time on a connection.

    After the response, the connection becomes idle unless the node closes the connection.

    Attributes:
        behaviour: the current behaviour of the clients.
        idle: the idle connections, to which a connection is added after a response.
        recorder: the recorder of requests and responses.
    """

    behaviour: ClientBehaviour
    idle: IdleConnections
    recorder: ClientRecorder

    async def run(
        self,
        connection: ClientConnection,
        request: ClientRequest,
        leave_s: float | None = None,
        *,
        resent: bool = False,
    ) -> bool:
        """Send a request and wait for its response.

        Args:
            connection: the connection to use.
            request: the request.
            leave_s: the time in seconds after which the client leaves; None if it waits for the response.
            resent: whether the request was sent before, on another connection.

        Returns:
            Whether the request may be sent again on a new connection.
        """
        reused = connection.answered
        first_byte_at = History.now()
        try:
            await self._write(connection, request.text)
        except ConnectionError:
            connection.writer.close()
            return reused
        self.recorder.sent(connection, request, first_byte_at, resent=resent)
        wait_s = request.deadline_s + GIVE_UP_AFTER_S if leave_s is None else leave_s
        try:
            async with asyncio.timeout(wait_s):
                message = await read_message(connection.reader)
        except TimeoutError:
            if leave_s is None:
                self.recorder.missing(request, closed=False, unread_allowed=False)
            else:
                self.recorder.left(request)
            connection.abort()
            return False
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            connection.writer.close()
            nothing_read = not isinstance(error, asyncio.IncompleteReadError) or not error.partial
            self.recorder.missing(request, closed=True, unread_allowed=reused and nothing_read)
            return reused and nothing_read
        self.recorder.received(request, message)
        self._keep_or_close(connection, message)
        return False

    async def _write(self, connection: ClientConnection, text: bytes) -> None:
        if self.behaviour.slow:
            size = len(text) // SLOW_PARTS + 1
            for i in range(SLOW_PARTS):
                if i > 0:
                    await asyncio.sleep(SLOW_INTERVAL_S)
                connection.writer.write(text[i * size : (i + 1) * size])
            return
        connection.writer.write(text)
        await connection.writer.drain()

    def _keep_or_close(self, connection: ClientConnection, message: Message) -> None:
        connection.answered = True
        if message.closes_connection:
            connection.writer.close()
        else:
            self.idle.add(connection)
