"""The congestion signal, which compares latencies with their target and with the baseline latency."""

import math
from typing import NamedTuple

from load_balancer.estimation.latency import LatencyEstimator
from load_balancer.estimation.rates import DecayingRate
from load_balancer.state.context import NodeContext


class CongestionParameters(NamedTuple):
    """The latencies up to which the endpoints are not congested.

    A latency ratio is a latency divided by the latency objective of its class.

    Attributes:
        target_ratio: the target of the mean latency ratio at the first tier; it is lower at inner tiers.
        target_baseline_multiple: the minimum of the target, as a multiple of the mean latency ratio when no
            requests queue.  It applies if the objective leaves little margin above that ratio.
        max_ratio: the maximum latency ratio with which a single late response enters the mean.
        max_baseline_multiple: the bound of the mean latency, as a multiple of the baseline latency.
        sparse_max_baseline_multiple: the bound that replaces max_baseline_multiple when responses arrive so
            rarely that the averages use AveragingParameters.max_factor.  For smoothing factors between
            min_factor and max_factor, the bound is interpolated.
    """

    target_ratio: float = 0.4
    target_baseline_multiple: float = 1.6
    max_ratio: float = 1.2
    max_baseline_multiple: float = 2.0
    sparse_max_baseline_multiple: float = 1.5


class AveragingParameters(NamedTuple):
    """The number of responses over which latencies are averaged.

    Attributes:
        min_factor: the smallest smoothing factor, with which an average spans about twenty responses.
        max_factor: the largest smoothing factor, with which an average spans only about five.  The fewer
            responses arrive, the larger the factor is.
        span_objectives: the time over which the averages extend, in latency objectives, unless it contains
            fewer than five or more than twenty responses.
    """

    min_factor: float = 0.05
    max_factor: float = 0.2
    span_objectives: float = 2.0


class BaselineParameters(NamedTuple):
    """The conditions under which the baseline latency is known, and its adaptation.

    Attributes:
        min_responses: the number of responses before a mean latency can be the baseline.
        min_mean_latencies: the time since the first attempt before a mean latency can be the baseline, in
            mean latencies.  Earlier means are too low: the first attempts meet idle servers, and the fastest
            responses arrive first.
        smoothing_factor: the smoothing factor with which the baseline rises towards higher latencies.
    """

    min_responses: int = 10
    min_mean_latencies: float = 20.0
    smoothing_factor: float = 0.00003


CONGESTION = CongestionParameters()
AVERAGING = AveragingParameters()
BASELINE = BaselineParameters()

PEAK_RATE_DECAY_OBJECTIVES = 4.0
"""The time constant with which the peak rate of responses decays, in latency objectives."""


class CongestionMonitor:
    """Estimates congestion from the latencies that a node observes; latencies are in milliseconds.

    A latency ratio is a latency divided by the latency objective of its class.  The mean latency ratio is
    compared with a target, which depends on the objective and on the mean ratio when no requests queue.  The
    mean latency is compared with a bound, which is a multiple of the baseline latency.

    Attributes:
        latency: the estimator of the latencies of all attempts.
        class_latencies: the estimators of the latencies of each class, by class index.
        congestion: the larger of the mean latency ratio divided by its target and the mean latency divided
            by its bound; a value above 1 means that the endpoints are congested.
        target_congestion: the mean latency ratio divided by its target.
        mean_latency: the mean latency over about as many responses as the mean latency ratio spans.
        baseline_latency: the mean latency when no requests queue, infinite until it is known.
        lowest_mean_latency: the lowest mean latency so far, used as long as the baseline is unknown.
        mean_in_flight: the mean number of attempts in flight.
        response_rate: the recent rate of responses.
        peak_rate: the recent peak rate of responses, per millisecond, as of the last response.
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
        self.response_rate = DecayingRate(context.objective_ms)
        self.peak_rate = 0.0
        self._peak_at = 0.0
        self._started_at: float | None = None
        self._response_count = 0
        self._smoothing_factor = AVERAGING.min_factor
        self._ratio_recorded_at = 0.0
        self._mean_ratio = 0.0
        self._baseline_ratio = 1.0
        self._long_mean_latency = 0.0  # always spans about twenty responses

    def record_send(self) -> None:
        """Record that an attempt was sent; only the time of the first attempt is kept."""
        if self._started_at is None:
            self._started_at = self._context.now

    def baseline_known(self) -> bool:
        """Return whether enough responses have arrived over enough time for their mean to be a baseline."""
        if self._started_at is None or self._response_count < BASELINE.min_responses:
            return False
        return self._context.now - self._started_at >= BASELINE.min_mean_latencies * self.mean_latency

    def peak_decay_factor(self) -> float:
        """Return the factor by which the peak rate has decayed since the last response.

        The decay depends on time instead of responses, because few responses arrive during an overload.
        """
        return math.exp(-(self._context.now - self._peak_at) / self._peak_decay_ms)

    def record_response(self, latency: float) -> None:
        """Record the latency of a response in the means, the baseline and the peak rate of responses."""
        now = self._context.now
        self._response_count += 1
        cumulative_factor = 1.0 / self._response_count
        self.mean_latency += max(self._smoothing_factor, cumulative_factor) * (latency - self.mean_latency)
        # The lowest value of a short average is far below the true mean, so the baseline uses a longer
        # average.
        mean = self._long_mean_latency
        mean += max(AVERAGING.min_factor, cumulative_factor) * (latency - mean)
        self._long_mean_latency = mean
        self.response_rate.add(1.0, now)
        if self._response_count >= BASELINE.min_responses:
            self.lowest_mean_latency = min(self.lowest_mean_latency, mean)
        decayed_peak_rate = self.peak_rate * self.peak_decay_factor()
        self._peak_at = now
        if self.baseline_known():
            # A count of n varies by about its square root.  Subtract this deviation, because the highest rate
            # over few responses is mostly chance.
            rate = self.response_rate.per_ms(now)
            self.peak_rate = max(
                decayed_peak_rate, rate - math.sqrt(rate / self.response_rate.time_constant_ms)
            )
            self._update_baseline(mean)

    def record_latency_ratio(self, ratio: float) -> None:
        """Record a latency ratio and the current number of attempts in flight, and update the congestion."""
        now = self._context.now
        factor = (now - self._ratio_recorded_at) / self._averaging_ms
        self._ratio_recorded_at = now
        factor = min(max(factor, AVERAGING.min_factor), AVERAGING.max_factor)
        self._smoothing_factor += AVERAGING.max_factor * (factor - self._smoothing_factor)
        self._mean_ratio += self._smoothing_factor * (min(ratio, CONGESTION.max_ratio) - self._mean_ratio)
        in_flight = len(self._context.requests.attempts)
        self.mean_in_flight += self._smoothing_factor * (in_flight - self.mean_in_flight)
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
        # If the baseline itself is near the target, the target alone would cause endless load shedding.
        return max(self._objective_target_ratio, CONGESTION.target_baseline_multiple * self._baseline_ratio)

    def _latency_bound(self) -> float:
        # If responses are few, they show congestion only after servers are overloaded, so the bound is lower.
        sparseness = (self._smoothing_factor - AVERAGING.min_factor) / (
            AVERAGING.max_factor - AVERAGING.min_factor
        )
        baseline_multiple = CONGESTION.max_baseline_multiple + sparseness * (
            CONGESTION.sparse_max_baseline_multiple - CONGESTION.max_baseline_multiple
        )
        return baseline_multiple * self.baseline_latency
