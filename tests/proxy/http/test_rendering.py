"""Tests of rendering responses and request heads."""

from __future__ import annotations

import pytest

from load_balancer.proxy.http.reader import HttpMessage
from load_balancer.proxy.http.rendering import render_request_head, render_response


@pytest.mark.parametrize(
    ("rendered", "expected"),
    [
        (render_response(200, b"body"), b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"),
        (
            render_response(503, extra_headers=b"Retry-After: 0.500\r\n", close=True),
            b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
            b"Retry-After: 0.500\r\nConnection: close\r\n\r\n",
        ),
    ],
)
def test_response_is_rendered(rendered: bytes, expected: bytes) -> None:
    assert rendered == expected


@pytest.mark.parametrize(
    ("message", "expected"),
    [
        (
            HttpMessage(b"/api/x", b"GET", headers={b"x-request-id": b"7", b"x-class": b"look"}),
            b"GET /api/x HTTP/1.1\r\nHost: h:1\r\nX-Request-Id: 7\r\n",
        ),
        (
            HttpMessage(
                b"/api/x",
                b"POST",
                headers={b"x-request-id": b"7", b"idempotency-key": b"k", b"content-type": b"text/plain"},
                body=b"body",
            ),
            b"POST /api/x HTTP/1.1\r\nHost: h:1\r\nX-Request-Id: 7\r\nIdempotency-Key: k\r\n"
            b"Content-Type: text/plain\r\nContent-Length: 4\r\n",
        ),
    ],
)
def test_request_head_contains_only_forwarded_headers(message: HttpMessage, expected: bytes) -> None:
    assert render_request_head(message, b"h:1") == expected
