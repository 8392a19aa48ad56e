"""Generate the batches of tests/data/stream.bin, which contain the events of two policy instances.

Instance 1 has one idle endpoint, so each of its requests must be forwarded to this endpoint at once.
Instance 2 has several endpoints that are added, drained and restarted.  It receives no outcomes of its
attempts, and is killed and restarted partway through.  No event depends on a decision of the policy.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import IntEnum

from tools.adapter_protocol import BATCH_HEADER, RECORD_HEADER, EventCode

STATUS_OK = 200

STEADY_INSTANCE, CHANGING_INSTANCE = 1, 2
STEPS = 60
STEP_WITH_DELTA = 20
STEP_WITH_RESTART = 40
STEPS_BEFORE_ABANDONING = 30
STEADY_REQUESTS = frozenset(range(2, 2 * STEPS + 2, 2))

SETTINGS = """azs=north,south
balancers=2
guarantees.answerSlackMs=8.0
guarantees.coldMs=4000.0
guarantees.fallMultiple=3.0
guarantees.overloadForMs=1000.0
guarantees.startCapacity=0.3
guarantees.stopSendingWithinMs=500.0
layers=front,back
policyLimits.cancel=true
policyLimits.tryLimit=3
profiles.count=2
profiles.0.aimMs=200.0
profiles.0.deadlineMs=1000.0
profiles.0.effect=safe
profiles.0.name=look
profiles.1.aimMs=300.0
profiles.1.deadlineMs=1000.0
profiles.1.effect=unsafe
profiles.1.name=pay
registryMode=pushed
tickMs=5.0
"""


class ListMode(IntEnum):
    """The kind of an endpoint list update."""

    DELTA = 1
    CACHED = 2


class Readiness(IntEnum):
    """The state of an endpoint in a list."""

    READY = 1
    DRAINING = 2


@dataclass(frozen=True, slots=True)
class EndpointRow:
    """An endpoint of a recorded list; its address, zone and cell are derived from its server number."""

    server_number: int
    readiness: Readiness = Readiness.READY
    started_ms: float = 0.0

    def pack(self) -> bytes:
        """Return the encoded row of an endpoint table."""
        zone, cell = self.server_number % 2, self.server_number // 3
        address = server_address(self.server_number)
        return struct.pack("<fH6sBHBd", 1.0, 0, address, zone, cell, self.readiness, self.started_ms)


@dataclass(frozen=True, slots=True)
class Batch:
    """A recorded batch.

    Attributes:
        now_ms: the time at which the events of the batch happen, in milliseconds.
        records: the encoded records, including their headers.
    """

    now_ms: float
    records: list[bytes] = field(default_factory=list)

    def pack(self) -> bytes:
        """Return the encoded batch frame."""
        body = b"".join(self.records)
        return BATCH_HEADER.pack(len(body), self.now_ms, len(self.records)) + body


def pack_record(code: EventCode, layout: str, *values: object, tail: bytes = b"") -> bytes:
    """Return a record with its header; the bytes of ``tail`` follow the packed values."""
    fields = struct.pack("<" + layout, *values) + tail
    return RECORD_HEADER.pack(code, len(fields)) + fields


def server_address(number: int) -> bytes:
    """Return the address of a server as encoded in the protocol: 4 bytes of IP address, 2 bytes of port."""
    return bytes([10, 0, 0, number]) + struct.pack(">H", 8000)


def start_instance(instance: int, seed: int) -> bytes:
    """Return the record that starts an instance."""
    return pack_record(
        EventCode.INSTANCE_STARTED, "IQI", instance, seed, len(SETTINGS), tail=SETTINGS.encode()
    )


def update_list(instance: int, table_number: int, mode: ListMode, rows: list[EndpointRow]) -> list[bytes]:
    """Return the two records of an endpoint list update: the table, and the update that refers to it."""
    entries = b"".join(row.pack() for row in rows)
    return [
        pack_record(EventCode.ENDPOINT_TABLE, "II", table_number, len(rows), tail=entries),
        pack_record(EventCode.ENDPOINT_LIST_UPDATE, "IIIB", instance, 1, table_number, mode),
    ]


def arrival(instance: int, request: int, class_index: int, budget_ms: float) -> bytes:
    """Return the arrival of a request of the first tenant, without an item key or a cost hint."""
    fields = (instance, request, class_index, 0, 0, budget_ms, 0.0, 0)
    return pack_record(EventCode.REQUEST_ARRIVED, "IIHHQddH", *fields)


def arrivals(step: int, steady_request: int) -> list[bytes]:
    """Return one request arrival for each instance; the request class alternates between steps.

    The instances are the adapter's policy instances 1 and 2 in the recording.  A step is two consecutive
    batches of the recording: the first contains these arrivals and the second contains the step's outcomes.
    """
    class_index = step % 2
    return [
        arrival(STEADY_INSTANCE, steady_request, class_index, 900.0),
        arrival(CHANGING_INSTANCE, steady_request + 1, class_index, 300.0),
    ]


def list_changes(step: int, now_ms: float, rows: list[EndpointRow]) -> list[bytes]:
    """Return the records that update the endpoint list of instance 2 or restart it; most steps have none."""
    if step == STEP_WITH_DELTA:
        changed = [EndpointRow(2, Readiness.DRAINING), EndpointRow(3, Readiness.READY, now_ms - 50.0)]
        return update_list(CHANGING_INSTANCE, 3, ListMode.DELTA, changed)
    if step == STEP_WITH_RESTART:
        killed = pack_record(EventCode.INSTANCE_KILLED, "I", CHANGING_INSTANCE)
        restarted = start_instance(CHANGING_INSTANCE, 13)
        return [killed, restarted, *update_list(CHANGING_INSTANCE, 4, ListMode.CACHED, rows[2:])]
    return []


def outcomes(step: int, steady_request: int) -> list[bytes]:
    """Return the records of the attempts and requests that end in this step.

    The attempt of instance 1 ends successfully.  In each step with a number above STEPS_BEFORE_ABANDONING,
    the client also abandons the request that instance 2 received STEPS_BEFORE_ABANDONING steps earlier.
    """
    fields = (STEADY_INSTANCE, steady_request, 0, server_address(1), STATUS_OK, 10.0, 1, 0)
    ended = pack_record(EventCode.ATTEMPT_ENDED, "IIH6sHdBB", *fields)
    if step <= STEPS_BEFORE_ABANDONING:
        return [ended]
    abandoned = steady_request + 1 - 2 * STEPS_BEFORE_ABANDONING
    return [ended, pack_record(EventCode.REQUEST_ABANDONED, "II", CHANGING_INSTANCE, abandoned)]


def recorded_batches() -> Iterator[Batch]:
    """Yield the batches of the recording, in order."""
    rows = [EndpointRow(number) for number in range(2, 8)]
    steady_update = update_list(STEADY_INSTANCE, 0, ListMode.CACHED, [EndpointRow(1)])
    yield Batch(100.0, [start_instance(STEADY_INSTANCE, 11), *steady_update])
    changing_update = update_list(CHANGING_INSTANCE, 1, ListMode.CACHED, rows)
    yield Batch(105.0, [start_instance(CHANGING_INSTANCE, 12), *changing_update])
    now_ms = 110.0
    for step in range(STEPS):
        steady_request = 2 * step + 2
        now_ms += 10.0
        yield Batch(now_ms, arrivals(step, steady_request) + list_changes(step, now_ms, rows))
        now_ms += 10.0
        yield Batch(now_ms, outcomes(step, steady_request))
    yield Batch(now_ms + 1000.0)
