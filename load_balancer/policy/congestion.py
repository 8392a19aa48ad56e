"""The congestion signal: latencies against their target and against the baseline of light load."""

import math
from typing import NamedTuple

from load_balancer.estimation.latency import LatencyEstimator
from load_balancer.estimation.rates import DecayingRate
from load_balancer.state.context import NodeContext


class CongestionParameters(NamedTuple):
    """Up to which latencies the fleet is not congested; latency ratios are in latency objectives.

    Attributes:
        target_ratio: latencies are to stay below this ratio, less at inner tiers.
        target_baselines: where the objective leaves little margin the bound is this multiple of the baseline
            ratio.
        max_ratio: one very late response counts as this ratio at most.
        baselines: mean latencies are to stay below this multiple of the baseline latency as well.
        sparse_baselines: the same where the averages span only as few responses as they may.
    """

    target_ratio: float = 0.4
    target_baseline_multiple: float = 1.6
    max_ratio: float = 1.2
    max_baseline_multiple: float = 2.0
    sparse_max_baseline_multiple: float = 1.5


class AveragingParameters(NamedTuple):
    """Over how many responses latencies are averaged.

    Attributes:
        min_factor: the smoothing factor, which spans about twenty responses.
        max_factor: where these take too long the average spans as few as five.
        objectives: the time that twenty responses may take, in latency objectives.
    """

    min_factor: float = 0.05
    max_factor: float = 0.2
    span_objectives: float = 2.0


class BaselineParameters(NamedTuple):
    """When the baseline latency is known, and how it follows.

    Attributes:
        min_answers: responses before a mean latency can be the baseline.
        min_mean_latencies: and the time since the first attempt, in mean latencies: the first responses come
            from an empty fleet, and the first to arrive are the quick ones.
        follow_factor: the smoothing factor by which the baseline follows higher latencies.
    """

    min_answers: int = 10
    min_mean_latencies: float = 20.0
    smoothing_factor: float = 0.00003


CONGESTION = CongestionParameters()
AVERAGING = AveragingParameters()
BASELINE = BaselineParameters()

PEAK_RATE_DECAY_OBJECTIVES = 4.0
"""The best rate of responses decays with this time constant, in latency objectives."""


