"""Tests of reading messages from pieces of input, and of the limits on messages."""

from __future__ import annotations

import pytest

from load_balancer.proxy.http.reader import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    MAX_HEADERS,
    HttpMessage,
    HttpMessageError,
    HttpReader,
)

POST = b"POST /api/x?y=1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: 7\r\nContent-Length: 4\r\n\r\nbody"


def _read_requests(*pieces: bytes) -> list[HttpMessage]:
    messages: list[HttpMessage] = []
    reader = HttpReader(messages.append, requests=True)
    for piece in pieces:
        reader.feed(piece)
    return messages


@pytest.mark.parametrize("piece_size", [1, 7, 1000])
def test_requests_are_read_from_pieces_of_any_size(piece_size: int) -> None:
    stream = 2 * POST
    pieces = [stream[begin : begin + piece_size] for begin in range(0, len(stream), piece_size)]
    first, second = _read_requests(*pieces)
    assert first == second
    assert (first.method, first.target, first.body) == (b"POST", b"/api/x?y=1", b"body")
    assert first.headers == {b"host": b"h", b"x-request-id": b"7", b"content-length": b"4"}
    assert first.keep_alive and not first.duplicate_headers


def test_duplicate_headers_are_recorded_and_trailers_ignored() -> None:
    head = b"POST / HTTP/1.1\r\nX-Class: a\r\nx-class: b\r\nTransfer-Encoding: chunked\r\n\r\n"
    (message,) = _read_requests(head + b"4\r\nbody\r\n0\r\nX-Class: c\r\nX-Tenant: t\r\n\r\n")
    assert message.duplicate_headers == {b"x-class"}
    assert message.headers == {b"x-class": b"b", b"transfer-encoding": b"chunked"}
    assert message.body == b"body"


@pytest.mark.parametrize(
    ("pieces", "status"),
    [
        ((b"nonsense\r\n\r\n",), 400),
        ((b"GET / HTTP/1.1\r\nX: " + b"x" * MAX_HEAD_BYTES + b"\r\n\r\n",), 400),
        ((b"GET / HTTP/1.1\r\nX: ", b"x" * MAX_HEAD_BYTES), 400),
        ((b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1),), 413),
        (
            (
                b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
                b"%x\r\n" % (MAX_BODY_BYTES + 1) + b"x" * (MAX_BODY_BYTES + 1),
            ),
            413,
        ),
        ((b"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",), 400),
        ((b"GET / HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n",), 400),
    ],
)
def test_invalid_or_too_large_request_raises_error(pieces: tuple[bytes, ...], status: int) -> None:
    with pytest.raises(HttpMessageError) as raised:
        _read_requests(*pieces)
    assert raised.value.status == status
    assert raised.value.problem == str(raised.value)


