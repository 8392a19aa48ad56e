"""The endpoint list: which endpoints there are, and polling for it with backoff."""

import math

from load_balancer.actions import PollEndpointList
from load_balancer.events import EndpointListKind, EndpointListUpdate
from load_balancer.policy.automaton import Automaton
from load_balancer.policy.slow_start import SlowStart
from load_balancer.state.context import NodeContext
from load_balancer.state.timer_queue import TimerKind

# Whatever the settings allow after a failed poll, a change counts as notified 6 s after discovery had it and
# could be reached: two polls may fail in that time, each waited for and backed off from for this long.
POLL_BACKOFF_MAX_MS = 6000.0 / 6


def update_endpoints(
    context: NodeContext, automaton: Automaton, slow_start: SlowStart, event: EndpointListUpdate
) -> None:
    """Bring the records of endpoints and the automaton up to date with the list."""
    table = context.endpoints
    for record in table.apply(event, len(context.settings.classes), context.now):
        slow_start.begin(record)
    listed = {name: r.endpoint for name, r in table.by_id.items() if r.listed}
    weighted = context.settings.use_endpoint_weights
    weights = {name: max(e.weight, 1e-3) if weighted else 1.0 for name, e in listed.items()}
    automaton.resize(weights, {name: e.machine_type for name, e in listed.items()})
    table.drawable = [table.by_id[name] for name in automaton.endpoints]


class EndpointListPoller:
    """Plans the polls for the list, with backoff while they fail."""

    def __init__(self, context: NodeContext) -> None:
        self._context = context
        self._subscribed = False
        self._failed_polls = 0
        self._poll_at = math.inf

    def on_list(self, kind: EndpointListKind) -> None:
        """Take note of a list, or of its failure."""
        context = self._context
        if kind is EndpointListKind.FAILED:
            # Discovery is down or refuses: keep the last list and poll again, later each time.
            self._subscribed = False
            self._failed_polls += 1
            if self._failed_polls == 1:
                context.log("endpoint_list_lost")
            self._plan_poll(self._backoff())
        elif kind is EndpointListKind.CACHED:
            if context.settings.poll_endpoint_list:
                # All nodes may start at once: spread their first polls, well inside the time allowed.
                longest = min(0.3 * context.settings.poll_within_ms, POLL_BACKOFF_MAX_MS)
                self._plan_poll(context.rng.random() * longest)
        else:
            self._subscribed = True
            if self._failed_polls:
                context.log("endpoint_list_recovered", failed_polls=self._failed_polls)
                self._failed_polls = 0

    def on_timer(self) -> None:
        """Poll, unless another poll has been planned instead or the list is subscribed to."""
        context = self._context
        if context.now < self._poll_at:
            return
        self._poll_at = math.inf
        if not self._subscribed:
            context.actions.append(PollEndpointList())
            unanswered_after = min(0.5 * context.settings.poll_within_ms, 2 * POLL_BACKOFF_MAX_MS)
            self._plan_poll(unanswered_after)

    def _backoff(self) -> float:
        """The time to the next poll after a failed one, with jitter."""
        within = self._context.settings.poll_within_ms
        longest = min(0.5 * within, POLL_BACKOFF_MAX_MS)
        pause = min(longest, 0.1 * within * 2.0 ** min(self._failed_polls - 1, 10))
        return pause * (0.5 + 0.5 * self._context.rng.random())

    def _plan_poll(self, pause: float) -> None:
        """One poll is planned at a time; a new plan replaces the old.

        Guards against polls that multiply while discovery is out of reach: a timer for each failed poll
        beside the one that guards the poll itself doubled them with every backoff, on every node at once.
        """
        self._poll_at = self._context.now + pause
        self._context.schedule(self._poll_at, TimerKind.ENDPOINT_LIST_POLL)
