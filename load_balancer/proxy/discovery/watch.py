"""Implements a watch: a connection on which discovery sends the endpoint list and then the changes to it."""

from __future__ import annotations

import asyncio
import logging
import select
from enum import Enum, auto
from typing import Protocol, cast

import httptools

from load_balancer.proxy.address import Address
from load_balancer.proxy.discovery.endpoint_listing import ListingError
from load_balancer.proxy.discovery.json_stream import JsonObjectStream, MalformedStreamError
from load_balancer.proxy.event_loop.socket_poll import poll_socket

log = logging.getLogger(__name__)

HEARTBEAT_INTERVAL_S = 2.0  # time between the empty lines that discovery sends while nothing changes
# A watch may become silent and miss a change.  6 s after the start of the silence, the protocol considers the
# node notified of this change, even if the next watches fail.  The silence timeout consists of one heartbeat
# interval and one second that allows for a busy machine, so 3 s are left to receive the change on a new
# watch.  In these 3 s, two new watches may fail, each with its response timeout and reconnect delay, before
# the third new watch must deliver the change.
SILENCE_TIMEOUT_S = HEARTBEAT_INTERVAL_S + 1.0
# Discovery sends each object without a pause, so an object that does not continue has been cut off.
OBJECT_TIMEOUT_S = 1.0


class WatchState(Enum):
    """What a watch waits for.

    ==================  ==================  ===================================================
    from                to                  when
    ==================  ==================  ===================================================
    OPENING             LISTENING           a heartbeat or the end of an object is received
    OPENING, LISTENING  IN_OBJECT           the beginning of an object is received
    IN_OBJECT           LISTENING           the end of the object is received
    any                 CLOSED              the watch ends or its owner closes it
    ==================  ==================  ===================================================
    """

    OPENING = auto()
    """The watch waits for its connection and the first input, within the response timeout."""
    LISTENING = auto()
    """The watch waits for a heartbeat or an object, within the silence timeout."""
    IN_OBJECT = auto()
    """The watch waits for the rest of an object, within the object timeout after the last part of it."""
    CLOSED = auto()
    """The watch is closed and reports no more input."""


class WatchOwner(Protocol):
    """The owner of one or several watches, which receives their reports."""

    def watch_received(self, watch: DiscoveryWatch, text: bytes, /) -> None:
        """Handle a complete JSON object.

        Raises:
            ListingError: the object is not an endpoint list.
        """

    def watch_active(self, watch: DiscoveryWatch, /) -> None:
        """Handle input on the watch: an object, a part of an object or a heartbeat."""

    def watch_ended(self, watch: DiscoveryWatch, /) -> None:
        """Handle the end of the watch.

        Possible causes: the watch could not be opened, the response had a status other than 200, discovery
        ended the stream, the connection was closed, no input came in time, or the input was malformed.
        """


class DiscoveryWatch(asyncio.Protocol):
    """A watch on its own connection to discovery.  See WatchState.

    The watch manages the connection, the task that opens the connection, and the timer.  When the watch ends,
    its owner is notified once, unless the owner itself closed the watch.

    Attributes:
        address: the address of discovery to which the watch connects.
        opened_at: when the watch began to connect, in the time of the event loop.
        has_no_response: whether the watch has ended because no input came within the response timeout.
    """

    def __init__(
        self, owner: WatchOwner, address: Address, version: int, *, response_timeout_s: float
    ) -> None:
        """Start opening the watch.

        Args:
            owner: receives the objects, and is notified of the end.
            address: the address of discovery.
            version: the version of the endpoint list after which discovery sends changes.
            response_timeout_s: how long the first input may take, in seconds.
        """
        self.address = address
        self._owner = owner
        self._request = b"GET /v1/endpoints?watch=1&from=%d HTTP/1.1\r\nHost: %s:%d\r\n\r\n" % (
            version,
            address.host.encode(),
            address.port,
        )
        self._parser = httptools.HttpResponseParser(self)
        self._objects = JsonObjectStream()
        self._state = WatchState.OPENING
        self._transport: asyncio.Transport | None = None
        self._loop = asyncio.get_running_loop()
        self.opened_at = self._loop.time()
        self.has_no_response = False
        self._timer = self._loop.call_later(response_timeout_s, self.check_silence)
        self._connect_task = self._loop.create_task(self._connect(address))

    async def _connect(self, address: Address) -> None:
        try:
            await self._loop.create_connection(lambda: self, address.host, address.port)
        except OSError:
            self._end()

    @property
    def is_closed(self) -> bool:
        """Whether the watch has ended or was closed by its owner."""
        return self._state is WatchState.CLOSED

    def close(self) -> None:
        """Close the connection; the owner is not notified."""
        self._state = WatchState.CLOSED
        self._timer.cancel()
        self._connect_task.cancel()
        if self._transport is not None:
            self._transport.abort()

    def _end(self) -> None:
        """Close the connection and notify the owner, unless the watch is already closed."""
        if not self.is_closed:
            self.close()
            self._owner.watch_ended(self)

    # Callbacks from asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request on the connection that has just been established."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's transports do not inherit from it
        if self.is_closed:
            self._transport.abort()
        else:
            self._transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        """Parse a part of the response."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.is_closed:
                log.warning("discovery_response_malformed problem=%s", str(error))
                self._end()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the watch, because its connection is closed.

        The parser refers to the watch, so without it the watch and an incomplete object are freed at once.
        """
        self._end()
        del self._parser

    # Callbacks from httptools.

    def on_headers_complete(self) -> None:
        """Check the status of the response; end the watch if it is not 200."""
        if self._parser.get_status_code() != 200:
            self._end()

    def on_body(self, part: bytes) -> None:
        """Process a part of the stream; pass the objects that it completes to the owner."""
        if self.is_closed:
            return
        try:
            for text in self._objects.feed(part):
                self._owner.watch_received(self, text)
                if self.is_closed:
                    return
        except (MalformedStreamError, ListingError) as error:
            log.warning("discovery_list_malformed problem=%s", str(error))
            self._end()
            return
        self._owner.watch_active(self)
        # An interrupted network link is not reported, so a watch that receives no input in time has failed.
        if not self._objects.in_object:
            self._state = WatchState.LISTENING
            self._set_timer(SILENCE_TIMEOUT_S)
        elif part.strip():  # a heartbeat is not a part of the object
            self._state = WatchState.IN_OBJECT
            self._set_timer(OBJECT_TIMEOUT_S)

    def on_message_complete(self) -> None:
        """End the watch, because discovery has ended the stream."""
        self._end()

    def check_silence(self) -> None:
        """End the watch if no input has arrived within the timeout.

        If the socket has unread input, the input arrived while the event loop was blocked.  It is read first,
        and the check is then repeated if necessary.
        """
        transport = self._transport
        if transport is not None and poll_socket(transport.get_extra_info("socket").fileno(), select.POLLIN):
            self._set_timer(0.0)
        else:
            self.has_no_response = self._state is WatchState.OPENING
            self._end()

    def _set_timer(self, seconds: float) -> None:
        self._timer.cancel()
        self._timer = self._loop.call_later(seconds, self.check_silence)
