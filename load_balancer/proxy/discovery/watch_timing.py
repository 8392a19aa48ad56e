"""How long discovery waits for a watch, and before the next one."""

from __future__ import annotations

# A pushed list is kept by an agent on the node's own machine.  The agent answers at once and counts what it
# has as notified: a delay in reading it is taken from the drain grace, the time within which the node must
# stop sending to a draining endpoint, and must leave most of it.
RESPONSE_TIMEOUT_FRACTION = 0.4  # of the drain grace
RECONNECT_DELAY_FRACTION = 0.2  # of the drain grace
MIN_RESPONSE_TIMEOUT_S = 0.1
MAX_RESPONSE_TIMEOUT_S = 1.0  # also where lists are polled
MIN_RECONNECT_DELAY_S = 0.05
MAX_RECONNECT_DELAY_S = 0.25


class WatchTiming:
    """The times that the settings leave for the watches of a node.

    Attributes:
        response_timeout_s: how long the first input of a watch may take.
        reconnect_delay_s: how long after the end of a watch the next one is opened.
    """

    __slots__ = ("reconnect_delay_s", "response_timeout_s")

    def __init__(self, *, pushed: bool, poll_timeout_s: float, drain_grace_s: float) -> None:
        """Compute the times.

        Args:
            pushed: whether lists are pushed by an agent.
            poll_timeout_s: how long the policy waits for a poll.
            drain_grace_s: the time within which sending to a draining endpoint must stop.
        """
        response_timeout_s = MAX_RESPONSE_TIMEOUT_S
        if pushed:
            response_timeout_s = _clamp(
                RESPONSE_TIMEOUT_FRACTION * drain_grace_s, MIN_RESPONSE_TIMEOUT_S, MAX_RESPONSE_TIMEOUT_S
            )
        self.response_timeout_s = min(poll_timeout_s, response_timeout_s)
        self.reconnect_delay_s = _clamp(
            RECONNECT_DELAY_FRACTION * drain_grace_s, MIN_RECONNECT_DELAY_S, MAX_RECONNECT_DELAY_S
        )


def _clamp(value: float, lowest: float, highest: float) -> float:
    return min(max(value, lowest), highest)
