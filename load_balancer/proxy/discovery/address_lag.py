"""Recognizes endpoint lists that are older than the list of the node, after the address has changed.

The versions of a list are the same at every address of discovery, but an address may learn of a change
later than another.  Its list is then older than the one that the node has from the previous address, and may
name an endpoint as serving that already drains.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

# A change reaches every address of discovery within 6 s; the rest allows for a heartbeat interval.  An
# address that has sent only lower versions for this time numbers its lists anew.
MAX_LAG_S = 8.0


class AddressLag:
    """The state of a new address of discovery, until its list is as new as the list of the node."""

    def __init__(self, on_expired: Callable[[], None]) -> None:
        """Create the state of an address that does not lag.

        Args:
            on_expired: called if the address has sent only outdated lists for MAX_LAG_S.
        """
        self._on_expired = on_expired
        self._loop = asyncio.get_running_loop()
        self._may_lag = False
        self._timer: asyncio.TimerHandle | None = None  # runs from the first outdated list on

    def begin(self) -> None:
        """Handle a change of the address: the new address may lag behind the previous one."""
        self.end()
        self._may_lag = True

    def end(self) -> None:
        """Accept all lists from now on."""
        self._may_lag = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def is_outdated(self, version: int, known_version: int) -> bool:
        """Return whether a list or change that the new address has sent is older than the node's list.

        The first one that is not outdated ends the lag, because the following ones are newer still.
        """
        if not self._may_lag:
            return False
        if version >= known_version:
            self.end()
            return False
        if self._timer is None:
            self._timer = self._loop.call_later(MAX_LAG_S, self._expire)
        return True

    def _expire(self) -> None:
        self.end()
        self._on_expired()
