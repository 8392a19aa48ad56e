"""Keeps a watch on the endpoint list; replaces it when it ends or when the address of discovery changes."""

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
    """A callback that receives each endpoint list, and each change to a list, in order."""

    def __call__(self, listing: EndpointListing, /) -> None:
        """Handle an endpoint list or a change to it."""
        ...


class FailureHandler(Protocol):
    """A callback for each failure after which no watch is left, neither open nor being opened."""

    def __call__(self) -> None:
        """Handle the failure."""
        ...


class DiscoveryState(Enum):
    """The state of discovery: which watches it keeps.

    ====================  =================  ===================================================
    from                  to                 when
    ====================  =================  ===================================================
    any                   WATCHING           ``subscribe`` is called
    all but UNSUBSCRIBED  MOVING             ``move`` is called with a new address
    MOVING                WATCHING           the successor receives input and replaces the watch
    MOVING                MOVE_BACKOFF       the successor ends while the old watch works
    MOVE_BACKOFF          MOVING             the reconnect delay has passed
    with a watch          RECONNECT_BACKOFF  the last watch ends, and lists are pushed
    with a watch          UNWATCHED          the last watch ends, and lists are polled
    RECONNECT_BACKOFF     WATCHING           the reconnect delay has passed
    all but UNSUBSCRIBED  UNWATCHED          ``close`` is called
    ====================  =================  ===================================================

    WATCHING, MOVING and MOVE_BACKOFF are the states with a watch.  If the old watch ends in the state MOVING,
    only the successor is kept, and the state does not change.
    """

    UNSUBSCRIBED = auto()
    """No watch has been opened yet."""
    WATCHING = auto()
    """There is one watch, which is open or being opened."""
    MOVING = auto()
    """A successor is being opened at the new address; the old watch, if any, is kept as long as it works."""
    MOVE_BACKOFF = auto()
    """The old watch works; another successor is opened after the reconnect delay."""
    RECONNECT_BACKOFF = auto()
    """There is no watch; a new watch is opened after the reconnect delay."""
    UNWATCHED = auto()
    """There is no watch until the policy polls again."""


class EndpointDiscovery:
    """Keeps at most one watch, and a successor that replaces it after the address of discovery has changed.

    If lists are pushed, the watch connects to the agent on the node's own machine.  Such a watch stays on
    that machine, so it costs nothing and is opened without a poll by the policy.  Its failures say nothing
    about the endpoint list and are not reported.

    When the address of discovery changes, the old watch is kept until the watch at the new address has
    received input; a failure is reported only when neither watch is left.  See DiscoveryState.
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
        """Prepare discovery without opening a watch.

        Args:
            address: the address of discovery or, if lists are pushed, of the agent.
            listing_reader: reads the endpoint lists.
            pushed: whether lists are pushed by an agent; otherwise, they are polled when the policy requests
                it.
            poll_timeout_s: how long the policy waits for the result of a poll, in seconds.
            drain_grace_s: the time in seconds within which sending to a draining endpoint must stop.
            on_listing: receives the endpoint lists and the changes to them.
            on_failure: called when the last watch has failed, if lists are polled.
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
        """The state of discovery: which watches it keeps."""
        return self._state

    @property
    def version(self) -> int:
        """The version of the last endpoint list or change received.

        Before the first list is received, this is the version that was passed to ``start``.
        """
        return self._version

    @property
    def has_received_input(self) -> bool:
        """Whether any watch has received input since the start."""
        return self._has_received_input

    @property
    def watch(self) -> DiscoveryWatch | None:
        """The current watch, which is open or being opened, but never a successor; None if there is none."""
        return self._watch

    @property
    def successor(self) -> DiscoveryWatch | None:
        """The watch at the new address of discovery, until it receives input; None if there is none."""
        return self._successor

    @property
    def reconnect_timer(self) -> asyncio.TimerHandle | None:
        """The timer of the delay before the next watch or successor is opened; None outside of a backoff."""
        return self._reconnect_timer

    def start(self, version: int) -> None:
        """Start discovery; open a watch if lists are pushed.

        Args:
            version: the version of the cached endpoint list, or 0 if there is no cached list.
        """
        self._version = version
        if self._pushed:
            self.subscribe()

    def subscribe(self) -> None:
        """Open a watch for changes after the last version; close all existing watches first."""
        self._close_watches()
        self._state = DiscoveryState.WATCHING
        self._watch = self._open_watch()

    def move(self, address: Address) -> None:
        """Change the address of discovery.

        A new watch is opened at this address.  When it receives its first input, it replaces the old watch.
        Before the first call of ``subscribe``, only the address is stored.
        """
        if address == self._address:
            return
        self._address = address
        if self._successor is not None:
            self._successor.close()
            self._successor = None
        if self._state is not DiscoveryState.UNSUBSCRIBED:
            # Do not wait for the end of a backoff, which applied to the old address.
            self._open_successor()

    def close(self) -> None:
        """Close all watches and cancel the reconnect timer; no failure is reported."""
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

    # Callbacks from watches: the WatchOwner protocol.

    def watch_received(self, watch: DiscoveryWatch, text: bytes) -> None:
        """Parse an endpoint list or a change to it, and pass it to the listing handler.

        Raises:
            ListingError: the object is not an endpoint list.
        """
        try:
            listing = self._listing_reader.read(json.loads(text))
        except ValueError as error:
            raise ListingError(str(error)) from None
        self.watch_active(watch)
        self._version = listing.version
        self._on_listing(listing)

    def watch_active(self, watch: DiscoveryWatch) -> None:
        """Record that the watch has received input; if it is the successor, it replaces the old watch."""
        self._has_received_input = True
        if watch is self._successor:
            if self._watch is not None:
                self._watch.close()
            self._watch, self._successor = watch, None
            self._state = DiscoveryState.WATCHING

    def watch_ended(self, watch: DiscoveryWatch) -> None:
        """Handle the end of a watch; if no watch is left, reconnect later or report the failure."""
        if watch is self._successor:
            self._successor = None
            if self._watch is not None:
                self._back_off_move()
            else:
                self._on_all_ended()
            return
        self._watch = None
        if self._successor is None:  # otherwise, the old watch has ended and the successor is being opened
            self._on_all_ended()

    def _back_off_move(self) -> None:
        """Open another watch at the new address after the reconnect delay; the old watch still works."""
        self._state = DiscoveryState.MOVE_BACKOFF
        self._reconnect_timer = self._loop.call_later(self._timing.reconnect_delay_s, self._open_successor)

    def _on_all_ended(self) -> None:
        """Handle the end of the last watch.

        Open a new watch after the reconnect delay if lists are pushed; otherwise, report the failure.
        """
        self._close_watches()
        if self._pushed:
            self._state = DiscoveryState.RECONNECT_BACKOFF
            self._reconnect_timer = self._loop.call_later(self._timing.reconnect_delay_s, self.subscribe)
        else:
            self._state = DiscoveryState.UNWATCHED
            self._on_failure()
