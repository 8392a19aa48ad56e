"""Computes the response timeout of a watch and the delay before the next watch is opened."""

from __future__ import annotations

# If lists are pushed, the node reads the endpoint list from an agent on its own machine, which responds at
# once.  The protocol considers the node notified of a change as soon as the agent has the change.  The drain
# grace, within which the node must stop sending to a draining endpoint, begins at that moment, so it includes
# any delay in reading the change.  The timeout and the delay below must leave most of the drain grace.
RESPONSE_TIMEOUT_FRACTION = 0.4  # of the drain grace
RECONNECT_DELAY_FRACTION = 0.2  # of the drain grace
MIN_RESPONSE_TIMEOUT_S = 0.1
MAX_RESPONSE_TIMEOUT_S = 1.0  # the maximum for pushed as well as polled lists
# If lists are polled, the timeout doubles after each watch that got no response in time, up to this limit.
# Otherwise a discovery service that is slower than the timeout would never be heard.  The policy polls again
# after 2 s.
MAX_SLOW_RESPONSE_TIMEOUT_S = 2.0
MIN_RECONNECT_DELAY_S = 0.05
MAX_RECONNECT_DELAY_S = 0.25


class WatchTiming:
    """The timeout and the delay for the watches of a node, computed from the settings and earlier responses.

    Attributes:
        response_timeout_s: how long the first input of a watch may take, in seconds.
        reconnect_delay_s: the delay, in seconds, between the end of a watch and the opening of the next one.
    """

    __slots__ = ("_initial_timeout_s", "_max_timeout_s", "reconnect_delay_s", "response_timeout_s")

    def __init__(self, *, pushed: bool, poll_timeout_s: float, drain_grace_s: float) -> None:
        """Compute the timeout and the delay.

        Args:
            pushed: whether lists are pushed by an agent.
            poll_timeout_s: how long the policy waits for the result of a poll, in seconds.
            drain_grace_s: the time in seconds within which sending to a draining endpoint must stop.
        """
        response_timeout_s = MAX_RESPONSE_TIMEOUT_S
        if pushed:
            response_timeout_s = _clamp(
                RESPONSE_TIMEOUT_FRACTION * drain_grace_s, MIN_RESPONSE_TIMEOUT_S, MAX_RESPONSE_TIMEOUT_S
            )
        self.response_timeout_s = min(poll_timeout_s, response_timeout_s)
        self._initial_timeout_s = self.response_timeout_s
        self._max_timeout_s = self.response_timeout_s
        if not pushed:
            self._max_timeout_s = min(poll_timeout_s, MAX_SLOW_RESPONSE_TIMEOUT_S)
        self.reconnect_delay_s = _clamp(
            RECONNECT_DELAY_FRACTION * drain_grace_s, MIN_RECONNECT_DELAY_S, MAX_RECONNECT_DELAY_S
        )

    def record_no_response(self) -> None:
        """Handle the end of a watch that got no response within the timeout."""
        self.response_timeout_s = min(2.0 * self.response_timeout_s, self._max_timeout_s)

    def record_input(self, watch_age_s: float) -> None:
        """Handle input on a watch that was opened this many seconds ago.

        A response within the initial timeout shows that discovery is not slow any more.
        """
        if watch_age_s < self._initial_timeout_s:
            self.response_timeout_s = self._initial_timeout_s


def _clamp(value: float, lowest: float, highest: float) -> float:
    return min(max(value, lowest), highest)
