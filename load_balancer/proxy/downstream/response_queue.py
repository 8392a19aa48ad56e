"""The response slots of one connection, in the order in which their responses are sent."""

from __future__ import annotations

from collections import deque

from load_balancer.proxy.downstream.response_slot import ResponseSlot


class ResponseQueue(deque[ResponseSlot]):
    """A queue of the slots of one connection's open requests, in the order of the requests."""

    __slots__ = ()

    def is_last(self, slot: ResponseSlot) -> bool:
        """Return whether this slot is the last one in the queue."""
        return bool(self) and self[-1] is slot

    def count_unanswered(self) -> int:
        """Return the number of slots that have no response and are not abandoned."""
        return sum(slot.output is None and not slot.abandoned for slot in self)

    def abandon_all(self) -> None:
        """Remove and abandon all slots, because their responses can no longer be sent."""
        slots = tuple(self)
        self.clear()
        for slot in slots:
            slot.abandon()

    def fail_open_requests(self, status: int) -> None:
        """Answer every request that has no response yet with this status code.

        The last slot holds the error response that ``DownstreamConnection.respond_with_error`` has added.
        Remove this slot, and close the connection after the response in the slot before it instead.  That
        response has the status code of the removed response, unless it was already available.
        """
        if self:
            self.pop()
        if self:
            self[-1].close_after = True
        for slot in tuple(self):
            slot.fail(status)
