"""Admission control: tenant quotas, queue timeouts and the adaptive concurrency limit."""

import math

from load_balancer.estimation.rates import TokenBucket
from load_balancer.policy.congestion import BASELINES_CONGESTED, CongestionMonitor
from load_balancer.policy.slow_start import SlowStart
from load_balancer.settings import Settings
from load_balancer.state.context import NodeContext
from load_balancer.state.records import Request

LIMIT_DOWN = 0.9
LIMIT_DOWN_MAX = 0.5  # a cut is as deep as the congestion, down to this
LIMIT_UP = 1.05
LIMIT_USED_MIN = 0.8  # part of the limit that must be in use for it to grow
LIMIT_UP_START = 1.2  # the growth for each mean latency until the first congestion
GROWTH_MARGIN = 1.65  # attempts in flight for each that the best rate needs at the baseline: no growth beyond
CUT_MARGIN = 1.2  # margin over the attempts in flight that the best recent rate needs at the baseline latency
# Attempts in flight for each warm server's worth of capacity, at the start, so that a restart is no overload,
# and at the most where fewer are in work.  A server at which more than a few wait for seconds turns slow; how
# many is not known.  It is right for two tiers: with more behind it a server holds more that wait for these.
LIMIT_START = 6.0
WORK_MARGIN = 1.4  # and at the most for each attempt in work, where they take long
# Part of the objective that a request may queue.  A rejected client tries again in time; one that waits
# takes, when it is sent at last, the place of one that came later and would still be answered in time.
QUEUE_TIMEOUT = 0.05
QUEUE_CHECK = 0.02  # part of the objective between checks of queued requests


def sharing_nodes(settings: Settings) -> int:
    """The nodes that split what all may admit; further in, what is held back costs the work done for it."""
    return 1 if settings.tier_index else settings.node_count


class TenantQuotas:
    """A token bucket of a second's quota for each tenant, at the tier that clients reach."""

    def __init__(self, settings: Settings) -> None:
        rates = [tenant.quota_per_s / settings.node_count for tenant in settings.tenants]
        self._buckets = [] if settings.tier_index else [TokenBucket(rate, rate) for rate in rates]

    def admits(self, tenant: int, now: float) -> bool:
        """Whether a request is within its tenant's quota; counts it."""
        return not 0 <= tenant < len(self._buckets) or self._buckets[tenant].take(now)


def arrival_timeout(request: Request, budget: float, settings: Settings) -> float:
    """How long a new request may queue, in milliseconds; further in than the front its work would be lost."""
    return 0.5 * budget if settings.tier_index else retry_timeout(request, budget)


def retry_timeout(request: Request, left: float) -> float:
    """How long a request may queue for a further attempt with so much time left, in milliseconds."""
    return min(QUEUE_TIMEOUT * request.request_class.latency_objective_ms, 0.5 * left)


