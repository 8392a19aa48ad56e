"""Plays streams recorded by the simulator's tap through the adapter and compares the replies byte for byte.

    python tools/compare_stream.py FILE...    from the root of the repository

A tap holds a line of text (direction, process, size) before each line of hexadecimal bytes.  The texts of log
actions may differ; every other byte of every reply has to be the same.  Prints the processor time of the
adapter for each stream, so that two revisions can be compared in one sitting.
"""

from __future__ import annotations

import argparse
import os
import struct
import subprocess
import sys
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
REPLY_HEADER = struct.Struct("<II")
RECORD_HEADER = struct.Struct("<BI")
LOG_RECORD = 73


@dataclass(frozen=True, slots=True)
class Exchange:
    """One batch that was written to an adapter process, and the reply that it gave."""

    process: int
    batch: bytes
    reply: bytes


class StreamMismatchError(Exception):
    """A reply that differs from the recorded one; its text names the batch."""


def read_exchanges(path: Path) -> Iterator[Exchange]:
    """The whole exchanges of a tap; a tap that reached its size limit ends inside one, which is left out."""
    with path.open("rb") as tap:
        batches: dict[int, bytes] = {}
        for heading in tap:
            direction, _, process_text, *_ = heading.decode().replace(",", "").split()
            line = tap.readline()
            if not line.endswith(b"\n"):
                return
            content = bytes.fromhex(line.decode())
            process = int(process_text)
            if direction == ">>":
                batches[process] = content
            else:
                yield Exchange(process, batches.pop(process), content)


def comparable_records(reply: bytes) -> list[bytes]:
    """The records of a reply in order, without those of log actions."""
    count, size = REPLY_HEADER.unpack_from(reply)
    if len(reply) != REPLY_HEADER.size + size:
        raise StreamMismatchError("a reply's length does not fit its header")
    records: list[bytes] = []
    position = REPLY_HEADER.size
    for _ in range(count):
        code, length = RECORD_HEADER.unpack_from(reply, position)
        end = position + RECORD_HEADER.size + length
        if code != LOG_RECORD:
            records.append(reply[position:end])
        position = end
    return records


class Adapter:
    """A running adapter process; a context manager."""

    def __init__(self, command: str) -> None:
        self._process = subprocess.Popen(
            ["/bin/sh", "-c", command], stdin=subprocess.PIPE, stdout=subprocess.PIPE, cwd=ROOT
        )

    def __enter__(self) -> Adapter:
        return self

    def __exit__(self, *_: object) -> None:
        assert self._process.stdin is not None
        self._process.stdin.close()
        self._process.wait()

    def answer(self, batch: bytes) -> bytes:
        """The adapter's reply to one batch."""
        assert self._process.stdin is not None and self._process.stdout is not None
        self._process.stdin.write(batch)
        self._process.stdin.flush()
        header = self._process.stdout.read(REPLY_HEADER.size)
        if len(header) < REPLY_HEADER.size:
            raise StreamMismatchError("the adapter ended before its reply")
        return header + self._process.stdout.read(REPLY_HEADER.unpack(header)[1])


def compare(path: Path, command: str) -> int:
    """Play every process of one tap; the number of replies that were compared."""
    exchanges: dict[int, list[Exchange]] = {}
    for exchange in read_exchanges(path):
        exchanges.setdefault(exchange.process, []).append(exchange)
    compared = 0
    for process, recorded in exchanges.items():
        with Adapter(command) as adapter:
            for number, exchange in enumerate(recorded):
                reply = adapter.answer(exchange.batch)
                if comparable_records(reply) != comparable_records(exchange.reply):
                    raise StreamMismatchError(f"{path}: process {process}: reply {number} differs")
                compared += 1
    return compared


def children_seconds() -> float:
    """Processor seconds of all ended child processes."""
    times = os.times()
    return times.children_user + times.children_system


def main() -> int:
    """Exit code 0 where all streams come back the same, 1 at the first difference."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("streams", nargs="+", type=Path)
    arguments = parser.parse_args()
    command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["sim"]
    for path in arguments.streams:
        before = children_seconds()
        try:
            compared = compare(path, command)
        except StreamMismatchError as error:
            print(error, file=sys.stderr)
            return 1
        print(
            f"{path.name}: {compared} replies the same, {children_seconds() - before:.2f} s of processor time"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
