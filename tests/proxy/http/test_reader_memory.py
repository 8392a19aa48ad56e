"""Tests of the memory that a reader keeps, which its peer must not be able to raise over the size limits."""

from __future__ import annotations

import pytest

from load_balancer.proxy.http.reader import MAX_BODY_BYTES, MAX_HEAD_BYTES, HttpMessageError, HttpReader
from tests.proxy.traced_memory import traced_bytes, without_garbage_collection

PIECE_BYTES = 256 * 1024  # as much as the event loop reads at once
READERS = 20
POST = b"POST /api HTTP/1.1\r\nHost: h\r\n"

TOO_LONG_BODY = POST + b"Content-Length: 60000000\r\n\r\n" + bytes(PIECE_BYTES)
TOO_LONG_CHUNK = POST + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % PIECE_BYTES + bytes(PIECE_BYTES)
HEAD_OF_LINES = POST + b"a:b\r\n" * (PIECE_BYTES // 5)
NOISE = b"nonsense\r\n" + bytes(PIECE_BYTES)


REQUEST_IN_CHUNKS = POST + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"
RESPONSE_IN_CHUNKS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"
MIB = 1024 * 1024


def _read_until_refused(reader: HttpReader, piece_bytes: int) -> int:
    """Feed up to 1 MiB in pieces of this size; return the status of the error, or 0 if there was none."""
    try:
        for _ in range(MIB // piece_bytes):
            reader.feed(bytes(bytearray(b"a")) * piece_bytes)
    except HttpMessageError as error:
        return error.status
    return 0


def _fail(reader: HttpReader, piece: bytes) -> None:
    with pytest.raises(HttpMessageError):
        reader.feed(piece)


@pytest.mark.parametrize(
    "piece",
    [
        pytest.param(TOO_LONG_BODY, id="body by length"),
        pytest.param(TOO_LONG_CHUNK, id="body by chunk"),
        pytest.param(HEAD_OF_LINES, id="head of lines"),
        pytest.param(NOISE, id="noise"),
    ],
)
def test_failed_reader_keeps_none_of_its_input(piece: bytes) -> None:
    # A failed reader kept the input that it had failed on, 256 KB for each refused request, until the cyclic
    # garbage collector ran: nodes exceeded their memory limit.
    readers = [HttpReader(lambda message: None, requests=True) for _ in range(READERS)]
    with without_garbage_collection():
        for reader in readers:
            _fail(reader, bytes(bytearray(piece)))  # a copy that only the reader can keep
        assert traced_bytes() < READERS * MAX_HEAD_BYTES


@pytest.mark.parametrize("requests", [True, False])
@pytest.mark.parametrize("piece_bytes", [1000, PIECE_BYTES])
@pytest.mark.parametrize(
    "start",
    [
        pytest.param(b"0\r\nX-Sum: ", id="value of a trailer"),
        pytest.param(b"0\r\n", id="name of a trailer"),
        pytest.param(b"4;x=", id="chunk extension"),
    ],
)
def test_message_whose_trailers_never_end_is_refused(start: bytes, piece_bytes: int, requests: bool) -> None:
    # A trailer without end was collected without a limit, so that one bad endpoint could drive a node over
    # its memory limit and hold up its event loop.
    reader = HttpReader(lambda message: None, requests=requests)
    reader.feed((REQUEST_IN_CHUNKS if requests else RESPONSE_IN_CHUNKS) + start)
    with without_garbage_collection():
        assert _read_until_refused(reader, piece_bytes) == 400
        assert traced_bytes() < 4 * MAX_HEAD_BYTES


def test_incomplete_head_of_many_headers_is_refused() -> None:
    # A head of thousands of short headers, incomplete and below the limit in bytes, took many times its size.
    reader = HttpReader(lambda message: None, requests=True)
    reader.feed(POST)
    lines = b"".join(b"%x:\r\n" % i for i in range(2000))
    with without_garbage_collection():
        try:
            reader.feed(lines)
        except HttpMessageError as error:
            assert error.status == 400
        assert traced_bytes() < 4 * MAX_HEAD_BYTES


def test_incomplete_body_in_small_chunks_takes_about_its_size() -> None:
    # Each chunk was kept as an object: 300 clients that stopped in the middle of a body of 64 KB in chunks of
    # two bytes drove a node over its memory limit.
    reader = HttpReader(lambda message: None, requests=True)
    reader.feed(POST + b"Transfer-Encoding: chunked\r\n\r\n")
    chunks = b"2\r\nab\r\n" * (MAX_BODY_BYTES // 2)
    with without_garbage_collection():
        reader.feed(chunks)
        assert traced_bytes() < 2 * MAX_BODY_BYTES
