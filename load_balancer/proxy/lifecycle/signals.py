"""Connects the signals of the process to the node."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable


def handle_signals(terminate: Callable[[], None], reload: Callable[[], None]) -> None:
    """Call terminate at SIGTERM or SIGINT and reload at SIGHUP, from the running event loop."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, terminate)
    loop.add_signal_handler(signal.SIGHUP, OncePerIteration(reload).request)


class OncePerIteration:
    """Coalesces requests for a call: the callback runs once, in the next iteration of the event loop.

    The event loop handles pending signals until there are none.  If handling a signal takes longer than the
    next signal takes to arrive, as reading a file may, no other callback would ever run.
    """

    def __init__(self, callback: Callable[[], None]) -> None:
        self._callback = callback
        self._requested = False
        self._loop = asyncio.get_running_loop()

    def request(self) -> None:
        """Request a call; has no effect while one is pending."""
        if not self._requested:
            self._requested = True
            self._loop.call_soon(self._call)

    def _call(self) -> None:
        self._requested = False
        self._callback()
