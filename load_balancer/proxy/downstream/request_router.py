"""Routes complete requests: readiness checks are answered here, requests for the servers are handed on."""

from __future__ import annotations

from collections.abc import Callable

from load_balancer.proxy.downstream.request_parsing import ParsedRequest, RequestParser
from load_balancer.proxy.downstream.response_slot import ResponseSlot
from load_balancer.proxy.http.reader import HttpMessage, HttpMessageError

OVERLOAD_RETRY_AFTER_S = 0.5

AcceptRequest = Callable[[ParsedRequest, ResponseSlot], None]


class RequestRouter:
    """Takes each request by its path, and bounds the memory for the bodies of open requests.

    Attributes:
        max_body_bytes: the bodies of open requests may have this size together.
    """

    def __init__(
        self,
        parser: RequestParser,
        accept_request: AcceptRequest,
        is_ready: Callable[[], bool],
        is_over_limit: Callable[[], bool],
        max_body_bytes: int,
    ) -> None:
        """Begin with no open body.

        Args:
            parser: checks requests for the servers.
            accept_request: takes a valid request for the servers.
            is_ready: whether readiness checks succeed.
            is_over_limit: whether there are too many connections, so that requests are refused.
            max_body_bytes: the bodies of open requests may have this size together.
        """
        self.max_body_bytes = max_body_bytes
        self._parser = parser
        self._accept_request = accept_request
        self._is_ready = is_ready
        self._is_over_limit = is_over_limit
        self._body_bytes = 0

    def route(self, message: HttpMessage, slot: ResponseSlot) -> bool:
        """Take one complete request.

        Returns:
            Whether it is one for the servers.

        Raises:
            HttpMessageError: the node serves no such request.
        """
        path = message.target.partition(b"?")[0]
        if path == b"/ready":
            if message.method != b"GET":
                raise HttpMessageError(400, "method")
            slot.respond(200 if self._is_ready() else 503)
            return False
        if path != b"/api" and not path.startswith(b"/api/"):
            raise HttpMessageError(404, "path")
        request = self._parser.parse(message, path)
        if self._is_over_limit() or self._body_bytes + len(message.body) > self.max_body_bytes:
            slot.close_after = True
            slot.respond(503, extra=b"Retry-After: %.3f\r\n" % OVERLOAD_RETRY_AFTER_S)
            return True
        slot.body_bytes = len(message.body)
        self._body_bytes += slot.body_bytes
        self._accept_request(request, slot)
        return True

    def release_body(self, slot: ResponseSlot) -> None:
        """Count the body of a finished request no longer against the limit."""
        self._body_bytes -= slot.body_bytes
        slot.body_bytes = 0
