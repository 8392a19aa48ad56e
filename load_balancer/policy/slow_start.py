"""Slow start, which limits the work sent to a server that is warming up."""

from typing import NamedTuple

from load_balancer.estimation.rates import DecayingRate
from load_balancer.state.context import NodeContext
from load_balancer.state.endpoint_records import EndpointRecord


class SlowStartParameters(NamedTuple):
    """The rate of work that a server gets while it is warming up, relative to a warm server's rate.

    Attributes:
        margin: a server that is warming up gets a warm server's rate of work, multiplied by the capacity
            fraction of the server and by this margin.  The margin exceeds 1, because the settings give the
            minimum capacity of any server, while most servers have one and a half times this capacity.
        max_overload_fraction: the maximum of the margin, as a fraction of ``Settings.overload_multiple``.  A
            server that is warming up fails if its load is more than overload_multiple times its capacity.
        default_span_ms: the time over which the answered work is averaged if no warm-up time is set, in
            milliseconds.
    """

    margin: float = 1.5
    max_overload_fraction: float = 0.5
    default_span_ms: float = 1000.0


PARAMETERS = SlowStartParameters()


class SlowStart:
    """Limits the work of servers that are warming up, relative to the answered work of warm servers.

    Only this class changes the budgets of servers.  Work is a multiple of the mean request's work, and rates
    are in work per millisecond.
    """

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        settings = context.settings
        # Answered work is used instead of sent work, because sent work may exceed what warm servers sustain:
        # when servers fail, their work is sent to the remaining servers and overloads them.
        self._answered_work = DecayingRate(
            settings.warm_up_ms or PARAMETERS.default_span_ms, settings.overload_window_ms
        )

    def begin(self, record: EndpointRecord) -> None:
        """Set a random budget for a server that has just started, so that not all nodes send at once."""
        record.slow_start.tokens = self._context.rng.random()
        record.slow_start.updated_at = self._context.now

    def record_response(self, record: EndpointRecord, work: float) -> None:
        """Count the work of an answered attempt, and refund it to the budget if no server is warm."""
        self._answered_work.add(work, self._context.now)
        if self.capacity_fraction(record) < 1.0 and self.all_warming():
            record.slow_start.tokens += work

    def record_send(self, record: EndpointRecord, work: float) -> None:
        """Take the work of a sent attempt out of its server's budget."""
        record.slow_start.tokens -= work

    def all_warming(self) -> bool:
        """Return whether every endpoint is ejected or warming up.

        In this case no endpoint shows what rate of work a warm server sustains.
        """
        records = self._context.endpoints.selectable
        return all(r.outlier.ejected or self.capacity_fraction(r) < 1.0 for r in records)

    def capacity_fraction(self, record: EndpointRecord) -> float:
        """Return the minimum current capacity of a server, as a fraction of its full capacity.

        The fraction grows linearly from the initial capacity to 1 over the warm-up time.
        """
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
        """Return the minimum capacity of all servers that are not ejected, in units of one warm server.

        The result is at least 1.
        """
        fraction = self.capacity_fraction
        return max(1.0, sum(fraction(r) for r in self._context.endpoints.selectable if not r.outlier.ejected))

    def rate_per_warm_server(self) -> float:
        """Return the rate of this node's answered work, divided by the total capacity in warm servers."""
        return self._answered_work.per_ms(self._context.now) / self.total_capacity()

    def min_rate(self) -> float:
        """Return the minimum rate of work for a server that is warming up; 0 if any server is warm.

        Without a warm server, a new node has no rate of answered work to refer to.  All nodes together may
        then send one request per overload window to a server.  Answered work is refunded to the budget, so
        the rate grows as the servers respond.
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
        """Update the budget of a server that is warming up, and return whether it may get an attempt.

        Each node limits its own attempts without knowledge of the other nodes.  Together the nodes send the
        server its capacity fraction of the work that a warm server sustains, multiplied by the margin.  The
        margin stays below the overload_multiple above which the server fails, because the number of attempts
        varies at random and some requests are heavy.

        Args:
            record: the record of the server.
            fraction: the capacity fraction of the server.
            work: the work of the attempt.
            rate_per_warm_server: the result of rate_per_warm_server.
            min_rate: the result of min_rate.
        """
        now, settings = self._context.now, self._context.settings
        margin = min(PARAMETERS.margin, PARAMETERS.max_overload_fraction * settings.overload_multiple)
        rate = max(margin * fraction * rate_per_warm_server, min_rate)
        max_tokens = max(1.0, rate * settings.overload_window_ms)
        budget = record.slow_start
        budget.tokens = min(max_tokens, budget.tokens + rate * (now - budget.updated_at))
        budget.updated_at = now
        return budget.tokens >= min(work, max_tokens)
