"""The queue of requests that wait for an attempt, ordered by priority and then by age."""

from __future__ import annotations

import heapq
import math
from bisect import bisect_left, insort

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
        self._by_number: dict[int, Request] = {}  # by the number of the request's entry
        # A heap of the times at which timeouts pass, with the numbers of the entries.  Those of requests that
        # have left the queue stay until they are the first ones, so that a long queue costs little.
        self._timeouts: list[tuple[float, int]] = []
        self._last_number = 0

    def __len__(self) -> int:
        return len(self._entries)

    def __getitem__(self, position: int) -> Request:
        return self._entries[position][2]

    def add(self, request: Request, timeout_ms: float) -> None:
        """Add a request, whose timeout passes after this many milliseconds."""
        request.queued = True
        request.queued_until = self._context.now + timeout_ms
        insort(self._entries, (-request.priority, request.sequence, request))
        self._last_number += 1
        request.queue_entry = self._last_number
        self._by_number[request.queue_entry] = request
        heapq.heappush(self._timeouts, (request.queued_until, request.queue_entry))

    def remove(self, request: Request) -> None:
        """Remove a request if it is queued."""
        if request.queued:
            request.queued = False
            del self._by_number[request.queue_entry]
            del self._entries[bisect_left(self._entries, (-request.priority, request.sequence))]

    def expired(self) -> list[Request]:
        """Return the requests whose timeout has passed, in the order of the queue.

        Call this when the QUEUE_CHECK timer fires, and then remove each of them or add it again.
        """
        self._check_at = math.inf
        expired: list[Request] = []
        while self._first_timeout() <= self._context.now:
            _, number = heapq.heappop(self._timeouts)
            expired.append(self._by_number[number])
        return sorted(expired, key=lambda request: (-request.priority, request.sequence))

    def schedule_check(self) -> None:
        """Schedule a timer for the next check, unless a timer that fires early enough is pending."""
        if not self._entries:
            return
        at = min(self._context.now + self._check_interval_ms, self._first_timeout())
        if at < self._check_at:
            self._check_at = at
            self._context.schedule(at, TimerKind.QUEUE_CHECK)

    def _first_timeout(self) -> float:
        """Return the time at which the next timeout passes; infinity if no request is queued."""
        timeouts = self._timeouts
        while timeouts and timeouts[0][1] not in self._by_number:
            heapq.heappop(timeouts)
        return timeouts[0][0] if timeouts else math.inf
