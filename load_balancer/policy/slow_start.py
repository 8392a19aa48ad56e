"""Slow start: the budget of a server that warms up."""

from typing import NamedTuple

from load_balancer.estimation.rates import DecayingRate
from load_balancer.state.context import NodeContext
from load_balancer.state.endpoint_records import EndpointRecord


class SlowStartParameters(NamedTuple):
    """How much of a warm server's work a warming one gets.

    Attributes:
        margin: the work for each part of a warm server's capacity.  The settings name the least capacity of
            any server: most have half as much again.
        max_overload_fraction: the margin is at most this part of the multiple at which a server fails.
        default_span_ms: the time over which the answered work is averaged where no warm-up time is set.
    """

    margin: float = 1.5
    max_overload_fraction: float = 0.5
    default_span_ms: float = 1000.0


PARAMETERS = SlowStartParameters()


class SlowStart:
    """Bounds the work of warming servers by the answered work of warm ones; the only writer of their budgets.

    Work is in multiples of the mean request's, rates are in work per millisecond.
    """

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        settings = context.settings
        # Not the work sent: it overloads the remaining servers when others fail.
        self._answered_work = DecayingRate(
            settings.warm_up_ms or PARAMETERS.default_span_ms, settings.overload_window_ms
        )

    def begin(self, record: EndpointRecord) -> None:
        """Set the budget of a server that has just started, at random, so that nodes do not send at once."""
        record.slow_start.tokens = self._context.rng.random()
        record.slow_start.updated_at = self._context.now

    def record_answer(self, record: EndpointRecord, work: float) -> None:
        """Count the work of an answered attempt; while all servers warm up it returns to the budget."""
        self._answered_work.add(work, self._context.now)
        if self.capacity_fraction(record) < 1.0 and self.all_warming():
            record.slow_start.tokens += work

    def record_send(self, record: EndpointRecord, work: float) -> None:
        """Take the work of an attempt out of its server's budget."""
        record.slow_start.tokens -= work

    def all_warming(self) -> bool:
        """Whether no endpoint is both warm and not ejected, so that none shows what a warm one sustains."""
        records = self._context.endpoints.selectable
        return all(r.outlier.ejected or self.capacity_fraction(r) < 1.0 for r in records)

    def capacity_fraction(self, record: EndpointRecord) -> float:
        """The part of its capacity that a server has at least: 1 once it is warm."""
        started_ms = record.endpoint.started_ms
        if started_ms <= 0:
            return 1.0
        settings = self._context.settings
        age_ms = self._context.now - started_ms
        if age_ms >= settings.warm_up_ms:
            return 1.0
        initial = settings.initial_capacity
        return initial + (1.0 - initial) * max(age_ms, 0.0) / settings.warm_up_ms

    def total_capacity(self) -> float:
        """The capacity that all servers which are not ejected have at least, in warm servers."""
        fraction = self.capacity_fraction
        return max(1.0, sum(fraction(r) for r in self._context.endpoints.selectable if not r.outlier.ejected))

    def rate_per_warm_server(self) -> float:
        """The rate of this node's answered work for each warm server's worth of capacity."""
        return self._answered_work.per_ms(self._context.now) / self.total_capacity()

    def min_rate(self) -> float:
        """The rate that a warming server gets in any case: zero while there is a warm server.

        Without a warm server a new node knows no rate of answered work.  Then all nodes together may send one
        request in an overload window; as answers return to the budget, the rate grows as the servers answer.
        """
        settings = self._context.settings
        if not self.all_warming():
            return 0.0
        return 1.0 / (max(1, settings.node_count) * settings.overload_window_ms)

    def admits(
        self,
        record: EndpointRecord,
        fraction: float,
        work: float,
        rate_per_warm_server: float,
        min_rate: float,
    ) -> bool:
        """Whether a warming server may get an attempt of this work; brings its budget up to date.

        Each node applies its part alone.  Together they send a server its part of what warm servers sustain;
        the rest of the multiple at which it fails remains for chance and for heavy requests.
        """
        now, settings = self._context.now, self._context.settings
        margin = min(PARAMETERS.margin, PARAMETERS.max_overload_fraction * settings.overload_multiple)
        rate = max(margin * fraction * rate_per_warm_server, min_rate)
        max_tokens = max(1.0, rate * settings.overload_window_ms)
        budget = record.slow_start
        budget.tokens = min(max_tokens, budget.tokens + rate * (now - budget.updated_at))
        budget.updated_at = now
        return budget.tokens >= min(work, max_tokens)
