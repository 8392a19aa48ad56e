"""Define the frames of the adapter's wire protocol, for tools that test the adapter as a process.

The module also reads the command that starts the adapter.  It does not use ``load_balancer.simulator.codec``.
All numbers are little-endian and unpadded.
"""

from __future__ import annotations

import struct
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent

BATCH_HEADER = struct.Struct("<IdI")  # body length in bytes, clock in milliseconds, number of records
REPLY_HEADER = struct.Struct("<II")  # number of records, body length in bytes
RECORD_HEADER = struct.Struct("<BI")  # record code, length of the fields in bytes


class EventCode(IntEnum):
    """The codes of the events in the recorded stream; each comment is the documented protocol name."""

    INSTANCE_STARTED = 1  # enlist
    ENDPOINT_LIST_UPDATE = 2  # sync
    REQUEST_ARRIVED = 3  # arrival
    ATTEMPT_ENDED = 5  # settled
    REQUEST_ABANDONED = 6  # vanished
    INSTANCE_KILLED = 10  # power_off
    ENDPOINT_TABLE = 11  # table


class ActionCode(IntEnum):
    """The codes of the actions that the tools inspect; each comment is the documented protocol name."""

    SEND_ATTEMPT = 65  # forward
    REJECT_REQUEST = 66  # refuse
    FAIL_REQUEST = 67  # lose
    LOG_EVENT = 73  # remark
    INSTANCE_FAULT = 74  # bug


class ReplyError(Exception):
    """A reply frame is incomplete or does not match its header, or a reply is not exactly one frame."""


@dataclass(frozen=True, slots=True)
class ActionRecord:
    """One record of a reply.

    Attributes:
        code: the action code of the record.
        fields: the encoded fields of the action, which begin with the instance id.
    """

    code: int
    fields: bytes


@dataclass(frozen=True, slots=True)
class Reply:
    """The actions of one reply frame, in order."""

    actions: tuple[ActionRecord, ...]


def adapter_command() -> str:
    """Return the shell command that starts the adapter, from deploy/balancer.toml."""
    command: str = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["sim"]
    return command


def read_replies(output: bytes) -> Iterator[Reply]:
    """Yield the decoded reply frames of an adapter's output, in order.

    Raises:
        ReplyError: the output ends inside a frame, or a frame's header does not match its records.
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
            raise ReplyError("the body length of a reply does not match its records")
        code, length = RECORD_HEADER.unpack_from(output, position)
        position = fields_start + length
        actions.append(ActionRecord(code, output[fields_start:position]))
    if position != end:
        raise ReplyError("the body length of a reply does not match its records")
    return Reply(tuple(actions))
