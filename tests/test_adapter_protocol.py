"""Tests that the tools read reply frames in order and reject malformed frames."""

from __future__ import annotations

import pytest

from tools.adapter_protocol import ActionRecord, Reply, ReplyError, read_replies
from tools.compare_stream import comparable_actions

LOG_RECORD = bytes.fromhex("49 02000000 6162")
REJECT_RECORD = bytes.fromhex("42 01000000 07")
FRAME = bytes.fromhex("02000000 0d000000") + LOG_RECORD + REJECT_RECORD
EMPTY_FRAME = bytes.fromhex("00000000 00000000")


def test_frames_are_read_in_order() -> None:
    log_action, rejection = ActionRecord(0x49, b"ab"), ActionRecord(0x42, b"\x07")
    assert list(read_replies(FRAME + EMPTY_FRAME)) == [Reply((log_action, rejection)), Reply(())]
    assert comparable_actions(FRAME) == [rejection]


@pytest.mark.parametrize(
    "output",
    [
        pytest.param(FRAME[:5], id="output ends inside the header"),
        pytest.param(FRAME[:-1], id="output ends inside a record"),
        pytest.param(b"\x01" + FRAME[1:], id="more records than announced"),
        pytest.param(b"\x03" + FRAME[1:], id="fewer records than announced"),
        pytest.param(FRAME[:9] + b"\x08" + FRAME[10:], id="first record fills the whole frame"),
    ],
)
def test_frame_that_does_not_match_its_header_is_an_error(output: bytes) -> None:
    with pytest.raises(ReplyError):
        list(read_replies(output))


def test_second_frame_after_a_compared_reply_is_an_error() -> None:
    with pytest.raises(ReplyError):
        comparable_actions(FRAME + EMPTY_FRAME)
