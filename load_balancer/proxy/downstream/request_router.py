"""Routing of complete requests: readiness checks are answered, and requests under /api are passed on."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic

from load_balancer.proxy.downstream.memory_budget import Connection, MemoryBudget
from load_balancer.proxy.downstream.request_parsing import ParsedRequest, RequestParser
from load_balancer.proxy.downstream.response_slot import ResponseSlot
from load_balancer.proxy.http.reader import HttpMessage, HttpMessageError

# The header of the responses to requests that are rejected for lack of capacity.
OVERLOAD_RETRY_AFTER = b"Retry-After: 0.500\r\n"
# The memory in bytes that an open request takes beside its message: its records, timers and attempts.
REQUEST_OVERHEAD_BYTES = 4096

AcceptRequest = Callable[[ParsedRequest, ResponseSlot], None]
"""Takes over a valid request, which will be answered through its response slot."""


class RequestRouter(Generic[Connection]):
    """Handles each request by its path, and limits the memory for open requests.

    Attributes:
        rejects_all: whether every request under /api is rejected, because the node is about to stop.
    """

    def __init__(
        self,
        parser: RequestParser,
        accept_request: AcceptRequest,
        is_ready: Callable[[], bool],
        is_over_limit: Callable[[], bool],
        memory: MemoryBudget[Connection],
    ) -> None:
        """Initialize the router without open requests.

        Args:
            parser: parses requests under /api.
            accept_request: takes over a valid request under /api.
            is_ready: returns whether readiness checks succeed.
            is_over_limit: returns whether too many connections are open, so that requests are rejected.
            memory: counts the memory of open requests.
        """
        self.rejects_all = False
        self._parser = parser
        self._accept_request = accept_request
        self._is_ready = is_ready
        self._is_over_limit = is_over_limit
        self._memory = memory

    def route(self, message: HttpMessage, slot: ResponseSlot) -> bool:
        """Answer a complete request, or pass it on to be forwarded.

        Returns:
            Whether it was a valid request under /api.

        Raises:
            HttpMessageError: the request is invalid, or the node does not serve its path or method.
        """
        if message.is_dropped:
            self._reject(slot)
            return True
        path = message.target.partition(b"?")[0]
        if path == b"/ready":
            if message.method != b"GET":
                raise HttpMessageError(400, "the method of /ready must be GET")
            slot.respond(200 if self._is_ready() else 503)
            return False
        if path != b"/api" and not path.startswith(b"/api/"):
            raise HttpMessageError(404, "the path is not served")
        request = self._parser.parse(message, path)
        cost_bytes = REQUEST_OVERHEAD_BYTES + message.head_cost_bytes + len(message.body)
        if self.rejects_all or self._is_over_limit() or not self._memory.has_room_for(cost_bytes):
            self._reject(slot)
            return True
        slot.reserved_bytes = cost_bytes
        self._memory.reserve(cost_bytes)
        self._accept_request(request, slot)
        return True

    @staticmethod
    def _reject(slot: ResponseSlot) -> None:
        """Answer a request that is not accepted for lack of capacity."""
        slot.close_if_last()
        slot.respond(503, extra_headers=OVERLOAD_RETRY_AFTER)

    def release_memory(self, slot: ResponseSlot) -> None:
        """Stop counting the request of this slot towards the limit on memory."""
        self._memory.release(slot.reserved_bytes)
        slot.reserved_bytes = 0
