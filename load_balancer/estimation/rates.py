"""Rates of units over time: a fading count and a token bucket."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True)
class FadingRate:
    """Units a millisecond that came of late, unbiased from the first moments on.

    Attributes:
        span_ms: the time constant by which older units fade.
        shortest_ms: units that came within less time than this count as spread over it.
        started_at: when the first units came, None before.
        count: the faded count as of counted_at.
        counted_at: when units came last.
    """

    span_ms: float
    shortest_ms: float = 1.0
    started_at: float | None = None
    count: float = 0.0
    counted_at: float = 0.0

    def add(self, units: float, now: float) -> None:
        """Count units that came now."""
        if self.started_at is None:
            self.started_at = now
        self.count = self._faded(now) + units
        self.counted_at = now

    def per_ms(self, now: float) -> float:
        """The present rate in units a millisecond."""
        if self.started_at is None:
            return 0.0
        return self._faded(now) / (
            self.span_ms * (1.0 - math.exp(-max(now - self.started_at, self.shortest_ms) / self.span_ms))
        )

    def _faded(self, now: float) -> float:
        return self.count * math.exp(-(now - self.counted_at) / self.span_ms) if self.count else 0.0


@dataclass(slots=True)
class TokenBucket:
    """A bucket that fills at a rate and holds a second's tokens.

    Attributes:
        per_s: tokens a second.
        tokens: the tokens as of filled_at.
        filled_at: when it was last brought up to date.
    """

    per_s: float
    tokens: float
    filled_at: float = 0.0

    def take(self, now: float) -> bool:
        """Take a token out, if there is a whole one; a bucket without a rate never runs dry."""
        if self.per_s <= 0:
            return True
        self.tokens = min(self.per_s, self.tokens + (now - self.filled_at) * self.per_s / 1000.0)
        self.filled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
