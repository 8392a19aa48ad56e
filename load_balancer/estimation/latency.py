"""Estimates of the latency of an attempt."""

from __future__ import annotations

import math

from load_balancer.estimation.averages import MeanDeviation

LATENCY_SMOOTHING_FACTOR = 0.1
"""The smoothing factor of the mean and the mean deviation, which span about ten latencies."""

TIMEOUT_DEVIATIONS = 4.0
"""The timeout is the mean plus this many mean deviations, as for TCP's retransmission timeout."""

MIN_TIMEOUT_MEANS = 2.0
"""The minimum of the timeout, as a multiple of the mean latency.

It applies to latencies that hardly vary, for which the mean deviation is close to 0.
"""


class LatencyEstimator(MeanDeviation):
    """The mean and the mean deviation of latencies, in milliseconds."""

    __slots__ = ()

    def __init__(self) -> None:
        super().__init__(LATENCY_SMOOTHING_FACTOR)

    def attempt_timeout(self) -> float:
        """Return the time after which an attempt is late, in milliseconds.

        The time is infinite before the first latency is observed.
        """
        mean = self.mean
        if not mean:
            return math.inf
        return max(mean + TIMEOUT_DEVIATIONS * self.deviation, MIN_TIMEOUT_MEANS * mean)
