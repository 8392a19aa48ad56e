"""The adaptive concurrency limit: how many attempts of this node may be in flight."""

import math
from typing import NamedTuple

from load_balancer.policy.admission import sharing_node_count
from load_balancer.policy.congestion import CONGESTION, CongestionMonitor
from load_balancer.policy.slow_start import SlowStart
from load_balancer.state.context import NodeContext
from load_balancer.state.request_records import Request


class CapacityParameters(NamedTuple):
    """What the listed servers sustain, independent of latencies.

    Attributes:
        start_per_server: attempts in flight for each warm server's worth of capacity, at the start and as the
            bound where few are in work.  A server with more waiting turns slow.  The figure is for two tiers:
            with more tiers a server also holds the attempts that wait for those.
        in_work_margin: the bound for each attempt in work, where responses take long.
        tiers_per_depth: with this number of tiers left the depth, by which both are multiplied, is one.
    """

    initial_per_server: float = 6.0
    in_service_margin: float = 1.4
    reference_tiers: float = 2.0


class GrowthParameters(NamedTuple):
    """How the limit grows while there is no congestion.

    Attributes:
        factor: the growth at each adjustment.
        initial_factor: the growth until the first congestion.
        min_used_fraction: the part of the limit that must be in use for it to grow.
        rate_margin: the limit grows no further than this multiple of the attempts in flight that the best
            rate of responses needs at the baseline latency.
    """

    factor: float = 1.05
    initial_factor: float = 1.2
    min_used_fraction: float = 0.8
    rate_margin: float = 1.65


class DecreaseParameters(NamedTuple):
    """How the limit falls under congestion.

    Attributes:
        max_factor: the limit falls to this part at each adjustment, or less the stronger the congestion is.
        min_factor: the limit falls to no less than this part at one adjustment.
        rate_margin: it falls no further than this multiple of the attempts in flight that the best recent
            rate of responses needs at the baseline latency.
    """

    max_factor: float = 0.9
    min_factor: float = 0.5
    rate_margin: float = 1.2


CAPACITY = CapacityParameters()
GROWTH = GrowthParameters()
DECREASE = DecreaseParameters()


