"""Tests that JSON streams of any layout are split into objects, and that malformed input is detected."""

from __future__ import annotations

import json

import pytest

from load_balancer.proxy.discovery.json_stream import MAX_OBJECT_BYTES, JsonObjectStream, MalformedStreamError
from tests.proxy.stub_discovery import listing, row

LIST = listing(42, row('br{ace"d', "127.0.0.1:1"), row("b\\n", "127.0.0.1:2", "DRAINING"))


@pytest.mark.parametrize("indent", [None, 0, 2, "\t"])
@pytest.mark.parametrize("piece_size", [1, 2, 7, 64, 100_000])
def test_objects_are_found_in_any_layout_and_piece_size(indent: int | str | None, piece_size: int) -> None:
    text = json.dumps(LIST, indent=indent).encode()
    stream = b"\n\n" + text + b"\n\r\n \n" + text + b"\n" + text + text + b"\n"
    objects = JsonObjectStream()
    complete: list[bytes] = []
    for begin in range(0, len(stream), piece_size):
        complete += objects.feed(stream[begin : begin + piece_size])
    assert [json.loads(text) for text in complete] == [LIST] * 4
    assert not objects.in_object


@pytest.mark.parametrize(
    "malformed",
    [
        b"nonsense\n",
        b"{nonsense\n",
        b"[1]\n",
        b"5\n",
        b"]\n",
        b'{"generation":42,"inst\n',
        b'{"generation":NaN}\n',
        b'{"a":\x00}\n',
        b'"text"\n',
        b"[" * 40,
        b'{"a":' * 40,
        b"\xff\xfe\n",
    ],
)
def test_malformed_input_is_detected_at_line_end(malformed: bytes) -> None:
    with pytest.raises(MalformedStreamError):
        list(JsonObjectStream().feed(malformed))


def test_oversized_object_is_rejected() -> None:
    objects = JsonObjectStream()
    with pytest.raises(MalformedStreamError):
        list(objects.feed(b'{"a":"' + b"x" * MAX_OBJECT_BYTES))
