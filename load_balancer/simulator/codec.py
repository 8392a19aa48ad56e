"""Frames, record headers and record codes of the simulator's wire.

A batch frame carries events to the adapter and a reply frame carries its actions back.  Both are a header
followed by records; a record is a code, the length of its fields and the fields.  All numbers are
little-endian and unpadded.  The fields of events are read in ``decoding`` and those of actions are written in
``encoding``.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import BinaryIO

BATCH_HEADER = struct.Struct("<IdI")
"""Length of the body in bytes, the clock in milliseconds, the number of records."""

REPLY_HEADER = struct.Struct("<II")
"""The number of records, length of the body in bytes."""

RECORD_HEADER = struct.Struct("<BI")
"""The record's code, length of its fields in bytes."""


class EventCode(IntEnum):
    """The codes of received records; the comment is the documented name on the wire."""

    INSTANCE_STARTED = 1  # enlist
    ENDPOINT_LIST_UPDATE = 2  # sync
    REQUEST_ARRIVED = 3  # arrival
    RESPONSE_STARTED = 4  # first
    ATTEMPT_ENDED = 5  # settled
    REQUEST_ABANDONED = 6  # vanished
    TIMER_FIRED = 7  # fired
    HEALTH_CHECK_ENDED = 8  # ping_result
    PEER_MESSAGE = 9  # datagram
    INSTANCE_KILLED = 10  # power_off
    ENDPOINT_TABLE = 11  # table


class ActionCode(IntEnum):
    """The codes of sent records; the comment is the documented name on the wire."""

    SEND_ATTEMPT = 65  # forward
    REJECT_REQUEST = 66  # refuse
    FAIL_REQUEST = 67  # lose
    CANCEL_ATTEMPT = 68  # abort_attempt
    SET_TIMER = 69  # sleep
    CHECK_HEALTH = 70  # sound_out
    CLOSE_IDLE_CONNECTIONS = 71  # close
    LOG_EVENT = 73  # remark
    INSTANCE_FAULT = 74  # bug
    POLL_ENDPOINT_LIST = 75  # stream_changes


class WireError(Exception):
    """The input cannot be read or names something unknown.

    Attributes:
        location: the part of the input at fault, such as a record with its code.
        problem: what is wrong with it.
    """

    def __init__(self, location: str, problem: str) -> None:
        super().__init__(f"{location}: {problem}")
        self.location = location
        self.problem = problem


@dataclass(frozen=True, slots=True)
class Batch:
    """The content of one batch frame.

    Attributes:
        now_ms: the clock at which all of its events happen, in milliseconds.
        record_count: the number of records in the body.
        body: the records, headers included.
    """

    now_ms: float
    record_count: int
    body: bytes


def read_batch(source: BinaryIO) -> Batch | None:
    """The next batch, or None at the end of the input.

    Raises:
        WireError: the input ends inside a frame.
    """
    header = _read_up_to(source, BATCH_HEADER.size)
    if not header:
        return None
    if len(header) < BATCH_HEADER.size:
        raise WireError("batch header", "the input ends inside it")
    body_length, now_ms, record_count = BATCH_HEADER.unpack(header)
    body = _read_up_to(source, body_length)
    if len(body) < body_length:
        raise WireError("batch body", "the input ends inside it")
    return Batch(now_ms, record_count, body)


def split_records(batch: Batch) -> Iterator[tuple[int, bytes]]:
    """The code and the fields of each record of a batch, in order and one at a time.

    Raises:
        WireError: the lengths or the number of the records do not fit the body.
    """
    body = batch.body
    position = 0
    for _ in range(batch.record_count):
        fields_start = position + RECORD_HEADER.size
        if fields_start > len(body):
            raise WireError("batch body", "it ends before its last record")
        code, length = RECORD_HEADER.unpack_from(body, position)
        position = fields_start + length
        if position > len(body):
            raise WireError(f"record {code}", "it is cut short")
        yield code, body[fields_start:position]
    if position != len(body):
        raise WireError("batch body", "it holds more bytes than its records")


def encode_reply(records: Sequence[bytes]) -> bytes:
    """The reply frame that carries these encoded records."""
    body = b"".join(records)
    return REPLY_HEADER.pack(len(records), len(body)) + body


def _read_up_to(source: BinaryIO, size: int) -> bytes:
    """Bytes of this size, fewer only at the end of the input; one read from a pipe may return fewer."""
    parts: list[bytes] = []
    missing = size
    while missing:
        part = source.read(missing)
        if not part:
            break
        parts.append(part)
        missing -= len(part)
    return b"".join(parts)
