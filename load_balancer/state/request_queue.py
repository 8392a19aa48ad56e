"""The queue of requests that wait for an attempt, ordered by priority and then by age."""

from __future__ import annotations

import math
from bisect import insort

from load_balancer.state.context import NodeContext
from load_balancer.state.request_records import Request
from load_balancer.state.timer_queue import TimerKind


class RequestQueue:
    """A sorted queue; the first request has the highest priority.

    While the queue is not empty, a QUEUE_CHECK timer fires at least once in each check interval.
    """

    def __init__(self, context: NodeContext, check_interval_ms: float) -> None:
        self._context = context
        self._check_interval_ms = check_interval_ms
        self._check_at = math.inf
        self._entries: list[tuple[float, int, Request]] = []

    def __len__(self) -> int:
        return len(self._entries)

    def __getitem__(self, position: int) -> Request:
        return self._entries[position][2]

    def add(self, request: Request, timeout_ms: float) -> None:
        """Add a request, whose timeout passes after this many milliseconds."""
        request.queued = True
        request.queued_until = self._context.now + timeout_ms
        insort(self._entries, (-request.priority, request.sequence, request))

    def remove(self, request: Request) -> None:
        """Remove a request if it is queued."""
        if request.queued:
            request.queued = False
            self._entries.remove((-request.priority, request.sequence, request))

    def expired(self) -> list[Request]:
        """Return the requests whose timeout has passed; call this when the QUEUE_CHECK timer fires."""
        self._check_at = math.inf
        now = self._context.now
        return [request for _, _, request in self._entries if request.queued_until <= now]

    def schedule_check(self) -> None:
        """Schedule a timer for the next check, unless a timer that fires early enough is pending."""
        if not self._entries:
            return
        earliest = min(request.queued_until for _, _, request in self._entries)
        at = min(self._context.now + self._check_interval_ms, earliest)
        if at < self._check_at:
            self._check_at = at
            self._context.schedule(at, TimerKind.QUEUE_CHECK)
