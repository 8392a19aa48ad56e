"""Slow start: the budget of a server that warms up."""

from load_balancer.estimation.rates import FadingRate
from load_balancer.state.context import NodeContext
from load_balancer.state.endpoint_records import EndpointRecord

# The capacity that the settings give a warming server is the least of any: most have half as much again, and
# fleets have capacity to spare at light load, which is when a warm server's part is learned.
SLOW_START_MARGIN = 1.5


class SlowStart:
    """Bounds what warming servers get by what this node sends to warm ones."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        settings = context.settings
        # By the work answered: what is sent overloads servers when fewer of them are left.
        self._answered_work = FadingRate(settings.warm_up_ms or 1000.0, settings.overload_window_ms)

    def begin(self, record: EndpointRecord) -> None:
        """Give a server that has just started a part of a request, so that nodes send at different times."""
        record.slow_start.tokens = self._context.rng.random()
        record.slow_start.updated_at = self._context.now

    def record_answer(self, record: EndpointRecord, work: float) -> None:
        """Count the work of an answered attempt, which a warming server may get again if all are warming."""
        self._answered_work.add(work, self._context.now)
        if self.capacity_fraction(record) < 1.0 and self.all_warming():
            record.slow_start.tokens += work

    def all_warming(self) -> bool:
        """Whether no endpoint that is not ejected is warm: then nothing tells what a warm one sustains."""
        records = self._context.endpoints.drawable
        return all(r.outlier.ejected or self.capacity_fraction(r) < 1.0 for r in records)

    def record_send(self, record: EndpointRecord, work: float) -> None:
        """Take the work of an attempt out of its server's budget."""
        record.slow_start.tokens -= work

    def capacity_fraction(self, record: EndpointRecord) -> float:
        """The part of its capacity that a server has at the least by now: 1 once it is warm."""
        start, settings = record.endpoint.started_ms, self._context.settings
        if start <= 0 or self._context.now - start >= settings.warm_up_ms:
            return 1.0
        low = settings.initial_capacity
        return low + (1.0 - low) * max(self._context.now - start, 0.0) / settings.warm_up_ms

    def total_capacity(self) -> float:
        """What the servers that are not ejected can do by now at the least, in warm servers."""
        fraction = self.capacity_fraction
        return max(1.0, sum(fraction(r) for r in self._context.endpoints.drawable if not r.outlier.ejected))

    def flow_per_warm_server(self) -> float:
        """Work a millisecond that this node sends for each warm server's worth of capacity."""
        return self._answered_work.per_ms(self._context.now) / self.total_capacity()

    def least_rate(self) -> float:
        """Work a millisecond that this node may send to any warming server: all nodes one request a window.

        Zero while a warm server is there.  Where there is none a new node has seen no answer, its part of no
        flow is nothing, and it would send nothing until the first server is warm.  Each answer gives back
        what its attempt took, so that what all send then grows no faster than the servers answer.
        """
        settings = self._context.settings
        if not self.all_warming():
            return 0.0
        return 1.0 / (max(1, settings.node_count) * settings.overload_window_ms)

    def admits(
        self, record: EndpointRecord, fraction: float, work: float, flow: float, least_rate: float
    ) -> bool:
        """Whether a warming server may get an attempt: the rising part of a warm one's flow, with a margin.

        Every node does so alone; together they then send it its part of what warm servers sustain, which
        leaves the rest of the multiple that it survives as a margin for chance and for heavy requests.
        """
        now, settings = self._context.now, self._context.settings
        rate = min(SLOW_START_MARGIN, 0.5 * settings.overload_multiple) * fraction * flow
        rate = max(rate, least_rate)
        most = max(1.0, rate * settings.overload_window_ms)
        budget = record.slow_start
        budget.tokens = min(most, budget.tokens + rate * (now - budget.updated_at))
        budget.updated_at = now
        return budget.tokens >= min(work, most)
