"""The congestion signal: latencies against their target and against the baseline of light load."""

import math

from load_balancer.estimation.latency import LatencyEstimator
from load_balancer.estimation.rates import FadingRate
from load_balancer.state.context import NodeContext

TARGET_RATIO = 0.4  # latencies are kept below this part of the objective, less for inner tiers
TARGET_BASELINES = 1.6  # and this many times the baseline ratio, where the objective leaves little margin
RATIO_CAP = 1.2  # in objectives: what one very late answer counts at most
BASELINES_CONGESTED = 2.0  # and below this many times the node's baseline latency
BASELINES_CONGESTED_SPARSE = 1.5  # where a node has so few answers that congestion is averaged over five
BASELINE_ANSWERS_MIN = 10  # answers before a mean latency counts as baseline
BASELINE_MEANS_MIN = 20.0  # and mean latencies since the first attempt: the first meet an empty fleet
BASELINE_FADE = 0.00003  # by which the baseline follows the present mean at each answer
CONGESTION_STEP = 0.05  # congestion is averaged over about twenty answers
CONGESTION_OBJECTIVES = 2.0  # but where those take longer than this many objectives, over as many as come,
CONGESTION_STEP_MAX = 0.2  # five at the least: at full size twenty answers of a node come after the overload
PEAK_FADE = 4.0  # the best rate fades over this many objectives


class CongestionMonitor:
    """Follows the latencies of a node."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self.latency = LatencyEstimator()  # of all attempts
        self.class_latencies = [LatencyEstimator() for _ in context.settings.classes]
        self.congestion = 0.0  # latencies against what they may be; above 1 the fleet is congested
        self.target_pressure = 0.0  # the part of it that compares with the target
        self.mean_latency = 0.0  # over the answers that congestion is averaged on
        self.baseline_latency = math.inf  # the mean latency when nothing queues, infinite until it is known
        self.least_mean_latency = math.inf  # stands for it until then
        self.mean_in_flight = 0.0
        self.answer_rate = FadingRate(context.objective_ms)
        self.peak_rate = 0.0  # the best recent rate of answers a millisecond
        self._peak_at = 0.0
        self._started_at: float | None = None
        self._answers = 0
        self._step = CONGESTION_STEP
        self._stepped_at = 0.0
        self._ratio = 0.0  # mean latency as a part of the objective
        self._baseline_ratio = 1.0
        self._long_mean_latency = 0.0  # over about twenty answers

    def record_send(self) -> None:
        """Take note of an attempt's start."""
        if self._started_at is None:
            self._started_at = self._context.now

    def baseline_known(self) -> bool:
        """The first answers to come back are the quick ones: a mean of those alone is too low for long."""
        if self._started_at is None or self._answers < BASELINE_ANSWERS_MIN:
            return False
        return self._context.now - self._started_at >= BASELINE_MEANS_MIN * self.mean_latency

    def peak_fade(self) -> float:
        """What is left of the best rate: it fades with time, not with answers: under overload none come."""
        return math.exp(-(self._context.now - self._peak_at) / (PEAK_FADE * self._context.objective_ms))

    def record_answer(self, latency: float) -> None:
        """Follow the baseline: the mean latency at the lightest load, when nothing queues."""
        now = self._context.now
        self._answers += 1
        self.mean_latency += max(self._step, 1.0 / self._answers) * (latency - self.mean_latency)
        # The least of a short average lies far below any mean: the baseline is taken from a longer one.
        mean = self._long_mean_latency
        mean = self._long_mean_latency = mean + max(CONGESTION_STEP, 1.0 / self._answers) * (latency - mean)
        self.answer_rate.add(1.0, now)
        if self._answers >= BASELINE_ANSWERS_MIN:
            self.least_mean_latency = min(self.least_mean_latency, mean)
        fade = self.peak_fade()
        self._peak_at = now
        if self.baseline_known():
            # A count of n is known to within its root: the best of few answers is mostly luck.
            rate = self.answer_rate.per_ms(now)
            self.peak_rate = max(self.peak_rate * fade, rate - math.sqrt(rate / self.answer_rate.span_ms))
            self.baseline_latency = min(self.baseline_latency, mean)
            self.baseline_latency += BASELINE_FADE * (mean - self.baseline_latency)
            self._baseline_ratio = min(self._baseline_ratio, self._ratio)
            self._baseline_ratio += BASELINE_FADE * (self._ratio - self._baseline_ratio)

    def record_ratio(self, ratio: float) -> None:
        """Take in a latency as a part of its objective, and the attempts in flight."""
        now, settings = self._context.now, self._context.settings
        part = (now - self._stepped_at) / (CONGESTION_OBJECTIVES * self._context.objective_ms)
        self._stepped_at = now
        step = min(max(part, CONGESTION_STEP), CONGESTION_STEP_MAX)
        self._step += CONGESTION_STEP_MAX * (step - self._step)
        self._ratio += self._step * (min(ratio, RATIO_CAP) - self._ratio)
        in_flight = len(self._context.requests.attempts)
        self.mean_in_flight += self._step * (in_flight - self.mean_in_flight)
        # Few answers show it late: by then servers are overloaded, so less than that counts as congestion.
        sparse = (self._step - CONGESTION_STEP) / (CONGESTION_STEP_MAX - CONGESTION_STEP)
        times = BASELINES_CONGESTED + sparse * (BASELINES_CONGESTED_SPARSE - BASELINES_CONGESTED)
        bound = times * self.baseline_latency
        # Where even the baseline latencies are near the target, holding to it would shed without end.
        target = TARGET_RATIO * (settings.tier_count - settings.tier_index) / settings.tier_count
        if self.baseline_latency < math.inf:
            target = max(target, TARGET_BASELINES * self._baseline_ratio)
        self.target_pressure = self._ratio / target
        self.congestion = max(self.target_pressure, self.mean_latency / bound if bound > 0 else 0.0)
