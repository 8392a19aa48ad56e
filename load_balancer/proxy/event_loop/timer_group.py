"""Groups the timers of one owner so that they can be cancelled together."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TypeVarTuple

Arguments = TypeVarTuple("Arguments")


class TimerGroup:
    """The timers of one owner on the running event loop."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._pending: dict[int, asyncio.TimerHandle] = {}
        self._last_key = 0

    def call_later(
        self, delay_s: float, callback: Callable[[*Arguments], None], *arguments: *Arguments
    ) -> None:
        """Call the callback once after this many seconds, unless cancel_all() is called before."""
        self._last_key += 1
        key = self._last_key

        def fire() -> None:
            if self._pending.pop(key, None) is not None:
                callback(*arguments)

        self._pending[key] = self._loop.call_later(delay_s, fire)

    def cancel_all(self) -> None:
        """Cancel every timer that has not fired yet."""
        for timer in self._pending.values():
            timer.cancel()
        self._pending.clear()
