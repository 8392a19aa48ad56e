"""The response slots of one connection, in the order in which their responses are sent."""

from __future__ import annotations

from collections import deque

from load_balancer.proxy.downstream.response_slot import ResponseSlot


class ResponseQueue(deque[ResponseSlot]):
    """The slots of the open requests of one connection, in the order of the requests."""

    __slots__ = ()

    def is_last(self, slot: ResponseSlot) -> bool:
        """Whether no response follows the one in this slot."""
        return bool(self) and self[-1] is slot

    def count_unanswered(self) -> int:
        """How many slots of clients that have not left have no response."""
        return sum(slot.output is None and not slot.abandoned for slot in self)

    def abandon_all(self) -> None:
        """Remove all slots: nobody waits for their responses."""
        slots = tuple(self)
        self.clear()
        for slot in slots:
            slot.abandon()

    def fail_open_requests(self, status: int) -> None:
        """Answer every open request with this status.

        The last slot holds the response to input that was not acceptable.  It is dropped, as the response
        before it now has the same status and closes the connection.
        """
        if self:
            self.pop()
        if self:
            self[-1].close_after = True
        for slot in tuple(self):
            slot.fail(status)
