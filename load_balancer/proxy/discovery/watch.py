"""One watch: a connection on which discovery sends the endpoint list and then its changes."""

from __future__ import annotations

import asyncio
import logging
import select
from typing import Protocol, cast

import httptools

from load_balancer.proxy.address import Address
from load_balancer.proxy.discovery.endpoint_listing import ListingError
from load_balancer.proxy.discovery.json_stream import JsonObjectStream, MalformedStreamError
from load_balancer.proxy.event_loop.socket_poll import poll_socket

log = logging.getLogger(__name__)

HEARTBEAT_INTERVAL_S = 2.0  # as long as nothing changes an empty line comes so often
# What a silent watch misses counts as notified 6 s after it fell silent, whatever becomes of the watches
# after it.  A missed heartbeat and one busy second more leave three seconds: two new watches may fail in
# these, each with its response timeout and the pause behind it, before the third must deliver.
SILENCE_TIMEOUT_S = HEARTBEAT_INTERVAL_S + 1.0
OBJECT_TIMEOUT_S = 1.0  # an object comes in one go: one that does not go on has been cut off


class WatchOwner(Protocol):
    """Receives what one watch, or several, report."""

    def watch_received(self, watch: DiscoveryWatch, text: bytes, /) -> None:
        """A complete JSON object came; raises ListingError if it is no endpoint list."""

    def watch_active(self, watch: DiscoveryWatch, /) -> None:
        """Input came, be it an object, a part of one or a heartbeat."""

    def watch_ended(self, watch: DiscoveryWatch, /) -> None:
        """The watch is over: it could not be opened, broke, fell silent or was malformed."""


class DiscoveryWatch(asyncio.Protocol):
    """One watch on one connection.

    It owns its connection, the task that opens it and its timer.  Its owner is notified once of its end,
    unless the owner closed it.
    """

    def __init__(
        self, owner: WatchOwner, address: Address, version: int, *, response_timeout_s: float
    ) -> None:
        """Begin to open the watch.

        Args:
            owner: receives what comes.
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
        self._over = False
        self._transport: asyncio.Transport | None = None
        self._loop = asyncio.get_running_loop()
        self._timer = self._loop.call_later(response_timeout_s, self.check_silence)
        self._connect_task = self._loop.create_task(self._connect(address))

    async def _connect(self, address: Address) -> None:
        try:
            await self._loop.create_connection(lambda: self, address.host, address.port)
        except OSError:
            self._end()

    def close(self) -> None:
        """Close the connection; the owner is not notified."""
        self._over = True
        self._timer.cancel()
        self._connect_task.cancel()
        if self._transport is not None:
            self._transport.abort()

    def _end(self) -> None:
        if not self._over:
            self.close()
            self._owner.watch_ended(self)

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection came up: send the request."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass
        if self._over:
            self._transport.abort()
        else:
            self._transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        """Read a piece of the response."""
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self._over:
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
        if self._over:
            return
        try:
            for text in self._objects.feed(part):
                self._owner.watch_received(self, text)
                if self._over:
                    return
        except (MalformedStreamError, ListingError) as error:
            log.warning("discovery_list_malformed problem=%s", error)
            self._end()
            return
        self._owner.watch_active(self)
        # A cut network link gives no sign: without input in its time the watch has failed.
        if not self._objects.in_object:
            self._set_timer(SILENCE_TIMEOUT_S)
        elif part.strip():  # a heartbeat is no part of an object
            self._set_timer(OBJECT_TIMEOUT_S)

    def on_message_complete(self) -> None:
        """Discovery has ended the stream."""
        self._end()

    def check_silence(self) -> None:
        """End the watch, as the time for the next input is over.

        Input that lies unread, as the loop was late, came in time; it is read first.
        """
        transport = self._transport
        if transport is not None and poll_socket(transport.get_extra_info("socket").fileno(), select.POLLIN):
            self._set_timer(0.0)
        else:
            self._end()

    def _set_timer(self, seconds: float) -> None:
        self._timer.cancel()
        self._timer = self._loop.call_later(seconds, self.check_silence)
