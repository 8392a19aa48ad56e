"""Estimates of how long an attempt takes."""

from __future__ import annotations

import math

from load_balancer.estimation.averages import MeanDeviation

LATENCY_SMOOTHING_FACTOR = 0.1
"""Of the mean and the mean deviation, which span about ten latencies."""

TIMEOUT_DEVIATIONS = 4.0
"""An attempt is late after the mean and this many mean deviations, as in TCP's retransmission timeout."""

MIN_TIMEOUT_MEANS = 2.0
"""It is never late before this many means, which matters for work that always takes the same time."""


class LatencyEstimator(MeanDeviation):
    """Mean and mean deviation of latencies in milliseconds."""

    __slots__ = ()

    def __init__(self) -> None:
        super().__init__(LATENCY_SMOOTHING_FACTOR)

    def attempt_timeout(self) -> float:
        """After how many milliseconds an attempt counts as late; infinite before the first latency."""
        mean = self.mean
        if not mean:
            return math.inf
        return max(mean + TIMEOUT_DEVIATIONS * self.deviation, MIN_TIMEOUT_MEANS * mean)
