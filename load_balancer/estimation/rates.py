"""A decaying rate of units over time, and a token bucket."""

from __future__ import annotations

import math


class DecayingRate:
    """The recent rate of units, weighted so that older units decay exponentially.

    Soon after the first units, the average covers less than the time constant.  The rate takes this into
    account, so that it is not too low at the start.

    Attributes:
        time_constant_ms: the time constant of the decay.
    """

    __slots__ = ("_count", "_counted_at", "_min_span_ms", "_started_at", "time_constant_ms")

    def __init__(self, time_constant_ms: float, min_span_ms: float = 1.0) -> None:
        self.time_constant_ms = time_constant_ms
        # Until this time has passed since the first units, the rate is calculated as if it had passed.
        self._min_span_ms = min_span_ms
        self._started_at: float | None = None
        self._count = 0.0
        self._counted_at = 0.0

    def add(self, units: float, now: float) -> None:
        """Add units that occurred at this time, in milliseconds."""
        if self._started_at is None:
            self._started_at = now
        self._count = self._decayed_count(now) + units
        self._counted_at = now

    def per_ms(self, now: float) -> float:
        """Return the rate at this time, in units per millisecond."""
        if self._started_at is None:
            return 0.0
        age_ms = max(now - self._started_at, self._min_span_ms)
        effective_span_ms = self.time_constant_ms * (1.0 - math.exp(-age_ms / self.time_constant_ms))
        return self._decayed_count(now) / effective_span_ms

    def _decayed_count(self, now: float) -> float:
        if not self._count:
            return 0.0
        return self._count * math.exp(-(now - self._counted_at) / self.time_constant_ms)


class TokenBucket:
    """A token bucket that starts full and holds at most the tokens of one second."""

    __slots__ = ("_refilled_at", "_per_s", "_tokens")

    def __init__(self, per_s: float) -> None:
        self._per_s = per_s
        self._tokens = per_s
        self._refilled_at = 0.0

    def take(self, now: float) -> bool:
        """Take a token if a whole one is available, and return whether a token was taken.

        A bucket whose rate is 0 has no limit, and the result is always True.
        """
        if self._per_s <= 0:
            return True
        self._tokens = min(self._per_s, self._tokens + (now - self._refilled_at) * self._per_s / 1000.0)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
