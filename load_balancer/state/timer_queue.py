"""The policy's timers, on the one wake-up that it asks its host for at a time."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, auto

from load_balancer.actions import SetTimer
from load_balancer.events import EndpointId, RequestId


class TimerKind(Enum):
    """What is due when a timer fires."""

    LATE_ATTEMPT = auto()
    """An attempt of a request is late."""

    ENDPOINT_LIST_POLL = auto()
    """The endpoint list is to be polled."""

    READMISSION = auto()
    """An ejected endpoint may come back."""

    QUEUE_CHECK = auto()
    """Requests may have waited in the queue for long enough."""


@dataclass(frozen=True, slots=True)
class Timer:
    """A timer and the request or endpoint that it is about."""

    kind: TimerKind
    request_id: RequestId = 0
    endpoint_id: EndpointId = b""


class TimerQueue:
    """Timers by the time at which they are due; sequence numbers them and the tokens of wake-ups."""

    def __init__(self, sequence: Iterator[int]) -> None:
        self._sequence = sequence
        self._timers: list[tuple[float, int, Timer]] = []
        self._wake_ups: dict[int, float] = {}  # those asked for and not fired yet, by token

    def schedule(self, at: float, timer: Timer) -> None:
        """Have a timer fire at or after a time."""
        heapq.heappush(self._timers, (at, next(self._sequence), timer))

    def due(self, now: float, token: int) -> Iterator[Timer]:
        """Take out what is due at a wake-up, one by one, also what is scheduled for now meanwhile."""
        self._wake_ups.pop(token, None)
        while self._timers and self._timers[0][0] <= now:
            yield heapq.heappop(self._timers)[2]

    def wake_up(self) -> SetTimer | None:
        """The wake-up to request, where none is pending that comes soon enough.

        One that was asked for cannot be withdrawn: where an earlier one was needed meanwhile it is still
        pending, and is not asked for again.
        """
        if not self._timers:
            return None
        earliest = self._timers[0][0]
        if any(at <= earliest for at in self._wake_ups.values()):
            return None
        token = next(self._sequence)
        self._wake_ups[token] = earliest
        return SetTimer(token, earliest)
