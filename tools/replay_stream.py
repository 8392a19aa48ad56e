"""Plays the recorded batches of tests/data/stream.bin through the command that deploy/balancer.toml names.

    python tools/replay_stream.py             play them, from the root of the repository
    python tools/replay_stream.py --record    write the recording anew (its events depend on no decision)

Instance 1 has one idle endpoint, so each of its requests has to be forwarded there at once.  Instance 2 has
several endpoints that are added, drained and restarted, gets no outcomes and is killed in between.  The
frames are packed and read here without the package's codec.
"""

from __future__ import annotations

import argparse
import os
import struct
import subprocess
import sys
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parent.parent
STREAM = ROOT / "tests" / "data" / "stream.bin"

ENLIST, SYNC, ARRIVAL, SETTLED, VANISHED, POWER_OFF, TABLE = 1, 2, 3, 5, 6, 10, 11
FORWARD, REFUSE, LOSE, BUG = 65, 66, 67, 74
DELTA, CACHED = 1, 2
READY, DRAINING = 1, 2
STATUS_OK = 200

STEADY_INSTANCE, CHANGING_INSTANCE = 1, 2
STEPS = 60
STEP_WITH_DELTA = 20
STEP_WITH_RESTART = 40
STEPS_BEFORE_ABANDONING = 30
STEADY_REQUESTS = frozenset(range(2, 2 * STEPS + 2, 2))
LEAST_FORWARDED_BY_CHANGING_INSTANCE = 20

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


class Row(NamedTuple):
    """An endpoint of a recorded list."""

    server_number: int
    readiness: int = READY
    started_ms: float = 0.0


class Batch(NamedTuple):
    """A recorded batch: its clock and its records, headers included."""

    now_ms: float
    records: list[bytes]


class SentRecord(NamedTuple):
    """A record of a reply."""

    code: int
    fields: bytes


def pack_record(code: int, layout: str, *values: object, tail: bytes = b"") -> bytes:
    """A record with its header; the tail follows the values."""
    fields = struct.pack("<" + layout, *values) + tail
    return struct.pack("<BI", code, len(fields)) + fields


def server_address(number: int) -> bytes:
    """The wire's form of the address of a server."""
    return bytes([10, 0, 0, number]) + struct.pack(">H", 8000)


def pack_row(row: Row) -> bytes:
    """A table's entry; zone and cell follow from the number of the server."""
    zone, cell = row.server_number % 2, row.server_number // 3
    address = server_address(row.server_number)
    return struct.pack("<fH6sBHBd", 1.0, 0, address, zone, cell, row.readiness, row.started_ms)


def start_instance(instance: int, seed: int) -> bytes:
    """The record that starts an instance."""
    return pack_record(ENLIST, "IQI", instance, seed, len(SETTINGS), tail=SETTINGS.encode())


def update_list(instance: int, table_number: int, mode: int, rows: list[Row]) -> list[bytes]:
    """The two records of an endpoint list update: the table and the reference to it."""
    entries = b"".join(pack_row(row) for row in rows)
    return [
        pack_record(TABLE, "II", table_number, len(rows), tail=entries),
        pack_record(SYNC, "IIIB", instance, 1, table_number, mode),
    ]


def arrivals(step: int, steady_request: int) -> list[bytes]:
    """One request for each instance; the classes take turns."""
    class_index = step % 2
    return [
        pack_record(ARRIVAL, "IIHHQddH", STEADY_INSTANCE, steady_request, class_index, 0, 0, 900.0, 0.0, 0),
        pack_record(
            ARRIVAL, "IIHHQddH", CHANGING_INSTANCE, steady_request + 1, class_index, 0, 0, 300.0, 0.0, 0
        ),
    ]


def list_changes(step: int, now_ms: float, rows: list[Row]) -> list[bytes]:
    """What happens to the endpoints of the second instance, and to itself, at this step."""
    if step == STEP_WITH_DELTA:
        changed = [Row(2, DRAINING), Row(3, READY, now_ms - 50.0)]
        return update_list(CHANGING_INSTANCE, 3, DELTA, changed)
    if step == STEP_WITH_RESTART:
        killed = pack_record(POWER_OFF, "I", CHANGING_INSTANCE)
        restarted = start_instance(CHANGING_INSTANCE, 13)
        return [killed, restarted, *update_list(CHANGING_INSTANCE, 4, CACHED, rows[2:])]
    return []


