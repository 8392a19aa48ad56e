"""Requests that wait, by priority and then age."""

from __future__ import annotations

import math
from bisect import insort

from load_balancer.state.context import NodeContext
from load_balancer.state.records import Request
from load_balancer.state.timer_queue import TimerKind


class RequestQueue:
    """A sorted queue; the first request has the highest priority.

    While any request waits, a QUEUE_CHECK timer fires at least every check_ms.
    """

    def __init__(self, context: NodeContext, check_ms: float) -> None:
        self._context = context
        self._check_ms = check_ms
        self._check_at = math.inf
        self._entries: list[tuple[float, int, Request]] = []

    def __len__(self) -> int:
        return len(self._entries)

    def __getitem__(self, position: int) -> Request:
        return self._entries[position][2]

    def add(self, request: Request, timeout: float) -> None:
        """Queue a request for so many milliseconds."""
        request.queued, request.queued_until = True, self._context.now + timeout
        insort(self._entries, (-request.priority, request.sequence, request))

    def remove(self, request: Request) -> None:
        """Take a request out, if it is queued."""
        if request.queued:
            request.queued = False
            self._entries.remove((-request.priority, request.sequence, request))

    def expired(self) -> list[Request]:
        """At a check: the requests that have waited until their time."""
        self._check_at = math.inf
        now = self._context.now
        return [request for _, _, request in self._entries if request.queued_until <= now]

    def schedule_check(self) -> None:
        """Have the timer fire in time for the next check."""
        if not self._entries:
            return
        earliest = min(entry[2].queued_until for entry in self._entries)
        at = min(self._context.now + self._check_ms, earliest)
        if at < self._check_at:
            self._check_at = at
            self._context.schedule(at, TimerKind.QUEUE_CHECK)
