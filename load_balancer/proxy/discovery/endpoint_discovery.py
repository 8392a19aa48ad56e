"""Keeps a watch on the endpoint list; replaces it when it ends or when the address of discovery changes."""

from __future__ import annotations

import asyncio
import json
import logging
from enum import Enum, auto
from typing import Protocol

from load_balancer.proxy.address import Address
from load_balancer.proxy.discovery.address_lag import AddressLag
from load_balancer.proxy.discovery.endpoint_listing import EndpointListing, ListingError, ListingReader
from load_balancer.proxy.discovery.watch import DiscoveryWatch
from load_balancer.proxy.discovery.watch_timing import WatchTiming

log = logging.getLogger(__name__)


class ListingHandler(Protocol):
    """A callback that receives each endpoint list, and each change to a list, in order."""

    def __call__(self, listing: EndpointListing, /) -> None:
        """Handle an endpoint list or a change to it."""
        ...


class FailureHandler(Protocol):
    """A callback that is called when the last watch has failed and no other watch is being opened."""

    def __call__(self) -> None:
        """Handle the failure."""
        ...


class DiscoveryState(Enum):
    """The state of discovery: which watches it keeps.

    After a change of the address of discovery, a watch at the new address is opened: the successor.  It
    replaces the old watch when it receives its first input.

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
    """The successor is being opened at the new address.  The old watch, if any, is kept while it works."""
    MOVE_BACKOFF = auto()
    """The old watch works, but the successor has ended; another one is opened after the reconnect delay."""
    RECONNECT_BACKOFF = auto()
    """There is no watch; a new watch is opened after the reconnect delay."""
    UNWATCHED = auto()
    """There is no watch until the policy polls again."""


class EndpointDiscovery:
    """Keeps a watch on the endpoint list, and replaces it after the address of discovery has changed.

    If lists are pushed, the watch connects to the agent on the node's own machine.  Such a watch causes no
    traffic between machines, so it is opened without waiting for the policy to request a poll.  Its
    failures are local and say nothing about the endpoint list, so they are not reported to the policy.

    When the address of discovery changes, a watch at the new address is opened: the successor.  The old watch
    is kept until the successor has received input.  If lists are polled, a failure is reported only when
    neither of the two watches is left.  See DiscoveryState.
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
        self._lag = AddressLag(self._accept_lower_versions)

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
        """The current watch, which is open or being opened; None if there is none.

        After a change of the address, the watch at the new address becomes the current watch when it receives
        input; until then, it is the successor.
        """
        return self._watch

    @property
    def successor(self) -> DiscoveryWatch | None:
        """The watch at the new address of discovery, until it receives input; None if there is none."""
        return self._successor

    @property
    def reconnect_timer(self) -> asyncio.TimerHandle | None:
        """The timer that opens a watch after the reconnect delay; None if the delay is not running."""
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
        Lists and changes from the new address that are older than the last version are ignored; see
        AddressLag.
        Before the first call of ``subscribe``, only the address is stored.
        """
        if address == self._address:
            return
        self._address = address
        self._lag.begin()
        if self._successor is not None:
            self._successor.close()
            self._successor = None
        if self._state is not DiscoveryState.UNSUBSCRIBED:
            # Do not wait for the end of a backoff, which applied to the old address.
            self._open_successor()

    def close(self) -> None:
        """Close all watches and cancel all timers; no failure is reported."""
        self._close_watches()
        self._lag.end()
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
        if watch.address == self._address and self._lag.is_outdated(listing.version, self._version):
            log.warning("discovery_list_outdated version=%d known=%d", listing.version, self._version)
            listing = EndpointListing(self._version, complete=False, endpoints=(), addresses={})
        self._version = listing.version
        self._on_listing(listing)

    def _accept_lower_versions(self) -> None:
        """Read the complete list anew, because the new address numbers its lists from a lower version."""
        log.warning("discovery_versions_restarted known=%d", self._version)
        self._version = 0
        self.subscribe()

    def watch_active(self, watch: DiscoveryWatch) -> None:
        """Record that the watch has received input.

        If it is the watch at the new address of discovery, it replaces the old watch.
        """
        self._has_received_input = True
        self._timing.record_input(self._loop.time() - watch.opened_at)
        if watch is self._successor:
            if self._watch is not None:
                self._watch.close()
            self._watch, self._successor = watch, None
            self._state = DiscoveryState.WATCHING

    def watch_ended(self, watch: DiscoveryWatch) -> None:
        """Handle the end of a watch; if no watch is left, reconnect later or report the failure."""
        if watch.has_no_response:
            self._timing.record_no_response()
        if watch is self._successor:
            self._successor = None
            if self._watch is not None:
                self._back_off_move()
            else:
                self._on_all_ended()
            return
        self._watch = None
        if self._successor is None:  # otherwise, a watch at the new address is being opened
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
