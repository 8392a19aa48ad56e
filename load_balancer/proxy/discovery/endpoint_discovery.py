"""Follows the endpoint list: opens watches, replaces those that end, and moves to a new address."""

from __future__ import annotations

import asyncio
import json
from enum import Enum, auto
from typing import Protocol

from load_balancer.proxy.address import Address
from load_balancer.proxy.discovery.endpoint_listing import EndpointListing, ListingError, ListingReader
from load_balancer.proxy.discovery.watch import DiscoveryWatch
from load_balancer.proxy.discovery.watch_timing import WatchTiming


class ListingHandler(Protocol):
    """Called with each endpoint list, and each change to one, in order."""

    def __call__(self, listing: EndpointListing, /) -> None:
        """Take in a list or a change."""
        ...


class FailureHandler(Protocol):
    """Called each time when the last watch has failed and no other one is being opened."""

    def __call__(self) -> None:
        """Record the failure."""
        ...


class DiscoveryState(Enum):
    """Which watches are kept.

    ====================  =================  ===================================================
    from                  to                 when
    ====================  =================  ===================================================
    any                   WATCHING           subscribe
    all but UNSUBSCRIBED  MOVING             discovery moves
    MOVING                WATCHING           the first input of the successor, which takes over
    MOVING                MOVE_BACKOFF       the successor ends while the old watch works
    MOVE_BACKOFF          MOVING             the reconnect delay is over
    with a watch          RECONNECT_BACKOFF  the last watch ends, where lists are pushed
    with a watch          UNWATCHED          the last watch ends, where lists are polled
    RECONNECT_BACKOFF     WATCHING           the reconnect delay is over
    all but UNSUBSCRIBED  UNWATCHED          close
    ====================  =================  ===================================================

    WATCHING, MOVING and MOVE_BACKOFF are the states with a watch.  Where the old watch ends while MOVING, the
    successor is kept alone, and the state stays.
    """

    UNSUBSCRIBED = auto()
    """No watch has been opened yet."""
    WATCHING = auto()
    """One watch is kept: it is open or being opened."""
    MOVING = auto()
    """A successor is being opened at the new address; the old watch is kept as long as it works."""
    MOVE_BACKOFF = auto()
    """The old watch works; after the reconnect delay another successor is opened."""
    RECONNECT_BACKOFF = auto()
    """No watch is kept; after the reconnect delay one is opened."""
    UNWATCHED = auto()
    """No watch is kept until the policy polls again."""


class EndpointDiscovery:
    """Keeps at most one watch, and a successor that replaces it after discovery has moved.

    Where lists are pushed, the watch is with the agent on the node's own machine: it costs nothing, is opened
    without a poll of the policy, and its failures say nothing about the list.  When discovery moves, the
    watch at the new address is up before the old one is closed; a failure is reported only when neither is
    left.  See DiscoveryState.
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
        """Prepare to start; no watch is opened yet.

        Args:
            address: where discovery, or the agent, listens.
            listing_reader: reads the endpoint lists.
            pushed: whether lists are pushed by an agent, or polled when the policy asks for it.
            poll_timeout_s: how long the policy waits for a poll, in seconds.
            drain_grace_s: the time in seconds within which sending to a draining endpoint must stop.
            on_listing: receives the lists.
            on_failure: is called at failures where lists are polled.
        """
        self._address = address
        self._listing_reader = listing_reader
        self._pushed = pushed
        self._timing = WatchTiming(pushed=pushed, poll_timeout_s=poll_timeout_s, drain_grace_s=drain_grace_s)
        self._on_listing = on_listing
        self._on_failure = on_failure
        self._loop = asyncio.get_running_loop()
        self._state = DiscoveryState.UNSUBSCRIBED
        self._version = 0
        self._has_received_input = False
        self._watch: DiscoveryWatch | None = None
        self._successor: DiscoveryWatch | None = None
        self._reconnect_timer: asyncio.TimerHandle | None = None

    @property
    def state(self) -> DiscoveryState:
        """Which watches are kept."""
        return self._state

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
        """The watch that is kept: it is open or being opened."""
        return self._watch

    @property
    def successor(self) -> DiscoveryWatch | None:
        """The watch at the address that discovery moved to, until its first input."""
        return self._successor

    @property
    def reconnect_timer(self) -> asyncio.TimerHandle | None:
        """The timer of the backoff before the next watch or successor is opened."""
        return self._reconnect_timer

    def start(self, version: int) -> None:
        """Begin from the version of the cached list, which is 0 where there is none."""
        self._version = version
        if self._pushed:
            self.subscribe()

    def subscribe(self) -> None:
        """Open a watch from the last version on; replaces one that is still there."""
        self._close_watches()
        self._state = DiscoveryState.WATCHING
        self._watch = self._open_watch()

    def move(self, address: Address) -> None:
        """Open a watch at another address, which replaces the old one at its first input."""
        if address == self._address:
            return
        self._address = address
        if self._successor is not None:
            self._successor.close()
            self._successor = None
        if self._state is not DiscoveryState.UNSUBSCRIBED:
            # A backoff is cut short: it was for the old address.
            self._open_successor()

    def close(self) -> None:
        """Close every watch and cancel the reconnect timer; nothing is reported of it."""
        self._close_watches()
        if self._state is not DiscoveryState.UNSUBSCRIBED:
            self._state = DiscoveryState.UNWATCHED

    def _open_watch(self) -> DiscoveryWatch:
        return DiscoveryWatch(
            self, self._address, self._version, response_timeout_s=self._timing.response_timeout_s
        )

    def _open_successor(self) -> None:
        self._cancel_reconnect()
        self._state = DiscoveryState.MOVING
        self._successor = self._open_watch()

    def _close_watches(self) -> None:
        for watch in (self._watch, self._successor):
            if watch is not None:
                watch.close()
        self._watch = self._successor = None
        self._cancel_reconnect()

    def _cancel_reconnect(self) -> None:
        if self._reconnect_timer is not None:
            self._reconnect_timer.cancel()
            self._reconnect_timer = None

    # Callbacks of watches: WatchOwner.

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
        """Input came on the watch: if it is the successor, it takes over."""
        self._has_received_input = True
        if watch is self._successor:
            if self._watch is not None:
                self._watch.close()
            self._watch, self._successor = watch, None
            self._state = DiscoveryState.WATCHING

    def watch_ended(self, watch: DiscoveryWatch) -> None:
        """Replace a watch that has failed, or report the failure where none is left."""
        if watch is self._successor:
            self._successor = None
            if self._watch is not None:
                self._back_off_move()
            else:
                self._on_all_ended()
            return
        self._watch = None
        if self._successor is None:  # else the old address has closed, and the new watch is being opened
            self._on_all_ended()

    def _back_off_move(self) -> None:
        """The old watch still works, so that there is time for another successor."""
        self._state = DiscoveryState.MOVE_BACKOFF
        self._reconnect_timer = self._loop.call_later(self._timing.reconnect_delay_s, self._open_successor)

    def _on_all_ended(self) -> None:
        """No watch is left, and none is being opened."""
        self._close_watches()
        if self._pushed:
            self._state = DiscoveryState.RECONNECT_BACKOFF
            self._reconnect_timer = self._loop.call_later(self._timing.reconnect_delay_s, self.subscribe)
        else:
            self._state = DiscoveryState.UNWATCHED
            self._on_failure()
