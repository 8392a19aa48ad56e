"""The adapter's command and the frames of its wire, for tools that check the adapter from outside.

Nothing here uses the package's codec.  All numbers are little-endian and unpadded.
"""

from __future__ import annotations

import struct
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent

BATCH_HEADER = struct.Struct("<IdI")  # length of the body in bytes, the clock in milliseconds, record count
REPLY_HEADER = struct.Struct("<II")  # record count, length of the body in bytes
RECORD_HEADER = struct.Struct("<BI")  # code, length of the fields in bytes


class EventCode(IntEnum):
    """The codes of the events in the recorded stream; the comment is the documented name on the wire."""

    INSTANCE_STARTED = 1  # enlist
    ENDPOINT_LIST_UPDATE = 2  # sync
    REQUEST_ARRIVED = 3  # arrival
    ATTEMPT_ENDED = 5  # settled
    REQUEST_ABANDONED = 6  # vanished
    INSTANCE_KILLED = 10  # power_off
    ENDPOINT_TABLE = 11  # table


class ActionCode(IntEnum):
    """The codes of the actions that the tools look at; the comment is the documented name on the wire."""

    SEND_ATTEMPT = 65  # forward
    REJECT_REQUEST = 66  # refuse
    FAIL_REQUEST = 67  # lose
    LOG_EVENT = 73  # remark
    INSTANCE_FAULT = 74  # bug


class ReplyError(Exception):
    """A reply frame whose header does not fit its bytes."""


@dataclass(frozen=True, slots=True)
class ActionRecord:
    """One record of a reply.

    Attributes:
        code: what the action is.
        fields: its fields, the number of its instance first.
    """

    code: int
    fields: bytes


@dataclass(frozen=True, slots=True)
class Reply:
    """The actions of one reply frame, in order."""

    actions: tuple[ActionRecord, ...]


def adapter_command() -> str:
    """The shell command that deploy/balancer.toml names for the adapter."""
    command: str = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["sim"]
    return command


def read_replies(output: bytes) -> Iterator[Reply]:
    """The reply frames of an adapter's output.

    Raises:
        ReplyError: the bytes end inside a frame, or a frame's header does not fit its records.
    """
    position = 0
    while position < len(output):
        end = _frame_end(output, position)
        yield _read_reply(output, position, end)
        position = end


def _frame_end(output: bytes, start: int) -> int:
    body_start = start + REPLY_HEADER.size
    if body_start > len(output):
        raise ReplyError("the output ends inside the header of a reply")
    _, size = REPLY_HEADER.unpack_from(output, start)
    end: int = body_start + size
    if end > len(output):
        raise ReplyError("the output ends inside a reply")
    return end


def _read_reply(output: bytes, start: int, end: int) -> Reply:
    count, _ = REPLY_HEADER.unpack_from(output, start)
    position = start + REPLY_HEADER.size
    actions: list[ActionRecord] = []
    for _ in range(count):
        fields_start = position + RECORD_HEADER.size
        if fields_start > end:
            raise ReplyError("a reply's length does not fit its records")
        code, length = RECORD_HEADER.unpack_from(output, position)
        position = fields_start + length
        actions.append(ActionRecord(code, output[fields_start:position]))
    if position != end:
        raise ReplyError("a reply's length does not fit its records")
    return Reply(tuple(actions))
