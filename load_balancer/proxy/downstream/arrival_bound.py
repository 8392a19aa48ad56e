"""Determines a lower bound on the arrival time of the input that a client connection has read.

The budget of a request counts from the arrival of its last byte, which the operating system does not report.
``LoopIterations`` bounds the arrival of input on a connection that the event loop polls in every iteration.
This module covers the times in which it does not: before the connection is accepted, and while reading is
paused.
"""

from __future__ import annotations

from load_balancer.proxy.event_loop.loop_iterations import LoopIterations


class ArrivalBound:
    """The earliest time at which the input that was read last can have arrived.

    Attributes:
        earliest_s: this time (monotonic, seconds); 0 before the first input.
    """

    __slots__ = ("_accepted_after_s", "_iterations", "_unread_since_s", "earliest_s")

    def __init__(self, iterations: LoopIterations, accepted_after_s: float) -> None:
        """Create the bound of a new connection.

        Args:
            iterations: bounds the arrival of input on a connection that is polled.
            accepted_after_s: the time before which the connection had not arrived (monotonic, seconds).
        """
        self.earliest_s = 0.0
        self._iterations = iterations
        self._accepted_after_s = accepted_after_s
        # The earliest time at which input that waits unread since a pause can have arrived; None if no such
        # input can be waiting.
        self._unread_since_s: float | None = None

    def record_input(self) -> None:
        """Handle input that is being read."""
        self.earliest_s = self._iterations.earliest_arrival()
        if self._unread_since_s is not None:
            self.earliest_s = min(self.earliest_s, self._unread_since_s)
            self._unread_since_s = None

    def extend_to_backlog(self, opened_at_s: float) -> None:
        """Handle input that may have arrived while the connection waited in the backlog to be accepted.

        It is known only that the input did not arrive before the connection did.

        Args:
            opened_at_s: when the connection was opened on the node (monotonic, seconds).
        """
        if self.earliest_s <= opened_at_s:
            self.earliest_s = self._accepted_after_s

    def pause(self, *, has_unread_input: bool) -> None:
        """Record how old input can be that arrives during a pause in reading, or already waits."""
        self._unread_since_s = self.earliest_s if has_unread_input else self._iterations.earliest_arrival()

    def resume(self, *, has_unread_input: bool) -> None:
        """End a pause.  If no input waits now, the input that is read next has arrived after the pause."""
        if not has_unread_input:
            self._unread_since_s = None
