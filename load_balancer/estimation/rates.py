"""Rates of units over time: a decaying rate and a token bucket."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class DecayingRate:
    """The recent rate of units, in which older ones decay exponentially; unbiased from the first units on.

    Attributes:
        time_constant_ms: the time constant of the decay.
        shortest_ms: units that came within less time than this count as spread over it.
        started_at: when the first units came, None before.
        count: the decayed count as of counted_at.
        counted_at: when units came last.
    """

    time_constant_ms: float
    shortest_ms: float = 1.0
    started_at: float | None = None
    count: float = 0.0
    counted_at: float = 0.0

    def add(self, units: float, now: float) -> None:
        """Count units that came now."""
        if self.started_at is None:
            self.started_at = now
        self.count = self._decayed_count(now) + units
        self.counted_at = now

    def per_ms(self, now: float) -> float:
        """The present rate, in units per millisecond."""
        if self.started_at is None:
            return 0.0
        age_ms = max(now - self.started_at, self.shortest_ms)
        effective_span_ms = self.time_constant_ms * (1.0 - math.exp(-age_ms / self.time_constant_ms))
        return self._decayed_count(now) / effective_span_ms

    def _decayed_count(self, now: float) -> float:
        if not self.count:
            return 0.0
        return self.count * math.exp(-(now - self.counted_at) / self.time_constant_ms)


@dataclass(slots=True, eq=False)
class TokenBucket:
    """A bucket that fills at a rate and holds the tokens of one second.

    Attributes:
        per_s: the tokens per second.
        tokens: the tokens as of filled_at.
        filled_at: when it was last brought up to date.
    """

    per_s: float
    tokens: float
    filled_at: float = 0.0

    def take(self, now: float) -> bool:
        """Take a token, if there is a complete one; a bucket without a rate always has one."""
        if self.per_s <= 0:
            return True
        self.tokens = min(self.per_s, self.tokens + (now - self.filled_at) * self.per_s / 1000.0)
        self.filled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