def test_largest_body_is_accepted() -> None:
    body = b"x" * MAX_BODY_BYTES
    (message,) = _read_requests(b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
    assert message.body == body


@pytest.mark.parametrize(
    ("chunk", "last_chunk"),
    [
        pytest.param(b"1\r\nx\r\n", b"0\r\n\r\n", id="chunks of one byte"),
        pytest.param(b"8;a=b\r\nxxxxxxxx\r\n", b"0\r\n\r\n", id="chunk extensions"),
        pytest.param(b"8\r\nxxxxxxxx\r\n", b"0\r\nX-Sum: %s\r\n\r\n" % (b"1" * 16_000), id="long trailer"),
    ],
)
@pytest.mark.parametrize("piece_size", [1000, 10_000_000])
def test_largest_body_is_accepted_in_each_form_of_chunks(
    chunk: bytes, last_chunk: bytes, piece_size: int
) -> None:
    body_size = chunk.count(b"x")
    head = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    stream = head + chunk * (MAX_BODY_BYTES // body_size) + last_chunk
    pieces = [stream[begin : begin + piece_size] for begin in range(0, len(stream), piece_size)]
    (message,) = _read_requests(*pieces)
    assert message.body == b"x" * MAX_BODY_BYTES


def test_requests_in_one_large_piece_are_all_read() -> None:
    messages = _read_requests(POST * 5000)
    assert len(messages) == 5000
    assert {message.body for message in messages} == {b"body"}


def _read_with_headers(count: int) -> list[HttpMessage]:
    headers = b"".join(b"X-%d: 1\r\n" % i for i in range(count))
    return _read_requests(b"GET / HTTP/1.1\r\n" + headers + b"\r\n")


def test_message_with_more_headers_than_limit_is_refused() -> None:
    # Heads of thousands of short headers, in bytes below the limit, held up the event loop: with hundreds of
    # such clients the requests of all others were answered late or not at all.
    (message,) = _read_with_headers(MAX_HEADERS)
    assert len(message.headers) == MAX_HEADERS
    with pytest.raises(HttpMessageError, match="too many headers") as raised:
        _read_with_headers(MAX_HEADERS + 1)
    assert raised.value.status == 400


def test_trailers_count_as_headers() -> None:
    head = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
    (message,) = _read_requests(head + b"a:\r\n" * (MAX_HEADERS - 1) + b"\r\n")
    assert message.body == b"body"
    with pytest.raises(HttpMessageError, match="too many headers"):
        _read_requests(head + b"a:\r\n" * MAX_HEADERS + b"\r\n")


def test_interim_responses_count_as_headers() -> None:
    messages: list[HttpMessage] = []
    interim, final = b"HTTP/1.1 100 Continue\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    reader = HttpReader(messages.append, requests=False)
    reader.feed(interim * (MAX_HEADERS - 1) + final)
    assert [message.status for message in messages] == [200]
    with pytest.raises(HttpMessageError, match="too many headers"):
        reader.feed(interim * MAX_HEADERS + final)


def test_header_count_begins_anew_with_each_message() -> None:
    request = b"GET / HTTP/1.1\r\n" + b"a: 1\r\n" * MAX_HEADERS + b"\r\n"
    assert len(_read_requests(request, request)) == 2


def test_reader_is_in_message_until_message_is_complete() -> None:
    reader = HttpReader(lambda message: None, requests=True)
    assert not reader.in_message
    reader.feed(POST[:-1])
    assert reader.in_message
    reader.feed(POST[-1:])
    assert not reader.in_message


def test_stopped_reader_reads_no_further_message() -> None:
    messages: list[HttpMessage] = []

    def handle_message(message: HttpMessage) -> None:
        messages.append(message)
        reader.stop()

    reader = HttpReader(handle_message, requests=True)
    reader.feed(POST)
    assert not reader.has_input_after_stop
    reader.resume()
    reader.feed(2 * POST)
    assert len(messages) == 2
    assert reader.has_input_after_stop


EARLY_HINT = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
RESPONSE = EARLY_HINT + b"HTTP/1.1 200 OK\r\nX-Load: {}\r\nContent-Length: 4\r\n\r\nbody"


@pytest.mark.parametrize("surplus", [b"", b"\r\n", b"more", RESPONSE])
@pytest.mark.parametrize("piece_bytes", [1, 2, 5, len(RESPONSE) - 1, len(RESPONSE), 1000])
def test_input_behind_a_message_is_returned(surplus: bytes, piece_bytes: int) -> None:
    # The rest of a body whose Content-Length is too small has to be told from the end of the input.
    messages: list[HttpMessage] = []

    def handle_message(message: HttpMessage) -> None:
        messages.append(message)
        reader.stop()

    reader = HttpReader(handle_message, requests=False)
    stream = RESPONSE + surplus
    returned = b"".join(
        reader.feed_message(stream[begin : begin + piece_bytes])
        for begin in range(0, len(stream), piece_bytes)
    )
    assert returned == surplus
    assert [message.body for message in messages] == [b"body"]
