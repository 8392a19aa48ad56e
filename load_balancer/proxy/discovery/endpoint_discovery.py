"""Follows the endpoint list: opens watches, replaces those that end, and moves to a new address."""

from __future__ import annotations

import asyncio
import json
from typing import Protocol

from load_balancer.proxy.address import Address
from load_balancer.proxy.discovery.endpoint_listing import EndpointListing, ListingError, ListingReader
from load_balancer.proxy.discovery.watch import DiscoveryWatch

# A pushed list is kept by an agent on the node's own machine, which answers at once and counts what it has as
# notified: any delay in reading it is taken from the time within which the node must stop sending to a
# draining endpoint, and must leave most of that time.
RESPONSE_TIMEOUT_FRACTION = 0.4  # of that time: until the first input of a watch
RECONNECT_DELAY_FRACTION = 0.2  # of that time: between the end of a watch and the next one
MIN_RESPONSE_TIMEOUT_S = 0.1
MAX_RESPONSE_TIMEOUT_S = 1.0  # also where lists are polled
MIN_RECONNECT_DELAY_S = 0.05
MAX_RECONNECT_DELAY_S = 0.25


class ListingHandler(Protocol):
    """Called with each endpoint list, and each change to one, in order."""

    def __call__(self, listing: EndpointListing, /) -> None:
        """Take in a list or a change."""
        ...


class FailureHandler(Protocol):
    """Called once for each watch that has failed, with no other one to take its place."""

    def __call__(self) -> None:
        """Take note of the failure."""
        ...


class EndpointDiscovery:
    """Keeps at most one watch, and the successor that is to replace it after discovery has moved.

    Where lists are pushed, the watch is with the agent on the node's own machine: it costs nothing, is kept
    up without being asked for, and its failures say nothing of the list.  When discovery moves, the watch at
    the new address is up before the old one is closed; a failure is reported only when neither is left.
    """

    def __init__(
        self,
        address: Address,
        listing_reader: ListingReader,
        *,
        pushed: bool,
        poll_timeout_s: float,
        drain_grace_s: float,
        on_listing: ListingHandler,
        on_failure: FailureHandler,
    ) -> None:
        """Be ready to start; nothing is opened yet.

        Args:
            address: where discovery, or the agent, listens.
            listing_reader: reads the endpoint lists.
            pushed: whether lists are pushed by an agent, or polled when the policy asks for it.
            poll_timeout_s: how long the policy waits for a poll, in seconds.
            drain_grace_s: the time in seconds within which sending to a draining endpoint must stop.
            on_listing: receives the lists.
            on_failure: is notified of failures where lists are polled.
        """
        self._address = address
        self._listing_reader = listing_reader
        self._pushed = pushed
        self._response_timeout_s = min(poll_timeout_s, _response_timeout_s(drain_grace_s, pushed))
        self._reconnect_delay_s = _clamp(
            RECONNECT_DELAY_FRACTION * drain_grace_s, MIN_RECONNECT_DELAY_S, MAX_RECONNECT_DELAY_S
        )
        self._on_listing = on_listing
        self._on_failure = on_failure
        self._loop = asyncio.get_running_loop()
        self._version = 0
        self._has_received_input = False
        self._subscribed = False  # a watch has been opened before
        self._watch: DiscoveryWatch | None = None
        self._successor: DiscoveryWatch | None = None
        self._reconnect_timer: asyncio.TimerHandle | None = None

    @property
    def version(self) -> int:
        """The version of the last endpoint list that came, or that discovery was started from."""
        return self._version

    @property
    def has_received_input(self) -> bool:
        """Whether input has come on a watch since the start."""
        return self._has_received_input

    @property
    def watch(self) -> DiscoveryWatch | None:
        """The watch that is kept, be it up or being opened."""
        return self._watch

    @property
    def successor(self) -> DiscoveryWatch | None:
        """The watch at the address that discovery moved to, until its first input."""
        return self._successor

    @property
    def reconnect_timer(self) -> asyncio.TimerHandle | None:
        """The timer of the pause before a watch is opened again."""
        return self._reconnect_timer

    def start(self, version: int) -> None:
        """Begin from the version of the cached list; without one from 0."""
        self._version = version
        if self._pushed:
            self.subscribe()

    def subscribe(self) -> None:
        """Open a watch from the last version on; replaces one that is still there."""
        self.close()
        self._subscribed = True
        self._watch = self._open_watch()

    def move(self, address: Address) -> None:
        """Open a watch at another address, which replaces the old one at its first input."""
        if address == self._address:
            return
        self._address = address
        if self._successor is not None:
            self._successor.close()
            self._successor = None
        if self._subscribed:
            # Also where the last watch failed: the pause after that was for the old address.
            self._open_successor()

    def close(self) -> None:
        """Close every watch and cancel the reconnect timer; nothing is reported of it."""
        for watch in (self._watch, self._successor):
            if watch is not None:
                watch.close()
        self._watch = self._successor = None
        self._cancel_reconnect()

    def _open_watch(self) -> DiscoveryWatch:
        return DiscoveryWatch(self, self._address, self._version, response_timeout_s=self._response_timeout_s)

    def _open_successor(self) -> None:
        self._cancel_reconnect()
        self._successor = self._open_watch()

    def _cancel_reconnect(self) -> None:
        if self._reconnect_timer is not None:
            self._reconnect_timer.cancel()
            self._reconnect_timer = None

    # What a watch reports: WatchOwner.

    def watch_received(self, watch: DiscoveryWatch, text: bytes) -> None:
        """Hand on an endpoint list.

        Raises:
            ListingError: the object is no endpoint list.
        """
        try:
            listing = self._listing_reader.read(json.loads(text))
        except ValueError as error:
            raise ListingError(str(error)) from None
        self.watch_active(watch)
        self._version = listing.version
        self._on_listing(listing)

    def watch_active(self, watch: DiscoveryWatch) -> None:
        """The watch works: a successor takes over."""
        self._has_received_input = True
        if watch is self._successor:
            if self._watch is not None:
                self._watch.close()
            self._watch, self._successor = watch, None

    def watch_ended(self, watch: DiscoveryWatch) -> None:
        """Replace a watch that has failed, or report the failure where none is left."""
        if watch is self._successor:
            self._successor = None
            if self._watch is not None:  # which still works, so that there is time for another attempt
                self._reconnect_timer = self._loop.call_later(self._reconnect_delay_s, self._open_successor)
                return
        elif watch is self._watch:
            self._watch = None
            if self._successor is not None:  # the old address has closed, and the new watch is being opened
                return
        self.close()
        if self._pushed:
            self._reconnect_timer = self._loop.call_later(self._reconnect_delay_s, self.subscribe)
        else:
            self._on_failure()


def _response_timeout_s(drain_grace_s: float, pushed: bool) -> float:
    if not pushed:
        return MAX_RESPONSE_TIMEOUT_S
    return _clamp(RESPONSE_TIMEOUT_FRACTION * drain_grace_s, MIN_RESPONSE_TIMEOUT_S, MAX_RESPONSE_TIMEOUT_S)


def _clamp(value: float, lowest: float, highest: float) -> float:
    return min(max(value, lowest), highest)
