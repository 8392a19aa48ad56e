"""The timers of the policy, which share the wake-ups that the policy requests from its host."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from enum import Enum, auto
from typing import NamedTuple

from load_balancer.actions import SetTimer
from load_balancer.events import EndpointId, RequestId


class TimerKind(Enum):
    """The task to perform when a timer fires."""

    LATE_ATTEMPT = auto()
    """Check whether an attempt of a request is late."""

    ENDPOINT_LIST_POLL = auto()
    """Poll the endpoint list."""

    READMISSION = auto()
    """Try to readmit an ejected endpoint."""

    QUEUE_CHECK = auto()
    """Check the queue for requests whose timeout has passed."""


class Timer(NamedTuple):
    """The kind of a timer and the request or endpoint that the timer refers to, if any."""

    kind: TimerKind
    request_id: RequestId = 0
    endpoint_id: EndpointId = b""


class TimerQueue:
    """The pending timers, ordered by the time at which they are due.

    The sequence supplies the numbers of both timers and wake-ups.
    """

    def __init__(self, sequence: Iterator[int]) -> None:
        self._sequence = sequence
        self._timers: list[tuple[float, int, Timer]] = []
        self._wake_ups: dict[int, float] = {}  # the times of the pending wake-ups, by token

    def schedule(self, at: float, timer: Timer) -> None:
        """Schedule a timer for this time, in milliseconds."""
        heapq.heappush(self._timers, (at, next(self._sequence), timer))

    def due(self, now: float, token: int) -> Iterator[Timer]:
        """Remove the timers that are due at a wake-up and yield them in order.

        Timers that are added during the iteration are included if they are due.

        Args:
            now: the current time in milliseconds.
            token: the token of the wake-up.
        """
        self._wake_ups.pop(token, None)
        while self._timers and self._timers[0][0] <= now:
            yield heapq.heappop(self._timers)[2]

    def wake_up(self) -> SetTimer | None:
        """Return the wake-up to request, or None if no further wake-up is needed.

        A pending wake-up cannot be withdrawn.  When an earlier wake-up is requested, the later one stays
        pending and is not requested again.
        """
        if not self._timers:
            return None
        earliest = self._timers[0][0]
        if self._wake_ups and min(self._wake_ups.values()) <= earliest:
            return None
        token = next(self._sequence)
        self._wake_ups[token] = earliest
        return SetTimer(token, earliest)
