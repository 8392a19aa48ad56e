"""Defines the frames, record headers and record codes of the simulator's wire protocol.

A batch frame carries events to the adapter, and a reply frame carries actions back to the simulator.  Each
frame is a header followed by records; a record is a code, the length of its fields in bytes, and the fields.
All numbers are little-endian and unpadded.  ``decoding`` reads the fields of event records and ``encoding``
writes the fields of action records.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import BinaryIO

BATCH_HEADER = struct.Struct("<IdI")
"""The header of a batch frame: body length in bytes, clock in milliseconds, number of records."""

REPLY_HEADER = struct.Struct("<II")
"""The header of a reply frame: number of records, body length in bytes."""

RECORD_HEADER = struct.Struct("<BI")
"""The header of a record: record code, length of the fields in bytes."""


class EventCode(IntEnum):
    """The codes of event records; the comment at each code is its documented name in the protocol."""

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
    """The codes of action records; the comment at each code is its documented name in the protocol."""

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
    """The input is malformed, holds invalid settings, or refers to an unknown code, table or instance.

    Attributes:
        location: the part of the input that has the error, such as "batch header", or "record 5" for a record
            with code 5.
        problem: a description of what is wrong with that part.
    """

    def __init__(self, location: str, problem: str) -> None:
        super().__init__(f"{location}: {problem}")
        self.location = location
        self.problem = problem


@dataclass(frozen=True, slots=True)
class Batch:
    """The content of one batch frame.

    Attributes:
        now_ms: the time at which all events of the batch happen, in milliseconds on the simulator's clock.
        record_count: the number of records in the body.
        body: the encoded records, including their headers.
    """

    now_ms: float
    record_count: int
    body: bytes


def read_batch(source: BinaryIO) -> Batch | None:
    """Read the next batch, or return None at the end of the input.

    Raises:
        WireError: the input ends inside a frame.
    """
    header = _read_up_to(source, BATCH_HEADER.size)
    if not header:
        return None
    if len(header) < BATCH_HEADER.size:
        raise WireError("batch header", "the input ends inside the header")
    body_length, now_ms, record_count = BATCH_HEADER.unpack(header)
    body = _read_up_to(source, body_length)
    if len(body) < body_length:
        raise WireError("batch body", "the input ends inside the body")
    return Batch(now_ms, record_count, body)


def split_records(batch: Batch) -> Iterator[tuple[int, bytes]]:
    """Yield the code and the fields of each record of a batch, in order.

    Raises:
        WireError: the body is shorter or longer than its records.
    """
    body = batch.body
    position = 0
    for _ in range(batch.record_count):
        fields_start = position + RECORD_HEADER.size
        if fields_start > len(body):
            raise WireError("batch body", "the body holds fewer records than the batch header announces")
        code, length = RECORD_HEADER.unpack_from(body, position)
        position = fields_start + length
        if position > len(body):
            raise WireError(f"record {code}", "the record is cut short by the end of the batch body")
        yield code, body[fields_start:position]
    if position != len(body):
        raise WireError("batch body", "the body continues after its last record")


def encode_reply(records: Sequence[bytes]) -> bytes:
    """Return the reply frame that carries these encoded records."""
    body = b"".join(records)
    return REPLY_HEADER.pack(len(records), len(body)) + body


def _read_up_to(source: BinaryIO, size: int) -> bytes:
    """Read exactly ``size`` bytes, or fewer if the input ends first.

    A single read from a pipe may return fewer bytes than requested, so reading is repeated.
    """
    parts: list[bytes] = []
    remaining = size
    while remaining:
        part = source.read(remaining)
        if not part:
            break
        parts.append(part)
        remaining -= len(part)
    return b"".join(parts)
