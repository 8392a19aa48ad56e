"""Routing of complete requests: readiness checks are answered, and requests under /api are passed on."""

from __future__ import annotations

from collections.abc import Callable

from load_balancer.proxy.downstream.request_parsing import ParsedRequest, RequestParser
from load_balancer.proxy.downstream.response_slot import ResponseSlot
from load_balancer.proxy.http.reader import HttpMessage, HttpMessageError

# The Retry-After value of the responses to requests that are rejected for lack of capacity.
OVERLOAD_RETRY_AFTER_S = 0.5

AcceptRequest = Callable[[ParsedRequest, ResponseSlot], None]
"""Takes over a valid request, which will be answered through its response slot."""


class RequestRouter:
    """Handles each request by its path, and limits the memory for the bodies of open requests.

    Attributes:
        max_body_bytes: the limit for the total size of the bodies of open requests.
        rejects_all: whether every request under /api is rejected, because the node is about to stop.
    """

    def __init__(
        self,
        parser: RequestParser,
        accept_request: AcceptRequest,
        is_ready: Callable[[], bool],
        is_over_limit: Callable[[], bool],
        max_body_bytes: int,
    ) -> None:
        """Initialize the router without open requests.

        Args:
            parser: parses requests under /api.
            accept_request: takes over a valid request under /api.
            is_ready: returns whether readiness checks succeed.
            is_over_limit: returns whether too many connections are open, so that requests are rejected.
            max_body_bytes: the limit for the total size of the bodies of open requests.
        """
        self.max_body_bytes = max_body_bytes
        self.rejects_all = False
        self._parser = parser
        self._accept_request = accept_request
        self._is_ready = is_ready
        self._is_over_limit = is_over_limit
        self._body_bytes = 0

    def route(self, message: HttpMessage, slot: ResponseSlot) -> bool:
        """Answer a complete request, or pass it on to be forwarded.

        Returns:
            Whether it was a valid request under /api.

        Raises:
            HttpMessageError: the request is invalid, or the node does not serve its path or method.
        """
        path = message.target.partition(b"?")[0]
        if path == b"/ready":
            if message.method != b"GET":
                raise HttpMessageError(400, "the method of /ready must be GET")
            slot.respond(200 if self._is_ready() else 503)
            return False
        if path != b"/api" and not path.startswith(b"/api/"):
            raise HttpMessageError(404, "the path is not served")
        request = self._parser.parse(message, path)
        if self.rejects_all or self._is_over_limit() or not self._has_memory_for(message):
            slot.close_after = True
            slot.respond(503, extra_headers=b"Retry-After: %.3f\r\n" % OVERLOAD_RETRY_AFTER_S)
            return True
        slot.body_bytes = len(message.body)
        self._body_bytes += slot.body_bytes
        self._accept_request(request, slot)
        return True

    def _has_memory_for(self, message: HttpMessage) -> bool:
        return self._body_bytes + len(message.body) <= self.max_body_bytes

    def release_body(self, slot: ResponseSlot) -> None:
        """Stop counting the body of this slot's request towards the limit for request bodies."""
        self._body_bytes -= slot.body_bytes
        slot.body_bytes = 0