class ConcurrencyLimit:
    """The limit of attempts in flight, which follows congestion."""

    def __init__(self, context: NodeContext, slow_start: SlowStart, monitor: CongestionMonitor) -> None:
        self.limit = 0.0  # set by the first endpoint list; less than one where many nodes share few requests
        self._context = context
        self._slow_start = slow_start
        self._monitor = monitor
        self._sharers = sharing_nodes(context.settings)
        self._tiers_left = context.settings.tier_count - context.settings.tier_index
        # A server holds its slot while it waits for the tiers behind it.  With three tiers answers of 1.7
        # times the baseline, no congestion, held the capacity bound where it was for good.
        self._depth = max(1.0, self._tiers_left / 2)
        self._was_congested = False
        self._shedding = False
        self._adjusted_at = 0.0

    def admits(self, request: Request) -> bool:
        """Whether the limit leaves room for this request.

        Where many nodes share few requests the limit may be less than one: whole numbers would send far too
        many or too few over all nodes, so each request carries the draw that settles the fraction.  What the
        list says of fewer or warming servers counts at once: latencies show it seconds later, when all nodes
        have overloaded the rest.
        """
        in_flight = len(self._context.requests.attempts) + request.admission_draw
        # Until the baseline is known or there was congestion there is nothing to learn a limit from.
        learned = self._was_congested or self._monitor.baseline_latency < math.inf
        return (in_flight < self.limit or not learned) and in_flight < self.capacity_bound()

    def capacity_bound(self) -> float:
        """Attempts in flight that the listed servers sustain, however quickly they answer.

        By Little's law as many are in work as are answered in the time of an answer when nothing queues.
        Where that is long they are more than a start's: a fleet whose answers took 1.3 s of an objective of
        4.5 s rejected two of three requests at light load, with no congestion at all.
        """
        baseline, rate = self._monitor.baseline_latency, self._monitor.answer_rate
        baseline = baseline if baseline < math.inf else self._monitor.least_mean_latency
        working = rate.per_ms(self._context.now) * baseline if baseline < math.inf else 0.0
        return max(self.start_limit(), WORK_MARGIN * self._depth * working)

    def start_limit(self) -> float:
        """The limit that a node starts with: its part of what the fleet may hold."""
        return LIMIT_START * self._depth * max(1.0, self._slow_start.total_capacity() / self._sharers)

    def on_endpoint_list(self) -> None:
        """Rise with the fleet until the first congestion."""
        if not self._was_congested:
            self.limit = max(self.limit, self.start_limit())

    def record_ratio(self, ratio: float) -> None:
        """Take in a latency as a part of its objective, and adjust the limit to the congestion.

        Not once in a mean latency alone: under overload that grows to the clients' deadline, and the limit
        was cut every five seconds only, while four hundred nodes went on sending what nobody waited for.
        """
        monitor, now = self._monitor, self._context.now
        monitor.record_ratio(ratio)
        span = min(monitor.latency.mean, BASELINES_CONGESTED * monitor.baseline_latency)
        if now - self._adjusted_at < min(span, self._context.objective_ms):
            return
        self._adjusted_at = now
        if monitor.congestion > 1.0:
            self._was_congested = True
            self._cut()
        elif len(self._context.requests.attempts) + 1 >= LIMIT_USED_MIN * self.limit:
            self._grow()
        self._report_shedding(monitor.congestion > 1.0)

    def _least(self) -> float:
        """The least limit: with an attempt at each server for every tier to come its core is just kept busy.

        At one attempt a front that had taken its first quick answers for the baseline shed 40% all day.
        """
        return self._tiers_left * len(self._context.endpoints.drawable) / self._sharers

    def _cut(self) -> None:
        """Cut at most to what was in flight when as much was answered without a queue, times a margin."""
        monitor = self._monitor
        # Repeated blind cuts shed at random, and what is then admitted overloads the servers again.
        quiet_latency = min(monitor.baseline_latency, monitor.mean_latency)
        enough = CUT_MARGIN * monitor.peak_rate * monitor.peak_fade() * quiet_latency
        down = min(LIMIT_DOWN, max(LIMIT_DOWN_MAX, 1.0 / monitor.congestion))
        # The mean in flight, and a deviation more: at one moment few attempts may be far fewer.
        reach = max(1.0, monitor.mean_in_flight + math.sqrt(monitor.mean_in_flight))
        # While latencies meet their target, to no less than a node starts with: they are twice the baseline
        # in a burst of heavy work, and lower limits halved the rate of answers at a third of the objective,
        # and rejected the rest.  It could hurt where servers sustain far fewer attempts than LIMIT_START.
        least = self._least()
        if monitor.target_pressure < 1.0:
            least = max(least, self.start_limit())
        self.limit = max(least, enough, min(self.limit, reach) * down)

    def _grow(self) -> None:
        """Grow to what the best rate seen needs, by Little's law: more attempts in flight mean a queue.

        Latencies show that late, when the limit has doubled once too often.  Until the baseline is known
        there is no growth beyond the capacity bound.
        """
        monitor = self._monitor
        if not monitor.baseline_known():
            self.limit = max(self.limit, self.capacity_bound())
            return
        grown = self.limit * (LIMIT_UP if self._was_congested else LIMIT_UP_START) + 1.0
        enough = GROWTH_MARGIN * monitor.baseline_latency * monitor.peak_rate
        enough = max(enough, LIMIT_START * self._least())
        enough += math.sqrt(enough)
        self.limit = max(self.limit, min(grown, enough))

    def _report_shedding(self, shedding: bool) -> None:
        if shedding == self._shedding:
            return
        self._shedding = shedding
        monitor, name = self._monitor, "load_shedding_started" if shedding else "load_shedding_stopped"
        latencies = {"mean_latency_ms": monitor.mean_latency, "baseline_latency_ms": monitor.baseline_latency}
        self._context.log(name, concurrency_limit=self.limit, congestion=monitor.congestion, **latencies)
