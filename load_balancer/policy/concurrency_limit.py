"""The adaptive concurrency limit, which bounds the number of this node's attempts in flight."""

import math
from typing import NamedTuple

from load_balancer.policy.admission import sharing_node_count
from load_balancer.policy.congestion import CONGESTION, CongestionMonitor
from load_balancer.policy.slow_start import SlowStart
from load_balancer.state.context import NodeContext
from load_balancer.state.request_records import Request


class CapacityParameters(NamedTuple):
    """The parameters of the capacity bound.

    The capacity bound is the number of attempts in flight that the listed servers sustain, regardless of how
    latencies compare with their targets.

    Attributes:
        initial_per_server: the number of attempts in flight for each warm server.  A server that is warming
            up counts as a fraction of a warm server.  The value applies at the start and while few attempts
            are in service.  With a larger value, more attempts would wait at each server and make it slow.
            The value is for two remaining tiers; with more tiers a server also holds the attempts that wait
            for the tiers behind it.
        in_service_margin: the capacity bound as a multiple of the attempts in service, which are the attempts
            that do not wait in a queue.  It applies if responses take long even without queueing.
        reference_tiers: the number of remaining tiers up to which the two values above apply unchanged.  With
            more remaining tiers, both values are multiplied by the number of remaining tiers divided by
            reference_tiers.
    """

    initial_per_server: float = 6.0
    in_service_margin: float = 1.4
    reference_tiers: float = 2.0


class GrowthParameters(NamedTuple):
    """The growth of the limit while there is no congestion.

    Attributes:
        factor: the factor by which the limit grows at each adjustment.
        initial_factor: the factor that applies until the first congestion.
        min_used_fraction: the fraction of the limit that must be in use for the limit to grow.
        rate_margin: the maximum of the limit, as a multiple of the attempts in flight that sustain the peak
            rate of responses at the baseline latency.
    """

    factor: float = 1.05
    initial_factor: float = 1.2
    min_used_fraction: float = 0.8
    rate_margin: float = 1.65


class DecreaseParameters(NamedTuple):
    """The decrease of the limit under congestion.

    Attributes:
        max_factor: the largest factor applied at one adjustment; the stronger the congestion, the smaller the
            factor.
        min_factor: the smallest factor applied at one adjustment.
        rate_margin: the minimum of the limit, as a multiple of the attempts in flight that sustain the recent
            peak rate of responses at the baseline latency.
    """

    max_factor: float = 0.9
    min_factor: float = 0.5
    rate_margin: float = 1.2


CAPACITY = CapacityParameters()
GROWTH = GrowthParameters()
DECREASE = DecreaseParameters()


