"""Estimates of how long an attempt takes."""

import math
from dataclasses import dataclass

from load_balancer.estimation.averages import MeanDeviation

LATENCY_STEP = 0.1
TIMEOUT_DEVIATIONS = 4.0  # timeout = mean + this many mean deviations, as in TCP's retransmission timeout
TIMEOUT_MEANS_MIN = 2.0  # and at least this many means, for work that always takes the same time


@dataclass(slots=True)
class LatencyEstimator(MeanDeviation):
    """Mean and mean deviation of latencies in milliseconds."""

    step: float = LATENCY_STEP

    def attempt_timeout(self) -> float:
        """After how many milliseconds an attempt counts as late; infinite before the first latency."""
        mean = self.mean
        return max(mean + TIMEOUT_DEVIATIONS * self.deviation, TIMEOUT_MEANS_MIN * mean) if mean else math.inf
