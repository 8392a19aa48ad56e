"""Since when what is read now may have been waiting to be read.

A caller's time counts from its request's last byte, and a busy loop reads that late: who counts from the read
does not answer in time.  The system tells no time of arrival, but a loop that looks at its sockets in every
turn bounds it: what is read in this turn was not there in the look before.
"""

from __future__ import annotations

import asyncio
import time

IDLE_S = 0.002  # a look that took longer has waited: what ended it came right then


class Turns:
    """Follows the turns of the loop in which something is done; to be told in each of them."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._looked = self._began = self._before = time.monotonic()
        self._noted = False

    def note(self) -> None:
        """Something is done in this turn: to be called before it, and as often as one likes."""
        if self._noted:
            return
        self._noted = True
        now = time.monotonic()
        self._before = self._began if now - self._looked < IDLE_S else now
        self._began = now
        self._loop.call_soon(self._look)

    def since(self) -> float:
        """The time (monotonic) after which what this turn reads has come."""
        self.note()
        return self._before

    def _look(self) -> None:
        """What was ready has been done, and the sockets are looked at next."""
        self._noted = False
        self._looked = time.monotonic()
