"""The endpoint list: which endpoints there are, and polling for the list with backoff."""

import math
from typing import NamedTuple

from load_balancer.actions import PollEndpointList
from load_balancer.events import EndpointListKind, EndpointListUpdate
from load_balancer.policy.automaton import Automaton
from load_balancer.policy.slow_start import SlowStart
from load_balancer.state.context import NodeContext
from load_balancer.state.timer_queue import TimerKind

MAX_NOTIFICATION_DELAY_MS = 6000.0
"""A node counts as notified of a change this long after discovery had it and could be reached."""

POLL_BACKOFF_MAX_MS = MAX_NOTIFICATION_DELAY_MS / 6
"""The longest backoff: two polls may fail within that delay, each with its timeout and its backoff."""

MIN_ENDPOINT_WEIGHT = 1e-3


class PollParameters(NamedTuple):
    """The pauses between polls, as parts of the time within which the settings require a poll.

    Attributes:
        first_spread: all nodes may start at once, so their first polls are spread over this part.
        unanswered: a poll without an answer is repeated after this part.
        backoff_first: the first backoff; each further one is twice as long.
        backoff_max: the longest backoff.
        max_doublings: the doublings after which the backoff grows no further in any case.
        jitter_min: the least factor by which a backoff is spread; the largest is 1.
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
    """Bring the records of endpoints and the automaton up to date with the list."""
    table = context.endpoints
    for record in table.apply(event, len(context.settings.classes), context.now):
        slow_start.begin(record)
    listed = {name: r.endpoint for name, r in table.by_id.items() if r.listed}
    weighted = context.settings.use_endpoint_weights
    weights = {name: max(e.weight, MIN_ENDPOINT_WEIGHT) if weighted else 1.0 for name, e in listed.items()}
    automaton.resize(weights, {name: e.machine_type for name, e in listed.items()})
    table.selectable = [table.by_id[name] for name in automaton.endpoints]


class EndpointListPoller:
    """Plans the polls for the endpoint list, with backoff while they fail."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self._subscribed = False
        self._failed_polls = 0
        self._poll_at = math.inf

    def on_list(self, kind: EndpointListKind) -> None:
        """Plan the next poll after a list or a failed poll."""
        if kind is EndpointListKind.FAILED:
            self._on_failed_poll()
        elif kind is EndpointListKind.CACHED:
            self._schedule_first_poll()
        else:
            self._on_fresh_list()

    def on_timer(self) -> None:
        """Poll, unless another poll has been planned instead or the list is subscribed to."""
        context = self._context
        if context.now < self._poll_at:
            return
        self._poll_at = math.inf
        if not self._subscribed:
            context.actions.append(PollEndpointList())
            # The timeout of a poll and the backoff after it are bounded alike.
            timeout_ms = min(POLL.response_timeout * context.settings.poll_within_ms, 2 * POLL_BACKOFF_MAX_MS)
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
            spread_ms = min(POLL.initial_spread * context.settings.poll_within_ms, POLL_BACKOFF_MAX_MS)
            self._schedule_poll(context.rng.random() * spread_ms)

    def _on_fresh_list(self) -> None:
        self._subscribed = True
        if self._failed_polls:
            self._context.log("endpoint_list_recovered", failed_polls=self._failed_polls)
            self._failed_polls = 0

    def _backoff_ms(self) -> float:
        """The time to the next poll after a failed one, with jitter."""
        within_ms = self._context.settings.poll_within_ms
        longest_ms = min(POLL.backoff_max * within_ms, POLL_BACKOFF_MAX_MS)
        doublings = min(self._failed_polls - 1, POLL.max_doublings)
        pause_ms = min(longest_ms, POLL.backoff_first * within_ms * 2.0**doublings)
        return pause_ms * (POLL.jitter_min + (1.0 - POLL.jitter_min) * self._context.rng.random())

    def _schedule_poll(self, pause_ms: float) -> None:
        """Plan the one next poll, in place of any planned before.

        With a timer for each failed poll beside the timeout of the poll itself, polls would double at each
        backoff.
        """
        self._poll_at = self._context.now + pause_ms
        self._context.schedule(self._poll_at, TimerKind.ENDPOINT_LIST_POLL)
