"""Updates of the endpoint list, and polling for the list with backoff."""

import math
from typing import NamedTuple

from load_balancer.actions import PollEndpointList
from load_balancer.events import EndpointListKind, EndpointListUpdate
from load_balancer.policy.automaton import Automaton
from load_balancer.policy.slow_start import SlowStart
from load_balancer.state.context import NodeContext
from load_balancer.state.timer_queue import TimerKind

MAX_NOTIFICATION_DELAY_MS = 6000.0
"""The time in milliseconds after which a node counts as notified of a change of the endpoint list.

The time starts when the discovery service has the change and can be reached by the node.
"""

MAX_POLL_BACKOFF_MS = MAX_NOTIFICATION_DELAY_MS / 6
"""The longest backoff between polls, in milliseconds.

With this value, two polls may fail within MAX_NOTIFICATION_DELAY_MS: the timeout of a poll is at most twice
the longest backoff, so that timeout and backoff together take at most half of that delay.
"""

MIN_ENDPOINT_WEIGHT = 1e-3
"""The minimum weight of an endpoint; a smaller listed weight is raised to it."""


class PollParameters(NamedTuple):
    """The pauses between polls.

    Durations are fractions of ``Settings.max_poll_interval_ms``, the longest time between two polls.

    Attributes:
        initial_spread: the time over which the first polls are spread, as all nodes may start at once.
        response_timeout: the time after which a poll without a response is repeated.
        backoff_first: the first backoff; each further backoff is twice as long.
        backoff_max: the longest backoff.
        max_doublings: the maximum number of doublings of the backoff.
        jitter_min: the smallest random factor applied to a backoff; the largest is 1.
    """

    initial_spread: float = 0.3
    response_timeout: float = 0.5
    backoff_first: float = 0.1
    backoff_max: float = 0.5
    max_doublings: int = 10
    jitter_min: float = 0.5


POLL = PollParameters()


def update_endpoints(
    context: NodeContext, automaton: Automaton, slow_start: SlowStart, event: EndpointListUpdate
) -> None:
    """Update the endpoint records and the automaton from an endpoint list."""
    table = context.endpoints
    for record in table.apply(event, len(context.settings.classes), context.now):
        slow_start.begin(record)
    listed = {endpoint_id: r.endpoint for endpoint_id, r in table.by_id.items() if r.listed}
    weighted = context.settings.use_endpoint_weights
    weights = {
        endpoint_id: max(e.weight, MIN_ENDPOINT_WEIGHT) if weighted else 1.0
        for endpoint_id, e in listed.items()
    }
    automaton.resize(weights, {endpoint_id: e.machine_type for endpoint_id, e in listed.items()})
    table.selectable = [table.by_id[endpoint_id] for endpoint_id in automaton.endpoints]


class EndpointListPoller:
    """Schedules the polls for the endpoint list, with backoff while polls fail."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self._subscribed = False
        self._failed_polls = 0
        self._poll_at = math.inf

    def on_list(self, kind: EndpointListKind) -> None:
        """Handle an endpoint list or a failed poll, and schedule the next poll if one is needed."""
        if kind is EndpointListKind.FAILED:
            self._on_failed_poll()
        elif kind is EndpointListKind.CACHED:
            self._schedule_first_poll()
        else:
            self._on_fresh_list()

    def on_timer(self) -> None:
        """Poll for the list, unless a later poll is scheduled or the node is subscribed to the list."""
        context = self._context
        if context.now < self._poll_at:
            return
        self._poll_at = math.inf
        if not self._subscribed:
            context.actions.append(PollEndpointList())
            # This bound lets two timeouts and two backoffs fit into MAX_NOTIFICATION_DELAY_MS.
            timeout_ms = min(
                POLL.response_timeout * context.settings.max_poll_interval_ms, 2 * MAX_POLL_BACKOFF_MS
            )
            self._schedule_poll(timeout_ms)

    def _on_failed_poll(self) -> None:
        self._subscribed = False
        self._failed_polls += 1
        if self._failed_polls == 1:
            self._context.log("endpoint_list_lost")
        self._schedule_poll(self._backoff_ms())

    def _schedule_first_poll(self) -> None:
        context = self._context
        if context.settings.poll_endpoint_list:
            spread_ms = min(POLL.initial_spread * context.settings.max_poll_interval_ms, MAX_POLL_BACKOFF_MS)
            self._schedule_poll(context.rng.random() * spread_ms)

    def _on_fresh_list(self) -> None:
        self._subscribed = True
        if self._failed_polls:
            self._context.log("endpoint_list_recovered", failed_polls=self._failed_polls)
            self._failed_polls = 0

    def _backoff_ms(self) -> float:
        """Return the time until the next poll after a failed poll, in milliseconds, with jitter."""
        max_interval_ms = self._context.settings.max_poll_interval_ms
        longest_ms = min(POLL.backoff_max * max_interval_ms, MAX_POLL_BACKOFF_MS)
        doublings = min(self._failed_polls - 1, POLL.max_doublings)
        pause_ms = min(longest_ms, POLL.backoff_first * max_interval_ms * 2.0**doublings)
        return pause_ms * (POLL.jitter_min + (1.0 - POLL.jitter_min) * self._context.rng.random())

    def _schedule_poll(self, pause_ms: float) -> None:
        """Schedule the next poll, which replaces any poll that is already scheduled.

        If the timer after a failed poll did not replace the timeout of that poll, each of the two timers
        would start a poll, and the number of polls would double at each backoff.
        """
        self._poll_at = self._context.now + pause_ms
        self._context.schedule(self._poll_at, TimerKind.ENDPOINT_LIST_POLL)