def outcomes(step: int, steady_request: int) -> list[bytes]:
    """The first instance's attempt ends well; later on, the second instance's old requests are abandoned."""
    ended = pack_record(
        SETTLED, "IIH6sHdBB", STEADY_INSTANCE, steady_request, 0, server_address(1), STATUS_OK, 10.0, 1, 0
    )
    if step <= STEPS_BEFORE_ABANDONING:
        return [ended]
    abandoned = steady_request + 1 - 2 * STEPS_BEFORE_ABANDONING
    return [ended, pack_record(VANISHED, "II", CHANGING_INSTANCE, abandoned)]


def recorded_batches() -> Iterator[Batch]:
    """The batches of the recording."""
    rows = [Row(number) for number in range(2, 8)]
    started = start_instance(STEADY_INSTANCE, 11)
    yield Batch(100.0, [started, *update_list(STEADY_INSTANCE, 0, CACHED, [Row(1)])])
    started = start_instance(CHANGING_INSTANCE, 12)
    yield Batch(105.0, [started, *update_list(CHANGING_INSTANCE, 1, CACHED, rows)])
    now_ms = 110.0
    for step in range(STEPS):
        steady_request = 2 * step + 2
        now_ms += 10.0
        yield Batch(now_ms, arrivals(step, steady_request) + list_changes(step, now_ms, rows))
        now_ms += 10.0
        yield Batch(now_ms, outcomes(step, steady_request))
    yield Batch(now_ms + 1000.0, [])


def pack_batch(batch: Batch) -> bytes:
    """The frame of a batch."""
    body = b"".join(batch.records)
    return struct.pack("<IdI", len(body), batch.now_ms, len(batch.records)) + body


def count_batches(stream: bytes) -> int:
    """The number of batch frames in a stream."""
    count = 0
    position = 0
    while position < len(stream):
        position += 16 + struct.unpack_from("<I", stream, position)[0]
        count += 1
    return count


def read_replies(output: bytes) -> Iterator[list[SentRecord]]:
    """The records of each reply."""
    position = 0
    while position < len(output):
        count, size = struct.unpack_from("<II", output, position)
        position += 8
        end = position + size
        reply: list[SentRecord] = []
        for _ in range(count):
            code, length = struct.unpack_from("<BI", output, position)
            fields_start = position + 5
            position = fields_start + length
            reply.append(SentRecord(code, output[fields_start:position]))
        assert position == end, "a reply's length does not fit its records"
        yield reply


def play(command: str, stream: bytes, hash_seed: str) -> bytes:
    """The adapter's whole output for a stream."""
    environment = {**os.environ, "PYTHONHASHSEED": hash_seed}
    run = subprocess.run(
        ["/bin/sh", "-c", command], input=stream, capture_output=True, cwd=ROOT, env=environment, check=False
    )
    assert run.returncode == 0, f"exit code {run.returncode}: {run.stderr.decode()}"
    return run.stdout


def check(replies: list[list[SentRecord]]) -> None:
    """Fail where an answer does not suit the recorded events."""
    requests: dict[int, set[int]] = {FORWARD: set(), REFUSE: set(), LOSE: set()}
    for code, fields in (sent for reply in replies for sent in reply):
        assert code != BUG, f"an instance failed: {fields[6:].decode()}"
        if code in requests:
            requests[code].add(struct.unpack_from("<I", fields, 4)[0])
    not_forwarded = STEADY_REQUESTS - requests[FORWARD]
    assert not not_forwarded, f"not forwarded at once: {sorted(not_forwarded)}"
    otherwise_answered = STEADY_REQUESTS & (requests[REFUSE] | requests[LOSE])
    assert not otherwise_answered, f"a served request got another answer: {sorted(otherwise_answered)}"
    forwarded_by_changing_instance = requests[FORWARD] - STEADY_REQUESTS
    assert (
        len(forwarded_by_changing_instance) > LEAST_FORWARDED_BY_CHANGING_INSTANCE
    ), "the second instance hardly forwards"


def main() -> int:
    """Exit code 0 where all replies suit the recording; an AssertionError says what does not."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--record", action="store_true", help="write the recording anew")
    if parser.parse_args().record:
        STREAM.parent.mkdir(exist_ok=True)
        STREAM.write_bytes(b"".join(pack_batch(batch) for batch in recorded_batches()))
        return 0
    command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["sim"]
    stream = STREAM.read_bytes()
    output = play(command, stream, "1")
    assert output == play(command, stream, "2"), "replies depend on the order of a hash table"
    replies = list(read_replies(output))
    assert len(replies) == count_batches(stream), "not one reply for each batch"
    check(replies)
    action_count = sum(len(reply) for reply in replies)
    print(f"recorded stream: {len(replies)} replies, {action_count} actions, as they should be")
    return 0


if __name__ == "__main__":
    sys.exit(main())
