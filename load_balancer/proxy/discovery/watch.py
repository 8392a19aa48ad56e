"""One watch: a connection on which discovery sends the endpoint list and then its changes."""

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

HEARTBEAT_INTERVAL_S = 2.0  # between the empty lines that discovery sends as long as nothing changes
# The protocol counts a change that a silent watch misses as notified 6 s after the silence began, even if the
# next watches fail.  A missed heartbeat and one busy second leave three seconds.  Within these, two new
# watches may fail, each with its response timeout and reconnect delay, before the third must deliver.
SILENCE_TIMEOUT_S = HEARTBEAT_INTERVAL_S + 1.0
OBJECT_TIMEOUT_S = 1.0  # discovery sends an object at once: one that does not continue has been cut off


class WatchState(Enum):
    """What a watch waits for.

    ==================  ==================  ===================================================
    from                to                  when
    ==================  ==================  ===================================================
    OPENING             LISTENING           a heartbeat or the end of an object
    OPENING, LISTENING  IN_OBJECT           the beginning of an object
    IN_OBJECT           LISTENING           the end of the object
    any                 CLOSED              the watch ends or its owner closes it
    ==================  ==================  ===================================================
    """

    OPENING = auto()
    """The connection and the first input, within the response timeout."""
    LISTENING = auto()
    """A heartbeat or an object, within the silence timeout."""
    IN_OBJECT = auto()
    """The rest of an object, within the object timeout from its last part."""
    CLOSED = auto()
    """Nothing: no input is handed on."""


class WatchOwner(Protocol):
    """Receives the reports of one or several watches."""

    def watch_received(self, watch: DiscoveryWatch, text: bytes, /) -> None:
        """A complete JSON object came; raises ListingError if it is no endpoint list."""

    def watch_active(self, watch: DiscoveryWatch, /) -> None:
        """Input came: an object, a part of one or a heartbeat."""

    def watch_ended(self, watch: DiscoveryWatch, /) -> None:
        """The watch has ended: it could not be opened, broke, fell silent or was malformed."""


class DiscoveryWatch(asyncio.Protocol):
    """One watch on one connection.  See WatchState.

    It owns its connection, the task that opens it and its timer.  Its owner is notified once of its end,
    unless the owner closed it.
    """

    def __init__(
        self, owner: WatchOwner, address: Address, version: int, *, response_timeout_s: float
    ) -> None:
        """Begin to open the watch.

        Args:
            owner: receives the objects, and the end.
            address: where discovery listens.
            version: the version of the endpoint list after which changes are wanted.
            response_timeout_s: how long the first input may take.
        """
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
        self._timer = self._loop.call_later(response_timeout_s, self.check_silence)
        self._connect_task = self._loop.create_task(self._connect(address))

    async def _connect(self, address: Address) -> None:
        try:
            await self._loop.create_connection(lambda: self, address.host, address.port)
        except OSError:
            self._end()

    @property
    def is_closed(self) -> bool:
        """Whether it has ended or was closed by its owner."""
        return self._state is WatchState.CLOSED

    def close(self) -> None:
        """Close the connection; the owner is not notified."""
        self._state = WatchState.CLOSED
        self._timer.cancel()
        self._connect_task.cancel()
        if self._transport is not None:
            self._transport.abort()

    def _end(self) -> None:
        """Close the connection and notify the owner, once."""
        if not self.is_closed:
            self.close()
            self._owner.watch_ended(self)

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection came up: send the request."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass
        if self.is_closed:
            self._transport.abort()
        else:
            self._transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        """Read a piece of the response."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.is_closed:
                log.warning("discovery_response_malformed problem=%s", error)
                self._end()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is closed."""
        self._end()

    # Callbacks of httptools.

    def on_headers_complete(self) -> None:
        """The head of the response is complete."""
        if self._parser.get_status_code() != 200:
            self._end()

    def on_body(self, part: bytes) -> None:
        """A part of the stream came: hand on the objects that it completes."""
        if self.is_closed:
            return
        try:
            for text in self._objects.feed(part):
                self._owner.watch_received(self, text)
                if self.is_closed:
                    return
        except (MalformedStreamError, ListingError) as error:
            log.warning("discovery_list_malformed problem=%s", error)
            self._end()
            return
        self._owner.watch_active(self)
        # A cut network link gives no sign: without input within its timeout the watch has failed.
        if not self._objects.in_object:
            self._state = WatchState.LISTENING
            self._set_timer(SILENCE_TIMEOUT_S)
        elif part.strip():  # a heartbeat is no part of an object
            self._state = WatchState.IN_OBJECT
            self._set_timer(OBJECT_TIMEOUT_S)

    def on_message_complete(self) -> None:
        """Discovery has ended the stream."""
        self._end()

    def check_silence(self) -> None:
        """End the watch, as no input was read within the timeout.

        Unread input has come in time while the loop was late; it is read first.
        """
        transport = self._transport
        if transport is not None and poll_socket(transport.get_extra_info("socket").fileno(), select.POLLIN):
            self._set_timer(0.0)
        else:
            self._end()

    def _set_timer(self, seconds: float) -> None:
        self._timer.cancel()
        self._timer = self._loop.call_later(seconds, self.check_silence)
