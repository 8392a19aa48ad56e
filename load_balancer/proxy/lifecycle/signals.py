"""Connects the signals of the process to the node."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable


def handle_signals(terminate: Callable[[], None], reload: Callable[[], None]) -> None:
    """Make the running event loop call terminate at SIGTERM or SIGINT, and reload at SIGHUP."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, terminate)
    loop.add_signal_handler(signal.SIGHUP, OncePerIteration(reload).request)


class OncePerIteration:
    """Coalesces requests for a call: the callback runs once, in the next iteration of the event loop.

    The event loop handles pending signals until none is left.  If it called the callback, which may read a
    file, for each signal, and if each call took longer than the interval between two signals, no other
    callback of the event loop would ever run.
    """

    def __init__(self, callback: Callable[[], None]) -> None:
        self._callback = callback
        self._requested = False
        self._loop = asyncio.get_running_loop()

    def request(self) -> None:
        """Request a call of the callback; do nothing if a call is already pending."""
        if not self._requested:
            self._requested = True
            self._loop.call_soon(self._call)

    def _call(self) -> None:
        self._requested = False
        self._callback()
