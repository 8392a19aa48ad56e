"""Render HTTP/1.1 responses to clients and the heads of requests to endpoints."""

from __future__ import annotations

from load_balancer.proxy.http.headers import CONTENT_TYPE, IDEMPOTENCY_KEY, REQUEST_ID
from load_balancer.proxy.http.reader import HttpMessage

_REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
}


def render_response(
    status: int, body: bytes = b"", extra_headers: bytes = b"", *, close: bool = False
) -> bytes:
    """Return a complete response to a client.

    Args:
        status: the status code, which must be in ``_REASON_PHRASES``.
        body: the body.
        extra_headers: further header lines, each ending with CRLF.
        close: whether the node closes the connection after this response.
    """
    return b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s%s\r\n%s" % (
        status,
        _REASON_PHRASES[status],
        len(body),
        extra_headers,
        b"Connection: close\r\n" if close else b"",
        body,
    )


def render_request_head(message: HttpMessage, host: bytes) -> bytes:
    """Return the part of the request head that all attempts to send a request to an endpoint have in common.

    The sender of each attempt appends the deadline header and the empty line that ends the head.

    Args:
        message: the request of the client.
        host: the value of the Host header.
    """
    lines = [
        b"%s %s HTTP/1.1\r\n" % (message.method, message.target),
        b"Host: %s\r\n" % host,
        b"X-Request-Id: %s\r\n" % message.headers[REQUEST_ID],
    ]
    idempotency_key = message.headers.get(IDEMPOTENCY_KEY)
    if idempotency_key is not None:
        lines.append(b"Idempotency-Key: %s\r\n" % idempotency_key)
    content_type = message.headers.get(CONTENT_TYPE)
    if content_type is not None:
        lines.append(b"Content-Type: %s\r\n" % content_type)
    if message.body or message.method == b"POST":
        lines.append(b"Content-Length: %d\r\n" % len(message.body))
    return b"".join(lines)