class ConcurrencyLimit:
    """The limit on this node's attempts in flight, which is adjusted according to congestion.

    Attributes:
        limit: the limit.  It is 0 before the first endpoint list, and may be below 1 when many nodes share
            few requests.
    """

    def __init__(self, context: NodeContext, slow_start: SlowStart, monitor: CongestionMonitor) -> None:
        self.limit = 0.0
        self._context = context
        self._slow_start = slow_start
        self._monitor = monitor
        self._sharing_node_count = sharing_node_count(context.settings)
        self._tiers_left = context.settings.tier_count - context.settings.tier_index
        # With more tiers left, each server holds more attempts, because an attempt also occupies its server
        # while the server waits for the tiers behind it.
        self._depth_factor = max(1.0, self._tiers_left / CAPACITY.reference_tiers)
        self._was_congested = False
        self._shedding = False
        self._adjusted_at = 0.0

    def admits(self, request: Request) -> bool:
        """Return whether the limit leaves capacity for an attempt of this request.

        The limit may be below 1, and rounding it to a whole number on every node would admit far too many or
        too few requests over all nodes.  Each request therefore carries a random number, which decides
        whether the fractional part of the limit admits the request.
        """
        in_flight = len(self._context.requests.attempts) + request.admission_draw
        # Until the baseline is known or congestion has occurred, only the capacity bound applies.
        learned = self._was_congested or self._monitor.baseline_latency < math.inf
        return (in_flight < self.limit or not learned) and in_flight < self.capacity_bound()

    def capacity_bound(self) -> float:
        """Return the number of attempts in flight that the listed servers sustain, as an upper bound.

        The bound reflects a new endpoint list at once, while latencies show the effect of removed or warming
        servers only seconds later.  By Little's law, the number of attempts in service is the rate of
        responses multiplied by the latency without queueing.  If responses take long even without queueing,
        this number exceeds the initial limit.
        """
        monitor = self._monitor
        baseline = monitor.baseline_latency
        if baseline == math.inf:
            baseline = monitor.lowest_mean_latency
        in_service = 0.0
        if baseline < math.inf:
            in_service = monitor.response_rate.per_ms(self._context.now) * baseline
        return max(self.initial_limit(), CAPACITY.in_service_margin * self._depth_factor * in_service)

    def initial_limit(self) -> float:
        """Return the limit that a node starts with: its part of the capacity of all endpoints."""
        warm_servers = max(1.0, self._slow_start.total_capacity() / self._sharing_node_count)
        return CAPACITY.initial_per_server * self._depth_factor * warm_servers

    def on_endpoint_list(self) -> None:
        """Raise the limit to the initial limit of the new endpoint list if there was no congestion yet."""
        if not self._was_congested:
            self.limit = max(self.limit, self.initial_limit())

    def record_latency_ratio(self, ratio: float) -> None:
        """Record a latency as a fraction of its objective, and adjust the limit at regular intervals.

        The interval is the mean latency, with an upper bound: under overload, latencies grow up to the
        clients' deadline, and without the bound the limit would decrease too slowly.
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
        """Return the minimum of the limit: one attempt per server and remaining tier.

        This number is just enough to keep each server busy.
        """
        return self._tiers_left * len(self._context.endpoints.selectable) / self._sharing_node_count

    def _decrease(self) -> None:
        """Decrease the limit, but not below the attempts that sustain the recent peak rate without queueing.

        A lower limit would reject requests at random, and the requests admitted afterwards would overload
        the servers again.
        """
        monitor = self._monitor
        unqueued_latency = min(monitor.baseline_latency, monitor.mean_latency)
        needed_in_flight = (
            DECREASE.rate_margin * monitor.peak_rate * monitor.peak_decay_factor() * unqueued_latency
        )
        factor = min(DECREASE.max_factor, max(DECREASE.min_factor, 1.0 / monitor.congestion))
        # The number in flight varies and may be low at a given moment, so the value used is its mean plus one
        # standard deviation.
        recent_in_flight = max(1.0, monitor.mean_in_flight + math.sqrt(monitor.mean_in_flight))
        minimum = self._minimum()
        if monitor.target_congestion < 1.0:
            # A burst of heavy requests may double the latencies; while they meet the target, the servers are
            # not overloaded.
            minimum = max(minimum, self.initial_limit())
        self.limit = max(minimum, needed_in_flight, min(self.limit, recent_in_flight) * factor)

    def _grow(self) -> None:
        """Raise the limit, at most to the attempts that sustain the peak rate of responses by Little's law.

        More attempts in flight would only wait in queues, and latencies would show these queues late.  Until
        the baseline latency is known, the limit rises to the capacity bound instead.
        """
        monitor = self._monitor
        if not monitor.baseline_known():
            self.limit = max(self.limit, self.capacity_bound())
            return
        factor = GROWTH.factor if self._was_congested else GROWTH.initial_factor
        needed_in_flight = GROWTH.rate_margin * monitor.baseline_latency * monitor.peak_rate
        needed_in_flight = max(needed_in_flight, CAPACITY.initial_per_server * self._minimum())
        needed_in_flight += math.sqrt(needed_in_flight)
        self.limit = max(self.limit, min(self.limit * factor + 1.0, needed_in_flight))

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
