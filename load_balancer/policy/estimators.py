"""Estimates of how long an attempt takes."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from load_balancer.settings import RequestClass

TIMEOUT_DEVIATIONS = 4.0  # timeout = mean + this many mean deviations, as in TCP's retransmission timeout
TIMEOUT_MEANS_MIN = 2.0  # and at least this many means, for work that always takes the same time


@dataclass(slots=True)
class LatencyEstimator:
    """Mean and mean deviation of latencies in milliseconds; both 0 before the first."""

    mean: float = 0.0
    deviation: float = 0.0

    def observe(self, latency: float) -> None:
        """Take in one latency."""
        if self.mean == 0.0:
            self.mean, self.deviation = latency, latency / 2
        else:
            self.deviation += 0.1 * (abs(latency - self.mean) - self.deviation)
            self.mean += 0.1 * (latency - self.mean)

    def attempt_timeout(self) -> float:
        """After how many milliseconds an attempt counts as late; infinite before the first latency."""
        mean = self.mean
        return max(mean + TIMEOUT_DEVIATIONS * self.deviation, TIMEOUT_MEANS_MIN * mean) if mean else math.inf


class LatencyEstimates:
    """The latencies of all attempts, and of each class by its index."""

    def __init__(self, classes: Sequence[RequestClass]) -> None:
        self.overall = LatencyEstimator()
        self.by_class = [LatencyEstimator() for _ in classes]