class CongestionMonitor:
    """Follows the latencies of a node; all are in milliseconds.

    Attributes:
        latency: the latencies of all attempts.
        class_latencies: the latencies of each class, by class index.
        congestion: latencies against their bounds; above 1 the fleet is congested.
        target_pressure: latencies against their target alone.
        mean_latency: the mean over those responses that the congestion is averaged over.
        baseline_latency: the mean latency when nothing queues, infinite until it is known.
        lowest_mean_latency: the lowest mean so far, which replaces the baseline until that is known.
        mean_in_flight: the mean number of attempts in flight.
        answer_rate: the rate of responses.
        peak_rate: the best recent rate of responses, per millisecond.
    """

    def __init__(self, context: NodeContext) -> None:
        settings = context.settings
        tiers_left = settings.tier_count - settings.tier_index
        self._context = context
        self._objective_target_ratio = CONGESTION.target_ratio * tiers_left / settings.tier_count
        self._averaging_ms = AVERAGING.span_objectives * context.objective_ms
        self._peak_decay_ms = PEAK_RATE_DECAY_OBJECTIVES * context.objective_ms
        self.latency = LatencyEstimator()
        self.class_latencies = [LatencyEstimator() for _ in context.settings.classes]
        self.congestion = 0.0
        self.target_congestion = 0.0
        self.mean_latency = 0.0
        self.baseline_latency = math.inf
        self.lowest_mean_latency = math.inf
        self.mean_in_flight = 0.0
        self.answer_rate = DecayingRate(context.objective_ms)
        self.peak_rate = 0.0
        self._peak_at = 0.0
        self._started_at: float | None = None
        self._answers = 0
        self._factor = AVERAGING.min_factor
        self._ratio_recorded_at = 0.0
        self._mean_ratio = 0.0
        self._baseline_ratio = 1.0
        self._long_mean_latency = 0.0  # always over about twenty responses

    def record_send(self) -> None:
        """Record that an attempt was sent."""
        if self._started_at is None:
            self._started_at = self._context.now

    def baseline_known(self) -> bool:
        """Whether enough responses have come, for long enough, for their mean to be a baseline."""
        if self._started_at is None or self._answers < BASELINE.min_answers:
            return False
        return self._context.now - self._started_at >= BASELINE.min_mean_latencies * self.mean_latency

    def peak_decay_factor(self) -> float:
        """The part of the best rate that is left; it decays with time, as an overload brings no responses."""
        return math.exp(-(self._context.now - self._peak_at) / self._peak_decay_ms)

    def record_answer(self, latency: float) -> None:
        """Record the latency of a response, for the means, the baseline and the best rate."""
        now = self._context.now
        self._answers += 1
        cumulative_factor = 1.0 / self._answers
        self.mean_latency += max(self._factor, cumulative_factor) * (latency - self.mean_latency)
        # The lowest value of a short average lies far below any mean, so the baseline needs a longer one.
        mean = self._long_mean_latency
        mean += max(AVERAGING.min_factor, cumulative_factor) * (latency - mean)
        self._long_mean_latency = mean
        self.answer_rate.add(1.0, now)
        if self._answers >= BASELINE.min_answers:
            self.lowest_mean_latency = min(self.lowest_mean_latency, mean)
        decayed_peak_rate = self.peak_rate * self.peak_decay_factor()
        self._peak_at = now
        if self.baseline_known():
            # A count of n is known to within its square root; the best of few responses is mostly chance.
            rate = self.answer_rate.per_ms(now)
            self.peak_rate = max(
                decayed_peak_rate, rate - math.sqrt(rate / self.answer_rate.time_constant_ms)
            )
            self._update_baseline(mean)

    def record_latency_ratio(self, ratio: float) -> None:
        """Record a latency in latency objectives, and the attempts in flight, for the congestion."""
        now = self._context.now
        factor = (now - self._ratio_recorded_at) / self._averaging_ms
        self._ratio_recorded_at = now
        factor = min(max(factor, AVERAGING.min_factor), AVERAGING.max_factor)
        self._factor += AVERAGING.max_factor * (factor - self._factor)
        self._mean_ratio += self._factor * (min(ratio, CONGESTION.max_ratio) - self._mean_ratio)
        in_flight = len(self._context.requests.attempts)
        self.mean_in_flight += self._factor * (in_flight - self.mean_in_flight)
        self.target_congestion = self._mean_ratio / self._target_ratio()
        bound = self._latency_bound()
        self.congestion = max(self.target_congestion, self.mean_latency / bound if bound > 0 else 0.0)

    def _update_baseline(self, mean_latency: float) -> None:
        self.baseline_latency = min(self.baseline_latency, mean_latency)
        self.baseline_latency += BASELINE.smoothing_factor * (mean_latency - self.baseline_latency)
        self._baseline_ratio = min(self._baseline_ratio, self._mean_ratio)
        self._baseline_ratio += BASELINE.smoothing_factor * (self._mean_ratio - self._baseline_ratio)

    def _target_ratio(self) -> float:
        if self.baseline_latency == math.inf:
            return self._objective_target_ratio
        # Where even the baseline is near the target, the target alone would shed load without end.
        return max(self._objective_target_ratio, CONGESTION.target_baseline_multiple * self._baseline_ratio)

    def _latency_bound(self) -> float:
        # Few responses show congestion late, when servers are overloaded already: they get a lower bound.
        sparseness = (self._factor - AVERAGING.min_factor) / (AVERAGING.max_factor - AVERAGING.min_factor)
        baseline_multiple = CONGESTION.max_baseline_multiple + sparseness * (
            CONGESTION.sparse_max_baseline_multiple - CONGESTION.max_baseline_multiple
        )
        return baseline_multiple * self.baseline_latency