class ConcurrencyLimit:
    """The limit of attempts in flight, which follows congestion.

    Attributes:
        limit: the limit, set by the first endpoint list; below one where many nodes share few requests.
    """

    def __init__(self, context: NodeContext, slow_start: SlowStart, monitor: CongestionMonitor) -> None:
        self.limit = 0.0
        self._context = context
        self._slow_start = slow_start
        self._monitor = monitor
        self._sharing_node_count = sharing_node_count(context.settings)
        self._tiers_left = context.settings.tier_count - context.settings.tier_index
        # A server holds its slot while it waits for the tiers behind it.
        self._depth_factor = max(1.0, self._tiers_left / CAPACITY.reference_tiers)
        self._was_congested = False
        self._shedding = False
        self._adjusted_at = 0.0

    def admits(self, request: Request) -> bool:
        """Whether the limit leaves capacity for this request.

        The limit may be below one, and whole numbers would admit far too many or too few requests over all
        nodes.  So each request carries the random draw that settles the fraction.
        """
        in_flight = len(self._context.requests.attempts) + request.admission_draw
        # The limit is learned once the baseline is known or there has been congestion.
        learned = self._was_congested or self._monitor.baseline_latency < math.inf
        return (in_flight < self.limit or not learned) and in_flight < self.capacity_bound()

    def capacity_bound(self) -> float:
        """The attempts in flight that the listed servers sustain, however quickly they respond.

        It follows the endpoint list at once, where latencies show removed or warming servers seconds later.
        By Little's law as many attempts are in work as are answered in the time of a response when nothing
        queues; where responses take long by themselves these are more than at the start.
        """
        monitor = self._monitor
        baseline = monitor.baseline_latency
        if baseline == math.inf:
            baseline = monitor.lowest_mean_latency
        in_service = 0.0
        if baseline < math.inf:
            in_service = monitor.answer_rate.per_ms(self._context.now) * baseline
        return max(self.initial_limit(), CAPACITY.in_service_margin * self._depth_factor * in_service)

    def initial_limit(self) -> float:
        """The limit that a node starts with: its part of what the fleet may hold."""
        warm_servers = max(1.0, self._slow_start.total_capacity() / self._sharing_node_count)
        return CAPACITY.initial_per_server * self._depth_factor * warm_servers

    def on_endpoint_list(self) -> None:
        """Raise the limit with the fleet until the first congestion."""
        if not self._was_congested:
            self.limit = max(self.limit, self.initial_limit())

    def record_latency_ratio(self, ratio: float) -> None:
        """Record a latency as a part of its objective, and adjust the limit at intervals.

        The interval is the mean latency, with an upper bound: under overload latencies grow to the clients'
        deadline, and the limit would fall too slowly.
        """
        monitor, now = self._monitor, self._context.now
        monitor.record_latency_ratio(ratio)
        interval = min(monitor.latency.mean, CONGESTION.max_baseline_multiple * monitor.baseline_latency)
        if now - self._adjusted_at < min(interval, self._context.objective_ms):
            return
        self._adjusted_at = now
        congested = monitor.congestion > 1.0
        if congested:
            self._was_congested = True
            self._decrease()
        elif len(self._context.requests.attempts) + 1 >= GROWTH.min_used_fraction * self.limit:
            self._grow()
        self._log_shedding(congested)

    def _minimum(self) -> float:
        """The lowest limit: one attempt at each server for every tier left, which just keeps it busy."""
        return self._tiers_left * len(self._context.endpoints.selectable) / self._sharing_node_count

    def _decrease(self) -> None:
        """Lower the limit, at most to what the best recent rate of responses needs when nothing queues.

        Lower cuts shed at random, and what is admitted afterwards overloads the servers again.
        """
        monitor = self._monitor
        unqueued_latency = min(monitor.baseline_latency, monitor.mean_latency)
        needed = DECREASE.rate_margin * monitor.peak_rate * monitor.peak_decay_factor() * unqueued_latency
        factor = min(DECREASE.max_factor, max(DECREASE.min_factor, 1.0 / monitor.congestion))
        # One deviation above the mean, as few attempts may be in flight at any one moment.
        recent_in_flight = max(1.0, monitor.mean_in_flight + math.sqrt(monitor.mean_in_flight))
        minimum = self._minimum()
        if monitor.target_congestion < 1.0:
            # A burst of heavy work doubles the latencies, which still meet their target: that is no overload.
            minimum = max(minimum, self.initial_limit())
        self.limit = max(minimum, needed, min(self.limit, recent_in_flight) * factor)

    def _grow(self) -> None:
        """Raise the limit, at most to what the best rate of responses needs by Little's law.

        More attempts in flight would only queue, and latencies show that late.
        """
        monitor = self._monitor
        if not monitor.baseline_known():
            self.limit = max(self.limit, self.capacity_bound())
            return
        factor = GROWTH.factor if self._was_congested else GROWTH.initial_factor
        needed = GROWTH.rate_margin * monitor.baseline_latency * monitor.peak_rate
        needed = max(needed, CAPACITY.initial_per_server * self._minimum())
        needed += math.sqrt(needed)
        self.limit = max(self.limit, min(self.limit * factor + 1.0, needed))

    def _log_shedding(self, shedding: bool) -> None:
        if shedding == self._shedding:
            return
        self._shedding = shedding
        monitor = self._monitor
        self._context.log(
            "load_shedding_started" if shedding else "load_shedding_stopped",
            concurrency_limit=self.limit,
            congestion=monitor.congestion,
            mean_latency_ms=monitor.mean_latency,
            baseline_latency_ms=monitor.baseline_latency,
        )
