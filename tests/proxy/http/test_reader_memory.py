"""Tests of the memory that a reader keeps, which its peer must not be able to raise over the size limits."""

from __future__ import annotations

import pytest

from load_balancer.proxy.http.reader import MAX_HEAD_BYTES, HttpMessageError, HttpReader
from tests.proxy.traced_memory import traced_bytes, without_garbage_collection

PIECE_BYTES = 256 * 1024  # as much as the event loop reads at once
READERS = 20
POST = b"POST /api HTTP/1.1\r\nHost: h\r\n"

TOO_LONG_BODY = POST + b"Content-Length: 60000000\r\n\r\n" + bytes(PIECE_BYTES)
TOO_LONG_CHUNK = POST + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % PIECE_BYTES + bytes(PIECE_BYTES)
HEAD_OF_LINES = POST + b"a:b\r\n" * (PIECE_BYTES // 5)
NOISE = b"nonsense\r\n" + bytes(PIECE_BYTES)


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
